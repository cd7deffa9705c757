//! Nodes that issue, execute and hand over keys, with an upstream that counts executions.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use model::refusal::Reason;
use model::{Incarnation, Name, Ran};

use super::{Events, Violation};
use crate::once::{Answer, Archive, Call, HandOver, Key, Limits, Outcome, Response, Table};

/// Bounds small enough that schedules reach them.
const LIMITS: Limits = Limits {
    validity: 60,
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
pub(super) struct Keyed {
    organisation: Name,
    key: Key,
}

#[derive(Debug, Clone)]
pub(super) enum Message {
    /// A copy of a call on its way to the node that issued the key.
    Call { keyed: Keyed, digest: u64 },
    /// A call on its way to the upstream.
    Execute { from: Incarnation, keyed: Keyed },
    /// Reply of the upstream.
    Reply {
        to: Incarnation,
        keyed: Keyed,
        ran: bool,
    },
    /// A table on its way to a peer.
    HandOver { to: Incarnation, hand_over: HandOver },
}

#[derive(Debug)]
pub(super) struct World {
    pub now: Duration,
    pub messages: Vec<Message>,
    pub refuse_next: bool,
    pub events: Events,
    nodes: Vec<Node>,
    prefixes: Vec<String>,
    incarnations: u128,
    executions: HashMap<Keyed, u32>,
    not_run: HashSet<Keyed>,
}

impl World {
    pub(super) fn new(size: usize) -> Self {
        let mut world = Self {
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
            let node = world.node();
            world.nodes.push(node);
        }
        world
    }

    fn node(&mut self) -> Node {
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

    /// A caller asks a node for a prefix.
    pub(super) fn issue(&mut self, index: usize) {
        let now = self.now;
        if let Some(node) = self.active(index) {
            let prefix = node.table.prefix(now);
            self.prefixes.push(prefix);
        }
    }

    /// A caller sends a call with an issued key, or with one whose epoch it raised.
    pub(super) fn call(&mut self, prefix: usize, raise: u32, part: u8, digest: u64) {
        let Some(index) = prefix.checked_rem(self.prefixes.len()) else {
            return;
        };
        let mut key: Key = format!("{}.{part}", self.prefixes[index]).parse().unwrap();
        key.epoch += raise;
        let organisation = "org".into();
        let keyed = Keyed { organisation, key };
        self.messages.push(Message::Call { keyed, digest });
    }

    /// Delivers a message; `lag` is the age of the time that the receiving thread read.
    pub(super) fn deliver(&mut self, message: Message, lag: Duration) -> Result<(), Violation> {
        match message {
            Message::Call { keyed, digest } => self.deliver_call(keyed, digest, lag),
            Message::Execute { from, keyed } => {
                let ran = !std::mem::take(&mut self.refuse_next);
                if ran {
                    *self.executions.entry(keyed.clone()).or_default() += 1;
                }
                self.events.insert(if ran {
                    "executed"
                } else {
                    "not run by the upstream"
                });
                self.messages.push(Message::Reply { to: from, keyed, ran });
                self.check()
            }
            Message::Reply { to, keyed, ran } => {
                let outcome = if ran {
                    Outcome::Done(Response {
                        status: 200,
                        content_type: String::new(),
                        body: vec![0; 20],
                    })
                } else {
                    Outcome::NotRun(Reason::UpstreamFailed)
                };
                self.finish(to, &keyed, outcome)
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

    fn deliver_call(&mut self, keyed: Keyed, digest: u64, lag: Duration) -> Result<(), Violation> {
        let now = self.now;
        let call = Call {
            organisation: &keyed.organisation,
            key: &keyed.key,
            digest,
        };
        let issuer = self.index_of(keyed.key.issuer);
        let answer = match issuer.and_then(|it| self.active(it)) {
            Some(node) => Some(node.table.begin(call, now.saturating_sub(lag))),
            // Any node with the table may answer when the issuer does not, dead or not.
            None => self.active_nodes().find_map(|it| it.archive.answer(call, now)),
        };
        if issuer.is_none() && answer.is_some() {
            self.note("answered from a handed over table");
        }
        if answer == Some(Answer::Execute) {
            let from = keyed.key.issuer;
            self.messages.push(Message::Execute { from, keyed });
            return Ok(());
        }
        self.answered(&keyed, answer)
    }

    /// A node refuses a call before it would run, for lack of capacity.
    pub(super) fn refuse(&mut self, message: &Message) -> Result<(), Violation> {
        let Message::Call { keyed, digest } = message else {
            return Ok(());
        };
        let now = self.now;
        let Some(node) = self.index_of(keyed.key.issuer).and_then(|it| self.active(it)) else {
            return Ok(());
        };
        let call = Call {
            organisation: &keyed.organisation,
            key: &keyed.key,
            digest: *digest,
        };
        let answer = node.table.refuse(call, Reason::Overloaded, now);
        self.answered(keyed, Some(answer))
    }

    /// The issuer gives up waiting for the upstream; the call may still be on its way.
    pub(super) fn give_up(&mut self, message: &Message) -> Result<(), Violation> {
        let Message::Execute { from, keyed } = message else {
            return Ok(());
        };
        self.finish(*from, keyed, Outcome::Unknown)
    }

    fn finish(&mut self, node: Incarnation, keyed: &Keyed, outcome: Outcome) -> Result<(), Violation> {
        let Some(node) = self.index_of(node).and_then(|it| self.active(it)) else {
            return Ok(());
        };
        let answer = node.table.finish(&keyed.organisation, &keyed.key, outcome);
        self.answered(keyed, Some(answer))
    }

    fn answered(&mut self, keyed: &Keyed, answer: Option<Answer>) -> Result<(), Violation> {
        match answer {
            Some(Answer::Running) => self.note("running"),
            Some(Answer::Replay(_)) => self.note("replayed"),
            Some(Answer::Refused(refusal)) => {
                if refusal.ran == Ran::No {
                    self.not_run.insert(keyed.clone());
                }
                self.note(match refusal.ran {
                    Ran::No => "ran: no",
                    Ran::Unknown => "ran: unknown",
                });
                match refusal.reason {
                    Reason::KeyClosed => self.note("closed"),
                    Reason::KeyExpired => self.note("expired"),
                    Reason::KeyInvalid => self.note("future"),
                    Reason::KeyReused => self.note("reused"),
                    _ => (),
                }
            }
            Some(Answer::Execute) | None => (),
        }
        self.check()
    }

    /// A planned stop: the table is sealed and handed over to all peers; the node goes on for a while.
    pub(super) fn stop(&mut self, index: usize) {
        if let Some(node) = self.active(index) {
            node.table.seal();
            self.hand_over(index);
        }
    }

    /// A planned stop with nothing lost, followed by another incarnation on the host.
    pub(super) fn retire(&mut self, index: usize) -> Result<(), Violation> {
        if self.active(index).is_none() {
            return Ok(());
        }
        let earlier = self.messages.len();
        self.stop(index);
        for message in self.messages.split_off(earlier) {
            self.deliver(message, Duration::ZERO)?;
        }
        self.kill(index);
        self.replace(index);
        Ok(())
    }

    /// Asks for the contents of a table whether or not it is sealed.
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
            self.nodes[index] = self.node();
        }
    }

    pub(super) fn pause(&mut self, index: usize, paused: bool) {
        self.nodes[index].paused = paused;
    }

    fn note(&mut self, event: &'static str) {
        self.events.insert(event);
    }

    fn check(&self) -> Result<(), Violation> {
        if let Some((keyed, count)) = self.executions.iter().find(|it| *it.1 > 1) {
            return Err(format!("executed {count} times: {keyed:?}"));
        }
        if let Some(keyed) = self.not_run.iter().find(|it| self.executions.contains_key(it)) {
            return Err(format!("executed although answered ran: no: {keyed:?}"));
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
