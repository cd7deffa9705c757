//! Metrics of the communication between nodes.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Metrics of the communication between nodes.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    /// Datagrams that failed authentication or were malformed.
    pub gossip_rejected: Counter,
    /// Datagrams that could not be received.
    pub gossip_failures: Counter,
    /// Calls from other nodes that failed authentication or were malformed.
    pub calls_rejected: Counter,
    /// Live members, this node included.
    pub members: Gauge,
    /// Members that were declared dead.
    pub deaths: Counter,
    /// Batches held for other nodes.
    pub held_batches: Gauge,
    /// Bytes of the batches held for other nodes.
    pub held_bytes: Gauge,
    /// Copies of own batches sent to a peer in this node's failure domain because no peer in another one was
    /// available.
    pub same_domain_copies: Gauge,
    /// Own billing records in the log.
    pub billing_logged: Gauge,
    /// Batches of other nodes that were refused because the limit on held bytes was reached.
    pub hold_refusals: Counter,
    /// Batches of own records that a peer refused or did not confirm.
    pub hold_failures: Counter,
    /// Appends of batches whose origin is dead.
    pub takeover_appends: Counter,
    /// Keyed calls that were executed here.
    pub keyed_executions: Counter,
    /// Keyed calls that received the stored response of their first execution.
    pub keyed_replays: Counter,
    /// Keyed calls that were forwarded to the node that issued the key.
    pub keyed_forwards: Counter,
    /// Forwarded keyed calls to which the issuer did not reply.
    pub keyed_forward_failures: Counter,
    /// Keyed calls with an unknown outcome.
    pub keyed_unknown: Counter,
    /// Keys in the table of this node.
    pub keys: Gauge,
    /// Sealed tables that were handed over to this node.
    pub tables_received: Counter,
    /// Sealed tables that this node handed over.
    pub tables_sent: Counter,
    /// Replies of peers with configuration.
    pub config_fetched: Counter,
    /// Failed reads of a peer's configuration.
    pub config_fetch_failures: Counter,
    /// Configuration snapshots that this node appended to the log.
    pub config_snapshots: Counter,
    /// Exchanges of counters about the quality of versions.
    pub evidence_exchanged: Counter,
    /// Counters about the quality of versions that were received from other nodes.
    pub evidence_received: Counter,
    /// Exchanges to which the partner did not reply.
    pub evidence_failures: Counter,
    /// Whether this node refuses model requests because it may have missed changes.
    pub config_stale: Gauge,
}

impl Metrics {
    /// Registers all metrics.
    pub(crate) fn register(&self, registry: &mut Registry) {
        let counters = [
            (
                "gossip_rejected",
                "Datagrams that did not authenticate",
                &self.gossip_rejected,
            ),
            (
                "gossip_failures",
                "Datagrams that could not be received",
                &self.gossip_failures,
            ),
            (
                "peer_calls_rejected",
                "Calls of nodes that did not authenticate",
                &self.calls_rejected,
            ),
            ("member_deaths", "Members that were taken for dead", &self.deaths),
            (
                "billing_hold_refusals",
                "Batches refused for lack of room",
                &self.hold_refusals,
            ),
            (
                "billing_hold_failures",
                "Own batches that a peer did not take",
                &self.hold_failures,
            ),
            (
                "billing_takeover_appends",
                "Appends for dead nodes",
                &self.takeover_appends,
            ),
            (
                "keyed_executions",
                "Keyed calls executed here",
                &self.keyed_executions,
            ),
            (
                "keyed_replays",
                "Keyed calls answered from the table",
                &self.keyed_replays,
            ),
            (
                "keyed_forwards",
                "Keyed calls forwarded to their issuer",
                &self.keyed_forwards,
            ),
            (
                "keyed_forward_failures",
                "Forwards without a reply",
                &self.keyed_forward_failures,
            ),
            (
                "keyed_unknown",
                "Keyed calls with an unknown outcome",
                &self.keyed_unknown,
            ),
            (
                "key_tables_received",
                "Sealed key tables received",
                &self.tables_received,
            ),
            (
                "key_tables_sent",
                "Sealed key tables handed over",
                &self.tables_sent,
            ),
            (
                "config_fetched",
                "Replies of peers with configuration",
                &self.config_fetched,
            ),
            (
                "config_fetch_failures",
                "Failed reads from peers",
                &self.config_fetch_failures,
            ),
            (
                "config_snapshots",
                "Configuration snapshots written",
                &self.config_snapshots,
            ),
            (
                "evidence_exchanged",
                "Exchanges of counters about the quality of versions",
                &self.evidence_exchanged,
            ),
            (
                "evidence_received",
                "Counters about the quality of versions that came from other nodes",
                &self.evidence_received,
            ),
            (
                "evidence_failures",
                "Exchanges to which the partner did not reply",
                &self.evidence_failures,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        let gauges = [
            ("members", "Live nodes", &self.members),
            (
                "billing_held_batches",
                "Batches held for other nodes",
                &self.held_batches,
            ),
            (
                "billing_held_bytes",
                "Bytes held for other nodes",
                &self.held_bytes,
            ),
            (
                "billing_same_domain_copies",
                "Copies in the own failure domain",
                &self.same_domain_copies,
            ),
            (
                "billing_logged",
                "Own billing records in the log",
                &self.billing_logged,
            ),
            ("keys", "Idempotency keys in the table", &self.keys),
            (
                "config_stale",
                "Whether model requests are refused for a stale configuration",
                &self.config_stale,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }
}
