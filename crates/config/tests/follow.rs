//! Guards against errors in single transitions of the follower and publisher, which the random schedules
//! rarely reach.

use std::collections::BTreeMap;
use std::time::Duration;

use config::follow::{Action, Delta, Event, Follower, LogState, Page, Peer, Readiness, Settings};
use config::publish::{AppendResult, Outcome, Publisher, Step};
use config::record::{Proposal, ProposalId, Record};
use config::state::State;
use model::Incarnation;

const SECOND: Duration = Duration::from_secs(1);

fn proposal(id: u128) -> Proposal {
    Proposal {
        id: ProposalId::from_bits(id),
        author: "test".to_owned(),
        base: BTreeMap::new(),
        changes: Vec::new(),
    }
}

fn records(count: u64) -> Vec<(u64, Vec<u8>)> {
    (0..count)
        .map(|it| (it, Record::Proposal(proposal(it.into())).to_bytes()))
        .collect()
}

/// State after `count` records.
fn state(count: u64) -> State {
    let mut state = State::new();
    for (offset, payload) in records(count) {
        state.apply(offset, &payload);
    }
    state
}

struct Harness {
    follower: Follower,
    now: Duration,
}

impl Harness {
    fn new() -> Self {
        let now = SECOND * 1000;
        let follower = Follower::new(Settings::default(), now);
        Self { follower, now }
    }

    /// Advances by one tick and answers the resulting read.
    fn read(&mut self, page: Page) -> Vec<Action> {
        self.now += SECOND;
        let actions = self.follower.handle(Event::Tick, self.now);
        let request = actions.iter().find_map(|it| match it {
            Action::Read { request, .. } => Some(*request),
            _ => None,
        });
        self.follower
            .handle(Event::LogRead(request.expect("a read is due"), page), self.now)
    }

    fn peers(&mut self, revision: u64) {
        let peer = Peer {
            host: "peer".into(),
            incarnation: Incarnation::from_bits(1),
            revision,
            age: Some(Duration::ZERO),
        };
        self.follower
            .handle(Event::Peers(vec![peer], Some(self.now)), self.now);
    }

    /// Advances by one tick and returns the id and the revision of the resulting fetch.
    fn fetch(&mut self) -> Option<(u64, u64)> {
        self.now += SECOND;
        let actions = self.follower.handle(Event::Tick, self.now);
        actions.into_iter().find_map(|it| match it {
            Action::Fetch {
                request, revision, ..
            } => Some((request, revision)),
            _ => None,
        })
    }

    fn service(&self) -> Readiness {
        self.follower.status(self.now).readiness
    }
}

fn page(records: Vec<(u64, Vec<u8>)>, first: u64, end: u64) -> Page {
    Page { records, first, end }
}

#[test]
fn node_serves_with_an_empty_log() {
    let mut harness = Harness::new();
    assert_eq!(harness.service(), Readiness::Starting);
    harness.read(page(Vec::new(), 0, 0));
    assert_eq!(harness.service(), Readiness::Serving);
}

#[test]
fn log_that_ends_before_the_current_revision_is_counted() {
    let mut harness = Harness::new();
    harness.read(page(records(3), 0, 3));
    harness.read(page(Vec::new(), 0, 2));
    assert_eq!(harness.follower.status(harness.now).log, LogState::Behind);
    assert_eq!(harness.follower.counters().log_behind, 1);
    assert_eq!(harness.follower.state().revision(), 3);
    // Such a read does not confirm the state.
    assert_eq!(harness.follower.age(harness.now), Some(SECOND));
}

#[test]
fn start_from_snapshot_and_later_records() {
    let mut harness = Harness::new();
    let mut log = records(6);
    log[4].1 = state(4).to_snapshot();
    let tail = log.split_off(3);
    let actions = harness.read(page(tail.clone(), 3, 6));
    assert_eq!(actions, [Action::Adopted(4)]);
    harness.read(page(tail[1..].to_vec(), 3, 6));
    assert_eq!(harness.follower.state().revision(), 6);
    assert_eq!(harness.service(), Readiness::Serving);
}

#[test]
fn records_removed_by_retention_are_fetched_from_a_peer() {
    let mut harness = Harness::new();
    harness.read(page(records(2), 0, 2));
    harness.read(page(Vec::new(), 5, 5));
    harness.read(page(Vec::new(), 5, 5));
    assert_eq!(harness.follower.status(harness.now).log, LogState::Gap);
    harness.peers(5);
    let (request, revision) = harness.fetch().unwrap();
    assert_eq!(revision, 2);
    let delta = Delta {
        snapshot: Some(state(5).to_snapshot()),
        records: Vec::new(),
        revision: 5,
        age: Some(SECOND),
    };
    let actions = harness
        .follower
        .handle(Event::Fetched(request, delta), harness.now);
    assert_eq!(actions, [Action::Adopted(5)]);
}

#[test]
fn isolated_node_refuses_after_10_seconds() {
    let mut harness = Harness::new();
    harness.read(page(Vec::new(), 0, 0));
    let read = harness.now;
    for _ in 0..120 {
        harness.now += SECOND / 10;
        harness.follower.handle(Event::Tick, harness.now);
        let expected = if harness.now - read > SECOND * 10 {
            Readiness::Stale
        } else {
            Readiness::Serving
        };
        assert_eq!(harness.service(), expected);
    }
    // Contact to a live peer suffices, since no change can be accepted without the log.
    harness.peers(0);
    assert_eq!(harness.service(), Readiness::Serving);
}

#[test]
fn delta_has_records_or_a_snapshot() {
    let mut harness = Harness::new();
    harness.read(page(records(3), 0, 3));
    let delta = harness.follower.delta(1, harness.now);
    assert_eq!((delta.snapshot, delta.records), (None, records(3)[1..].to_vec()));
    // A follower that started from a snapshot does not have the records before it.
    let mut late = Harness::new();
    let mut log = records(5);
    log[3].1 = state(3).to_snapshot();
    late.read(page(log[3..].to_vec(), 3, 5));
    late.read(page(log[3..].to_vec(), 3, 5));
    let delta = late.follower.delta(1, late.now);
    assert!(delta.snapshot.is_some() && delta.records.is_empty());
    assert_eq!(delta.revision, 5);
}

#[test]
fn overdue_snapshot_passes_to_another_writer() {
    let mut harness = Harness::new();
    harness.read(page(records(1), 0, 1));
    let mut keys = Vec::new();
    for _ in 0..3798 {
        harness.now += SECOND;
        let actions = harness.follower.handle(Event::Tick, harness.now);
        keys.extend(actions.into_iter().filter_map(|it| match it {
            Action::SnapshotDue(key) => Some(key),
            _ => None,
        }));
    }
    // The snapshot is reported every ten seconds, and the key changes every minute.
    assert_eq!(keys.len(), 20);
    keys.dedup();
    assert_eq!(keys, [1, 2, 3, 4]);
}

fn publisher() -> Publisher {
    Publisher::new(proposal(0), Duration::ZERO, SECOND * 10, SECOND)
}

#[test]
fn log_is_read_before_an_append_without_reply_is_retried() {
    let mut publisher = publisher();
    let empty = State::new();
    assert!(matches!(
        publisher.step(&empty, None, Duration::ZERO),
        Step::Append(_)
    ));
    publisher.on_append_result(AppendResult::Unknown, SECOND);
    // An end of the log that was confirmed before the reply was lost does not show whether the append took
    // effect.
    assert_eq!(publisher.step(&empty, Some(SECOND), SECOND * 2), Step::Wait);
    let mut retrying = publisher.clone();
    assert!(matches!(
        retrying.step(&empty, Some(SECOND * 2), SECOND * 2),
        Step::Append(_)
    ));
    assert_eq!(
        publisher.step(&state(1), Some(SECOND * 2), SECOND * 2),
        Step::Done(Outcome::Accepted)
    );
}

#[test]
fn outcome_is_unknown_only_if_an_append_may_have_taken_effect() {
    let empty = State::new();
    for (reply, outcome) in [
        (AppendResult::NotAppended, Outcome::NotPublished),
        (AppendResult::Unknown, Outcome::Unknown),
    ] {
        let mut publisher = publisher();
        publisher.step(&empty, None, Duration::ZERO);
        publisher.on_append_result(reply, SECOND);
        assert_eq!(publisher.step(&empty, None, SECOND * 10), Step::Done(outcome));
    }
}
