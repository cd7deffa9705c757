//! What nodes tell each other about a release under way: answers that they saw, sessions that must stay on the old
//! version, and the recorded state.

use std::collections::BTreeMap;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use forward::BootTime;
use forward::release::{Counters, Release, ReleaseStatus, SessionHash, Stage, Tally};
use model::{Incarnation, Name};
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::shared::{Shared, lock, log_halt};

/// Age up to which a held session is told, so that some rounds may be lost; a receiver keeps what it heard, and
/// requests of a session renew it.
const NEWS: Duration = Duration::from_millis(2500);

/// Sessions in one notice, so that it fits into one packet.
const MAX_HELD: usize = 150;

/// Unit of the age of a held session.
const AGE_UNIT: Duration = Duration::from_millis(20);

/// What nodes tell each other about a release.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Notice {
    service: String,
    order: u64,
    sender: String,
    /// Whether the sender is a judge, which tells everyone.
    judge: bool,
    /// Answers by route: of the old version all, the failures and the slow ones, then those of the new one.
    counters: BTreeMap<String, [u64; 6]>,
    halted: bool,
    /// Sessions that stay on the old version: for each the place in four bytes, and the time since its last request in
    /// units of [`AGE_UNIT`]; in base64.
    held: String,
    /// The recorded state, as the sender knows it.
    status: Option<Recorded>,
}

/// A recorded state.
#[derive(Debug, Serialize, Deserialize)]
struct Recorded {
    stage: u8,
    elapsed_ms: u64,
    effective_ms: u64,
}

/// What this node has to tell; more than one notice only where many sessions are held.
pub(crate) fn notices(shared: &Shared, release: &Release, judge: bool) -> Vec<Notice> {
    let mut held = held(release, clock::now()).into_iter();
    let mut notices = vec![notice(shared, release, judge, held.next().unwrap_or_default())];
    notices.extend(held.map(|it| notice(shared, release, judge, it)));
    notices
}

fn notice(shared: &Shared, release: &Release, judge: bool, held: String) -> Notice {
    let now = clock::now();
    let counters = release.counters(shared.incarnation).into_iter().flatten();
    let named = |(route, it): (&Name, &Tally)| (route.to_string(), row(it));
    Notice {
        service: release.order().service.to_string(),
        order: release.order().offset,
        sender: shared.incarnation.to_string(),
        judge,
        counters: counters.map(named).collect(),
        halted: release.is_halted(),
        held,
        status: release.newest_status(now).map(|it| Recorded {
            stage: it.stage.code(),
            elapsed_ms: it.elapsed.as_millis() as u64,
            effective_ms: it.effective_after.as_millis() as u64,
        }),
    }
}

/// Held sessions in the form of [`Notice::held`], in parts.
fn held(release: &Release, now: BootTime) -> Vec<String> {
    let recent = release.pinned_sessions(now).filter(|(_, age)| *age <= NEWS);
    let records: Vec<_> = recent
        .map(|(place, age)| (place, (age.as_millis() / AGE_UNIT.as_millis()) as u8))
        .collect();
    let encode = |part: &[(SessionHash, u8)]| {
        let record = |(place, age): &(SessionHash, u8)| {
            place.to_be_bytes().into_iter().chain([*age]).collect::<Vec<_>>()
        };
        STANDARD_NO_PAD.encode(part.iter().flat_map(record).collect::<Vec<_>>())
    };
    records.chunks(MAX_HELD).map(encode).collect()
}

/// Reads [`Notice::held`].
fn read_held(text: &str) -> Vec<(SessionHash, Duration)> {
    let Ok(bytes) = STANDARD_NO_PAD.decode(text) else {
        log::warn!("the sessions of a notice do not decode");
        return vec![];
    };
    let record = |it: &[u8; 5]| {
        let [place @ .., age] = it;
        (SessionHash::from_be_bytes(*place), AGE_UNIT * u32::from(*age))
    };
    bytes.as_chunks::<5>().0.iter().map(record).collect()
}

/// Takes over what another node tells.
pub(crate) fn noticed(shared: &Shared, notice: Notice) {
    let mut releases = lock(&shared.releases);
    let Some(release) = releases.get_mut(&*notice.service) else {
        return;
    };
    if release.order().offset != notice.order {
        return;
    }
    if notice.halted && !release.is_halted() {
        log::warn!(service = notice.service, sender = notice.sender; "release halted by another node");
        release.halt();
    }
    if let Ok(sender) = notice.sender.parse::<Incarnation>() {
        let halted = release.is_halted();
        release.merge_counters(sender, counters(notice.counters));
        if release.is_halted() && !halted {
            log_halt(release);
        }
    }
    let now = clock::now();
    if notice.judge {
        release.record_collector_notice(now);
    }
    for (place, age) in read_held(&notice.held) {
        release.pin_session(place, age, now);
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
            log::info!(service = notice.service, before:?, stage:? = release.stage(), sender = notice.sender; "release moved");
        }
    }
}

fn row(it: &Tally) -> [u64; 6] {
    [it.old, it.old_bad, it.old_slow, it.new, it.new_bad, it.new_slow]
}

fn counters(rows: BTreeMap<String, [u64; 6]>) -> Counters {
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
