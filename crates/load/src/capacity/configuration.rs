//! Folding of the configuration, its lookup and its memory.

use std::collections::BTreeMap;

use config::record::{
    Change, ObjectWithRevision, Outcome, Proposal, ProposalId, ProposalOutcome, Record, Snapshot,
    SnapshotState,
};
use config::state::State;
use config::view::View;
use model::object::{Model, Organisation, Pool, Version, pool, version};
use model::{Object, Offset};

use super::measure::{bytes_per_unit, seconds_per_unit};
use super::{CHANGES_PER_SECOND, Line, ORGANISATIONS, Resource, Sample, VERSIONS};
use crate::report::Series;

const MECHANISM: &str = "configuration log";
const MODELS: usize = 10;
const CHANGES: usize = 100;
const REMEMBERED_PROPOSALS: usize = config::state::RECENT_PROPOSALS;
const SIZES: [usize; 3] = [10, 100, ORGANISATIONS];

/// Memory at the target's number of organisations.
pub fn memory() -> Line {
    let memory = bytes_per_unit(1, || full_state(ORGANISATIONS));
    Line::control(
        MECHANISM,
        Resource::Memory,
        memory,
        "state, lookup and 100,000 proposal ids",
        1.0,
    )
}

/// Time of changes at the target's number of organisations.
pub fn rates() -> [Line; 2] {
    let fold = fold_seconds(ORGANISATIONS);
    let view = view_seconds(ORGANISATIONS);
    [
        Line::control(
            MECHANISM,
            Resource::Cpu,
            fold,
            "change folded",
            CHANGES_PER_SECOND,
        ),
        Line::control(
            MECHANISM,
            Resource::Cpu,
            view,
            "lookup rebuilt",
            CHANGES_PER_SECOND,
        ),
    ]
}

/// Time of a change against the number of organisations.
pub fn series() -> Vec<Series> {
    let points = |measure: fn(usize) -> Sample| {
        SIZES
            .iter()
            .map(|it| (*it as f64, measure(*it).median * 1e6))
            .collect()
    };
    vec![
        Series {
            name: "fold: µs against organisations".to_owned(),
            points: points(fold_seconds),
        },
        Series {
            name: "lookup: µs against organisations".to_owned(),
            points: points(view_seconds),
        },
    ]
}

/// Length of a record that changes one organisation.
pub fn record_bytes() -> usize {
    change(&state(ORGANISATIONS), 0).len()
}

fn fold_seconds(organisations: usize) -> Sample {
    let setup = || {
        let state = state(organisations);
        let changes: Vec<_> = (0..CHANGES)
            .map(|it| change(&state, it % organisations))
            .collect();
        (state, changes)
    };
    seconds_per_unit(CHANGES, setup, |(state, changes)| {
        for payload in changes {
            state.apply(state.revision(), payload);
        }
    })
}

fn view_seconds(organisations: usize) -> Sample {
    seconds_per_unit(
        CHANGES,
        || state(organisations),
        |state| {
            for _ in 0..CHANGES {
                std::hint::black_box(View::new(state));
            }
        },
    )
}

fn state(organisations: usize) -> State {
    snapshot(organisations, Vec::new())
}

fn full_state(organisations: usize) -> (State, View) {
    let ids = (0..REMEMBERED_PROPOSALS)
        .map(|it| ProposalOutcome(ProposalId::from_bits(it as u128), Outcome::Accepted));
    let state = snapshot(organisations, ids.collect());
    let view = View::new(&state);
    (state, view)
}

fn snapshot(organisations: usize, proposals: Vec<ProposalOutcome>) -> State {
    let revision = (objects(organisations).count() + proposals.len()) as Offset;
    let held = objects(organisations).enumerate();
    let objects = held
        .map(|(idx, object)| ObjectWithRevision {
            revision: idx as Offset + 1,
            object,
        })
        .collect();
    let record = Record::Snapshot(Snapshot {
        revision,
        state: SnapshotState { objects, proposals },
    });
    // The snapshot is built above and is valid.
    State::from_snapshot(&record.to_bytes()).unwrap_or_default()
}

fn objects(organisations: usize) -> impl Iterator<Item = Object> {
    let pool = Object::Pool(Pool {
        name: "engines".into(),
        role: pool::Role::Engine,
        fencing: pool::Fencing::Checked,
        concurrency: 16,
    });
    let models = (0..MODELS).map(|it| {
        Object::Model(Model {
            name: format!("model-{it}").into(),
            default_version: format!("version-{it}").into(),
        })
    });
    let versions = (0..VERSIONS).map(|it| {
        Object::Version(Version {
            name: format!("version-{it}").into(),
            model: format!("model-{}", it % MODELS).into(),
            pool: "engines".into(),
            state: version::State::Live,
            input_price: 100,
            output_price: 400,
        })
    });
    let tenants = (0..organisations).map(|it| Object::Organisation(organisation(it, 1)));
    std::iter::once(pool).chain(models).chain(versions).chain(tenants)
}

fn organisation(number: usize, weight: u32) -> Organisation {
    Organisation {
        name: format!("organisation-{number}").into(),
        key_hashes: vec![format!("{number:064x}"), format!("f{number:063x}")],
        models: (0..MODELS).map(|it| format!("model-{it}").into()).collect(),
        versions: Vec::new(),
        cascades: Vec::new(),
        services: Vec::new(),
        weight,
        quality_permille: 900,
    }
}

/// Payload of a proposal that changes the weight of one organisation.
fn change(state: &State, number: usize) -> Vec<u8> {
    let object = Object::Organisation(organisation(number, 2));
    let key = object.key();
    let base = BTreeMap::from([(key.clone(), state.revision_of(&key))]);
    let id = ProposalId::from_bits(u128::MAX - number as u128);
    let proposal = Proposal {
        id,
        author: "operator".to_owned(),
        base,
        changes: vec![Change::Put(object)],
    };
    Record::Proposal(proposal).to_bytes()
}
