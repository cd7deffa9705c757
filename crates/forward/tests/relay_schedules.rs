//! Random schedules of nodes that read a log and query each other, with reordered, lost and delayed messages.
//!
//! Guards against a node that lacks a record written before the time at which it considers its state current,
//! and against a state that differs from the log up to the node's position, also when the store comes back from an
//! older copy, several times in a row, and while nodes are in different eras. Deliberate faults show that the checks
//! detect these violations.

#![expect(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::collections::BTreeMap;
use std::time::Duration;

use forward::BootTime;
use forward::relay::{AcceptedReply, Extent, Journal, JournalReply, Position, Query};
use proptest::prelude::*;

type Change = (u8, Option<u8>);

/// Changes that lead from one state to another, as a node finds them that has read all records.
fn difference(before: &BTreeMap<u8, u8>, after: &BTreeMap<u8, u8>) -> Vec<Change> {
    let removed = before.keys().filter(|it| !after.contains_key(it));
    let changed = after.iter().filter(|(key, value)| before.get(key) != Some(value));
    let removed = removed.map(|it| (*it, None));
    removed
        .chain(changed.map(|(key, value)| (*key, Some(*value))))
        .collect()
}

const NODES: usize = 4;

/// Minimum number of schedules for each test.
const CASES: u32 = 3000;

/// Maximum age of a usable reply.
const MAX_AGE: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// The age of a reply counts from its arrival.
    ReplyAgeFromArrival,
    /// A reply that ends before the offset of the query is applied.
    OffsetMovesBack,
    /// A journal is not reset when the whole log is read again.
    NoJournalReset,
    /// Differences are passed on like changes, also to nodes at positions in between.
    DifferenceAsChanges,
    /// A read counts as current at its arrival.
    ReadFromArrival,
    /// The records from an offset on are applied although the offset belongs to another era.
    TailOfOtherEra,
    /// A read counts as current although the response had only a part of the records.
    CutReadIsCurrent,
    /// A reader replies to a query from another era as if the offset were its own.
    ReplyToOtherEra,
}

#[derive(Debug, PartialEq, Eq)]
enum Violation {
    /// A node's state differs from the log up to its position.
    State,
    /// A node lacks a record written before the time at which it considers its state current.
    Currency,
}

#[derive(Debug, Clone)]
enum Step {
    Write(Change),
    Wait(u16),
    /// The store comes back without its newest records.
    Restore {
        lost: usize,
    },
    /// A node begins to read the log: either the changes, or everything again.
    Read {
        node: usize,
        full: bool,
        /// Number of records that the response holds, if only changes are read.
        records: usize,
    },
    Query {
        node: usize,
        reader: usize,
    },
    /// One of the messages in transit arrives.
    Deliver(prop::sample::Index),
    Lose(prop::sample::Index),
}

#[derive(Debug, Clone)]
enum Message {
    LogRead {
        node: usize,
        sent_at: BootTime,
        from: Option<Position>,
        records: usize,
        end: Position,
    },
    Query {
        node: usize,
        reader: usize,
        query: Query,
    },
    Reply {
        node: usize,
        query: Query,
        reply: JournalReply<Change>,
    },
}

#[derive(Debug, Default)]
struct Node {
    state: BTreeMap<u8, u8>,
    next: Option<Position>,
    current_at: BootTime,
    journal: Journal<Change>,
}

impl Node {
    fn apply(&mut self, changes: &[Change], next: Position) {
        for (key, value) in changes {
            match value {
                Some(value) => self.state.insert(*key, *value),
                None => self.state.remove(key),
            };
        }
        self.next = Some(next);
    }
}

#[derive(Debug)]
struct Simulation {
    fault: Option<Fault>,
    now: BootTime,
    /// Records with the time of writing, and the time at which the history began, of each era.
    histories: Vec<(Vec<(Change, BootTime)>, BootTime)>,
    nodes: Vec<Node>,
    messages: Vec<Message>,
}

impl Simulation {
    fn new(fault: Option<Fault>) -> Self {
        let nodes = (0..NODES).map(|_| Node::default()).collect();
        Self {
            fault,
            now: Duration::from_secs(1),
            histories: vec![(vec![], BootTime::ZERO)],
            nodes,
            messages: vec![],
        }
    }

    fn end(&self) -> Position {
        let era = self.histories.len() - 1;
        Position {
            era: era as u64,
            offset: self.histories[era].0.len() as u64,
        }
    }

    /// Records of an era before a position.
    fn records(&self, end: Position) -> Vec<Change> {
        let history = &self.histories[usize::try_from(end.era).unwrap()].0;
        let known = &history[..usize::try_from(end.offset).unwrap()];
        known.iter().map(|it| it.0).collect()
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Write(change) => {
                let now = self.now;
                self.histories.last_mut().unwrap().0.push((*change, now));
            }
            Step::Restore { lost } => {
                let mut history = self.histories.last().unwrap().0.clone();
                history.truncate(history.len().saturating_sub(*lost));
                self.histories.push((history, self.now));
            }
            Step::Wait(millis) => self.now += Duration::from_millis((*millis).into()),
            Step::Read { node, full, records } => {
                let from = self.nodes[*node].next.filter(|_| !full);
                let (node, sent_at, end) = (*node, self.now, self.end());
                let records = *records;
                self.messages.push(Message::LogRead {
                    node,
                    sent_at,
                    from,
                    records,
                    end,
                });
            }
            Step::Query { node, reader } if node != reader => {
                let Node {
                    next: Some(from),
                    journal,
                    ..
                } = &self.nodes[*node]
                else {
                    return;
                };
                let age = journal.newest(self.now).map_or(Duration::MAX, |it| it.1);
                let query = Query {
                    from: *from,
                    age,
                    sent_at: self.now,
                };
                let (node, reader) = (*node, *reader);
                self.messages.push(Message::Query { node, reader, query });
            }
            Step::Deliver(index) if !self.messages.is_empty() => {
                let message = self.messages.remove(index.index(self.messages.len()));
                self.deliver(message);
            }
            Step::Lose(index) if !self.messages.is_empty() => {
                self.messages.remove(index.index(self.messages.len()));
            }
            Step::Query { .. } | Step::Deliver(_) | Step::Lose(_) => {}
        }
        // Each step has its own time, so that the order of events is unambiguous.
        self.now += Duration::from_millis(1);
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::LogRead {
                node,
                sent_at,
                from,
                records,
                end,
            } => self.read(node, sent_at, from, records, end),
            Message::Query { node, reader, query } => {
                let journal = &self.nodes[reader].journal;
                let from = match (self.fault, journal.newest(self.now)) {
                    (Some(Fault::ReplyToOtherEra), Some((newest, _))) => Position {
                        era: newest.era,
                        ..query.from
                    },
                    _ => query.from,
                };
                if let Some(reply) = journal.since(from, self.now) {
                    self.messages.push(Message::Reply { node, query, reply });
                }
            }
            Message::Reply { node, query, reply } => self.apply_reply(node, query, reply),
        }
    }

    /// A node handles reads and replies sequentially, so a read that was overtaken is never applied.
    fn read(
        &mut self,
        node: usize,
        sent_at: BootTime,
        from: Option<Position>,
        records: usize,
        end: Position,
    ) {
        let fault = self.fault;
        let at = if fault == Some(Fault::ReadFromArrival) {
            self.now
        } else {
            sent_at
        };
        let log = self.records(end);
        let node = &mut self.nodes[node];
        let is_overtaken = from.is_some() && from != node.next || from.is_none() && node.next > Some(end);
        if is_overtaken {
            return;
        }
        // A read from the offset of another era is answered with the records of this one, or with a refusal.
        let from = from.filter(|it| it.era == end.era || fault == Some(Fault::TailOfOtherEra));
        let before = node.state.clone();
        if from.is_none() {
            node.state.clear();
        }
        let known = from.map_or(0, |it| usize::try_from(it.offset).unwrap());
        let changes = &log[known.min(log.len())..];
        // A read of everything goes on until it has all pages.
        let changes = &changes[..from.map_or(changes.len(), |_| records.min(changes.len()))];
        let next = Position {
            offset: end.offset.min((known + changes.len()) as u64),
            ..end
        };
        let extent = match fault {
            Some(Fault::CutReadIsCurrent) => Extent::to_end(next, at),
            _ => Extent { next, end, at },
        };
        let continues = node.journal.newest(at).is_some_and(|(it, _)| it.era == end.era);
        node.apply(changes, next);
        match from {
            Some(_) => node.journal.extend(extent, changes.to_vec()),
            None if fault == Some(Fault::DifferenceAsChanges) && continues => {
                node.journal.extend(extent, difference(&before, &node.state));
            }
            None if fault == Some(Fault::NoJournalReset) => node.journal.extend(extent, vec![]),
            None if continues => {
                let changes = difference(&before, &node.state);
                node.journal.extend_by_difference(end, changes, at);
            }
            None => node.journal.reset(end, at),
        }
        node.current_at = node.current_at.max(node.journal.current_at());
    }

    fn apply_reply(&mut self, node: usize, query: Query, reply: JournalReply<Change>) {
        let (fault, now) = (self.fault, self.now);
        let node = &mut self.nodes[node];
        if node.next != Some(query.from) {
            return;
        }
        let (next, changes) = (reply.next, reply.changes.clone());
        let accepted = match fault {
            Some(Fault::OffsetMovesBack) if next < query.from => Some(AcceptedReply {
                next,
                current_at: query.sent_at,
                changes,
            }),
            Some(Fault::ReplyAgeFromArrival) if next >= query.from => Some(AcceptedReply {
                next,
                current_at: now.saturating_sub(reply.age),
                changes,
            }),
            _ => query.accept(reply, now, MAX_AGE),
        };
        if let Some(it) = accepted {
            node.apply(&it.changes, it.next);
            let extent = Extent::to_end(it.next, it.current_at);
            node.journal.extend(extent, it.changes);
            node.current_at = node.current_at.max(node.journal.current_at());
        }
    }

    fn check(&self) -> Result<(), Violation> {
        for node in &self.nodes {
            let known = node.next.unwrap_or_default();
            let mut expected = Node::default();
            expected.apply(&self.records(known), known);
            if node.state != expected.state {
                return Err(Violation::State);
            }
            let era = usize::try_from(known.era).unwrap();
            let history = &self.histories[era].0;
            let written = history.iter().filter(|it| it.1 < node.current_at).count();
            let has_ended = self
                .histories
                .get(era + 1)
                .is_some_and(|it| it.1 < node.current_at);
            if written as u64 > known.offset || has_ended {
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
        3 => (0..NODES, prop::bool::weighted(0.3), 1..6_usize)
            .prop_map(|(node, full, records)| Step::Read { node, full, records }),
        3 => (0..NODES, 0..NODES).prop_map(|(node, reader)| Step::Query { node, reader }),
        6 => index().prop_map(Step::Deliver),
        1 => index().prop_map(Step::Lose),
        1 => (0..4_usize).prop_map(|lost| Step::Restore { lost }),
    ];
    prop::collection::vec(step, 1..120)
}

fn run(steps: &[Step], fault: Option<Fault>) -> Result<(), Violation> {
    let mut simulation = Simulation::new(fault);
    for step in steps {
        simulation.step(step);
        simulation.check()?;
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
    reply_age_from_arrival_is_detected: ReplyAgeFromArrival => Currency;
    offset_that_moves_back_is_detected: OffsetMovesBack => State;
    journal_without_reset_is_detected: NoJournalReset => State;
    difference_for_a_position_in_between_is_detected: DifferenceAsChanges => State;
    read_from_arrival_is_detected: ReadFromArrival => Currency;
    tail_of_another_era_is_detected: TailOfOtherEra => State;
    cut_read_that_counts_as_current_is_detected: CutReadIsCurrent => Currency;
    reply_to_another_era_is_detected: ReplyToOtherEra => State;
}
