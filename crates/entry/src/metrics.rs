//! Counters and histograms in the Prometheus text format.

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Name and value of one label.
type Label = [(&'static str, &'static str); 1];

/// Name of a service, as the value of a label.
type ServiceLabel = [(&'static str, String); 1];

/// Metrics of a node.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests of callers by status class of the final response.
    pub requests: Family<Label, Counter>,
    /// Refusals by this node, by reason.
    pub refusals: Family<Label, Counter>,
    /// Failed attempts by kind of failure.
    pub failures: Family<Label, Counter>,
    /// Responses of engines that callers did not get because their status would have been a false promise.
    pub responses_withheld: Counter,
    /// Retries by reason.
    pub retries: Family<Label, Counter>,
    /// Requests that count towards the retry budget, by service.
    pub retry_budget_requests: Family<ServiceLabel, Counter>,
    /// Retries that the retry budget allowed, by service.
    pub retries_allowed: Family<ServiceLabel, Counter>,
    /// Second and later arrivals of a request at engines, by service.
    pub retries_spent: Family<ServiceLabel, Counter>,
    /// Datagrams of other nodes that were not understood, by kind.
    pub datagrams_rejected: Family<Label, Counter>,
    /// Datagrams about the number of hosts that this node has sent.
    pub host_counts_sent: Counter,
    /// Questions to other nodes for retries, by result.
    pub retry_queries: Family<Label, Counter>,
    /// Retries that the retry budget did not allow, by service.
    pub retries_denied: Family<ServiceLabel, Counter>,
    /// Streams resumed on another engine.
    pub streams_resumed: Counter,
    /// Streams that broke off.
    pub streams_broken: Counter,
    /// Responses of engines that were cut off at a bound, by bound.
    pub responses_cut_off: Family<Label, Counter>,
    /// Connections of callers that were cut off at a bound, by bound.
    pub connections_cut_off: Family<Label, Counter>,
    /// Changes of the request limits that engines state, by change.
    pub request_limit_changes: Family<Label, Counter>,
    /// Statements of engines that leave, close or open again, and unreadable ones.
    pub engine_statements: Family<Label, Counter>,
    /// Questions for permits to engines with a request limit, by result.
    pub permits: Family<Label, Counter>,
    /// Changes of what is known about engines that are not warm, by change.
    pub warm_up_changes: Family<Label, Counter>,
    /// Requests to slow engines that show whether these are still slow, by result.
    pub latency_trials: Family<Label, Counter>,
    /// Changes of what is held back because it ends engines, by change.
    pub hold_changes: Family<Label, Counter>,
    /// Failure domains under an order to evacuate them.
    pub evacuated_domains: Gauge,
    /// Changes of evacuations, by change.
    pub evacuation_changes: Family<Label, Counter>,
    /// Requests to the store by topic and kind of call.
    pub store_calls: Family<[(&'static str, &'static str); 2], Counter>,
    /// Reads of changes from the store, by the reason why no other node provided them.
    pub store_reads: Family<Label, Counter>,
    /// Requests to the store without a usable response.
    pub store_failures: Counter,
    /// Reads of the store obtained from other nodes, by topic.
    pub relayed: Family<Label, Counter>,
    /// Lists of changes that other nodes asked for, by topic and by who passes them on.
    pub changes_passed_on: Family<[(&'static str, &'static str); 2], Counter>,
    /// Changes of paths to engines, by change.
    pub path_changes: Family<Label, Counter>,
    /// Questions for places at brittle engines, by result.
    pub places: Family<Label, Counter>,
    /// Checks of engines that broke off requests, by result.
    pub engine_end_checks: Family<Label, Counter>,
    /// Requests that other nodes were asked to pass on to engines, by result.
    pub requests_passed_on: Family<Label, Counter>,
    /// Requests that this node was asked to pass on for other nodes, by result.
    pub requests_taken: Family<Label, Counter>,
    /// Bytes of load reports sent to other nodes, without headers of datagrams.
    pub load_report_bytes: Counter,
    /// Load reports of other nodes, by result.
    pub load_reports: Family<Label, Counter>,
    /// Requests that exceed what engines can serve, by result.
    pub admissions: Family<Label, Counter>,
    /// Services whose engines are overloaded.
    pub overloaded_services: Gauge,
    /// Choices for which engines had no room in their memory, by result.
    pub engine_memory_choices: Family<Label, Counter>,
    /// Open connections of callers.
    pub connections: Gauge,
    /// Seconds to the first byte of a response.
    pub first_byte_seconds: Histogram,
}

/// The label of a service.
pub(crate) fn service_label(service: &str) -> ServiceLabel {
    [("service", service.to_owned())]
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut it = Self {
            registry: Registry::with_prefix("bronzevale"),
            requests: Family::default(),
            refusals: Family::default(),
            failures: Family::default(),
            responses_withheld: Counter::default(),
            retries: Family::default(),
            retry_budget_requests: Family::default(),
            retries_allowed: Family::default(),
            retries_spent: Family::default(),
            retries_denied: Family::default(),
            datagrams_rejected: Family::default(),
            host_counts_sent: Counter::default(),
            retry_queries: Family::default(),
            streams_resumed: Counter::default(),
            streams_broken: Counter::default(),
            responses_cut_off: Family::default(),
            connections_cut_off: Family::default(),
            request_limit_changes: Family::default(),
            engine_statements: Family::default(),
            permits: Family::default(),
            warm_up_changes: Family::default(),
            latency_trials: Family::default(),
            hold_changes: Family::default(),
            evacuated_domains: Gauge::default(),
            evacuation_changes: Family::default(),
            store_calls: Family::default(),
            store_reads: Family::default(),
            store_failures: Counter::default(),
            relayed: Family::default(),
            changes_passed_on: Family::default(),
            path_changes: Family::default(),
            places: Family::default(),
            engine_end_checks: Family::default(),
            requests_passed_on: Family::default(),
            requests_taken: Family::default(),
            load_report_bytes: Counter::default(),
            load_reports: Family::default(),
            admissions: Family::default(),
            overloaded_services: Gauge::default(),
            engine_memory_choices: Family::default(),
            connections: Gauge::default(),
            first_byte_seconds: Histogram::new(exponential_buckets(0.002, 2.0, 14)),
        };
        it.register();
        it
    }

    /// All metrics in the text format.
    pub(crate) fn encode(&self) -> String {
        let mut out = String::new();
        if let Err(err) = text::encode(&mut out, &self.registry) {
            log::error!("cannot encode metrics: {err}");
        }
        out
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Requests by class of the final status",
            self.requests.clone(),
        );
        registry.register(
            "refusals",
            "Refusals of this node by reason",
            self.refusals.clone(),
        );
        registry.register("failures", "Failed attempts by failure", self.failures.clone());
        registry.register(
            "responses_withheld",
            "Responses of engines whose status says that a request which may have run has not",
            self.responses_withheld.clone(),
        );
        registry.register(
            "retries",
            "Second and later attempts by reason",
            self.retries.clone(),
        );
        registry.register(
            "retry_budget_requests",
            "Requests that count towards the retry budget, by service",
            self.retry_budget_requests.clone(),
        );
        registry.register(
            "retries_allowed",
            "Attempts that the retry budget allowed, by service",
            self.retries_allowed.clone(),
        );
        registry.register(
            "retries_spent",
            "Attempts beyond the first of a request that were sent, by service",
            self.retries_spent.clone(),
        );
        registry.register(
            "datagrams_rejected",
            "Datagrams of other nodes that were not understood, by kind",
            self.datagrams_rejected.clone(),
        );
        registry.register(
            "host_counts_sent",
            "Datagrams to other nodes about the number of hosts",
            self.host_counts_sent.clone(),
        );
        registry.register(
            "retry_queries",
            "Questions to other nodes for retries, by result",
            self.retry_queries.clone(),
        );
        registry.register(
            "retries_denied",
            "Attempts beyond the retry budget, by service",
            self.retries_denied.clone(),
        );
        registry.register(
            "streams_resumed",
            "Streams continued elsewhere",
            self.streams_resumed.clone(),
        );
        registry.register(
            "streams_broken",
            "Streams that broke off",
            self.streams_broken.clone(),
        );
        registry.register(
            "responses_cut_off",
            "Responses of engines that were cut off, by bound",
            self.responses_cut_off.clone(),
        );
        registry.register(
            "connections_cut_off",
            "Connections of callers that were cut off, by bound",
            self.connections_cut_off.clone(),
        );
        registry.register(
            "request_limit_changes",
            "Changes of the request limits that engines state, by change",
            self.request_limit_changes.clone(),
        );
        registry.register(
            "engine_statements",
            "Engines that leave, close or open again, by statement",
            self.engine_statements.clone(),
        );
        registry.register(
            "permits",
            "Questions for permits to engines with a request limit, by result",
            self.permits.clone(),
        );
        registry.register(
            "warm_up_changes",
            "Changes of what is known about engines that are not warm, by change",
            self.warm_up_changes.clone(),
        );
        registry.register(
            "latency_trials",
            "Requests to slow engines that show whether these are still slow, by result",
            self.latency_trials.clone(),
        );
        registry.register(
            "hold_changes",
            "Changes of what is held back because it ends engines, by change",
            self.hold_changes.clone(),
        );
        registry.register(
            "evacuated_domains",
            "Failure domains under an order to evacuate them",
            self.evacuated_domains.clone(),
        );
        registry.register(
            "evacuation_changes",
            "Changes of the evacuations of failure domains, by change",
            self.evacuation_changes.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the store by topic and kind",
            self.store_calls.clone(),
        );
        registry.register(
            "store_reads",
            "Readings of changes from the store by reason",
            self.store_reads.clone(),
        );
        registry.register(
            "store_failures",
            "Failed calls to the store",
            self.store_failures.clone(),
        );
        registry.register(
            "relayed",
            "Readings of the store from other nodes",
            self.relayed.clone(),
        );
        registry.register(
            "changes_passed_on",
            "Lists of changes that other nodes asked for",
            self.changes_passed_on.clone(),
        );
        registry.register(
            "path_changes",
            "Paths to engines that were lost or regained",
            self.path_changes.clone(),
        );
        registry.register(
            "places",
            "Questions for places at brittle engines, by result",
            self.places.clone(),
        );
        registry.register(
            "engine_end_checks",
            "Checks of engines that broke off requests, by result",
            self.engine_end_checks.clone(),
        );
        registry.register(
            "requests_passed_on",
            "Requests that other nodes were asked to pass on, by result",
            self.requests_passed_on.clone(),
        );
        registry.register(
            "requests_taken",
            "Requests of other nodes, by result",
            self.requests_taken.clone(),
        );
        registry.register(
            "load_report_bytes",
            "Bytes of load reports sent to other nodes",
            self.load_report_bytes.clone(),
        );
        registry.register(
            "load_reports",
            "Load reports of other nodes, by result",
            self.load_reports.clone(),
        );
        registry.register(
            "admissions",
            "Requests that exceed what engines can serve, by result",
            self.admissions.clone(),
        );
        registry.register(
            "overloaded_services",
            "Services whose engines are overloaded",
            self.overloaded_services.clone(),
        );
        registry.register(
            "engine_memory_choices",
            "Choices for which engines had no room in their memory, by result",
            self.engine_memory_choices.clone(),
        );
        registry.register("connections", "Connections of callers", self.connections.clone());
        registry.register(
            "first_byte_seconds",
            "Time to the first byte",
            self.first_byte_seconds.clone(),
        );
    }
}
