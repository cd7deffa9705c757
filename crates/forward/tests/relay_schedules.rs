//! Schedules of nodes that read a log and ask each other: any order of messages, losses and delays.
//!
//! A node must know every record that was written before the moment at which it counts its knowledge as current, and
//! its state must be that of the log up to its offset. The checks are shown to catch deliberate faults.

#![expect(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::collections::BTreeMap;
use std::time::Duration;

use forward::Moment;
use forward::relay::{Asked, Journal, Reading, Taken};
use proptest::prelude::*;

type Change = (u8, Option<u8>);

const NODES: usize = 4;

/// Schedules of each test.
const CASES: u32 = 3000;

/// Age of the oldest usable answer.
const LIMIT: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// The age of an answer counts from its arrival.
    AgeFromArrival,
    /// An answer from behind the own knowledge is taken over.
    MoveBack,
    /// A journal does not forget what it has not read.
    NoFloor,
    /// A reading counts as current when it arrives.
    ReadingFromArrival,
}

#[derive(Debug, PartialEq, Eq)]
enum Violation {
    /// A node's state is not that of the log up to its offset.
    State,
    /// A node lacks a record from before the moment at which it counts its knowledge as current.
    Currency,
}

#[derive(Debug, Clone)]
enum Step {
    Write(Change),
    Wait(u16),
    /// A node begins to read the log: changes, or everything anew.
    Read {
        node: usize,
        anew: bool,
    },
    Ask {
        node: usize,
        reader: usize,
    },
    /// One of the messages under way arrives.
    Deliver(prop::sample::Index),
    Lose(prop::sample::Index),
}

#[derive(Debug, Clone)]
enum Message {
    Log {
        node: usize,
        asked: Moment,
        from: Option<u64>,
        end: usize,
    },
    Question {
        node: usize,
        reader: usize,
        asked: Asked,
    },
    Answer {
        node: usize,
        asked: Asked,
        reading: Reading<Change>,
    },
}

#[derive(Debug, Default)]
struct Node {
    state: BTreeMap<u8, u8>,
    next: Option<u64>,
    current: Moment,
    journal: Journal<Change>,
}

impl Node {
    fn apply(&mut self, changes: &[Change], next: u64, at: Moment) {
        for (key, value) in changes {
            match value {
                Some(value) => self.state.insert(*key, *value),
                None => self.state.remove(key),
            };
        }
        self.next = Some(next);
        self.current = self.current.max(at);
    }
}

#[derive(Debug)]
struct World {
    fault: Option<Fault>,
    now: Moment,
    log: Vec<(Change, Moment)>,
    nodes: Vec<Node>,
    messages: Vec<Message>,
}

impl World {
    fn new(fault: Option<Fault>) -> Self {
        let nodes = (0..NODES).map(|_| Node::default()).collect();
        let (now, log, messages) = (Duration::from_secs(1), vec![], vec![]);
        Self {
            fault,
            now,
            log,
            nodes,
            messages,
        }
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Write(change) => self.log.push((*change, self.now)),
            Step::Wait(millis) => self.now += Duration::from_millis((*millis).into()),
            Step::Read { node, anew } => {
                let from = self.nodes[*node].next.filter(|_| !anew);
                let (node, asked, end) = (*node, self.now, self.log.len());
                self.messages.push(Message::Log {
                    node,
                    asked,
                    from,
                    end,
                });
            }
            Step::Ask { node, reader } if node != reader => {
                let Node {
                    next: Some(from),
                    journal,
                    ..
                } = &self.nodes[*node]
                else {
                    return;
                };
                let age = journal.newest(self.now).map_or(Duration::MAX, |it| it.1);
                let asked = Asked {
                    from: *from,
                    age,
                    sent: self.now,
                };
                let (node, reader) = (*node, *reader);
                self.messages.push(Message::Question { node, reader, asked });
            }
            Step::Deliver(index) if !self.messages.is_empty() => {
                let message = self.messages.remove(index.index(self.messages.len()));
                self.deliver(message);
            }
            Step::Lose(index) if !self.messages.is_empty() => {
                self.messages.remove(index.index(self.messages.len()));
            }
            Step::Ask { .. } | Step::Deliver(_) | Step::Lose(_) => {}
        }
        // No two events have the same time, so that "before" is clear.
        self.now += Duration::from_millis(1);
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Log {
                node,
                asked,
                from,
                end,
            } => self.read(node, asked, from, end),
            Message::Question { node, reader, asked } => {
                if let Some(reading) = self.nodes[reader].journal.since(asked.from, self.now) {
                    self.messages.push(Message::Answer { node, asked, reading });
                }
            }
            Message::Answer { node, asked, reading } => self.answered(node, asked, reading),
        }
    }

    /// One task of a node does one thing after the other, so a reading that was overtaken is never applied.
    fn read(&mut self, node: usize, asked: Moment, from: Option<u64>, end: usize) {
        let fault = self.fault;
        let at = if fault == Some(Fault::ReadingFromArrival) {
            self.now
        } else {
            asked
        };
        let log: Vec<_> = self.log[..end].iter().map(|it| it.0).collect();
        let node = &mut self.nodes[node];
        if from.is_some() && from != node.next
            || from.is_none() && node.next.is_some_and(|it| it > end as u64)
        {
            return;
        }
        if from.is_none() {
            node.state.clear();
        }
        let changes = &log[usize::try_from(from.unwrap_or(0)).unwrap()..];
        node.apply(changes, end as u64, at);
        match from {
            Some(_) => node.journal.extend(end as u64, changes.to_vec(), at),
            None if fault == Some(Fault::NoFloor) => node.journal.extend(end as u64, vec![], at),
            None => node.journal.restart(end as u64, at),
        }
    }

    fn answered(&mut self, node: usize, asked: Asked, reading: Reading<Change>) {
        let (fault, now) = (self.fault, self.now);
        let node = &mut self.nodes[node];
        if node.next != Some(asked.from) {
            return;
        }
        let (next, age, changes) = (reading.next, reading.age, reading.changes.clone());
        let taken = match fault {
            Some(Fault::MoveBack) if next < asked.from => Some(Taken {
                next,
                at: asked.sent,
                changes,
            }),
            Some(Fault::AgeFromArrival) if next >= asked.from => {
                let at = now.saturating_sub(age);
                Some(Taken { next, at, changes })
            }
            _ => asked.take(reading, now, LIMIT),
        };
        if let Some(Taken { next, at, changes }) = taken {
            node.apply(&changes, next, at);
            node.journal.extend(next, changes, at);
        }
    }

    fn check(&self) -> Result<(), Violation> {
        for node in &self.nodes {
            let known = usize::try_from(node.next.unwrap_or(0)).unwrap();
            let mut expected = Node::default();
            let records: Vec<_> = self.log[..known].iter().map(|it| it.0).collect();
            expected.apply(&records, 0, node.current);
            if node.state != expected.state {
                return Err(Violation::State);
            }
            if self.log.iter().filter(|it| it.1 < node.current).count() > known {
                return Err(Violation::Currency);
            }
        }
        Ok(())
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let index = any::<prop::sample::Index>;
    let step = prop_oneof![
        3 => (0..3_u8, prop::option::of(0..3_u8)).prop_map(Step::Write),
        1 => (1..400_u16).prop_map(Step::Wait),
        3 => (0..NODES, prop::bool::weighted(0.3)).prop_map(|(node, anew)| Step::Read { node, anew }),
        3 => (0..NODES, 0..NODES).prop_map(|(node, reader)| Step::Ask { node, reader }),
        6 => index().prop_map(Step::Deliver),
        1 => index().prop_map(Step::Lose),
    ];
    prop::collection::vec(step, 1..120)
}

fn run(steps: &[Step], fault: Option<Fault>) -> Result<(), Violation> {
    let mut world = World::new(fault);
    for step in steps {
        world.step(step);
        world.check()?;
    }
    Ok(())
}

#[test]
fn rules_hold() {
    schedule::assert_rules_hold(CASES, &steps(), |it| run(&it, None));
}

macro_rules! faults {
    ($($name:ident: $fault:ident => $violation:ident;)*) => {
        $(#[test]
        fn $name() {
            let run = |it: Vec<Step>| run(&it, Some(Fault::$fault));
            schedule::assert_fault_detected(CASES, &steps(), &Violation::$violation, run);
        })*
    };
}

faults! {
    age_from_the_arrival_is_noticed: AgeFromArrival => Currency;
    topic_that_moves_back_is_noticed: MoveBack => State;
    journal_that_passes_over_changes_is_noticed: NoFloor => State;
    reading_from_its_arrival_is_noticed: ReadingFromArrival => Currency;
}
