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
    SettleBatchRequest,
};

use super::auth::Key;

/// Header with the tag of a call.
pub(super) const TAG: &str = "x-cluster-tag";

/// Greatest message that is decoded: a sealed table with 8 MiB of responses, or a configuration with its ids.
pub(super) const MAX_MESSAGE_BYTES: usize = 32 << 20;

/// Bound on short calls; peers of one region answer within a few milliseconds.
const SHORT: Duration = Duration::from_secs(1);

/// Bound on calls that carry a table or a configuration.
const LONG: Duration = Duration::from_secs(5);

/// Interval of the probes of idle connections, and the wait for their answers. A connection that went silent is
/// replaced after this.
const KEEP_ALIVE: Duration = Duration::from_secs(2);

/// A peer to call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Target {
    /// Its process; another process at the same address refuses the call.
    pub incarnation: Incarnation,
    /// Where it accepts calls.
    pub address: SocketAddr,
}

/// A call without a reply; it may have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the peer did not reply")]
pub(crate) struct Unreachable;

/// Connections to peers.
#[derive(Debug)]
pub(crate) struct Client {
    runtime: Handle,
    key: Key,
    connect_timeout: Duration,
    channels: Mutex<HashMap<Incarnation, Channel>>,
}

impl Client {
    /// A client without connections.
    pub(crate) fn new(runtime: Handle, key: Key, connect_timeout: Duration) -> Self {
        Self {
            runtime,
            key,
            connect_timeout,
            channels: Mutex::default(),
        }
    }

    /// The runtime of the calls.
    pub(crate) fn runtime(&self) -> &Handle {
        &self.runtime
    }

    /// Asks a peer to hold a batch.
    pub(crate) async fn hold(&self, to: Target, message: HoldBatchRequest) -> Result<bool, Unreachable> {
        let send = |mut client: PeerClient<Channel>, request| async move { client.hold_batch(request).await };
        let reply = self.call(to, "HoldBatch", message, SHORT, send).await?;
        Ok(reply.held)
    }

    /// Tells a peer which batches the log has.
    pub(crate) async fn settle(&self, to: Target, message: SettleBatchRequest) -> Result<(), Unreachable> {
        let send =
            |mut client: PeerClient<Channel>, request| async move { client.settle_batch(request).await };
        self.call(to, "SettleBatch", message, SHORT, send).await?;
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

    /// Gives a sealed table to a peer.
    pub(crate) fn hand_over(&self, to: Target, message: HandOverRequest) -> Result<(), Unreachable> {
        let send = |mut client: PeerClient<Channel>, request| async move { client.hand_over(request).await };
        self.runtime
            .block_on(self.call(to, "HandOver", message, LONG, send))?;
        Ok(())
    }

    /// Reads the configuration records that a peer has beyond a revision.
    pub(crate) async fn fetch_config(
        &self,
        to: Target,
        message: FetchConfigRequest,
    ) -> Result<FetchConfigReply, Unreachable> {
        let send =
            |mut client: PeerClient<Channel>, request| async move { client.fetch_config(request).await };
        self.call(to, "FetchConfig", message, LONG, send).await
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
        let tag = self.key.sign(method, to.incarnation, &message.encode_to_vec());
        let mut request = Request::new(message);
        let tag = tag.parse().map_err(|_| Unreachable)?;
        request.metadata_mut().insert(TAG, tag);
        let client = PeerClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
        match tokio::time::timeout(timeout, send(client, request)).await {
            Ok(Ok(reply)) => Ok(reply.into_inner()),
            Ok(Err(_)) | Err(_) => {
                // The next call makes a new connection, because this one may have gone silent.
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
            .http2_keep_alive_interval(KEEP_ALIVE)
            .keep_alive_timeout(KEEP_ALIVE)
            .keep_alive_while_idle(true);
        let _entered = self.runtime.enter();
        let channel = endpoint.connect_lazy();
        channels.insert(to.incarnation, channel.clone());
        Ok(channel)
    }

    /// Closes connections to peers that are gone.
    pub(crate) fn retain(&self, keep: impl Fn(Incarnation) -> bool) {
        self.lock().retain(|incarnation, _| keep(*incarnation));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<Incarnation, Channel>> {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
