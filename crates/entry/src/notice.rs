//! Notices that nodes exchange about a release: its order, counts of responses, sessions pinned to the old
//! version, and the recorded status.
//!
//! A node that the store turns away, or that has just started, knows the order from them: without it, the engines
//! of the new version look like any others.

use std::collections::BTreeMap;
use std::iter;
use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use forward::BootTime;
use forward::relay::Position;
use forward::release::{Counters, Release, ReleaseOrder, ReleaseStatus, SessionHash, Stage, Tally};
use model::{Incarnation, Name};
use serde::{Deserialize, Serialize};

use crate::follow::operators::begin_release;
use crate::shared::{Shared, lock, log_halt};
use crate::{clock, datagrams};

/// Maximum age of a pinned session in a notice, so that some rounds may be lost. A receiver keeps what it
/// got, and requests of a session renew it.
const MAX_PINNED_AGE: Duration = Duration::from_millis(2500);

/// Maximum number of sessions in a notice, so that it fits into one packet.
const MAX_SESSIONS: usize = 150;

/// Unit in which ages of pinned sessions are encoded.
const AGE_UNIT: Duration = Duration::from_millis(20);

/// A notice about a release.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Notice {
    service: String,
    order: u64,
    sender: String,
    /// The order itself; nodes of earlier versions do not send it.
    #[serde(default)]
    details: Option<OrderDetails>,
    /// Whether the sender is an evaluator, which sends its notices to all nodes.
    #[serde(rename = "judge")]
    is_evaluator: bool,
    /// Responses by route: all, failed and slow ones of the old version, then the same of the new version.
    counters: BTreeMap<String, [u64; 6]>,
    halted: bool,
    /// Sessions pinned to the old version, in base64: for each session its hash in four bytes, and one byte
    /// with the time since its last request in units of [`AGE_UNIT`].
    #[serde(rename = "held")]
    pinned_sessions: String,
    /// The recorded status as known to the sender.
    status: Option<RecordedStatus>,
}

/// Order of a release, and its age.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct OrderDetails {
    target: String,
    duration_ms: u64,
    era: u64,
    elapsed_ms: u64,
}

/// A recorded release status.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct RecordedStatus {
    stage: u8,
    elapsed_ms: u64,
    effective_ms: u64,
}

/// Notices of this node; more than one only if there are many pinned sessions.
pub(crate) fn notices(shared: &Shared, release: &Release, is_evaluator: bool) -> Vec<Notice> {
    let mut chunks = encode_sessions(release, clock::now()).into_iter();
    let mut notices = vec![notice(
        shared,
        release,
        is_evaluator,
        chunks.next().unwrap_or_default(),
    )];
    notices.extend(chunks.map(|it| notice(shared, release, is_evaluator, it)));
    notices
}

fn notice(shared: &Shared, release: &Release, is_evaluator: bool, pinned_sessions: String) -> Notice {
    let now = clock::now();
    let counters = release.counters(shared.incarnation).into_iter().flatten();
    let named = |(route, it): (&Name, &Tally)| (route.to_string(), to_row(it));
    let order = release.order();
    Notice {
        service: order.service.to_string(),
        order: order.position.offset,
        sender: shared.incarnation.to_string(),
        details: Some(OrderDetails {
            target: order.target.to_string(),
            duration_ms: order.duration.as_millis() as u64,
            era: order.position.era,
            elapsed_ms: release.elapsed(now).as_millis() as u64,
        }),
        is_evaluator,
        counters: counters.map(named).collect(),
        halted: release.is_halted(),
        pinned_sessions,
        status: release.newest_status(now).map(|it| RecordedStatus {
            stage: it.stage.code(),
            elapsed_ms: it.elapsed.as_millis() as u64,
            effective_ms: it.effective_after.as_millis() as u64,
        }),
    }
}

/// Pinned sessions encoded for [`Notice::pinned_sessions`], in chunks.
fn encode_sessions(release: &Release, now: BootTime) -> Vec<String> {
    let recent = release
        .pinned_sessions(now)
        .filter(|(_, age)| *age <= MAX_PINNED_AGE);
    let records: Vec<_> = recent
        .map(|(session, age)| (session, (age.as_millis() / AGE_UNIT.as_millis()) as u8))
        .collect();
    let encode = |part: &[(SessionHash, u8)]| {
        let record = |(session, age): &(SessionHash, u8)| {
            session
                .to_be_bytes()
                .into_iter()
                .chain([*age])
                .collect::<Vec<_>>()
        };
        STANDARD_NO_PAD.encode(part.iter().flat_map(record).collect::<Vec<_>>())
    };
    records.chunks(MAX_SESSIONS).map(encode).collect()
}

/// Decodes [`Notice::pinned_sessions`].
fn decode_sessions(text: &str) -> Vec<(SessionHash, Duration)> {
    let Ok(bytes) = STANDARD_NO_PAD.decode(text) else {
        log::warn!("cannot decode the sessions of a notice");
        return vec![];
    };
    let record = |it: &[u8; 5]| {
        let [session @ .., age] = it;
        (SessionHash::from_be_bytes(*session), AGE_UNIT * u32::from(*age))
    };
    bytes.as_chunks::<5>().0.iter().map(record).collect()
}

impl Notice {
    /// The notice some time after it was made, except that sessions stay pinned for so much longer.
    pub(crate) fn aged(mut self, time: Duration) -> Self {
        let elapsed = self.details.iter_mut().map(|it| &mut it.elapsed_ms);
        let elapsed = elapsed.chain(self.status.iter_mut().map(|it| &mut it.elapsed_ms));
        for it in elapsed {
            *it = it.saturating_add(time.as_millis() as u64);
        }
        self
    }

    /// The order that the notice is about; `None` if it does not contain it.
    fn release_order(&self) -> Option<ReleaseOrder> {
        let details = self.details.as_ref()?;
        Some(ReleaseOrder {
            service: (&*self.service).into(),
            target: (&*details.target).into(),
            duration: Duration::from_millis(details.duration_ms),
            position: Position {
                era: details.era,
                offset: self.order,
            },
        })
    }
}

/// Applies a notice that the node at `from` sent.
pub(crate) fn apply(shared: &Shared, notice: Notice, from: SocketAddr) {
    if let Some(order) = notice.release_order() {
        begin_release(shared, order);
    }
    let mut releases = lock(&shared.releases);
    let Some(release) = releases.get_mut(&*notice.service) else {
        return;
    };
    // In another era, an order for another version may have the same offset.
    let is_other = notice
        .details
        .as_ref()
        .is_some_and(|it| *it.target != *release.order().target);
    if release.order().position.offset != notice.order || is_other {
        return;
    }
    let now = clock::now();
    if let Some(details) = &notice.details {
        release.record_age(Duration::from_millis(details.elapsed_ms), now);
    }
    if notice.halted && !release.is_halted() {
        log::warn!(service = notice.service, sender = notice.sender; "release halted by another node");
        release.halt();
    }
    if let Ok(sender) = notice.sender.parse::<Incarnation>() {
        let was_halted = release.is_halted();
        release.merge_counters(sender, from_rows(notice.counters));
        if release.is_halted() && !was_halted {
            log_halt(release);
            shared.release_changed.notify_one();
        }
    }
    if notice.is_evaluator {
        release.record_evaluator_notice(now);
    }
    for (session, age) in decode_sessions(&notice.pinned_sessions) {
        release.pin_session(session, age, now);
    }
    let known = notice.status.as_ref().map(|it| Stage::from_code(it.stage));
    if release.has_ended() && known < Some(release.stage()) {
        let end = self::notice(shared, release, false, String::new());
        datagrams::send_notice(&shared.socket, &end, iter::once(from));
    }
    if let Some(recorded) = notice.status {
        let status = ReleaseStatus {
            order_offset: notice.order,
            target: release.order().target.clone(),
            stage: Stage::from_code(recorded.stage),
            elapsed: Duration::from_millis(recorded.elapsed_ms),
            effective_after: Duration::from_millis(recorded.effective_ms),
        };
        let before = release.stage();
        release.apply_status(&status, now);
        if release.stage() != before {
            log::info!(
                service = notice.service, before:?, stage:? = release.stage(), sender = notice.sender;
                "release moved"
            );
        }
    }
}

fn to_row(it: &Tally) -> [u64; 6] {
    [it.old, it.old_bad, it.old_slow, it.new, it.new_bad, it.new_slow]
}

fn from_rows(rows: BTreeMap<String, [u64; 6]>) -> Counters {
    let tally = |[old, old_bad, old_slow, new, new_bad, new_slow]: [u64; 6]| Tally {
        old,
        old_bad,
        old_slow,
        new,
        new_bad,
        new_slow,
    };
    rows.into_iter()
        .map(|(route, it)| (route.into(), tally(it)))
        .collect()
}
