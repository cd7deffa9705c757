//! Ratings of answers, fetched by a bounded number of threads.
//!
//! A rated step of a cascade waits for its rating, so it goes before the samples that are rated after delivery. What
//! does not fit into the queues counts as a missing rating.

use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, TryRecvError, bounded};
use model::{Class, Name};
use policy::cascade::{Observation, Position, RatingOutcome, Verdict};
use policy::rollout::Event;
use ports::rating;

use crate::phase::Phase;
use crate::rollouts::Trial;
use crate::shared::Shared;

/// Wait of a rated step for its rating.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a late rating is given up. A service that loses ratings holds up a thread for this time.
const LATE_TIMEOUT: Duration = Duration::from_secs(5);

/// Threads that fetch ratings.
const WORKERS: usize = 16;

/// Answers that wait for a thread, in each of the two queues. An answer takes about 4 KB.
const QUEUE: usize = 256;

/// Interval at which idle threads check whether the node stops.
const STOP_CHECK: Duration = Duration::from_millis(100);

/// An answer to be rated.
#[derive(Debug)]
pub(crate) struct Task {
    /// What the rating service gets.
    pub request: rating::Request,
    /// Organisation that asked.
    pub organisation: Name,
    /// Class of its request.
    pub class: Class,
    /// Whether an earlier answer to the request was rejected.
    pub position: Position,
    /// Roll-out that the rating is evidence for.
    pub trial: Option<Trial>,
}

#[derive(Debug)]
struct Item {
    task: Task,
    asked: Duration,
    /// Where a rated step waits; dropped without a verdict when there is none.
    reply: Option<Sender<Verdict>>,
}

/// Answers that wait to be rated.
#[derive(Debug)]
pub(crate) struct Ratings {
    gates: (Sender<Item>, Receiver<Item>),
    samples: (Sender<Item>, Receiver<Item>),
}

impl Default for Ratings {
    fn default() -> Self {
        Self {
            gates: bounded(QUEUE),
            samples: bounded(QUEUE),
        }
    }
}

/// Asks for the rating of an answer that is held back. The receiver is disconnected if no rating will arrive.
pub(crate) fn gate(shared: &Shared, task: Task) -> Receiver<Verdict> {
    shared.metrics.rating_waits.inc();
    let (reply, verdict) = bounded(1);
    queue(shared, &shared.ratings.gates.0, task, Some(reply));
    verdict
}

/// Asks for the rating of an answer that was delivered.
pub(crate) fn sample(shared: &Shared, task: Task) {
    queue(shared, &shared.ratings.samples.0, task, None);
}

fn queue(shared: &Shared, queue: &Sender<Item>, task: Task, reply: Option<Sender<Verdict>>) {
    let item = Item {
        task,
        asked: shared.now(),
        reply,
    };
    if let Err(err) = queue.try_send(item) {
        observe(shared, &err.into_inner().task, RatingOutcome::Missing);
    }
}

/// Fetches ratings until the node stops.
pub(crate) fn run(shared: &Shared) {
    std::thread::scope(|scope| {
        for _ in 0..WORKERS {
            scope.spawn(|| work(shared));
        }
    });
}

fn work(shared: &Shared) {
    let Some(service) = &shared.ports.rating else {
        return;
    };
    while shared.phase.get() < Phase::Stopped {
        if let Some(item) = next(&shared.ratings) {
            rate(shared, &**service, item);
        }
    }
}

/// The next item, those of rated steps first.
fn next(ratings: &Ratings) -> Option<Item> {
    match ratings.gates.1.try_recv() {
        Ok(item) => return Some(item),
        Err(TryRecvError::Empty | TryRecvError::Disconnected) => {}
    }
    crossbeam::channel::select! {
        recv(ratings.gates.1) -> item => item.ok(),
        recv(ratings.samples.1) -> item => item.ok(),
        default(STOP_CHECK) => None,
    }
}

fn rate(shared: &Shared, service: &dyn rating::Rating, item: Item) {
    let task = &item.task;
    let waited = shared.now().saturating_sub(item.asked);
    // A step that stopped waiting is not worth a call while others queue.
    if waited > TIMEOUT {
        return observe(shared, task, RatingOutcome::Missing);
    }
    let result = service.rate(&task.request, LATE_TIMEOUT);
    let verdict = match result {
        Ok(rating::Verdict::Adequate) => Verdict::Adequate,
        Ok(rating::Verdict::Inadequate) => Verdict::Inadequate,
        Err(_) => return observe(shared, task, RatingOutcome::Missing),
    };
    if shared.now().saturating_sub(item.asked) <= TIMEOUT {
        observe(shared, task, RatingOutcome::InTime(verdict));
    } else {
        observe(shared, task, RatingOutcome::Missing);
        observe(shared, task, RatingOutcome::Late(verdict));
    }
    if let Some(reply) = item.reply {
        // The step may have stopped waiting.
        reply.try_send(verdict).ok();
    }
}

fn observe(shared: &Shared, task: &Task, outcome: RatingOutcome) {
    let metric = match outcome {
        RatingOutcome::InTime(_) => &shared.metrics.ratings,
        RatingOutcome::Late(_) => &shared.metrics.ratings_late,
        RatingOutcome::Missing => &shared.metrics.ratings_missing,
    };
    metric.inc();
    if let Some(trial) = &task.trial {
        trial.record(match outcome {
            RatingOutcome::InTime(Verdict::Adequate) | RatingOutcome::Late(Verdict::Adequate) => {
                Event::Adequate
            }
            RatingOutcome::InTime(Verdict::Inadequate) | RatingOutcome::Late(Verdict::Inadequate) => {
                Event::Inadequate
            }
            RatingOutcome::Missing => Event::Lost,
        });
    }
    let observation = Observation {
        class: task.class,
        version: &task.request.version,
        position: task.position,
        outcome,
    };
    shared
        .planner
        .observe(&task.organisation, &observation, shared.now());
}

/// Waits for a verdict.
///
/// # Errors
/// The time passed, or no rating will arrive.
pub(crate) fn wait(verdict: &Receiver<Verdict>, time: Duration) -> Result<Verdict, RecvTimeoutError> {
    verdict.recv_timeout(time)
}
