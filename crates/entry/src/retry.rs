//! Retries of requests within the budget of their service.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use forward::BootTime;
use forward::fleet_part::agreement::Agreement;
use forward::fleet_part::{FleetPart, Observation, Start};
use forward::retry_budget::{Denial, Inquiry, Part, Reservation, RetryBudget, RetryLimit, RetryReason};
use model::{Host, Name};
use serde_json::json;

use crate::metrics::service_label;
use crate::pending::PendingReplies;
use crate::request::RequestContext;
use crate::retry_query::{self, RetryReply};
use crate::shared::{HostCounts, Shared, lock};
use crate::{clock, host_agreement, selection};

/// Retry budgets of this node.
#[derive(Debug)]
pub(crate) struct Retries {
    budgets: Mutex<HashMap<Name, RetryBudget>>,
    pub fleet: Mutex<FleetPart>,
    pub agreement: Mutex<Agreement>,
    inquiries: Mutex<HashMap<Name, Inquiry>>,
    pub pending: PendingReplies<RetryReply>,
}

impl Retries {
    pub(crate) fn new(start: Start, started_at: BootTime) -> Self {
        Self {
            budgets: Mutex::default(),
            fleet: Mutex::new(FleetPart::new(start, started_at)),
            agreement: Mutex::default(),
            inquiries: Mutex::default(),
            pending: PendingReplies::default(),
        }
    }

    /// Begins a question to other nodes if it is worth one.
    pub(crate) fn try_begin_inquiry(&self, service: &Name, now: BootTime) -> bool {
        let mut inquiries = lock(&self.inquiries);
        inquiries.entry(service.clone()).or_default().try_begin(now)
    }

    /// Ends a question to other nodes.
    pub(crate) fn end_inquiry(&self, service: &Name, is_granted: bool, now: BootTime) {
        if let Some(inquiry) = lock(&self.inquiries).get_mut(service) {
            inquiry.end(is_granted, now, &mut rand::rng());
        }
    }
}

/// A reserved retry. It is returned to the budget unless it is sent.
#[derive(Debug)]
pub(crate) struct Reserved {
    shared: Arc<Shared>,
    service: Name,
    reservation: Reservation,
    /// Whether it is counted by this node, and not sent so far.
    is_held: bool,
}

impl Reserved {
    /// A retry in this node's part of the budget.
    fn own(shared: &Arc<Shared>, service: &Name, reservation: Reservation) -> Self {
        Self {
            shared: shared.clone(),
            service: service.clone(),
            reservation,
            is_held: true,
        }
    }

    /// A retry that another node has granted and counts.
    pub(crate) fn granted(shared: &Arc<Shared>, service: &Name, reservation: Reservation) -> Self {
        let mut reserved = Self::own(shared, service, reservation);
        reserved.is_held = false;
        reserved
    }

    fn send(mut self, now: BootTime) {
        if std::mem::take(&mut self.is_held) {
            let reservation = &self.reservation;
            self.shared
                .with_retry_budget(&self.service, |it| it.record_sent(reservation, now));
        }
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        if self.is_held {
            let reservation = &self.reservation;
            self.shared
                .with_retry_budget(&self.service, |it| it.release(reservation));
        }
    }
}

impl Shared {
    /// Counts a request to a service that arrived at `at` towards its retry budget.
    pub(crate) fn count_request(&self, service: &Name, at: BootTime, now: BootTime) {
        self.with_retry_budget(service, |it| it.record_request(at, now));
        let label = service_label(service);
        self.metrics.retry_budget_requests.get_or_create(&label).inc();
    }

    /// Counts the hosts that a limit over all nodes is divided by again.
    pub(crate) fn update_fleet_part(&self, now: BootTime) {
        let HostCounts { reachable, known } = self.host_counts();
        let mut told: Vec<_> = {
            let members = lock(&self.members);
            // A process and the one that replaces it are one host.
            let mut by_host: HashMap<&Host, usize> = HashMap::new();
            for member in members.present() {
                let least = by_host.entry(&member.host).or_insert(usize::MAX);
                *least = (*least).min(member.observed_hosts as usize);
            }
            by_host.into_values().collect()
        };
        let hosts = told.len();
        told.retain(|it| *it > 0);
        let older = hosts - told.len();
        let observation = Observation {
            reachable,
            known,
            told,
            older,
        };
        lock(&self.retries.fleet).observe(&observation, now);
        host_agreement::update(self, now);
    }

    /// Hosts of the fleet that this node has observed.
    pub(crate) fn observed_hosts(&self) -> usize {
        lock(&self.retries.fleet).observed()
    }

    /// What this node may use of a retry budget.
    fn retry_part(&self, now: BootTime) -> Part {
        let window = self.settings().bounds.retry_window;
        lock(&self.retries.fleet).retry_part(window, now)
    }

    /// Reserves one retry of a request to a service if the budget allows it.
    pub(crate) fn try_reserve_retry(
        &self,
        service: &Name,
        reason: RetryReason,
        now: BootTime,
    ) -> Result<Reservation, Denial> {
        let part = self.retry_part(now);
        let reserved = self.with_retry_budget(service, |it| it.try_reserve(reason, part, now));
        let counters = match reserved {
            Ok(_) => &self.metrics.retries_allowed,
            // The node that asked has counted the denial.
            Err(_) if reason == RetryReason::Peer => return reserved,
            Err(_) => &self.metrics.retries_denied,
        };
        counters.get_or_create(&service_label(service)).inc();
        reserved
    }

    /// The limit for the whole fleet.
    fn retry_limit(&self) -> RetryLimit {
        let bounds = &self.settings().bounds;
        RetryLimit {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
        }
    }

    fn with_retry_budget<T>(&self, service: &Name, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let limit = self.retry_limit();
        let mut budgets = lock(&self.retries.budgets);
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(limit));
        if budget.limit() != limit {
            budget.replace_limit(limit);
        }
        f(budget)
    }
}

/// State of the budgets for operators: what this node counts in the window that ends now, and its parts of the limit.
pub(crate) fn state(shared: &Shared, now: BootTime) -> serde_json::Value {
    let Part { slack, ratio } = shared.retry_part(now);
    let budgets = lock(&shared.retries.budgets);
    let services = budgets.iter().map(|(service, budget)| {
        let (spent, requests) = budget.current(now);
        json!({ "service": **service, "requests": requests, "spent": spent })
    });
    let (hosts, agreed) = {
        let fleet = lock(&shared.retries.fleet);
        (fleet.hosts(now), fleet.is_settled(now))
    };
    json!({ "hosts": hosts, "hosts_agreed": agreed, "slack_part": slack, "ratio_part": ratio, "services": services.collect::<Vec<_>>() })
}

/// The budget of a service for operators, and what it would say to a retry now. Reserves nothing.
pub(crate) fn explain(shared: &Shared, service: &Name, now: BootTime) -> serde_json::Value {
    let part = shared.retry_part(now);
    let limit = shared.retry_limit();
    let known = lock(&shared.retries.budgets).get(service).cloned();
    let mut budget = known.unwrap_or_else(|| RetryBudget::new(limit));
    if budget.limit() != limit {
        budget.replace_limit(limit);
    }
    let (spent, requests) = budget.current(now);
    // A copy is asked, so that the budget keeps what it has.
    let denied = |reason| budget.clone().try_reserve(reason, part, now).err();
    let state = |reason| match denied(reason) {
        None => json!({ "granted": true }),
        Some(it) => {
            json!({ "granted": false, "spent": it.spent, "requests": it.requests, "allowed": it.allowed })
        }
    };
    json!({
        "requests": requests,
        "spent": spent,
        "ratio": limit.ratio,
        "slack": limit.slack,
        "ratio_part": part.ratio,
        "slack_part": part.slack,
        "after_failure": state(RetryReason::Failure),
        "for_quality": state(RetryReason::Quality),
    })
}

impl RequestContext {
    /// Reserves a retry before a silent attempt is abandoned; without it the request must keep waiting.
    pub(crate) async fn reserve_retry(&mut self) -> bool {
        self.may_run_again(clock::now())
            && selection::has_open(self, &self.tried)
            && self.reserve_or_ask(RetryReason::Failure).await
    }

    /// Whether the next attempt, for a reason, is within the budget. Asks other nodes if this node's part of it is used up.
    pub(crate) async fn reserve_or_ask(&mut self, reason: RetryReason) -> bool {
        if self.is_within_budget(reason, clock::now()) {
            return true;
        }
        self.reserved = retry_query::ask(&self.shared, &self.service).await;
        self.reserved.is_some()
    }

    /// Whether the next attempt is within the budget. Reserves a retry, unless the request was not sent before.
    fn is_within_budget(&mut self, reason: RetryReason, now: BootTime) -> bool {
        self.retry_state.sends() == 0 || self.try_reserve(reason, now)
    }

    /// Reserves a retry unless one is reserved that may still be sent.
    fn try_reserve(&mut self, reason: RetryReason, now: BootTime) -> bool {
        if self
            .reserved
            .as_ref()
            .is_some_and(|it| it.reservation.is_valid(now))
        {
            return true;
        }
        // Returned first, as the new one may take its place.
        self.reserved = None;
        match self.shared.try_reserve_retry(&self.service, reason, now) {
            Ok(reservation) => {
                self.reserved = Some(Reserved::own(&self.shared, &self.service, reservation));
                true
            }
            Err(denial) => {
                self.log_denied(reason, denial);
                false
            }
        }
    }

    /// Records that the request is about to be sent to an engine; called before the first byte. Returns whether the
    /// budget allows that: what was reserved may have expired.
    pub(crate) fn mark_sent(&mut self) -> bool {
        let now = clock::now();
        if !self.is_within_budget(RetryReason::Failure, now) {
            return false;
        }
        if let Some(reserved) = self.reserved.take() {
            let label = service_label(&self.service);
            self.shared.metrics.retries_spent.get_or_create(&label).inc();
            reserved.send(now);
        }
        self.retry_state.mark_sent();
        true
    }

    fn log_denied(&self, reason: RetryReason, denial: Denial) {
        let Denial {
            age,
            spent,
            requests,
            allowed,
        } = denial;
        let Part { slack, ratio } = self.shared.retry_part(clock::now());
        let age_ms = age.as_millis() as u64;
        log::info!(
            id = self.id, service = *self.service, reason:?, age_ms, spent, requests, allowed, slack, ratio;
            "retry denied"
        );
    }
}
