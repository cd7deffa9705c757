//! Property tests of the pool under random events.

use std::collections::{BTreeMap, HashSet};

use model::Ran;
use model::refusal::Reason;
use proptest::prelude::*;
use rand::Rng as _;

use super::*;
use crate::fault::{Fault, check_property, with_fault};
use crate::outlier::Health;

const ENGINES: usize = 4;
const QUEUE_LENGTH: usize = 12;

/// An event of a generated run. Indices select among the objects that exist at that moment.
#[derive(Debug, Clone)]
enum Op {
    Submit {
        class: usize,
        organisation: usize,
        repeat: Repeat,
        within: u64,
    },
    Wait(u64),
    Start(usize),
    End(usize, Outcome),
    Leave(usize),
    List(Vec<HostState>),
    Report(usize, u32, u32),
    Cancel(usize),
}

/// Runs a pool and tracks the expected state independently of it.
struct Harness {
    pool: Pool,
    hosts: Vec<Host>,
    rng: SmallRng,
    now: Duration,
    next: Ticket,
    calls: BTreeMap<Ticket, Expected>,
    running: Vec<(Attempt, Upstream)>,
    leaving: HashSet<Upstream>,
}

struct Expected {
    repeat: Repeat,
    attempts: u16,
    /// Number of attempts that may have been executed or still may be.
    possibly_run: usize,
    ends: usize,
}

impl Harness {
    fn new() -> Self {
        let (_, hosts, rng) = super::pool(ENGINES, 2);
        let mut settings = Settings {
            initial_concurrency: 2,
            ..Settings::default()
        };
        settings.queue.max_length = QUEUE_LENGTH;
        let node = DomainMember {
            name: "node".into(),
            domain: "d0".into(),
        };
        let mut harness = Self {
            pool: Pool::new(settings, node),
            hosts,
            rng,
            now: SECOND,
            next: 0,
            calls: BTreeMap::new(),
            running: Vec::new(),
            leaving: HashSet::new(),
        };
        let actions = harness
            .pool
            .update_hosts(&harness.hosts, &[], SECOND, &mut harness.rng);
        assert_eq!(actions, []);
        harness
    }

    /// Completes enough requests that hedging and service times have their samples and the retry budget has
    /// tokens.
    fn warm_up(&mut self) -> Result<(), String> {
        for idx in 0..120 {
            self.submit(idx % 2, 0, Repeat::Idempotent, 60_000)?;
            self.now += Duration::from_millis(20);
            let attempt = self.running[0].0;
            let actions = self.pool.attempt_started(attempt, self.now, &mut self.rng);
            self.process(actions)?;
            self.end(0, Outcome::Done(Usage::default()))?;
        }
        Ok(())
    }

    fn apply(&mut self, op: Op) -> Result<(), String> {
        match op {
            Op::Submit {
                class,
                organisation,
                repeat,
                within,
            } => self.submit(class, organisation, repeat, within),
            Op::Wait(millis) => {
                self.now += Duration::from_millis(millis);
                let actions = self.pool.tick(self.now, &mut self.rng);
                self.process(actions)
            }
            Op::Start(idx) if !self.running.is_empty() => {
                let attempt = self.running[idx % self.running.len()].0;
                let actions = self.pool.attempt_started(attempt, self.now, &mut self.rng);
                self.process(actions)
            }
            Op::End(idx, outcome) if !self.running.is_empty() => self.end(idx % self.running.len(), outcome),
            Op::Leave(idx) => {
                let name = self.hosts[idx].name.clone();
                self.pool.mark_leaving(&name, self.now);
                self.leaving.insert(name);
                Ok(())
            }
            Op::List(states) => {
                for (host, state) in self.hosts.iter_mut().zip(states) {
                    host.state = state;
                    if state == HostState::Leaving {
                        self.leaving.insert(host.name.clone());
                    }
                }
                let actions = self.pool.update_hosts(&self.hosts, &[], self.now, &mut self.rng);
                self.process(actions)
            }
            Op::Report(idx, running, waiting) => {
                let load = Load { running, waiting };
                let name = &self.hosts[idx].name;
                let actions = self
                    .pool
                    .report_load(name, load, SECOND * 2, self.now, &mut self.rng);
                self.process(actions)
            }
            Op::Cancel(idx) => {
                let open: Vec<Ticket> = self
                    .calls
                    .iter()
                    .filter(|it| it.1.ends == 0)
                    .map(|it| *it.0)
                    .collect();
                let Some(ticket) = open.get(idx % open.len().max(1)).copied() else {
                    return Ok(());
                };
                self.record_end(ticket)?;
                let actions = self.pool.cancel(ticket, self.now, &mut self.rng);
                self.process(actions)
            }
            Op::Start(_) | Op::End(..) => Ok(()),
        }
    }

    fn submit(
        &mut self,
        class: usize,
        organisation: usize,
        repeat: Repeat,
        within: u64,
    ) -> Result<(), String> {
        self.next += 1;
        let expected = Expected {
            repeat,
            attempts: 0,
            possibly_run: 0,
            ends: 0,
        };
        self.calls.insert(self.next, expected);
        let request = Request {
            organisation: format!("org{organisation}").into(),
            class: Class::ALL[class],
            deadline: self.now + Duration::from_millis(within),
            repeat,
            session: Some(self.rng.random_range(0..4)),
            ..super::request(self.next)
        };
        let actions = self.pool.submit(request, self.now, &mut self.rng);
        self.process(actions)
    }

    fn end(&mut self, idx: usize, outcome: Outcome) -> Result<(), String> {
        let (attempt, upstream) = self.running.remove(idx);
        if let Outcome::NotStarted(cause) = outcome {
            self.expected(attempt.ticket)?.possibly_run -= 1;
            if cause == Cause::Leaving {
                self.leaving.insert(upstream);
            }
        }
        let actions = self.pool.attempt_ended(attempt, outcome, self.now, &mut self.rng);
        self.process(actions)
    }

    fn process(&mut self, actions: Vec<Action>) -> Result<(), String> {
        for action in actions {
            match action {
                Action::Send {
                    attempt, upstream, ..
                } => self.sent(attempt, upstream)?,
                Action::Cancel { attempt, .. } => self.running.retain(|it| it.0 != attempt),
                Action::Finish { attempt } => self.record_end(attempt.ticket)?,
                Action::Refuse { ticket, refusal } => {
                    let possibly_run = self.expected(ticket)?.possibly_run;
                    if refusal.ran == Ran::No && possibly_run > 0 {
                        return Err(format!("{ticket} may have run, but the refusal denies it"));
                    }
                    if refusal.reason == Reason::Overloaded && refusal.retry_after.is_none() {
                        return Err(format!(
                            "{ticket} was refused as overloaded without a retry-after time"
                        ));
                    }
                    self.record_end(ticket)?;
                }
            }
        }
        let queued = self.pool.status(self.now).queued;
        if queued.iter().any(|it| *it > QUEUE_LENGTH) {
            return Err(format!("queues hold {queued:?} requests"));
        }
        Ok(())
    }

    fn sent(&mut self, attempt: Attempt, upstream: Upstream) -> Result<(), String> {
        if self.leaving.contains(&upstream) {
            return Err(format!("{upstream} is leaving and got {attempt:?}"));
        }
        let status = self.pool.status(self.now);
        let ejected = |it: &EngineStatus| it.name == upstream && matches!(it.health, Health::Ejected(_));
        if status.engines.iter().any(ejected) {
            return Err(format!("{upstream} is ejected and got {attempt:?}"));
        }
        let it = self.expected(attempt.ticket)?;
        if it.repeat == Repeat::NonIdempotent && it.possibly_run > 0 {
            return Err(format!("{attempt:?} repeats a call that may have run"));
        }
        if it.ends > 0 || it.attempts != attempt.number {
            return Err(format!("{attempt:?} is out of order"));
        }
        it.attempts += 1;
        it.possibly_run += 1;
        self.running.push((attempt, upstream));
        Ok(())
    }

    fn record_end(&mut self, ticket: Ticket) -> Result<(), String> {
        let it = self.expected(ticket)?;
        it.ends += 1;
        match it.ends {
            1 => Ok(()),
            ends => Err(format!("{ticket} ended {ends} times")),
        }
    }

    fn expected(&mut self, ticket: Ticket) -> Result<&mut Expected, String> {
        self.calls
            .get_mut(&ticket)
            .ok_or_else(|| format!("{ticket} was never submitted"))
    }

    /// Ends all attempts in flight and lets every deadline pass.
    fn drain(&mut self) -> Result<(), String> {
        for _ in 0..1_000 {
            self.apply(Op::Wait(1_000))?;
            if !self.running.is_empty() {
                self.end(0, Outcome::Done(Usage::default()))?;
            }
        }
        let open = self.calls.iter().find(|it| it.1.ends != 1);
        match open {
            None if self.pool.status(self.now).open == 0 => Ok(()),
            None => Err("the pool keeps requests that have ended".into()),
            Some((ticket, _)) => Err(format!("{ticket} has not ended")),
        }
    }
}

fn property(ops: Vec<Op>) -> Result<(), String> {
    let mut harness = Harness::new();
    harness.warm_up()?;
    for op in ops {
        harness.apply(op)?;
    }
    harness.drain()
}

fn ops() -> impl Strategy<Value = Vec<Op>> {
    let repeat = prop_oneof![Just(Repeat::Idempotent), Just(Repeat::NonIdempotent)];
    let state = prop_oneof![3 => Just(HostState::Live), 1 => Just(HostState::Leaving)];
    let outcome = prop_oneof![
        3 => Just(Outcome::Done(Usage::default())),
        1 => Just(Outcome::NotStarted(Cause::Connect)),
        1 => Just(Outcome::NotStarted(Cause::Busy)),
        1 => Just(Outcome::NotStarted(Cause::Other)),
        2 => Just(Outcome::Failed),
        2 => Just(Outcome::Silent),
    ];
    let submit = (0..4_usize, 0..3_usize, repeat, 1..30_000_u64);
    let op = prop_oneof![
        20 => submit.prop_map(|(class, organisation, repeat, within)| Op::Submit {
            class, organisation, repeat, within
        }),
        6 => (1..400_u64).prop_map(Op::Wait),
        6 => any::<usize>().prop_map(Op::Start),
        12 => (any::<usize>(), outcome).prop_map(|(idx, outcome)| Op::End(idx, outcome)),
        1 => (0..ENGINES).prop_map(Op::Leave),
        1 => prop::collection::vec(state, ENGINES).prop_map(Op::List),
        2 => (0..ENGINES, 0..80_u32, 0..20_u32)
            .prop_map(|(idx, running, waiting)| Op::Report(idx, running, waiting)),
        1 => any::<usize>().prop_map(Op::Cancel),
    ];
    prop::collection::vec(op, 1..150)
}

/// Guards against refusals that wrongly deny execution, lost or duplicate answers, requests sent to leaving
/// or ejected engines, repeated non-idempotent calls and queues beyond their bound.
#[test]
fn random_events_preserve_the_invariants() {
    assert_eq!(check_property(ops(), property), Ok(()));
}

macro_rules! detects {
    ($($name:ident: $fault:expr, $message:literal;)*) => {$(
        /// Guards against a check that cannot fail: with the fault injected, the property must be violated.
        #[test]
        fn $name() {
            let result = with_fault($fault, || check_property(ops(), property));
            let message = result.expect_err("the injected fault was not detected");
            assert!(message.contains($message), "{message}");
        }
    )*};
}

detects! {
    detects_a_false_refusal: Fault::AlwaysNotRun, "the refusal denies it";
    detects_a_lost_answer: Fault::SilentExpiry, "has not ended";
    detects_a_doubled_answer: Fault::FinishTwice, "ended 2 times";
    detects_work_for_an_ejected_engine: Fault::UseEjected, "is ejected and got";
    detects_work_for_a_leaving_engine: Fault::IgnoreLeaving, "is leaving and got";
    detects_a_hedged_non_idempotent_call: Fault::HedgeAll, "repeats a call that may have run";
    detects_a_resent_non_idempotent_call: Fault::ResendAll, "repeats a call that may have run";
    detects_an_overlong_queue: Fault::UnboundedQueue, "queues hold";
}
