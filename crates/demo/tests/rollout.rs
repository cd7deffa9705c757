//! Roll-outs judged by ratings.

#![allow(clippy::unwrap_used, reason = "a failed set-up ends the test")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use config::record::{Change, Proposal, ProposalId, Record};
use config::state::State;
use demo::Cluster;
use demo::cluster::Options;
use demo::sample::KEY;
use model::Object;
use model::object::{Key, Kind, Rollout, rollout};
use ports::log::Log as _;

mod common;

use common::{answer, chat, start_whole};

/// Greatest wait for a halt. A trial node starts one request in 2 s, and about ten inadequate answers cross the bound.
const BOUND: Duration = Duration::from_secs(60);

/// Greatest number of requests on a version whose answers are always inadequate, by the targets of the design page.
const EXPOSURE: usize = 10;

/// Starts a roll-out from `small-1` to `small-2`.
fn begin(cluster: &Cluster) {
    let rollout = Object::Rollout(Rollout {
        name: "next".into(),
        model: "small".into(),
        from: "small-1".into(),
        to: "small-2".into(),
        stages: vec![200, 1000],
        stage: 0,
        state: rollout::State::Running,
        exposure_budget: 100,
    });
    let proposal = Record::Proposal(Proposal {
        id: ProposalId::from_bits(3),
        author: "test".to_owned(),
        base: BTreeMap::new(),
        changes: vec![Change::Put(rollout)],
    });
    cluster.publish(&proposal.to_bytes()).unwrap();
}

/// The state of the roll-out by the configuration log.
fn state(cluster: &Cluster) -> Option<rollout::State> {
    let page = cluster.log_client().read(config::STREAM, 0, 1000).unwrap();
    let mut state = State::new();
    for record in page.records {
        state.apply(record.offset, &record.payload);
    }
    let entry = state.objects().get(&Key::new(Kind::Rollout, "next"))?;
    match &*entry.object {
        Object::Rollout(it) => Some(it.state),
        _ => None,
    }
}

/// Guards against a bad version that goes on to get requests, against more exposed requests than the targets allow,
/// and against a halt that waits for an operator.
#[test]
fn a_bad_version_is_halted_after_few_requests() {
    let cluster = start_whole(&Options {
        extra: "[config]\npoll_ms = 100\n".to_owned(),
        ..Options::default()
    });
    cluster.rating.update(|it| {
        it.adequacy.insert("small-2".to_owned(), 0);
    });
    begin(&cluster);
    let done = AtomicBool::new(false);
    let exposed = AtomicUsize::new(0);
    let call = &|address: SocketAddr| {
        while !done.load(Ordering::Relaxed) {
            let chat = chat(address, KEY, "small", &[]);
            assert!(chat.complete, "{chat:?}");
            if chat.text == answer("small-2") {
                exposed.fetch_add(1, Ordering::Relaxed);
            }
        }
    };
    let start = Instant::now();
    std::thread::scope(|scope| {
        for address in cluster.addresses() {
            scope.spawn(move || call(address));
        }
        while state(&cluster) != Some(rollout::State::Halted) && start.elapsed() < BOUND {
            std::thread::sleep(Duration::from_millis(100));
        }
        done.store(true, Ordering::Relaxed);
    });
    let exposed = exposed.into_inner();
    println!("halted after {:?} and {exposed} requests", start.elapsed());
    assert_eq!(state(&cluster), Some(rollout::State::Halted));
    assert!(exposed > 0, "the new version was never tried");
    assert!(exposed <= EXPOSURE, "{exposed} requests ran on the new version");
    // The other nodes read the halt from the log.
    std::thread::sleep(Duration::from_millis(500));
    let before = cluster
        .addresses()
        .into_iter()
        .map(|it| chat(it, KEY, "small", &[]).text);
    assert!(before.into_iter().all(|it| it == answer("small-1")));
}
