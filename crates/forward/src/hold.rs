//! Requests that are held back because requests like them end engines.
//!
//! All nodes hold the same signatures: each change raises the revision of a hold, and the highest revision wins. From
//! time to time one request with the signature is let through as a probe, by one node of the fleet only. A complete
//! response lifts the hold.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::BootTime;
use crate::crash::{Culprit, Fingerprint, Traits, contains};

/// A hold in a message to another node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// What a request must have to be held back.
    pub signature: Traits,
    /// Number of changes.
    pub revision: u32,
    /// Time since the last change.
    pub age: Duration,
    /// Time since the first run ended under such a request.
    pub first_end_age: Duration,
    /// Requests that were let through since the hold began.
    pub probes: u32,
    /// Whether requests like these were served before.
    pub was_served: bool,
    /// Whether the hold has ended because such a request was served.
    pub lifted: bool,
}

#[derive(Debug, Clone, Copy)]
struct Hold {
    revision: u32,
    changed_at: BootTime,
    first_end: BootTime,
    probes: u32,
    was_served: bool,
    lifted: bool,
}

impl Hold {
    fn probe_at(&self) -> BootTime {
        self.changed_at + self.probe_interval(self.probes)
    }

    /// Time from the last probe, or from the begin of the hold, to the next probe.
    ///
    /// Requests that were served before may be sound, so they are tried soon; those that still end engines are held back
    /// for longer each time.
    fn probe_interval(&self, probes: u32) -> Duration {
        let (first, factor) = match self.was_served {
            true => (Holds::FIRST_PROBE_OF_SERVED, 4_u32),
            false => (Holds::FIRST_PROBE, 2),
        };
        let interval = first.saturating_mul(factor.saturating_pow(probes));
        interval.min(Holds::MAX_PROBE_INTERVAL)
    }

    fn expires_at(&self) -> BootTime {
        match self.lifted {
            true => self.changed_at + Holds::LIFTED_RETENTION,
            false => self.probe_at() + Holds::RETENTION,
        }
    }
}

/// Whether a request may be sent to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// It is not held back.
    Open,
    /// It is held back, but this one may be sent to one engine, as a probe.
    Probe,
    /// It must not be sent; the next probe is due after this time.
    Held(Duration),
}

/// The holds that a node knows.
#[derive(Debug, Clone, Default)]
pub struct Holds {
    holds: BTreeMap<Traits, Hold>,
}

impl Holds {
    /// Time until the first probe.
    const FIRST_PROBE: Duration = Duration::from_secs(60);

    /// Time until the first probe of requests that were served before: about that in which engines return and all
    /// nodes know of the hold.
    const FIRST_PROBE_OF_SERVED: Duration = Duration::from_secs(2);

    /// Maximum time between two probes.
    const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(32 * 60);

    /// Time after a due probe at which a hold is forgotten: no such request has come to the node that may probe.
    const RETENTION: Duration = Duration::from_secs(600);

    /// Time for which a lifted hold is remembered, so that no older report brings it back.
    const LIFTED_RETENTION: Duration = Duration::from_secs(120);

    /// Maximum number of holds.
    const MAX_HOLDS: usize = 128;

    /// Begins to hold requests back; returns whether that is new.
    pub fn begin(&mut self, culprit: &Culprit, now: BootTime) -> bool {
        let signature = &culprit.signature;
        let known = self.holds.get(signature);
        if signature.is_empty() || known.is_some_and(|it| !it.lifted) {
            return false;
        }
        let hold = Hold {
            revision: known.map_or(0, |it| it.revision) + 1,
            changed_at: now,
            first_end: culprit.first_end,
            probes: 0,
            was_served: culprit.was_served,
            lifted: false,
        };
        self.insert(signature.clone(), hold);
        true
    }

    fn insert(&mut self, signature: Traits, hold: Hold) {
        if self.holds.len() >= Self::MAX_HOLDS && !self.holds.contains_key(&signature) {
            let oldest = self.holds.iter().min_by_key(|it| it.1.changed_at);
            if let Some(oldest) = oldest.map(|it| it.0.clone()) {
                self.holds.remove(&oldest);
            }
        }
        self.holds.insert(signature, hold);
    }

    /// Whether a request with these traits may be sent. `may_probe` tells whether this node lets the probes of a
    /// signature through.
    ///
    /// A probe counts from now on.
    pub fn admit(
        &mut self,
        traits: &[Fingerprint],
        may_probe: impl Fn(&Traits) -> bool,
        now: BootTime,
    ) -> Admission {
        let mut concerned: Vec<_> = self
            .holds
            .iter_mut()
            .filter(|(signature, hold)| !hold.lifted && contains(traits, signature))
            .collect();
        let Some(due) = concerned.iter().map(|(_, it)| it.probe_at()).max() else {
            return Admission::Open;
        };
        if now < due || !concerned.iter().all(|(signature, _)| may_probe(signature)) {
            return Admission::Held(due.saturating_sub(now));
        }
        for (_, hold) in &mut concerned {
            hold.probes += 1;
            hold.revision += 1;
            hold.changed_at = now;
        }
        Admission::Probe
    }

    /// Makes a probe due again that was let through and then sent to no engine.
    pub fn return_probe(&mut self, traits: &[Fingerprint], now: BootTime) {
        for (signature, hold) in &mut self.holds {
            if !hold.lifted && hold.probes > 0 && contains(traits, signature) {
                hold.probes -= 1;
                hold.revision += 1;
                hold.changed_at = now.saturating_sub(hold.probe_interval(hold.probes));
            }
        }
    }

    /// Whether a request with these traits is held back.
    pub fn is_held(&self, traits: &[Fingerprint]) -> bool {
        self.signatures().any(|it| contains(traits, it))
    }

    /// Signatures that are held back.
    pub fn signatures(&self) -> impl Iterator<Item = &Traits> {
        self.holds.iter().filter(|it| !it.1.lifted).map(|it| it.0)
    }

    /// Lifts the holds on requests with these traits, as one that was sent at `sent_at` was served; returns their
    /// signatures.
    ///
    /// One that was sent before engines ended shows only that such requests were sound until then.
    pub fn lift(&mut self, traits: &[Fingerprint], sent_at: BootTime, now: BootTime) -> Vec<Traits> {
        let lifted = |(signature, hold): &(&Traits, &mut Hold)| {
            contains(traits, signature) && hold.first_end < sent_at
        };
        lift_all(self.holds.iter_mut().filter(lifted), now)
    }

    /// Lifts the holds of some signatures, and returns these.
    pub fn lift_where(&mut self, is_lifted: impl Fn(&Traits) -> bool, now: BootTime) -> Vec<Traits> {
        lift_all(self.holds.iter_mut().filter(|it| is_lifted(it.0)), now)
    }

    /// Applies the report of another node; returns whether it changes what is held back.
    pub fn apply(&mut self, report: &Report, now: BootTime) -> bool {
        let known = self.holds.get(&report.signature);
        let is_older = known.is_some_and(|it| (report.revision, report.lifted) <= (it.revision, it.lifted));
        if report.signature.is_empty() || is_older {
            return false;
        }
        let hold = Hold {
            revision: report.revision,
            changed_at: now.saturating_sub(report.age),
            first_end: now.saturating_sub(report.first_end_age),
            probes: report.probes,
            was_served: report.was_served,
            lifted: report.lifted,
        };
        let was_held = known.is_some_and(|it| !it.lifted);
        if hold.expires_at() <= now {
            return false;
        }
        self.insert(report.signature.clone(), hold);
        was_held == hold.lifted
    }

    /// The holds for other nodes.
    pub fn reports(&self, now: BootTime) -> Vec<Report> {
        let report = |(signature, it): (&Traits, &Hold)| Report {
            signature: signature.clone(),
            revision: it.revision,
            age: now.saturating_sub(it.changed_at),
            first_end_age: now.saturating_sub(it.first_end),
            probes: it.probes,
            was_served: it.was_served,
            lifted: it.lifted,
        };
        self.holds.iter().map(report).collect()
    }

    /// Forgets holds that are over.
    pub fn expire(&mut self, now: BootTime) {
        self.holds.retain(|_, it| now < it.expires_at());
    }
}

fn lift_all<'a>(holds: impl Iterator<Item = (&'a Traits, &'a mut Hold)>, now: BootTime) -> Vec<Traits> {
    let mut lifted = vec![];
    for (signature, hold) in holds.filter(|it| !it.1.lifted) {
        hold.lifted = true;
        hold.revision += 1;
        hold.changed_at = now;
        lifted.push(signature.clone());
    }
    lifted
}
