//! Counters and gauges in the Prometheus text format.

use model::refusal::Reason;
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

type Label = [(&'static str, &'static str); 1];

/// Reason for a further attempt after one on an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryReason {
    /// The connection could not be established.
    Connect,
    /// The upstream's queue was full.
    Busy,
    /// The upstream is shutting down.
    Leaving,
    /// The upstream lacked the version or refused for another reason.
    Refused,
    /// The upstream made no progress.
    Silent,
    /// The connection broke.
    Broken,
    /// The reply was malformed or lacked tokens.
    Malformed,
}

impl RetryReason {
    const ALL: [Self; 7] = [
        Self::Connect,
        Self::Busy,
        Self::Leaving,
        Self::Refused,
        Self::Silent,
        Self::Broken,
        Self::Malformed,
    ];

    fn code(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Busy => "busy",
            Self::Leaving => "leaving",
            Self::Refused => "refused",
            Self::Silent => "silent",
            Self::Broken => "broken",
            Self::Malformed => "malformed",
        }
    }
}

/// All metrics of a node.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    refusals: Family<Label, Counter>,
    retries: Family<Label, Counter>,
    /// Requests received.
    pub requests: Counter,
    /// Open connections of callers.
    pub connections: Gauge,
    /// Connections refused because the connection limit was reached.
    pub connections_refused: Counter,
    /// Connections that could not be accepted.
    pub accept_failures: Counter,
    /// TLS handshakes that failed or timed out.
    pub tls_handshake_failures: Counter,
    /// Certificates reloaded from changed files.
    pub tls_renewals: Counter,
    /// Changed certificate files that could not be loaded.
    pub tls_renewal_failures: Counter,
    /// Requests in progress.
    pub open_requests: Gauge,
    /// Tokens delivered to callers.
    pub tokens: Counter,
    /// Requests whose caller disconnected before the end of the answer.
    pub caller_disconnects: Counter,
    /// Seconds from the receipt of a request to its first token.
    pub first_token_seconds: Histogram,
    /// Revision of the active configuration.
    pub config_revision: Gauge,
    /// Seconds since this node was last known to be at the end of the configuration log.
    pub config_age: Gauge<f64, std::sync::atomic::AtomicU64>,
    /// Records of the configuration log that were rejected.
    pub config_rejected: Counter,
    /// Failed reads of the configuration log.
    pub config_read_failures: Counter,
    /// Reads in which the log ended before the revision of the active configuration.
    pub config_log_behind: Counter,
    /// Failed reads of the host list.
    pub hosts_read_failures: Counter,
    /// Failed reads of load reports and cache events.
    pub report_failures: Counter,
    /// Second attempts started while the first one was unanswered.
    pub hedges: Counter,
    /// Streams moved because another stream on the same upstream stalled.
    pub moved_streams: Counter,
    /// Failed appends of proposals for roll-outs.
    pub proposal_failures: Counter,
    /// Steps after the first step of a request.
    pub escalations: Counter,
    /// Ratings that arrived in time.
    pub ratings: Counter,
    /// Ratings that arrived late.
    pub ratings_late: Counter,
    /// Ratings that did not arrive before their time-out.
    pub ratings_missing: Counter,
    /// Answers delayed until their rating arrived.
    pub rating_waits: Counter,
    /// Billing records that are not in the log yet.
    pub billing_unsettled: Gauge,
    /// Answers released before their billing record was replicated.
    pub billing_underreplicated: Counter,
    /// Failed appends of billing batches.
    pub billing_append_failures: Counter,
    /// Applied changes of the key files.
    pub key_changes: Counter,
    /// Metrics of the communication between nodes.
    pub peers: crate::peers::metrics::Metrics,
}

impl Metrics {
    /// Registers all metrics. The counters of all refusal and retry reasons start at zero.
    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("bronzevale"),
            refusals: Family::default(),
            retries: Family::default(),
            requests: Counter::default(),
            connections: Gauge::default(),
            connections_refused: Counter::default(),
            accept_failures: Counter::default(),
            tls_handshake_failures: Counter::default(),
            tls_renewals: Counter::default(),
            tls_renewal_failures: Counter::default(),
            open_requests: Gauge::default(),
            tokens: Counter::default(),
            caller_disconnects: Counter::default(),
            first_token_seconds: Histogram::new([0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.85, 2.0, 5.0, 10.0]),
            config_revision: Gauge::default(),
            config_age: Gauge::default(),
            config_rejected: Counter::default(),
            config_read_failures: Counter::default(),
            config_log_behind: Counter::default(),
            hosts_read_failures: Counter::default(),
            report_failures: Counter::default(),
            hedges: Counter::default(),
            moved_streams: Counter::default(),
            proposal_failures: Counter::default(),
            escalations: Counter::default(),
            ratings: Counter::default(),
            ratings_late: Counter::default(),
            ratings_missing: Counter::default(),
            rating_waits: Counter::default(),
            billing_unsettled: Gauge::default(),
            billing_underreplicated: Counter::default(),
            billing_append_failures: Counter::default(),
            key_changes: Counter::default(),
            peers: crate::peers::metrics::Metrics::default(),
        };
        for reason in Reason::ALL {
            drop(metrics.refusals.get_or_create(&[("reason", reason.code())]));
        }
        for reason in RetryReason::ALL {
            drop(metrics.retries.get_or_create(&[("reason", reason.code())]));
        }
        metrics.register();
        metrics
    }

    /// Counts a refusal.
    pub(crate) fn count_refusal(&self, reason: Reason) {
        self.refusals.get_or_create(&[("reason", reason.code())]).inc();
    }

    /// Counts a retry.
    pub(crate) fn count_retry(&self, reason: RetryReason) {
        self.retries.get_or_create(&[("reason", reason.code())]).inc();
    }

    /// Renders all metrics in the text format.
    pub(crate) fn render(&self) -> String {
        let mut text = String::new();
        match text::encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(std::fmt::Error) => String::new(),
        }
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        self.peers.register(registry);
        registry.register(
            "key_changes",
            "Changes of the key files",
            self.key_changes.clone(),
        );
        registry.register("refusals", "Refused requests by reason", self.refusals.clone());
        registry.register("retries", "Repeated attempts by reason", self.retries.clone());
        registry.register("requests", "Requests received", self.requests.clone());
        registry.register("connections", "Open connections", self.connections.clone());
        registry.register(
            "connections_refused",
            "Connections over the bound",
            self.connections_refused.clone(),
        );
        registry.register("accept_failures", "Failed accepts", self.accept_failures.clone());
        registry.register(
            "tls_handshake_failures",
            "Failed TLS handshakes",
            self.tls_handshake_failures.clone(),
        );
        registry.register("tls_renewals", "Renewed certificates", self.tls_renewals.clone());
        registry.register(
            "tls_renewal_failures",
            "Faulty new certificates",
            self.tls_renewal_failures.clone(),
        );
        registry.register("open_requests", "Requests under way", self.open_requests.clone());
        registry.register("tokens", "Tokens delivered to callers", self.tokens.clone());
        registry.register(
            "caller_disconnects",
            "Answers cut by the caller",
            self.caller_disconnects.clone(),
        );
        registry.register(
            "first_token_seconds",
            "Time to first token",
            self.first_token_seconds.clone(),
        );
        registry.register(
            "config_revision",
            "Configuration revision",
            self.config_revision.clone(),
        );
        registry.register(
            "config_age_seconds",
            "Age of the configuration",
            self.config_age.clone(),
        );
        registry.register(
            "config_rejected",
            "Rejected configuration records",
            self.config_rejected.clone(),
        );
        registry.register(
            "config_read_failures",
            "Failed reads of the configuration log",
            self.config_read_failures.clone(),
        );
        registry.register(
            "config_log_behind",
            "Reads that found the log shorter than the configuration held",
            self.config_log_behind.clone(),
        );
        registry.register(
            "hosts_read_failures",
            "Failed reads of the host list",
            self.hosts_read_failures.clone(),
        );
        registry.register(
            "report_failures",
            "Failed reads of load reports and cache events",
            self.report_failures.clone(),
        );
        registry.register(
            "hedges",
            "Second attempts beside a first one without an answer",
            self.hedges.clone(),
        );
        registry.register(
            "moved_streams",
            "Streams moved because another one on the same upstream went silent",
            self.moved_streams.clone(),
        );
        let counters = [
            (
                "proposal_failures",
                "Failed appends of proposals",
                &self.proposal_failures,
            ),
            (
                "escalations",
                "Steps after the first one of a request",
                &self.escalations,
            ),
            ("ratings", "Ratings in time", &self.ratings),
            ("ratings_late", "Ratings after their time-out", &self.ratings_late),
            ("ratings_missing", "Ratings not in time", &self.ratings_missing),
            (
                "rating_waits",
                "Answers held back for a rating",
                &self.rating_waits,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        registry.register(
            "billing_unsettled",
            "Billing records not in the log yet",
            self.billing_unsettled.clone(),
        );
        registry.register(
            "billing_underreplicated",
            "Answers released before their billing record was replicated",
            self.billing_underreplicated.clone(),
        );
        registry.register(
            "billing_append_failures",
            "Failed appends of billing batches",
            self.billing_append_failures.clone(),
        );
    }
}
