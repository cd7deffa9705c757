//! Tests of the model.

use std::time::Duration;

use super::engine::{BLOCK_TOKENS, Engine, Fault, Milestone, Spec, Work};
use super::stats::{fair_division, quantile};

fn work(job: u64, prompt: u32, output: u32) -> Work {
    Work {
        job,
        priority: 0,
        prompt,
        output,
        blocks: (0..u64::from(prompt / BLOCK_TOKENS)).collect(),
    }
}

fn finish(engine: &mut Engine) -> Vec<(u64, Duration, u32)> {
    let mut done = Vec::new();
    while let Some(now) = engine.next() {
        let reached = engine.reached(now);
        let ends = reached.into_iter().filter(|it| it.1 == Milestone::Done);
        done.extend(ends.map(|(job, _, cached)| (job, now, cached)));
    }
    done
}

/// Guards against a model in which a larger batch costs nothing.
#[test]
fn token_rate_falls_with_the_batch() {
    let time = |jobs: u64| {
        let mut engine = Engine::new(Spec::default());
        (0..jobs).for_each(|it| engine.push(work(it, 0, 100), Duration::ZERO));
        finish(&mut engine)[0].1
    };
    assert!(time(40) > time(1) * 3 / 2);
}

/// Guards against batches beyond the count and memory of an engine.
#[test]
fn batch_is_bounded() {
    let spec = Spec::default();
    let mut engine = Engine::new(spec);
    (0..100).for_each(|it| engine.push(work(it, 10, 10), Duration::ZERO));
    assert_eq!(engine.load().running as usize, spec.batch);
    let mut engine = Engine::new(spec);
    (0..10).for_each(|it| engine.push(work(it, spec.memory / 4, 100), Duration::ZERO));
    assert_eq!(engine.load().running, 3);
}

/// Guards against a prefix cache that never hits, and against one that hits the first time.
#[test]
fn second_prompt_is_cached() {
    let mut engine = Engine::new(Spec::default());
    (0..2).for_each(|it| engine.push(work(it, 640, 10), Duration::ZERO));
    let cached: Vec<u32> = finish(&mut engine).into_iter().map(|it| it.2).collect();
    assert_eq!((cached.iter().min(), cached.iter().max()), (Some(&0), Some(&640)));
}

/// Guards against a silent engine that answers.
#[test]
fn silent_engine_makes_no_progress() {
    let mut engine = Engine::new(Spec::default());
    engine.set_fault(Fault::Silent, Duration::ZERO);
    engine.push(work(0, 100, 10), Duration::ZERO);
    assert_eq!(engine.next(), None);
}

/// Guards against fair shares above a demand, and against capacity that nobody gets.
#[test]
fn fair_division_is_max_min() {
    assert_eq!(fair_division(&[1.0, 10.0, 4.0], 9.0), [1.0, 4.0, 4.0]);
    assert_eq!(fair_division(&[1.0, 2.0], 9.0), [1.0, 2.0]);
}

/// Guards against quantiles of unsorted values.
#[test]
fn quantile_orders_its_values() {
    assert_eq!(quantile(vec![3.0, 1.0, 2.0], 0.5), 2.0);
}
