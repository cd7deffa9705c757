//! Keeps requests that end engines away from them, on all nodes.
//!
//! [`Quarantine`] joins the evidence ([`crate::crash`]) with what is held back ([`crate::hold`]) and says what nodes
//! tell each other. Everything is told at once to all nodes. Reports of ended runs are repeated once and holds go
//! on to random nodes in each round, for nodes that started later or were cut off, and for lost datagrams.

use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::BootTime;
use crate::crash::{self, Crashes, Fingerprint, Traits};
use crate::hold::{self, Admission, Holds};
use crate::statement::Run;

/// What one node tells others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Message {
    /// Runs that ended.
    pub crashes: Vec<crash::Report>,
    /// Runs that were taken for ended, and how long ago they served a request all the same.
    pub refuted: Vec<(Run, Duration)>,
    /// Fingerprints that were served, and how long ago.
    pub served: Vec<(Fingerprint, Duration)>,
    /// What is held back.
    pub holds: Vec<hold::Report>,
}

impl Message {
    /// The message some time after it was made.
    pub fn aged(&self, time: Duration) -> Self {
        let mut message = self.clone();
        let crashes = message.crashes.iter_mut().map(|it| &mut it.age);
        let refuted = message.refuted.iter_mut().map(|it| &mut it.1);
        let served = message.served.iter_mut().map(|it| &mut it.1);
        let holds = message
            .holds
            .iter_mut()
            .flat_map(|it| [&mut it.age, &mut it.first_end_age]);
        for age in crashes.chain(refuted).chain(served).chain(holds) {
            *age += time;
        }
        message
    }

    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// What follows from the evidence.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Judgement {
    /// Signatures that are held back from now on.
    pub begun: Vec<Traits>,
    /// Signatures that are held back no more.
    pub lifted: Vec<Traits>,
}

/// Messages that are due.
#[derive(Debug, Clone, Default)]
pub struct Due {
    /// For all nodes.
    pub to_all: Vec<Message>,
    /// For [`Quarantine::FANOUT`] random nodes.
    pub to_some: Vec<Message>,
}

/// Requests that end engines, as known to one node.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    crashes: Crashes,
    holds: Holds,
    /// Own observations that were not told yet, and those of the last round, which are repeated.
    untold: Vec<(Run, Traits, BootTime)>,
    told: Vec<(Run, Traits, BootTime)>,
    refuted: Vec<(Run, BootTime)>,
    /// Observations that may be told now.
    allowance: f64,
    /// Whether a hold changed since it was told.
    holds_changed: bool,
    last_round: BootTime,
    last_due: BootTime,
    /// When culprits are looked for next, if there may be any.
    judge_at: Option<BootTime>,
}

impl Quarantine {
    /// Nodes that get a message to some nodes.
    pub const FANOUT: usize = 2;

    /// Time in which the other requests arrive that a run breaks off at its end. A node may end soon after, so it must not
    /// wait longer.
    pub const TELL_DELAY: Duration = Duration::from_millis(10);

    /// Time from the first event of a response after which its request is known to end no engine, and from then on
    /// between two records of that.
    pub const PROGRESS_TIME: Duration = Duration::from_secs(2);

    const ROUND_INTERVAL: Duration = Duration::from_millis(500);

    /// Number of nodes that tell in each tick what they have served, on average. More would tell the same.
    const TELLERS: f64 = 4.0;

    /// Maximum number of items in a message, so that it fits into one packet, and of those of each kind that are told
    /// at once.
    const MESSAGE_ITEMS: usize = 8;
    const MAX_ITEMS: usize = 256;

    /// Observations that all nodes together tell each node in a second, and those that a node may tell at once after a
    /// pause. Where more requests are broken off, it is not for a few of them.
    const TOLD_PER_SECOND: f64 = 256.0;
    const MAX_ALLOWANCE: f64 = 128.0;

    /// Observations that a node of a large fleet may tell in a second.
    const MIN_TOLD_PER_SECOND: f64 = 1.0;

    /// Records that a run broke off a request; returns whether it is the first one to be told, so that [`Self::due`] has to
    /// be called after [`Self::TELL_DELAY`].
    pub fn record_broken(&mut self, run: &Run, traits: &Traits, now: BootTime) -> bool {
        let is_first = self.untold.is_empty();
        self.crashes.record_broken(run, traits, now);
        self.judge_at.get_or_insert(now + Crashes::SETTLING);
        if self.untold.len() < Self::MAX_ITEMS {
            self.untold.push((run.clone(), traits.clone(), now));
        }
        is_first
    }

    /// Records a complete response of a run to a request that was sent at `sent_at`; returns the signatures whose hold
    /// that lifts.
    pub fn record_served(
        &mut self,
        run: &Run,
        traits: &[Fingerprint],
        sent_at: BootTime,
        now: BootTime,
    ) -> Vec<Traits> {
        let went_on = self.crashes.record_served(run, traits, sent_at, now);
        self.note_service(went_on, run, traits, sent_at, now)
    }

    /// Records that a run has been writing a response for [`Self::PROGRESS_TIME`]; otherwise like
    /// [`Self::record_served`].
    pub fn record_progress(
        &mut self,
        run: &Run,
        traits: &[Fingerprint],
        sent_at: BootTime,
        now: BootTime,
    ) -> Vec<Traits> {
        let went_on = self.crashes.record_progress(run, traits, sent_at, now);
        self.note_service(went_on, run, traits, sent_at, now)
    }

    fn note_service(
        &mut self,
        went_on: bool,
        run: &Run,
        traits: &[Fingerprint],
        sent_at: BootTime,
        now: BootTime,
    ) -> Vec<Traits> {
        if went_on {
            self.refuted.push((run.clone(), now));
        }
        let lifted = self.holds.lift(traits, sent_at, now);
        self.holds_changed |= !lifted.is_empty();
        lifted
    }

    /// Whether a request with these traits may be sent; see [`Holds::admit`].
    pub fn admit(
        &mut self,
        traits: &[Fingerprint],
        may_probe: impl Fn(&Traits) -> bool,
        now: BootTime,
    ) -> Admission {
        let admission = self.holds.admit(traits, may_probe, now);
        self.holds_changed |= admission == Admission::Probe;
        admission
    }

    /// Makes a probe due again that was sent to no engine.
    pub fn return_probe(&mut self, traits: &[Fingerprint], now: BootTime) {
        self.holds.return_probe(traits, now);
        self.holds_changed = true;
    }

    /// Whether a request with these traits is held back.
    pub fn is_held(&self, traits: &[Fingerprint]) -> bool {
        self.holds.is_held(traits)
    }

    /// What is held back.
    pub fn holds(&self, now: BootTime) -> Vec<hold::Report> {
        let mut holds = self.holds.reports(now);
        holds.retain(|it| !it.lifted);
        holds
    }

    /// Looks for culprits, and lifts the holds on requests that are explained by others.
    pub fn judge(&mut self, now: BootTime) -> Judgement {
        if self.judge_at.is_none_or(|it| now < it) {
            return Judgement::default();
        }
        // What is told later may change the result.
        let next = Some(now + Crashes::SETTLING);
        self.judge_at = next.filter(|_| self.crashes.is_unsettled(now));
        let mut culprits = self.crashes.culprits(self.holds.signatures(), now);
        culprits.retain(|it| self.holds.begin(it, now));
        let begun: Vec<_> = culprits.into_iter().map(|it| it.signature).collect();
        let held: Vec<_> = self.holds.signatures().cloned().collect();
        let is_explained = |it: &Traits| held.iter().any(|other| self.crashes.is_explained(it, other));
        let lifted = self.holds.lift_where(is_explained, now);
        self.holds_changed |= !begun.is_empty() || !lifted.is_empty();
        Judgement { begun, lifted }
    }

    /// What has to be told now; called several times a second. `hosts` is the number of nodes.
    pub fn due(&mut self, hosts: usize, now: BootTime, rng: &mut impl Rng) -> Due {
        let mut observations = self.take_untold(hosts, now);
        let is_round = now.saturating_sub(self.last_round) >= Self::ROUND_INTERVAL;
        if is_round {
            self.last_round = now;
            self.crashes.expire(now);
            self.holds.expire(now);
            let repeated = std::mem::replace(&mut self.told, observations.clone());
            observations.extend(repeated);
        } else {
            self.told.extend(observations.iter().cloned());
        }
        let mut to_all: Vec<_> = observations
            .chunks(Self::MESSAGE_ITEMS)
            .map(|it| Message {
                crashes: reports(it, now),
                ..Message::default()
            })
            .collect();
        let refuted = std::mem::take(&mut self.refuted);
        let aged = |(run, at): &(Run, BootTime)| (run.clone(), now.saturating_sub(*at));
        to_all.extend(refuted.chunks(Self::MESSAGE_ITEMS).map(|it| Message {
            refuted: it.iter().map(aged).collect(),
            ..Message::default()
        }));
        if rng.random_bool((Self::TELLERS / hosts.max(1) as f64).min(1.0)) {
            let served = self.crashes.tell_served(Self::MAX_ITEMS, now);
            to_all.extend(served.chunks(Self::MESSAGE_ITEMS * 4).map(|it| Message {
                served: it.to_vec(),
                ..Message::default()
            }));
        }
        let holds_changed = std::mem::take(&mut self.holds_changed);
        let mut to_some = vec![];
        if holds_changed || is_round {
            let holds = self.sample_holds(now, rng);
            let message = Message {
                holds,
                ..Message::default()
            };
            if holds_changed {
                to_all.push(message);
            } else if !message.is_empty() {
                to_some.push(message);
            }
        }
        Due { to_all, to_some }
    }

    /// Own observations to be told now; the others have to wait. Those with a part that was never served come first, as
    /// others would blame what only shared an engine with them.
    fn take_untold(&mut self, hosts: usize, now: BootTime) -> Vec<(Run, Traits, BootTime)> {
        let rate = (Self::TOLD_PER_SECOND / hosts.max(1) as f64).max(Self::MIN_TOLD_PER_SECOND);
        let elapsed = now.saturating_sub(self.last_due).as_secs_f64();
        self.last_due = now;
        self.allowance = (self.allowance + rate * elapsed).min(Self::MAX_ALLOWANCE);
        self.untold
            .sort_by_key(|it| !self.crashes.has_unserved_part(&it.1));
        let count = self.untold.len().min(self.allowance as usize);
        self.allowance -= count as f64;
        self.untold.drain(..count).collect()
    }

    /// The newest hold and some others.
    fn sample_holds(&self, now: BootTime, rng: &mut impl Rng) -> Vec<hold::Report> {
        let mut holds = self.holds.reports(now);
        holds.shuffle(rng);
        holds.sort_by_key(|it| it.age > Self::ROUND_INTERVAL);
        holds.truncate(Self::MESSAGE_ITEMS);
        holds
    }

    /// Applies a message of another node; returns the holds that it changes.
    pub fn apply(&mut self, message: &Message, now: BootTime) -> Vec<hold::Report> {
        for report in &message.crashes {
            self.crashes.apply(report, now);
            self.judge_at.get_or_insert(now + Crashes::SETTLING);
        }
        for (run, age) in &message.refuted {
            self.crashes.refute(run, now.saturating_sub(*age));
        }
        for (fingerprint, age) in &message.served {
            self.crashes.apply_served(*fingerprint, *age, now);
        }
        let changed = message.holds.iter().filter(|it| self.holds.apply(it, now));
        changed.cloned().collect()
    }
}

/// Joins the observations of each run.
fn reports(observations: &[(Run, Traits, BootTime)], now: BootTime) -> Vec<crash::Report> {
    let mut reports: Vec<crash::Report> = vec![];
    for (run, traits, at) in observations {
        let age = now.saturating_sub(*at);
        match reports.iter_mut().find(|it| it.run == *run) {
            Some(it) => {
                it.age = it.age.max(age);
                it.suspects.push(traits.clone());
            }
            None => reports.push(crash::Report {
                run: run.clone(),
                age,
                suspects: vec![traits.clone()],
            }),
        }
    }
    reports
}
