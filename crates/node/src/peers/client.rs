//! Calls to other nodes, each with a deadline.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use model::Incarnation;
use prost::Message;
use tokio::runtime::Handle;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Response, Status};
use wire::peer::peer_client::PeerClient;
use wire::peer::{
    ExecuteReply, ExecuteRequest, FetchConfigReply, FetchConfigRequest, HandOverRequest, HoldBatchRequest,
    MergeEvidenceReply, MergeEvidenceRequest, SettleBatchRequest,
};

use super::auth::ClusterKey;

/// Header that carries the tag of a call.
pub(super) const TAG_HEADER: &str = "x-cluster-tag";

/// Maximum size of a decoded message; must fit a sealed table with 8 MiB of responses, and a configuration
/// with its proposal ids.
pub(super) const MAX_MESSAGE_BYTES: usize = 32 << 20;

/// Time-out of short calls; peers in the same region answer within a few milliseconds.
const SHORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time-out of calls that transfer a table or a configuration.
const LONG_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval of keep-alive probes on idle connections, and the time-out of their replies, after which an
/// unresponsive connection is replaced.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// A peer that can be called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Target {
    /// Process of the peer; another process at the same address refuses the call.
    pub incarnation: Incarnation,
    /// Address at which the peer accepts calls.
    pub address: SocketAddr,
}

/// A call failed or timed out; it may have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the peer did not reply")]
pub(crate) struct Unreachable;

/// Connections to peers.
#[derive(Debug)]
pub(crate) struct Client {
    runtime: Handle,
    key: ClusterKey,
    connect_timeout: Duration,
    channels: Mutex<HashMap<Incarnation, Channel>>,
}

impl Client {
    /// Creates a client without connections.
    pub(crate) fn new(runtime: Handle, key: ClusterKey, connect_timeout: Duration) -> Self {
        Self {
            runtime,
            key,
            connect_timeout,
            channels: Mutex::default(),
        }
    }

    /// The runtime on which the calls run.
    pub(crate) fn runtime(&self) -> &Handle {
        &self.runtime
    }

    /// Asks a peer to hold a batch.
    pub(crate) async fn hold(&self, to: Target, message: HoldBatchRequest) -> Result<bool, Unreachable> {
        let send = |mut client: PeerClient<Channel>, request| async move { client.hold_batch(request).await };
        let reply = self.call(to, "HoldBatch", message, SHORT_TIMEOUT, send).await?;
        Ok(reply.held)
    }

    /// Notifies a peer of batches that are in the log.
    pub(crate) async fn settle(&self, to: Target, message: SettleBatchRequest) -> Result<(), Unreachable> {
        let send =
            |mut client: PeerClient<Channel>, request| async move { client.settle_batch(request).await };
        self.call(to, "SettleBatch", message, SHORT_TIMEOUT, send).await?;
        Ok(())
    }

    /// Forwards a keyed call and waits for its outcome.
    pub(crate) fn execute(
        &self,
        to: Target,
        message: ExecuteRequest,
        timeout: Duration,
    ) -> Result<ExecuteReply, Unreachable> {
        let send = |mut client: PeerClient<Channel>, request| async move { client.execute(request).await };
        self.runtime
            .block_on(self.call(to, "Execute", message, timeout, send))
    }

    /// Hands a sealed table over to a peer.
    pub(crate) fn hand_over(&self, to: Target, message: HandOverRequest) -> Result<(), Unreachable> {
        let send = |mut client: PeerClient<Channel>, request| async move { client.hand_over(request).await };
        self.runtime
            .block_on(self.call(to, "HandOver", message, LONG_TIMEOUT, send))?;
        Ok(())
    }

    /// Exchanges counters about the quality of versions.
    pub(crate) fn merge_evidence(
        &self,
        to: Target,
        message: MergeEvidenceRequest,
    ) -> Result<MergeEvidenceReply, Unreachable> {
        let send =
            |mut client: PeerClient<Channel>, request| async move { client.merge_evidence(request).await };
        self.runtime
            .block_on(self.call(to, "MergeEvidence", message, SHORT_TIMEOUT, send))
    }

    /// Fetches the configuration records after a revision from a peer.
    pub(crate) async fn fetch_config(
        &self,
        to: Target,
        message: FetchConfigRequest,
    ) -> Result<FetchConfigReply, Unreachable> {
        let send =
            |mut client: PeerClient<Channel>, request| async move { client.fetch_config(request).await };
        self.call(to, "FetchConfig", message, LONG_TIMEOUT, send).await
    }

    async fn call<M, R, F>(
        &self,
        to: Target,
        method: &str,
        message: M,
        timeout: Duration,
        send: impl FnOnce(PeerClient<Channel>, Request<M>) -> F,
    ) -> Result<R, Unreachable>
    where
        M: Message,
        F: Future<Output = Result<Response<R>, Status>>,
    {
        let channel = self.channel(to)?;
        let tag = self
            .key
            .sign_call(method, to.incarnation, &message.encode_to_vec());
        let mut request = Request::new(message);
        let tag = tag.parse().map_err(|_| Unreachable)?;
        request.metadata_mut().insert(TAG_HEADER, tag);
        let client = PeerClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
        match tokio::time::timeout(timeout, send(client, request)).await {
            Ok(Ok(reply)) => Ok(reply.into_inner()),
            Ok(Err(_)) | Err(_) => {
                // The connection may be unresponsive, so the next call opens a new one.
                self.lock().remove(&to.incarnation);
                Err(Unreachable)
            }
        }
    }

    fn channel(&self, to: Target) -> Result<Channel, Unreachable> {
        let mut channels = self.lock();
        if let Some(channel) = channels.get(&to.incarnation) {
            return Ok(channel.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{}", to.address)).map_err(|_| Unreachable)?;
        let endpoint = endpoint
            .connect_timeout(self.connect_timeout)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_INTERVAL)
            .keep_alive_while_idle(true);
        let _entered = self.runtime.enter();
        let channel = endpoint.connect_lazy();
        channels.insert(to.incarnation, channel.clone());
        Ok(channel)
    }

    /// Closes the connections to all peers for which `keep` returns false.
    pub(crate) fn retain(&self, keep: impl Fn(Incarnation) -> bool) {
        self.lock().retain(|incarnation, _| keep(*incarnation));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<Incarnation, Channel>> {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
