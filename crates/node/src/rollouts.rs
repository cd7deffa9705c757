//! Participation of this node in the running roll-outs: trial requests, evidence, and proposals to advance or
//! halt.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use config::STREAM;
use config::record::{Change, Proposal, ProposalId, Record as ConfigRecord};
use model::object::{Key, Kind, Model, Rollout, rollout, version};
use model::{Name, Object, Revision, hash};
use policy::rollout::{Admission, Arm, Controller, Decision, Event, Next, Node, Record, RolloutRevision};

use crate::phase::Phase;
use crate::shared::Shared;

/// Interval between evaluations of the evidence.
const DECISION_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a proposal that has not taken effect is appended again, with the same id.
const REPROPOSE_INTERVAL: Duration = Duration::from_secs(2);

/// Controllers of the running roll-outs, by name.
#[derive(Debug, Default)]
pub(crate) struct Rollouts {
    controllers: Mutex<HashMap<Name, Arc<Mutex<Controller>>>>,
}

/// A request whose outcome counts as evidence.
#[derive(Debug, Clone)]
pub(crate) struct Trial {
    controller: Arc<Mutex<Controller>>,
    revision: RolloutRevision,
    arm: Arm,
}

impl Trial {
    /// Whether the request is assigned to the new version.
    pub(crate) fn is_new(&self) -> bool {
        self.arm == Arm::New
    }

    /// Records an event of the request, unless the roll-out has changed since the request started.
    pub(crate) fn record(&self, event: Event) {
        let mut controller = lock(&self.controller);
        if controller.rollout_revision() == self.revision {
            controller.record(self.arm, event);
        }
    }
}

impl Rollouts {
    /// Assigns a new session or a sessionless request to an arm; `None` if the node has no controller for the
    /// roll-out yet.
    pub(crate) fn admit(&self, shared: &Shared, rollout: &Rollout) -> Option<Trial> {
        let controller = self.controller(&rollout.name)?;
        let mut locked = lock(&controller);
        let arm = match locked.admit(shared.now(), &mut shared.rng()) {
            Admission::New => Arm::New,
            Admission::Old => {
                locked.record(Arm::Old, Event::Started);
                Arm::Old
            }
        };
        let revision = locked.rollout_revision();
        drop(locked);
        Some(Trial {
            controller,
            revision,
            arm,
        })
    }

    /// Counters of all running roll-outs, to be sent to other nodes.
    pub(crate) fn counters(&self) -> Vec<Record> {
        let all: Vec<_> = lock(&self.controllers).values().cloned().collect();
        all.iter().flat_map(|it| lock(it).export()).collect()
    }

    /// Merges counters of other nodes.
    pub(crate) fn merge(&self, records: &[Record]) {
        let all: Vec<_> = lock(&self.controllers).values().cloned().collect();
        for controller in all {
            lock(&controller).merge(records);
        }
    }

    fn controller(&self, name: &Name) -> Option<Arc<Mutex<Controller>>> {
        lock(&self.controllers).get(name).cloned()
    }
}

/// Evaluates the evidence and appends proposals until the node stops.
pub(crate) fn run(shared: &Shared) {
    let mut proposed_at: HashMap<Name, Duration> = HashMap::new();
    while shared.phase.get() < Phase::Stopped {
        configure(shared);
        let view = shared.config.view();
        for rollout in view.rollouts() {
            let Some(controller) = shared.rollouts.controller(&rollout.name) else {
                continue;
            };
            let decision = lock(&controller).decide(&mut shared.rng());
            let recent = proposed_at
                .get(&rollout.name)
                .is_some_and(|it| shared.now() < *it + REPROPOSE_INTERVAL);
            if recent {
                continue;
            }
            let Some(proposal) = proposal(shared, rollout, decision) else {
                continue;
            };
            proposed_at.insert(rollout.name.clone(), shared.now());
            let payload = ConfigRecord::Proposal(proposal).to_bytes();
            log::info!("proposing a change of roll-out {}: {decision:?}", rollout.name);
            // After a lost reply or a failure, the proposal is appended again until the roll-out has changed.
            if shared.ports.log.append(STREAM, &[payload]).is_err() {
                shared.metrics.proposal_failures.inc();
            }
        }
        shared.sleep(DECISION_INTERVAL);
    }
}

/// Updates the controllers with the running roll-outs and the live hosts.
fn configure(shared: &Shared) {
    let view = shared.config.view();
    let mut hosts: Vec<_> = shared
        .peers
        .live(shared.now())
        .into_iter()
        .map(|it| it.host)
        .collect();
    hosts.push(shared.settings.node.host.clone());
    let mut controllers = lock(&shared.rollouts.controllers);
    controllers.retain(|name, _| view.rollouts().any(|it| it.name == *name));
    for rollout in view.rollouts() {
        let key = Key::new(Kind::Rollout, rollout.name.clone());
        let revision = shared.config.revision_of(&key);
        let state = match view.is_withdrawn(&rollout.to) {
            true => version::State::Withdrawn,
            false => version::State::Live,
        };
        let controller = controllers.entry(rollout.name.clone()).or_insert_with(|| {
            let node = Node {
                host: shared.settings.node.host.clone(),
                incarnation: shared.incarnation,
            };
            let controller = Controller::new(node, Rollout::clone(rollout), revision, state);
            Arc::new(Mutex::new(controller))
        });
        let mut controller = lock(controller);
        controller.configure(Rollout::clone(rollout), revision, state);
        controller.set_live_hosts(&hosts);
    }
}

/// Builds the proposal for a decision. Its id is derived only from the decision, the roll-out and this node's
/// incarnation, so that a repeated append takes effect once.
fn proposal(shared: &Shared, current: &Rollout, decision: Decision) -> Option<Proposal> {
    let mut rollout = current.clone();
    let mut base = BTreeMap::new();
    let mut changes = Vec::new();
    let revision: Revision = match decision {
        Decision::Hold(_) => return None,
        Decision::Halt { base, .. } => {
            rollout.state = rollout::State::Halted;
            base
        }
        Decision::Advance {
            base,
            next: Next::Stage(stage),
        } => {
            rollout.stage = stage;
            base
        }
        Decision::Advance {
            base: revision,
            next: Next::Finished,
        } => {
            rollout.state = rollout::State::Finished;
            let key = Key::new(Kind::Model, rollout.model.clone());
            base.insert(key.clone(), shared.config.revision_of(&key));
            changes.push(Change::Put(Object::Model(Model {
                name: rollout.model.clone(),
                default_version: rollout.to.clone(),
            })));
            revision
        }
    };
    let text = format!("{}/{}/{revision}/{decision:?}", shared.incarnation, rollout.name);
    let bits =
        u128::from(hash::stable(text.as_bytes())) << 64 | u128::from(hash::rendezvous(&text, "proposal"));
    base.insert(Key::new(Kind::Rollout, rollout.name.clone()), revision);
    changes.push(Change::Put(Object::Rollout(rollout)));
    Some(Proposal {
        id: ProposalId::from_bits(bits),
        author: format!("node {}", shared.settings.node.host),
        base,
        changes,
    })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
