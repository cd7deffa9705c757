//! Records which requests engines break off, and exchanges with other nodes what follows from it.

use std::sync::Arc;
use std::time::Duration;

use forward::BootTime;
use forward::crash::{self, Fingerprint, Kind, Traits};
use forward::directory::Engine;
use forward::hold::{self, Admission};
use forward::quarantine::{Message, Quarantine};
use forward::statement::Run;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::owner::{self, Owner};
use crate::protocol::RequestMetadata;
use crate::request::RequestContext;
use crate::shared::{HostCounts, Shared, lock};
use crate::statement::{RunReport, other_nodes};
use crate::{clock, datagrams};

/// Maximum number of prompt parts of a request that are compared with those of others.
const MAX_PARTS: usize = 64;

/// Encoded [`Message`].
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct QuarantineNotice {
    sender: String,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    crashes: Vec<CrashReport>,
    /// Runs with ages in milliseconds.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    refuted: Vec<(RunReport, u64)>,
    /// Fingerprints with ages in milliseconds.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    served: Vec<(Fingerprint, u64)>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    holds: Vec<HoldReport>,
}

/// Encoded [`crash::Report`].
#[derive(Debug, Clone, Serialize, Deserialize)]
struct CrashReport {
    run: RunReport,
    age_ms: u64,
    suspects: Vec<Traits>,
}

/// Encoded [`hold::Report`].
#[derive(Debug, Clone, Serialize, Deserialize)]
struct HoldReport {
    signature: Traits,
    revision: u32,
    age_ms: u64,
    first_end_age_ms: u64,
    probes: u32,
    /// Nodes of earlier versions do not send it.
    #[serde(default)]
    was_served: bool,
    lifted: bool,
}

impl QuarantineNotice {
    fn new(sender: String, message: &Message) -> Self {
        let crash = |it: &crash::Report| CrashReport {
            run: RunReport::new(&it.run),
            age_ms: it.age.as_millis() as u64,
            suspects: it.suspects.clone(),
        };
        let hold = |it: &hold::Report| HoldReport {
            signature: it.signature.clone(),
            revision: it.revision,
            age_ms: it.age.as_millis() as u64,
            first_end_age_ms: it.first_end_age.as_millis() as u64,
            probes: it.probes,
            was_served: it.was_served,
            lifted: it.lifted,
        };
        let refuted = |(run, age): &(Run, Duration)| (RunReport::new(run), age.as_millis() as u64);
        let served = |(fingerprint, age): &(Fingerprint, Duration)| (*fingerprint, age.as_millis() as u64);
        Self {
            sender,
            crashes: message.crashes.iter().map(crash).collect(),
            refuted: message.refuted.iter().map(refuted).collect(),
            served: message.served.iter().map(served).collect(),
            holds: message.holds.iter().map(hold).collect(),
        }
    }

    fn into_message(self) -> Message {
        let crash = |it: CrashReport| crash::Report {
            run: it.run.into_run(),
            age: Duration::from_millis(it.age_ms),
            suspects: it.suspects.into_iter().map(sorted).collect(),
        };
        let hold = |it: HoldReport| hold::Report {
            signature: sorted(it.signature),
            revision: it.revision,
            age: Duration::from_millis(it.age_ms),
            first_end_age: Duration::from_millis(it.first_end_age_ms),
            probes: it.probes,
            was_served: it.was_served,
            lifted: it.lifted,
        };
        let refuted = |(run, age_ms): (RunReport, u64)| (run.into_run(), Duration::from_millis(age_ms));
        let served = |(fingerprint, age_ms)| (fingerprint, Duration::from_millis(age_ms));
        Message {
            crashes: self.crashes.into_iter().map(crash).collect(),
            refuted: self.refuted.into_iter().map(refuted).collect(),
            served: self.served.into_iter().map(served).collect(),
            holds: self.holds.into_iter().map(hold).collect(),
        }
    }
}

/// Traits for people, in the form of the other lines about a request.
pub(crate) fn describe(traits: &Traits) -> String {
    let names: Vec<_> = traits.iter().map(|it| Kind::describe(*it)).collect();
    names.join(",")
}

fn sorted(mut traits: Traits) -> Traits {
    traits.sort_unstable();
    traits.dedup();
    traits
}

/// What a request may have in common with others: all of its content, or parts of its prompt, except for its own part,
/// which is the last.
pub(crate) fn traits(metadata: &RequestMetadata, content: u64) -> Traits {
    let shared = match &metadata.prompt_parts[..] {
        [shared @ .., _] => shared,
        [] => &[],
    };
    let parts = shared.iter().take(MAX_PARTS);
    let parts = parts.map(|it| Kind::PromptPart.fingerprint(*it));
    sorted(parts.chain([Kind::Request.fingerprint(content)]).collect())
}

/// Records requests that a run of an engine has broken off at its end, with the times.
pub(crate) fn record_broken(shared: &Arc<Shared>, run: &Run, requests: &[(Traits, BootTime)]) {
    let mut quarantine = lock(&shared.quarantine);
    let is_first = requests.iter().fold(false, |is_first, (traits, at)| {
        quarantine.record_broken(run, traits, *at) || is_first
    });
    drop(quarantine);
    if is_first {
        let shared = shared.clone();
        tokio::spawn(async move {
            sleep(Quarantine::TELL_DELAY).await;
            tick(&shared);
        });
    }
}

/// Records a complete and successful response of an engine to a request that was sent at `sent_at`.
pub(crate) fn record_served(context: &RequestContext, engine: &Engine, sent_at: BootTime) {
    let run = Run::of(engine);
    let lifted = lock(&context.shared.quarantine).record_served(&run, &context.traits, sent_at, clock::now());
    log_lifted(context, &lifted);
}

/// Records that an engine has been writing a response for a while.
pub(crate) fn record_progress(context: &RequestContext, engine: &Engine, sent_at: BootTime) {
    let run = Run::of(engine);
    let lifted =
        lock(&context.shared.quarantine).record_progress(&run, &context.traits, sent_at, clock::now());
    log_lifted(context, &lifted);
}

fn log_lifted(context: &RequestContext, lifted: &[Traits]) {
    for signature in lifted {
        count(&context.shared, "lifted");
        let signature = describe(signature);
        log::info!(id = context.id, signature; "requests no longer held back: one was served");
    }
}

/// Whether a request may be sent to an engine.
///
/// To be asked right before each attempt: a probe that is let through counts.
pub(crate) fn admit(context: &RequestContext) -> Admission {
    let shared = &context.shared;
    let may_probe = |signature: &Traits| is_prober(shared, signature);
    let admission = lock(&shared.quarantine).admit(&context.traits, may_probe, clock::now());
    match admission {
        Admission::Open => {}
        Admission::Probe => {
            count(shared, "probe");
            log::info!(id = context.id; "request that was held back is sent as a probe");
        }
        Admission::Held(wait) => {
            let (traits, wait_ms) = (describe(&context.traits), wait.as_millis() as u64);
            log::info!(id = context.id, traits, wait_ms; "request held back: requests like it end engines");
        }
    }
    admission
}

/// Makes a probe due again that found no engine.
pub(crate) fn return_probe(context: &RequestContext) {
    let shared = &context.shared;
    count(shared, "probe_returned");
    lock(&shared.quarantine).return_probe(&context.traits, clock::now());
    log::info!(id = context.id; "probe sent to no engine");
}

/// Whether requests like this one are held back.
pub(crate) fn is_held(context: &RequestContext) -> bool {
    lock(&context.shared.quarantine).is_held(&context.traits)
}

/// Whether this node lets probes of a signature through. No node does in the smaller part of a fleet that is split.
fn is_prober(shared: &Shared, signature: &Traits) -> bool {
    let HostCounts { reachable, known } = shared.host_counts();
    let key: Vec<_> = signature.iter().map(|it| format!("{it:016x}")).collect();
    reachable * 2 > known && owner::of(shared, &key.join(",")) == Owner::Local
}

/// Looks for culprits and sends what is due; called several times a second.
pub(crate) fn tick(shared: &Arc<Shared>) {
    let now = clock::now();
    let hosts = shared.host_counts().reachable;
    let mut quarantine = lock(&shared.quarantine);
    let judgement = quarantine.judge(now);
    let due = quarantine.due(hosts, now, &mut rand::rng());
    drop(quarantine);
    for signature in judgement.begun {
        count(shared, "begun");
        let signature = describe(&signature);
        log::warn!(signature; "requests held back: requests like them end engines");
    }
    for signature in judgement.lifted {
        count(shared, "explained");
        let signature = describe(&signature);
        log::warn!(signature; "requests no longer held back: others have ended the engines");
    }
    if due.to_all.is_empty() && due.to_some.is_empty() {
        return;
    }
    let sender = shared.settings().node.host.to_string();
    let nodes = other_nodes(shared);
    let some: Vec<_> = nodes
        .choose_multiple(&mut rand::rng(), Quarantine::FANOUT)
        .copied()
        .collect();
    for message in due.to_some {
        let notice = QuarantineNotice::new(sender.clone(), &message);
        datagrams::send_quarantine(&shared.socket, &notice, some.iter().copied());
    }
    let (socket, to_all) = (shared.socket.clone(), due.to_all);
    if !to_all.is_empty() {
        tokio::spawn(async move {
            datagrams::in_bursts(nodes, |it, delay| {
                for message in &to_all {
                    let notice = QuarantineNotice::new(sender.clone(), &message.aged(delay));
                    datagrams::send_quarantine(&socket, &notice, it.iter().copied());
                }
            })
            .await;
        });
    }
}

/// Applies a notice of another node.
pub(crate) fn apply_notice(shared: &Shared, notice: QuarantineNotice) {
    let sender = notice.sender.clone();
    let changed = lock(&shared.quarantine).apply(&notice.into_message(), clock::now());
    for hold in changed {
        let (signature, lifted, probes) = (describe(&hold.signature), hold.lifted, hold.probes);
        count(shared, if lifted { "lifted" } else { "told" });
        log::info!(signature, lifted, probes, sender; "hold told by another node");
    }
}

fn count(shared: &Shared, change: &'static str) {
    shared
        .metrics
        .hold_changes
        .get_or_create(&[("change", change)])
        .inc();
}
