//! Tests of the request queues.

use proptest::prelude::*;

use super::*;
use crate::fault::{check_property, with_fault};

const POPS: usize = 2_000;

fn entry(queue: &mut Queue, ticket: Ticket, flow: (Class, usize, u32, u64)) -> Entry {
    let (class, organisation, weight, cost) = flow;
    Entry {
        ticket,
        class,
        flow: queue.flow_id(class, &format!("org{organisation}").into()),
        weight,
        cost,
        expires_at: Duration::from_secs(100),
    }
}

/// Serves `POPS` requests while all flows have queued requests, and returns the cost served for each flow.
fn serve(flows: &[(Class, usize, u32, u64)]) -> Vec<f64> {
    let mut queue = Queue::new(Settings::default());
    let mut served = vec![0.0; flows.len()];
    let mut ticket = 0;
    let mut push = |queue: &mut Queue, idx: usize| {
        ticket += 1;
        let entry = entry(queue, ticket, flows[idx]);
        queue.push(entry);
    };
    for idx in 0..flows.len() {
        push(&mut queue, idx);
        push(&mut queue, idx);
    }
    for _ in 0..POPS {
        let Some(popped) = queue.pop() else { break };
        let mut flow_id = |idx: usize| queue.flow_id(flows[idx].0, &format!("org{}", flows[idx].1).into());
        let idx = (0..flows.len())
            .find(|it| flows[*it].0 == popped.class && flow_id(*it) == popped.flow)
            .expect("only listed flows are queued");
        served[idx] += popped.cost as f64;
        push(&mut queue, idx);
    }
    served
}

fn class_shares(costs: [u64; 4]) -> Result<(), String> {
    let flows: Vec<_> = Class::ALL
        .iter()
        .map(|it| (*it, 0, 1, costs[it.index()]))
        .collect();
    let served = serve(&flows);
    let total: f64 = served.iter().sum();
    let shares = Settings::default().shares;
    for (idx, got) in served.iter().enumerate() {
        // At any time each class may still be owed the cost of one request, which may be the largest.
        let deficit = 2.0 * 500.0;
        if *got < shares[idx] * total - deficit {
            return Err(format!("class {idx} was served {got} of {total}"));
        }
    }
    Ok(())
}

fn organisation_shares(flows: Vec<(u32, u64)>) -> Result<(), String> {
    let flows: Vec<_> = flows
        .into_iter()
        .enumerate()
        .map(|(idx, (weight, cost))| (Class::Standard, idx, weight, cost))
        .collect();
    let served = serve(&flows);
    let total: f64 = served.iter().sum();
    let weights: f64 = flows.iter().map(|it| f64::from(it.2)).sum();
    for (idx, got) in served.iter().enumerate() {
        let share = f64::from(flows[idx].2) / weights * total;
        // Start-time fair queueing may lag by one request of each organisation.
        let lag = 500.0 * (flows.len() as f64 + 1.0);
        if *got < share - lag {
            return Err(format!(
                "organisation {idx} was served {got} of its share {share}"
            ));
        }
    }
    Ok(())
}

fn bounds(pushes: Vec<(usize, usize)>) -> Result<(), String> {
    const LENGTH: usize = 8;
    let mut queue = Queue::new(Settings {
        max_length: LENGTH,
        ..Settings::default()
    });
    let mut expected: usize = 0;
    for (ticket, (class, organisation)) in pushes.into_iter().enumerate() {
        let entry = entry(
            &mut queue,
            ticket as Ticket,
            (Class::ALL[class], organisation, 1, 10),
        );
        let pushed = queue.push(entry);
        expected += usize::from(pushed == PushOutcome::Queued);
        if Class::ALL.iter().any(|it| queue.class_len(*it) > LENGTH) || queue.len() != expected {
            return Err("a queue exceeds its bound or lost a request".into());
        }
    }
    Ok(())
}

fn costs() -> impl Strategy<Value = [u64; 4]> {
    [1..500_u64, 1..500, 1..500, 1..500]
}

fn organisations() -> impl Strategy<Value = Vec<(u32, u64)>> {
    prop::collection::vec((1..20_u32, 1..500_u64), 2..8)
}

fn pushes() -> impl Strategy<Value = Vec<(usize, usize)>> {
    prop::collection::vec((0..4_usize, 0..3_usize), 1..100)
}

/// Guards against a lower class that starves while higher classes have queued requests.
#[test]
fn every_class_gets_its_guaranteed_share() {
    assert_eq!(check_property(costs(), class_shares), Ok(()));
    with_fault(Fault::StrictPriority, || {
        assert!(check_property(costs(), class_shares).is_err());
    });
}

/// Guards against an organisation that gets less than its share while it has queued requests.
#[test]
fn every_organisation_gets_its_share() {
    assert_eq!(check_property(organisations(), organisation_shares), Ok(()));
    with_fault(Fault::UnfairQueue, || {
        assert!(check_property(organisations(), organisation_shares).is_err());
    });
}

/// Guards against queues that grow without bound, and against evictions that make the length wrong.
#[test]
fn queues_stay_within_their_bounds() {
    assert_eq!(check_property(pushes(), bounds), Ok(()));
    with_fault(Fault::UnboundedQueue, || {
        assert!(check_property(pushes(), bounds).is_err());
    });
}
