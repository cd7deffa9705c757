//! How old what a node knows of a topic of the store may become, and who reads the topic when.
//!
//! A change has to be known everywhere within a bound from its acknowledgement by the store on. The *age* of what a node
//! knows is the time since the topic is known not to have grown beyond it, so it is the delay of the next change too.
//!
//! Readers read the topic at an interval, and the other nodes query them. What is left of the bound behind the interval is
//! the *slack*, of which each part of the way has a share. The shares decide by the age alone: a node queries others as long
//! as there is time, and reads the store itself before the age uses up what a read and the requests under way need.
//!
//! | age | what happens |
//! |---|---|
//! | up to the interval | the readers' next read is not due |
//! | and 0.09 of the slack | the readers' calls, before the last queries of others |
//! | and 0.25 | a deputy reads the store, in place of readers that did not |
//! | and 0.33 to 0.5 | all other nodes do, each at an age that is drawn, so that they do not call the store together |
//! | and 0.08 | the last query, which such a node may have begun before, times out |
//! | and 0.34 | the call of the store |
//! | the rest | requests that chose an engine before the change was known |

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

/// What the queries of a round have shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Round {
    /// Nothing that this node still lacks.
    Followed,
    /// Another node knows changes that it did not pass on.
    Behind,
    /// No node replied.
    Silent,
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
    slack: Duration,
}

impl Budget {
    /// Queries per read interval.
    const QUERIES_PER_INTERVAL: f64 = 2.0;

    /// Maximum time to wait for a reply: some tens of times the round trip between two failure domains, so that only a lost
    /// datagram or a busy host exceeds it.
    const MAX_REPLY_TIMEOUT: Duration = Duration::from_millis(120);

    /// Share of the slack for the reply to one query.
    const REPLY_SHARE: f64 = 0.08;

    /// Timeouts that fit between the last queries of a node and its read of the store: both readers may be cut off.
    const TIMEOUTS: u32 = 2;

    /// Share of the slack after which a deputy reads the store.
    const DEPUTY_SHARE: f64 = 0.25;

    /// Shares of the slack after which other nodes read the store.
    const FIRST_SHARE: f64 = 0.33;
    const LAST_SHARE: f64 = 0.5;

    /// Share of the slack for a call of the store, beyond the time for which it waits for changes.
    const CALL_SHARE: f64 = 0.34;

    /// The budget of a topic that is read at an interval, whose changes have to be known within `bound`.
    pub fn new(bound: Duration, interval: Duration) -> Self {
        Self {
            interval,
            slack: bound.saturating_sub(interval),
        }
    }

    /// Interval between two queries.
    pub fn query_interval(self) -> Duration {
        self.interval.div_f64(Self::QUERIES_PER_INTERVAL)
    }

    /// Time to wait for the reply to a query.
    pub fn reply_timeout(self) -> Duration {
        self.slack.mul_f64(Self::REPLY_SHARE).min(Self::MAX_REPLY_TIMEOUT)
    }

    /// Time to wait for a response of the store, beyond the time for which the call waits for changes.
    pub fn call_timeout(self) -> Duration {
        self.slack.mul_f64(Self::CALL_SHARE)
    }

    /// Age from which on a node reads the topic from the store if it learns nothing newer. `draw` is uniform from 0 to 1.
    pub fn due_age(self, duty: Duty, draw: f64) -> Duration {
        let share = match duty {
            Duty::Reader => 0.0,
            Duty::Deputy => Self::DEPUTY_SHARE,
            Duty::Other => Self::FIRST_SHARE + draw * (Self::LAST_SHARE - Self::FIRST_SHARE),
        };
        self.interval + self.slack.mul_f64(share)
    }

    /// Maximum age of a reply after which no other node has to be queried: readers and deputies know as much.
    pub fn max_reply_age(self) -> Duration {
        self.due_age(Duty::Deputy, 0.0)
    }

    /// What a node does after a round, whose knowledge has an age by then and should be read at the age `due`.
    pub fn after_round(self, round: Round, age: Duration, due: Duration) -> Next {
        match round {
            Round::Behind | Round::Silent => Next::Read,
            Round::Followed if age >= due => Next::Read,
            Round::Followed => Next::Pause(self.pause(age, due)),
        }
    }

    /// Time until the next queries, which are made early enough for others to reply before the store is due.
    fn pause(self, age: Duration, due: Duration) -> Duration {
        let last_query = due.saturating_sub(self.reply_timeout() * Self::TIMEOUTS);
        let until = if age < last_query { last_query } else { due };
        self.query_interval().min(until - age)
    }

    /// Time that a call of a reader may wait for changes, if its knowledge has an age by now. Also the time until its next
    /// call if none waits.
    pub fn reader_wait(self, age: Duration) -> Duration {
        self.interval.saturating_sub(age)
    }
}
