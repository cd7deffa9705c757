//! How old what a node knows of a topic of the store may become, and who reads the topic when.
//!
//! A change has to be known everywhere within a bound from its acknowledgement by the store on. The *age* of what a node
//! knows is the time since the topic is known not to have grown beyond it, so it is the delay of the next change too.
//! Readers read the topic at an interval; the other nodes query them.

use std::time::Duration;

/// What a node has to do about a topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Duty {
    /// It reads the topic from the store for all nodes.
    Reader,
    /// It reads the topic if the readers have no recent read.
    Deputy,
    /// It queries the readers and their deputies.
    Other,
}

/// How the queries of a round ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Round {
    /// A reply was accepted.
    Accepted,
    /// All nodes that replied know too little.
    Stale,
    /// No node replied.
    NoReply,
}

/// What a node does after a round of queries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// It reads the topic from the store.
    Read,
    /// It queries again after this time.
    Pause(Duration),
}

/// The bound of a topic, and what its parts may take of it.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    interval: Duration,
}

impl Budget {
    /// Timeout of a reply: some tens of times the round trip between two failure domains, so that only a lost datagram or a
    /// busy host exceeds it.
    const REPLY_TIMEOUT: Duration = Duration::from_millis(120);

    /// Age of a node's own knowledge, in read intervals, from which on it reads the store itself although others try.
    const MAX_OWN_AGE_INTERVALS: f64 = 1.5;

    /// Maximum age of a usable reply, in read intervals. An older one shows that its node cannot read the store reliably.
    const MAX_AGE_INTERVALS: f64 = 1.2;

    /// Queries per read interval.
    const QUERIES_PER_INTERVAL: f64 = 2.0;

    /// The budget of a topic that is read at an interval, whose changes have to be known within `bound`.
    pub fn new(_bound: Duration, interval: Duration) -> Self {
        Self { interval }
    }

    /// Interval between two queries.
    pub fn query_interval(self) -> Duration {
        self.interval.div_f64(Self::QUERIES_PER_INTERVAL)
    }

    /// Time to wait for the reply to a query.
    pub fn reply_timeout(self) -> Duration {
        Self::REPLY_TIMEOUT
    }

    /// Age from which on a node reads the topic from the store if it learns nothing newer. `draw` is uniform from 0 to 1.
    pub fn due_age(self, _duty: Duty, _draw: f64) -> Duration {
        self.interval.mul_f64(Self::MAX_OWN_AGE_INTERVALS)
    }

    /// Maximum age of a reply that is used.
    pub fn max_reply_age(self) -> Duration {
        self.interval.mul_f64(Self::MAX_AGE_INTERVALS)
    }

    /// Whether a node whose knowledge has an age queries a further node in this round.
    pub fn may_query(self, _age: Duration, _due: Duration) -> bool {
        true
    }

    /// What a node does after a round, whose knowledge has an age by then and should be read at the age `due`.
    pub fn after_round(self, round: Round, duty: Duty, age: Duration, due: Duration) -> Next {
        match round {
            Round::NoReply => Next::Read,
            Round::Stale if duty != Duty::Other || age >= due => Next::Read,
            Round::Stale | Round::Accepted => Next::Pause(self.query_interval()),
        }
    }

    /// Time after a read of the store at which a node goes on, if its knowledge has an age by then.
    pub fn pause_after_read(self, _age: Duration, _due: Duration) -> Duration {
        self.interval
    }
}
