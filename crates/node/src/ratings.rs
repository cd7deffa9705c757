//! Ratings of answers, fetched by a bounded number of threads.
//!
//! A cascade step that is rated before delivery waits for its rating, so its queue has priority over the
//! queue of answers that are rated after delivery. If a queue is full, the rating counts as missing.

use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, TryRecvError, bounded};
use model::{Class, Name};
use policy::cascade::{Observation, Position, RatingOutcome, Verdict};
use policy::rollout::Event;
use ports::rating;

use crate::phase::Phase;
use crate::rollouts::Trial;
use crate::shared::Shared;

/// Time-out of a step that waits for its rating.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(1);

/// Time-out of a call to the rating service. A rating that arrives after [`TIMEOUT`] is late but still counts
/// as evidence; a lost one blocks a thread for this time.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(5);

/// Threads that fetch ratings.
const WORKERS: usize = 16;

/// Capacity of each of the two queues. An answer takes about 4 KB.
const QUEUE_CAPACITY: usize = 256;

/// Interval at which idle threads check the node's phase.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// An answer to be rated.
#[derive(Debug)]
pub(crate) struct Task {
    /// Request to the rating service.
    pub request: rating::Request,
    /// Organisation of the caller.
    pub organisation: Name,
    /// Class of the caller's request.
    pub class: Class,
    /// Whether an earlier answer to the same request was rejected.
    pub position: Position,
    /// Roll-out trial that the rating is evidence for.
    pub trial: Option<Trial>,
}

#[derive(Debug)]
struct QueuedTask {
    task: Task,
    requested_at: Duration,
    /// Channel to the step that waits for the verdict; dropped without one if the rating is missing.
    reply: Option<Sender<Verdict>>,
}

/// Queues of answers to be rated.
#[derive(Debug)]
pub(crate) struct Ratings {
    undelivered: (Sender<QueuedTask>, Receiver<QueuedTask>),
    delivered: (Sender<QueuedTask>, Receiver<QueuedTask>),
}

impl Default for Ratings {
    fn default() -> Self {
        Self {
            undelivered: bounded(QUEUE_CAPACITY),
            delivered: bounded(QUEUE_CAPACITY),
        }
    }
}

/// Queues an undelivered answer for rating. The receiver is disconnected if no rating will arrive.
pub(crate) fn rate_before_delivery(shared: &Shared, task: Task) -> Receiver<Verdict> {
    shared.metrics.rating_waits.inc();
    let (reply, verdict) = bounded(1);
    queue(shared, &shared.ratings.undelivered.0, task, Some(reply));
    verdict
}

/// Queues a delivered answer for rating.
pub(crate) fn rate_after_delivery(shared: &Shared, task: Task) {
    queue(shared, &shared.ratings.delivered.0, task, None);
}

fn queue(shared: &Shared, queue: &Sender<QueuedTask>, task: Task, reply: Option<Sender<Verdict>>) {
    let item = QueuedTask {
        task,
        requested_at: shared.now(),
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
            scope.spawn(|| run_worker(shared));
        }
    });
}

fn run_worker(shared: &Shared) {
    let Some(service) = &shared.ports.rating else {
        return;
    };
    while shared.phase.get() < Phase::Stopped {
        if let Some(item) = next(&shared.ratings) {
            rate(shared, &**service, item);
        }
    }
}

/// Takes the next task, undelivered answers first.
fn next(ratings: &Ratings) -> Option<QueuedTask> {
    match ratings.undelivered.1.try_recv() {
        Ok(item) => return Some(item),
        Err(TryRecvError::Empty | TryRecvError::Disconnected) => {}
    }
    crossbeam::channel::select! {
        recv(ratings.undelivered.1) -> item => item.ok(),
        recv(ratings.delivered.1) -> item => item.ok(),
        default(STOP_CHECK_INTERVAL) => None,
    }
}

fn rate(shared: &Shared, service: &dyn rating::Rating, item: QueuedTask) {
    let task = &item.task;
    let waited = shared.now().saturating_sub(item.requested_at);
    // After this time, a step no longer waits for the rating, and the call would only delay other tasks.
    if waited > TIMEOUT {
        return observe(shared, task, RatingOutcome::Missing);
    }
    let result = service.rate(&task.request, SERVICE_TIMEOUT);
    let verdict = match result {
        Ok(rating::Verdict::Adequate) => Verdict::Adequate,
        Ok(rating::Verdict::Inadequate) => Verdict::Inadequate,
        Err(_) => return observe(shared, task, RatingOutcome::Missing),
    };
    if shared.now().saturating_sub(item.requested_at) <= TIMEOUT {
        observe(shared, task, RatingOutcome::InTime(verdict));
    } else {
        observe(shared, task, RatingOutcome::Missing);
        observe(shared, task, RatingOutcome::Late(verdict));
    }
    if let Some(reply) = item.reply {
        // The send fails if the step has stopped waiting.
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
/// The time-out passed, or no rating will arrive.
pub(crate) fn wait(verdict: &Receiver<Verdict>, time: Duration) -> Result<Verdict, RecvTimeoutError> {
    verdict.recv_timeout(time)
}
