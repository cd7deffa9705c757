//! What a simulated fleet meets.

use std::time::Duration;

/// What the engines of a service serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Service {
    /// Streams for prompts of several parts, of which one is fatal.
    Model,
    /// Calls, of which one that comes again is fatal.
    Plain,
}

/// Size of a fleet and its load.
#[derive(Debug, Clone, Copy)]
pub(super) struct Scale {
    pub service: Service,
    pub nodes: usize,
    pub engines: usize,
    /// Sound requests a second.
    pub rate: f64,
    /// Number of different first parts of prompts.
    pub first_parts: u64,
}

/// What goes wrong besides fatal requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Trouble {
    None,
    /// A third of the datagrams between nodes is lost.
    LostMessages,
    /// Nodes stop in turn and start with nothing.
    Restarts,
    /// Half of the nodes hear nothing from the others for a time.
    Cut,
    /// All engines end at the same moment, several times.
    PowerLosses,
    /// Some of the engines end at the same moment, several times.
    PartialPowerLosses,
    /// A third of the engines ends again and again.
    CrashLoops,
    /// A fifth of the requests is broken off by engines that go on.
    BrokenConnections,
    /// Fatal requests are served until [`Trial::FATAL_FROM`].
    ServedBefore,
}

impl Trouble {
    pub(super) const ALL: [Self; 9] = [
        Self::None,
        Self::LostMessages,
        Self::Restarts,
        Self::Cut,
        Self::PowerLosses,
        Self::PartialPowerLosses,
        Self::CrashLoops,
        Self::BrokenConnections,
        Self::ServedBefore,
    ];

    /// Whether requests are broken off only because of fatal ones.
    pub(super) fn breaks_no_requests(self) -> bool {
        !matches!(
            self,
            Self::PowerLosses
                | Self::PartialPowerLosses
                | Self::CrashLoops
                | Self::BrokenConnections
                | Self::Restarts
        )
    }

    pub(super) fn label(self) -> &'static str {
        match self {
            Self::None => "nothing else",
            Self::LostMessages => "a third of the datagrams lost",
            Self::Restarts => "nodes restart in turn",
            Self::Cut => "half of the nodes cut off",
            Self::PowerLosses => "all engines end at once",
            Self::PartialPowerLosses => "some engines end at once",
            Self::CrashLoops => "a third of the engines ends again and again",
            Self::BrokenConnections => "a fifth of the requests broken off",
            Self::ServedBefore => "fatal requests were served before",
        }
    }
}

/// What nodes do about requests that end engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Rule {
    /// Nothing.
    None,
    /// Each node judges by what it sees itself.
    Alone,
    /// The nodes tell each other.
    Fleet,
}

impl Rule {
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::None => "no rule",
            Self::Alone => "each node alone",
            Self::Fleet => "fleet",
        }
    }
}

/// One simulated minute.
#[derive(Debug, Clone, Copy)]
pub(super) struct Trial {
    pub scale: Scale,
    pub trouble: Trouble,
    pub rule: Rule,
    /// Fatal requests a second.
    pub fatal_rate: f64,
}

impl Trial {
    pub(super) const LENGTH: Duration = Duration::from_secs(60);

    /// Time from the arrival of a request to its end, at most; a caller sends it once more.
    pub(super) const LONGEST_REQUEST: Duration = Duration::from_secs(15);

    /// When fatal requests begin to come.
    pub(super) const FATAL_FROM: Duration = Duration::from_secs(10);

    /// Time in which all nodes have to know a fact, as the platform states it.
    pub(super) const STABILITY_WINDOW: Duration = Duration::from_secs(3);

    /// Time from the end of an engine to its next run.
    pub(super) const ENGINE_DOWN: Duration = Duration::from_millis(2500);

    /// Number of ended engines after which fatal requests must reach no more of them.
    pub(super) fn fatal_ends(&self) -> usize {
        match self.scale.service {
            Service::Model => 5,
            Service::Plain => 3,
        }
    }
}
