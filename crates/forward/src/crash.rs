//! What the requests have in common that end the engines which begin to answer them.
//!
//! An engine whose process ends breaks off all its requests, and at most one of them is to blame. Each node sees only
//! some of them, so nodes exchange [`Report`]s: the run of an engine that broke off, and the [`Traits`] of the requests
//! that it had. A fingerprint is a culprit if several runs broke off requests with it and none with it has been served
//! since the first of them, or has been written for a while. Sound requests are not blamed for the company that they keep:
//!
//! - A run counts once, whatever the number of its requests and of the nodes that saw it break off, and no longer once
//!   it is known to have gone on with other requests.
//! - Runs that broke off at the same moment are one event, which counts little, and once only if not all of the runs had
//!   such requests: its cause lies elsewhere, as with a loss of power.
//! - A culprit explains the runs that it ended. Other requests that these runs broke off are not blamed for them.
//! - While many requests are broken off anyway, more runs are needed.
//! - As long as nothing else is served either, no part is blamed that sound requests are known to have.

mod background;
mod crashed_run;
mod culprit;
mod end;
mod kind;
mod report;
mod service;

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::BootTime;
use crate::statement::Run;
use background::Background;
use crashed_run::CrashedRun;
use end::{End, is_covered};
use service::Service;

pub use culprit::Culprit;
pub use kind::Kind;
pub use report::Report;

/// Hash of something that requests have in common.
pub type Fingerprint = u64;

/// Fingerprints of one request, or those that a culprit consists of; sorted, without duplicates.
pub type Traits = Vec<Fingerprint>;

/// Whether a request with these traits has the whole signature.
pub fn contains(traits: &[Fingerprint], signature: &[Fingerprint]) -> bool {
    signature.iter().all(|it| traits.binary_search(it).is_ok())
}

/// What speaks against a fingerprint.
#[derive(Debug, Clone, Copy)]
struct Tally {
    /// When the first run ended.
    first: BootTime,
    runs: usize,
    events: usize,
}

/// Runs that ended and fingerprints that were served, as known to one node.
#[derive(Debug, Clone, Default)]
pub struct Crashes {
    runs: HashMap<Run, CrashedRun>,
    service: Service,
    background: Background,
}

impl Crashes {
    /// Time for which ended runs and served requests are remembered.
    pub const RETENTION: Duration = Duration::from_secs(60);

    /// Time in which the other nodes report what they know about a run that ended.
    pub const SETTLING: Duration = Duration::from_millis(300);

    /// Maximum number of runs, and of requests of each run.
    const MAX_RUNS: usize = 128;
    const MAX_SUSPECTS: usize = 128;

    /// Probability with which a sound fingerprint may be broken off so often by chance.
    const CHANCE: f64 = 0.001;

    /// Runs that break off within this time of the first one belong to the same event.
    const SAME_EVENT: Duration = Duration::from_millis(20);

    /// Maximum number of runs that one event counts for.
    const MAX_RUNS_OF_EVENT: usize = 2;

    /// Number of different events that make a culprit.
    const MIN_EVENTS: usize = 2;

    /// Time after the end of a run in which responses that were already on their way may still arrive.
    const IN_TRANSIT: Duration = Duration::from_millis(100);

    /// Number of ended runs since the last service that other nodes know of from which on they are told of a later one.
    const RUNS_TO_TELL: usize = 2;

    /// Time after the end of a run in which culprits are looked for.
    const SEARCH_TIME: Duration = Duration::from_secs(5);

    /// Records that a run broke off a request.
    pub fn record_broken(&mut self, run: &Run, suspect: &Traits, now: BootTime) {
        self.background.record(true, now);
        self.add(run, std::slice::from_ref(suspect), now);
    }

    /// Applies the report of another node.
    pub fn apply(&mut self, report: &Report, now: BootTime) {
        if report.age < Self::RETENTION {
            self.add(&report.run, &report.suspects, now.saturating_sub(report.age));
        }
    }

    fn add(&mut self, run: &Run, suspects: &[Traits], at: BootTime) {
        if self.runs.len() >= Self::MAX_RUNS && !self.runs.contains_key(run) {
            let oldest = self.runs.iter().min_by_key(|it| it.1.at);
            if let Some(oldest) = oldest.map(|it| it.0.clone()) {
                self.runs.remove(&oldest);
            }
        }
        let begin = |refuted_at| CrashedRun {
            at,
            suspects: HashMap::new(),
            refuted_at,
        };
        let crash = self.runs.entry(run.clone()).or_insert_with(|| begin(None));
        match crash.refuted_at {
            Some(refuted_at) if at <= refuted_at => return,
            Some(_) => *crash = begin(None),
            None => crash.at = crash.at.max(at),
        }
        for suspect in suspects {
            if crash.suspects.len() < Self::MAX_SUSPECTS || crash.suspects.contains_key(suspect) {
                let broken_at = crash.suspects.entry(suspect.clone()).or_insert(at);
                *broken_at = at.max(*broken_at);
            }
        }
    }

    /// Records a complete response of a run to a request that was sent at `sent_at`.
    ///
    /// Returns whether the run was taken for ended and has gone on.
    pub fn record_served(
        &mut self,
        run: &Run,
        traits: &[Fingerprint],
        sent_at: BootTime,
        now: BootTime,
    ) -> bool {
        self.background.record(false, now);
        self.record_progress(run, traits, sent_at, now)
    }

    /// Records that a run has been writing a response for a while; otherwise like [`Self::record_served`].
    pub fn record_progress(
        &mut self,
        run: &Run,
        traits: &[Fingerprint],
        sent_at: BootTime,
        now: BootTime,
    ) -> bool {
        for it in traits {
            self.service.record(*it, sent_at, now);
        }
        let went_on = self.runs.get(run).is_some_and(|it| {
            // A later request may have been sent to the next run at the same address.
            it.refuted_at.is_none() && sent_at < it.at && it.at + Self::IN_TRANSIT < now
        });
        if went_on {
            self.refute(run, now);
        }
        went_on
    }

    /// Records that a run that was taken for ended served a request at a time.
    pub fn refute(&mut self, run: &Run, at: BootTime) {
        if let Some(it) = self.runs.get_mut(run).filter(|it| it.at < at) {
            it.refuted_at = it.refuted_at.max(Some(at));
        }
    }

    /// Applies what another node tells: a request with a fingerprint was served before `age`.
    pub fn apply_served(&mut self, fingerprint: Fingerprint, age: Duration, now: BootTime) {
        self.service.record_told(fingerprint, now.saturating_sub(age));
    }

    /// Fingerprints that other nodes may blame, although this node has served them later than they know, with the ages
    /// of these responses. They count as told from now on.
    pub fn tell_served(&mut self, limit: usize, now: BootTime) -> Vec<(Fingerprint, Duration)> {
        let mut ends: HashMap<Fingerprint, usize> = HashMap::new();
        for crash in self.runs.values().filter(|it| it.refuted_at.is_none()) {
            let fingerprints: BTreeSet<_> = crash.suspects.keys().flatten().collect();
            for it in fingerprints {
                if self.service.may_be_blamed_by_others(*it, crash.at) {
                    *ends.entry(*it).or_default() += 1;
                }
            }
        }
        let blamed = ends.into_iter().filter(|it| it.1 >= Self::RUNS_TO_TELL);
        let told = blamed.filter_map(|it| Some((it.0, self.service.tell(it.0)?)));
        let aged = told.map(|(fingerprint, at)| (fingerprint, now.saturating_sub(at)));
        // What is beyond the limit is told next time.
        aged.take(limit).collect()
    }

    /// Whether a run ended so recently that culprits may have to be looked for again.
    pub fn is_unsettled(&self, now: BootTime) -> bool {
        self.runs
            .values()
            .any(|it| now.saturating_sub(it.at) < Self::SEARCH_TIME)
    }

    /// What the requests that ended engines have in common, for each cause that is not `known`.
    pub fn culprits<'a>(&self, known: impl Iterator<Item = &'a Traits>, now: BootTime) -> Vec<Culprit> {
        let mut ends = self.ends(now);
        let mut explanations: Vec<_> = known.cloned().collect();
        for signature in &explanations {
            self.explain(&mut ends, signature);
        }
        let mut culprits = vec![];
        loop {
            let found = self.worst(&ends, &explanations);
            if found.is_empty() {
                return culprits;
            }
            for culprit in found {
                self.explain(&mut ends, &culprit.signature);
                explanations.push(culprit.signature.clone());
                culprits.push(culprit);
            }
        }
    }

    /// Clears the requests that only shared an engine with those of a culprit. One that was served before is no reason to
    /// clear requests with a part that never was.
    fn explain(&self, ends: &mut [End<'_>], signature: &[Fingerprint]) {
        let was_served = self.was_served(signature);
        for end in ends {
            end.explain(signature, |it| !was_served || !self.has_unserved_part(it));
        }
    }

    /// Whether requests with something of a signature were served.
    fn was_served(&self, signature: &[Fingerprint]) -> bool {
        signature.iter().any(|it| self.served_at(*it).is_some())
    }

    /// The runs that ended so long ago that other nodes have reported what they know about them.
    fn ends(&self, now: BootTime) -> Vec<End<'_>> {
        let is_settled =
            |it: &&CrashedRun| it.refuted_at.is_none() && now.saturating_sub(it.at) >= Self::SETTLING;
        let settled = self.runs.values().filter(is_settled);
        let mut ends: Vec<_> = settled
            .map(|it| End {
                at: it.at,
                suspects: it.suspects.iter().map(|(traits, at)| (traits, *at)).collect(),
            })
            .collect();
        ends.sort_by_key(|it| it.at);
        ends
    }

    /// The culprits that explain most runs: more than one only if they explain equally many.
    fn worst(&self, ends: &[End<'_>], explanations: &[Traits]) -> BTreeSet<Culprit> {
        let mut candidates = vec![];
        for (fingerprint, tally) in self.tallies(ends) {
            if !self.is_conclusive(fingerprint, &tally) {
                continue;
            }
            let signature = self.signature(fingerprint, tally.first, ends);
            if !explanations.iter().any(|it| is_covered(&signature, it, ends)) {
                // A single request has hardly ever been served before, and may have been beside the fatal ones several times.
                let is_unserved_part =
                    Kind::of(fingerprint) == Kind::PromptPart && self.served_at(fingerprint).is_none();
                let rank = (is_unserved_part, tally.runs);
                let culprit = Culprit {
                    was_served: self.was_served(&signature),
                    signature,
                    first_end: tally.first,
                };
                candidates.push((rank, culprit));
            }
        }
        let highest = candidates.iter().map(|it| it.0).max();
        // Those that meet equally many ends are all held; the probes tell them apart.
        candidates.retain(|it| Some(it.0) == highest);
        candidates.into_iter().map(|it| it.1).collect()
    }

    /// What speaks against each fingerprint.
    fn tallies(&self, ends: &[End<'_>]) -> HashMap<Fingerprint, Tally> {
        let mut tallies: HashMap<Fingerprint, Tally> = HashMap::new();
        let mut rest = ends;
        while let [first, ..] = rest {
            let len = rest.partition_point(|it| it.at - first.at <= Self::SAME_EVENT);
            let (event, later) = rest.split_at(len);
            rest = later;
            let mut runs: HashMap<Fingerprint, usize> = HashMap::new();
            for end in event {
                for it in self.unserved(end) {
                    *runs.entry(it).or_default() += 1;
                }
            }
            for (fingerprint, runs) in runs {
                let tally = tallies.entry(fingerprint).or_insert(Tally {
                    first: first.at,
                    runs: 0,
                    events: 0,
                });
                tally.runs += match runs == event.len() {
                    true => runs.min(Self::MAX_RUNS_OF_EVENT),
                    false => 1,
                };
                tally.events += 1;
            }
        }
        tallies
    }

    /// Fingerprints that were not served after the run broke off a request with them.
    fn unserved(&self, end: &End<'_>) -> BTreeSet<Fingerprint> {
        let of_request = |(traits, at): &(&Traits, BootTime)| -> Vec<_> {
            let is_unserved = |it: &Fingerprint| self.served_at(*it).is_none_or(|served| served < *at);
            traits.iter().copied().filter(is_unserved).collect()
        };
        end.suspects.iter().flat_map(of_request).collect()
    }

    /// Whether all runs that ended under `signature` ended under other requests with the signature `other` as well, of
    /// which none was ever served, and more did.
    pub fn is_explained(&self, signature: &Traits, other: &Traits) -> bool {
        let runs = |signature: &Traits| -> Vec<_> {
            let counted = self.runs.values().filter(|it| it.refuted_at.is_none());
            counted.filter(|it| it.concerns(signature)).collect()
        };
        if self.was_served(other) {
            return false;
        }
        let (own, others) = (runs(signature), runs(other));
        let mut requests = own.iter().flat_map(|it| it.suspects.keys());
        let are_different = requests.all(|it| !contains(it, signature) || !contains(it, other));
        are_different
            && !own.is_empty()
            && own.len() < others.len()
            && own.iter().all(|it| it.concerns(other))
    }

    /// Whether the runs that ended show that a fingerprint is a culprit.
    fn is_conclusive(&self, fingerprint: Fingerprint, tally: &Tally) -> bool {
        let kind = Kind::of(fingerprint);
        let was_served = self.served_at(fingerprint).is_some();
        let min_runs = kind.min_runs(was_served);
        let demanded = self.background.runs_for(Self::CHANCE);
        let demanded = demanded.clamp(*min_runs.start(), *min_runs.end());
        let is_suspect = tally.runs >= demanded && tally.events >= Self::MIN_EVENTS;
        is_suspect && (self.is_contrasted(tally) || kind.is_harmless_to_blame(was_served, tally.runs))
    }

    /// Whether other requests are served since the first run ended. Otherwise the engines may be at fault.
    fn is_contrasted(&self, tally: &Tally) -> bool {
        self.service.last() > Some(tally.first)
    }

    /// What all broken requests with a fingerprint have in common and was not shown to be sound.
    ///
    /// As long as these can't be told apart, only requests with all of them are blamed.
    fn signature(&self, fingerprint: Fingerprint, first: BootTime, ends: &[End<'_>]) -> Traits {
        let is_served = self.served_at(fingerprint).is_some();
        let is_sound = |it: Fingerprint| match self.served_at(it) {
            Some(at) => !is_served || at > first,
            None => false,
        };
        let counted = ends.iter().filter(|it| it.at >= first);
        let mut requests = counted
            .flat_map(|it| &it.suspects)
            .map(|it| it.0)
            .filter(|it| it.contains(&fingerprint));
        let mut common = requests.next().cloned().unwrap_or_default();
        for request in requests {
            common.retain(|it| request.contains(it));
        }
        common.retain(|it| *it == fingerprint || !is_sound(*it));
        common
    }

    /// Whether no request with some of these parts of prompts is known to have been served.
    pub fn has_unserved_part(&self, traits: &[Fingerprint]) -> bool {
        let mut parts = traits.iter().filter(|it| Kind::of(**it) == Kind::PromptPart);
        parts.any(|it| self.served_at(*it).is_none())
    }

    fn served_at(&self, fingerprint: Fingerprint) -> Option<BootTime> {
        self.service.at(fingerprint)
    }

    /// Forgets what is over.
    pub fn expire(&mut self, now: BootTime) {
        let is_recent = |at: BootTime| now.saturating_sub(at) < Self::RETENTION;
        self.runs.retain(|_, it| is_recent(it.at));
        self.service.expire(now);
    }
}
