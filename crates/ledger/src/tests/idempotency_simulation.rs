//! Simulation of nodes that issue, execute and hand over keys, with an upstream that counts executions.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use model::refusal::Reason;
use model::{Incarnation, Name, Ran};

use super::{Events, Violation};
use crate::idempotency::{Archive, Call, Decision, HandOver, Key, Limits, Outcome, Response, Table};

/// Limits small enough for schedules to reach them.
const LIMITS: Limits = Limits {
    validity_epochs: 60,
    entries: 4,
    closed: 3,
    response_bytes: 60,
};

#[derive(Debug)]
struct Node {
    incarnation: Incarnation,
    alive: bool,
    paused: bool,
    table: Table,
    archive: Archive,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct ScopedKey {
    organisation: Name,
    key: Key,
}

#[derive(Debug, Clone)]
pub(super) enum Message {
    /// Call in transit to the node that issued the key; may be a duplicate.
    Call { scoped_key: ScopedKey, digest: u64 },
    /// Call in transit to the upstream.
    Execute {
        from: Incarnation,
        scoped_key: ScopedKey,
    },
    /// Reply of the upstream in transit to the issuer.
    Reply {
        to: Incarnation,
        scoped_key: ScopedKey,
        ran: bool,
    },
    /// Sealed table in transit to a peer.
    HandOver { to: Incarnation, hand_over: HandOver },
}

#[derive(Debug)]
pub(super) struct Simulation {
    pub now: Duration,
    pub messages: Vec<Message>,
    pub refuse_next: bool,
    pub events: Events,
    nodes: Vec<Node>,
    prefixes: Vec<String>,
    incarnations: u128,
    executions: HashMap<ScopedKey, u32>,
    not_run: HashSet<ScopedKey>,
}

impl Simulation {
    pub(super) fn new(size: usize) -> Self {
        let mut simulation = Self {
            now: Duration::from_secs(10_000),
            messages: Vec::new(),
            refuse_next: false,
            events: Events::new(),
            nodes: Vec::new(),
            prefixes: Vec::new(),
            incarnations: 0,
            executions: HashMap::new(),
            not_run: HashSet::new(),
        };
        for _ in 0..size {
            let node = simulation.new_node();
            simulation.nodes.push(node);
        }
        simulation
    }

    fn new_node(&mut self) -> Node {
        self.incarnations += 1;
        let incarnation = Incarnation::from_bits(self.incarnations);
        Node {
            incarnation,
            alive: true,
            paused: false,
            table: Table::new(incarnation, LIMITS, self.now),
            archive: Archive::default(),
        }
    }

    /// Requests a key prefix from a node.
    pub(super) fn issue_prefix(&mut self, index: usize) {
        let now = self.now;
        if let Some(node) = self.active(index) {
            let prefix = node.table.prefix(now);
            self.prefixes.push(prefix);
        }
    }

    /// Sends a call with an issued prefix whose epoch is increased by `epoch_offset`.
    pub(super) fn call(&mut self, prefix: usize, epoch_offset: u32, caller_part: u8, digest: u64) {
        let Some(index) = prefix.checked_rem(self.prefixes.len()) else {
            return;
        };
        let mut key: Key = format!("{}.{caller_part}", self.prefixes[index]).parse().unwrap();
        key.epoch += epoch_offset;
        let organisation = "org".into();
        let scoped_key = ScopedKey { organisation, key };
        self.messages.push(Message::Call { scoped_key, digest });
    }

    /// Delivers a message; `clock_lag` is the age of the time read by the receiving thread.
    pub(super) fn deliver(&mut self, message: Message, clock_lag: Duration) -> Result<(), Violation> {
        match message {
            Message::Call { scoped_key, digest } => self.deliver_call(scoped_key, digest, clock_lag),
            Message::Execute { from, scoped_key } => {
                let ran = !std::mem::take(&mut self.refuse_next);
                if ran {
                    *self.executions.entry(scoped_key.clone()).or_default() += 1;
                }
                self.events.insert(if ran {
                    "executed"
                } else {
                    "not run by the upstream"
                });
                self.messages.push(Message::Reply {
                    to: from,
                    scoped_key,
                    ran,
                });
                self.check()
            }
            Message::Reply { to, scoped_key, ran } => {
                let outcome = if ran {
                    Outcome::Done(Response {
                        status: 200,
                        content_type: String::new(),
                        body: vec![0; 20],
                    })
                } else {
                    Outcome::NotRun(Reason::UpstreamFailed)
                };
                self.finish(to, &scoped_key, outcome)
            }
            Message::HandOver { to, hand_over } => {
                let now = self.now;
                if let Some(index) = self.index_of(to)
                    && let Some(node) = self.active(index)
                {
                    node.archive.insert(hand_over, now);
                }
                Ok(())
            }
        }
    }

    fn deliver_call(
        &mut self,
        scoped_key: ScopedKey,
        digest: u64,
        clock_lag: Duration,
    ) -> Result<(), Violation> {
        let now = self.now;
        let call = Call {
            organisation: &scoped_key.organisation,
            key: &scoped_key.key,
            digest,
        };
        let issuer = self.index_of(scoped_key.key.issuer);
        let decision = match issuer.and_then(|it| self.active(it)) {
            Some(node) => Some(node.table.begin(call, now.saturating_sub(clock_lag))),
            // Any node with the archived table may decide if the issuer does not reply, whether it is dead or
            // not.
            None => self.active_nodes().find_map(|it| it.archive.decide(call, now)),
        };
        if issuer.is_none() && decision.is_some() {
            self.record_event("decided by an archived table");
        }
        if decision == Some(Decision::Execute) {
            let from = scoped_key.key.issuer;
            self.messages.push(Message::Execute { from, scoped_key });
            return Ok(());
        }
        self.observe(&scoped_key, decision)
    }

    /// Makes the issuer refuse a call before execution, for lack of capacity.
    pub(super) fn refuse(&mut self, message: &Message) -> Result<(), Violation> {
        let Message::Call { scoped_key, digest } = message else {
            return Ok(());
        };
        let now = self.now;
        let Some(node) = self
            .index_of(scoped_key.key.issuer)
            .and_then(|it| self.active(it))
        else {
            return Ok(());
        };
        let call = Call {
            organisation: &scoped_key.organisation,
            key: &scoped_key.key,
            digest: *digest,
        };
        let decision = node.table.refuse(call, Reason::Overloaded, now);
        self.observe(scoped_key, Some(decision))
    }

    /// Times out the issuer's wait for the upstream; the call may still be in transit.
    pub(super) fn time_out_upstream(&mut self, message: &Message) -> Result<(), Violation> {
        let Message::Execute { from, scoped_key } = message else {
            return Ok(());
        };
        self.finish(*from, scoped_key, Outcome::Unknown)
    }

    fn finish(
        &mut self,
        node: Incarnation,
        scoped_key: &ScopedKey,
        outcome: Outcome,
    ) -> Result<(), Violation> {
        let Some(node) = self.index_of(node).and_then(|it| self.active(it)) else {
            return Ok(());
        };
        let decision = node
            .table
            .finish(&scoped_key.organisation, &scoped_key.key, outcome);
        self.observe(scoped_key, Some(decision))
    }

    fn observe(&mut self, scoped_key: &ScopedKey, decision: Option<Decision>) -> Result<(), Violation> {
        match decision {
            Some(Decision::Running) => self.record_event("running"),
            Some(Decision::Replay(_)) => self.record_event("replayed"),
            Some(Decision::Refused(refusal)) => {
                if refusal.ran == Ran::No {
                    self.not_run.insert(scoped_key.clone());
                }
                self.record_event(match refusal.ran {
                    Ran::No => "ran: no",
                    Ran::Unknown => "ran: unknown",
                });
                match refusal.reason {
                    Reason::KeyClosed => self.record_event("closed"),
                    Reason::KeyExpired => self.record_event("expired"),
                    Reason::KeyInvalid => self.record_event("future"),
                    Reason::KeyReused => self.record_event("reused"),
                    _ => (),
                }
            }
            Some(Decision::Execute) | None => (),
        }
        self.check()
    }

    /// Starts a planned stop: seals the table and hands it over to all peers. The node keeps running.
    pub(super) fn stop(&mut self, index: usize) {
        if let Some(node) = self.active(index) {
            node.table.seal();
            self.hand_over(index);
        }
    }

    /// Completes a planned stop without losing messages, then starts another incarnation on the host.
    pub(super) fn stop_and_replace(&mut self, index: usize) -> Result<(), Violation> {
        if self.active(index).is_none() {
            return Ok(());
        }
        let first_new = self.messages.len();
        self.stop(index);
        for message in self.messages.split_off(first_new) {
            self.deliver(message, Duration::ZERO)?;
        }
        self.kill(index);
        self.replace(index);
        Ok(())
    }

    /// Requests the contents of a table, sealed or not, and sends them to all peers.
    pub(super) fn hand_over(&mut self, index: usize) {
        let now = self.now;
        let Some(hand_over) = self.active(index).and_then(|it| it.table.hand_over(now)) else {
            return;
        };
        for node in &self.nodes {
            let hand_over = hand_over.clone();
            let to = node.incarnation;
            self.messages.push(Message::HandOver { to, hand_over });
        }
    }

    pub(super) fn kill(&mut self, index: usize) {
        self.nodes[index].alive = false;
    }

    pub(super) fn replace(&mut self, index: usize) {
        if !self.nodes[index].alive {
            self.nodes[index] = self.new_node();
        }
    }

    pub(super) fn pause(&mut self, index: usize, paused: bool) {
        self.nodes[index].paused = paused;
    }

    fn record_event(&mut self, event: &'static str) {
        self.events.insert(event);
    }

    fn check(&self) -> Result<(), Violation> {
        if let Some((scoped_key, count)) = self.executions.iter().find(|it| *it.1 > 1) {
            return Err(format!("executed {count} times: {scoped_key:?}"));
        }
        if let Some(scoped_key) = self.not_run.iter().find(|it| self.executions.contains_key(it)) {
            return Err(format!("executed although answered ran: no: {scoped_key:?}"));
        }
        Ok(())
    }

    fn index_of(&self, incarnation: Incarnation) -> Option<usize> {
        self.nodes.iter().position(|it| it.incarnation == incarnation)
    }

    fn active(&mut self, index: usize) -> Option<&mut Node> {
        let node = &mut self.nodes[index];
        (node.alive && !node.paused).then_some(node)
    }

    fn active_nodes(&mut self) -> impl Iterator<Item = &mut Node> {
        self.nodes.iter_mut().filter(|it| it.alive && !it.paused)
    }
}
