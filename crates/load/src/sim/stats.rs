//! Figures of a run.

use std::time::Duration;

use model::Class;

use super::scenario::{End, Record, Results};
use crate::sim::traffic::Arrival;

/// Requests that arrived in a period.
pub fn between(results: &Results, from: Duration, to: Duration) -> impl Iterator<Item = (&Arrival, &Record)> {
    let all = results.arrivals.iter().zip(&results.records);
    all.filter(move |(it, _)| it.at >= from && it.at < to)
}

/// Whether the answer was complete in time.
pub fn useful(arrival: &Arrival, record: &Record) -> bool {
    matches!(record.end, End::Done(at) if at <= arrival.at + arrival.within)
}

/// Seconds until the answer was complete; a request without an answer counts as answered after its deadline.
pub fn latency(arrival: &Arrival, record: &Record) -> f64 {
    match record.end {
        End::Done(at) => (at - arrival.at).as_secs_f64(),
        _ => arrival.within.as_secs_f64() * 2.0,
    }
}

/// Quantile of values in any order; 0 without values.
pub fn quantile(mut values: Vec<f64>, rank: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    values[((values.len() - 1) as f64 * rank).round() as usize]
}

/// 95th percentile of the latency of a class.
pub fn p95(results: &Results, class: Class, from: Duration, to: Duration) -> f64 {
    let of_class = between(results, from, to).filter(|it| it.0.class == class);
    quantile(of_class.map(|it| latency(it.0, it.1)).collect(), 0.95)
}

/// Part of the whole; 1 if there is no whole.
pub fn share(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 1.0 }
}

/// Max-min fair division of `total` among demands.
pub fn fair_division(demands: &[f64], total: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| demands[*a].total_cmp(&demands[*b]));
    let mut shares = vec![0.0; demands.len()];
    let mut left = total;
    for (rank, idx) in order.iter().enumerate() {
        let equal = left / (demands.len() - rank) as f64;
        shares[*idx] = demands[*idx].min(equal);
        left -= shares[*idx];
    }
    shares
}
