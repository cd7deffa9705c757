//! Server for calls from other nodes.

use std::net::TcpListener;
use std::sync::Arc;

use model::Refusal;
use model::refusal::Reason;
use tokio::sync::oneshot;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;
use tonic::{Request, Response, Status};
use wire::peer::peer_server::{Peer, PeerServer};
use wire::peer::{
    ExecuteReply, ExecuteRequest, FetchConfigReply, FetchConfigRequest, HandOverReply, HandOverRequest,
    HoldBatchReply, HoldBatchRequest, MergeEvidenceReply, MergeEvidenceRequest, SettleBatchReply,
    SettleBatchRequest, execute_reply,
};

use super::authenticate::Authenticate;
use super::client::MAX_MESSAGE_BYTES;
use super::{convert, evidence_exchange};
use crate::services::keyed;
use crate::shared::Shared;
use crate::{config_log, idempotency};

/// Implementation of the peer service.
#[derive(Debug)]
struct Service {
    shared: Arc<Shared>,
}

/// Serves calls until a message arrives on `stop` or its sender is dropped.
///
/// # Errors
/// The listener cannot be used.
pub(crate) fn spawn(
    shared: &Arc<Shared>,
    listener: TcpListener,
    stop: oneshot::Receiver<()>,
) -> std::io::Result<()> {
    let runtime = shared.client.runtime();
    listener.set_nonblocking(true)?;
    let _entered = runtime.enter();
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let service = PeerServer::new(Service {
        shared: Arc::clone(shared),
    })
    .max_decoding_message_size(MAX_MESSAGE_BYTES);
    let service = Authenticate::new(service, Arc::clone(shared));
    let server = Server::builder()
        .add_service(service)
        .serve_with_incoming_shutdown(TcpListenerStream::new(listener), async move {
            stop.await.ok();
        });
    runtime.spawn(async move {
        if let Err(err) = server.await {
            log::error!("server for calls from other nodes failed: {err}");
        }
    });
    Ok(())
}

impl Service {
    fn malformed(&self) -> Status {
        self.shared.metrics.peers.calls_rejected.inc();
        Status::invalid_argument("malformed message")
    }
}

#[tonic::async_trait]
impl Peer for Service {
    async fn fetch_config(
        &self,
        request: Request<FetchConfigRequest>,
    ) -> Result<Response<FetchConfigReply>, Status> {
        let message = request.into_inner();
        Ok(Response::new(config_log::reply(&self.shared, message.revision)))
    }

    async fn hold_batch(
        &self,
        request: Request<HoldBatchRequest>,
    ) -> Result<Response<HoldBatchReply>, Status> {
        let message = request.into_inner();
        let held = self.shared.billing.hold(&self.shared, message);
        let held = held.ok_or_else(|| self.malformed())?;
        Ok(Response::new(HoldBatchReply { held }))
    }

    async fn settle_batch(
        &self,
        request: Request<SettleBatchRequest>,
    ) -> Result<Response<SettleBatchReply>, Status> {
        let message = request.into_inner();
        let ids: Vec<_> = message.ids.iter().filter_map(convert::batch_id).collect();
        self.shared.billing.settle(&ids);
        Ok(Response::new(SettleBatchReply {}))
    }

    async fn execute(&self, request: Request<ExecuteRequest>) -> Result<Response<ExecuteReply>, Status> {
        let message = request.into_inner();
        let shared = Arc::clone(&self.shared);
        // The execution continues if the calling node gives up, so that the outcome is recorded in the table.
        let run = move || keyed::handle_forwarded(&shared, message);
        let result = tokio::task::spawn_blocking(run).await;
        let result = result.unwrap_or(Err(Refusal::unknown(Reason::OutcomeUnknown)));
        let outcome = match result {
            Ok(response) => execute_reply::Outcome::Reply(convert::reply_message(&response)),
            Err(refusal) => execute_reply::Outcome::Refusal(convert::refusal_message(&refusal)),
        };
        Ok(Response::new(ExecuteReply {
            outcome: Some(outcome),
        }))
    }

    async fn hand_over(&self, request: Request<HandOverRequest>) -> Result<Response<HandOverReply>, Status> {
        let message = request.into_inner();
        let table = convert::hand_over(message).ok_or_else(|| self.malformed())?;
        idempotency::store(&self.shared, table);
        Ok(Response::new(HandOverReply {}))
    }

    async fn merge_evidence(
        &self,
        request: Request<MergeEvidenceRequest>,
    ) -> Result<Response<MergeEvidenceReply>, Status> {
        let reply = evidence_exchange::reply(&self.shared, &request.into_inner());
        Ok(Response::new(reply))
    }
}
