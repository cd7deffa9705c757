//! Passes requests through another node that reaches the engines.
//!
//! The node whose path is lost opens a connection to the control address of a peer and names the engine. The peer
//! connects to this engine and says so. The next request on the connection then goes to the engine as it is, and its
//! response comes back. All decisions about the request stay with the first node, for which the connection through the
//! peer is like one of its own: what failed before it was open has not run, and what fails later may have.
//!
//! The peer connects to engines that it knows itself, for nodes of the fleet only, as long as it has room. It never
//! passes a request on to a third node.

use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use forward::directory::Engine;
use forward::path::Answer;
use forward::statement::{Access, Run};
use http_body_util::Full;
use hyper::body::{Body as _, Frame, Incoming};
use hyper::header::HOST;
use hyper::{Method, Request, Response, StatusCode};
use membership::State;
use model::Host;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

use crate::client::{self, Connection, IdleConnection};
use crate::memory::RequestShare;
use crate::open_requests::OpenRequest;
use crate::path::{self, CONNECT_TIMEOUT};
use crate::response::{ResponseBody, StreamBroken, TrackedBody, full_response, strip_connection_headers};
use crate::shared::{Shared, lock};
use crate::statement::RunReport;
use crate::{body, clock, head, request_body};

/// Path of the call that opens a connection to an engine.
const PATH: &str = "/detour";

/// Maximum number of peers that are asked to take one request.
const MAX_PEERS: usize = 3;

/// Peers that do not reach an engine before it is taken for unreachable.
const MIN_UNREACHED_BY: usize = 2;

/// Timeout for connecting to a peer, which answers within a few milliseconds.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Timeout of a peer's connection to an engine, with its answer.
const OPEN_TIMEOUT: Duration = CONNECT_TIMEOUT.saturating_add(Duration::from_millis(50));

/// Maximum size of the call that opens a connection.
const MAX_CALL_BYTES: usize = 1 << 10;

/// Part of the descriptors of a process that requests of other nodes may take, each two of them.
const DESCRIPTOR_FRACTION: f64 = 0.15;

/// Why a request was not passed on. Nothing was sent to an engine.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// No peer takes the request.
    #[error("no other node takes the request")]
    NoPeer,
    /// Peers that reach the service did not reach the engine.
    #[error("not reachable from {0:?}")]
    Engine(Vec<Host>),
}

/// Why this node does not take a request of another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Refusal {
    /// The caller is no node of the fleet.
    Stranger,
    /// The call cannot be decoded.
    Malformed,
    /// This node is about to stop.
    Leaving,
    /// It has no room.
    Full,
    /// It does not reach the service itself.
    NoPath,
    /// It does not know the engine, or knows that it takes no requests.
    UnknownEngine,
    /// It did not reach the engine.
    Unreachable,
}

impl Refusal {
    fn status(self) -> StatusCode {
        match self {
            Self::Stranger => StatusCode::FORBIDDEN,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::UnknownEngine => StatusCode::NOT_FOUND,
            Self::Unreachable => StatusCode::BAD_GATEWAY,
            Self::Leaving | Self::Full | Self::NoPath => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn code(self) -> &'static str {
        match self {
            Self::Stranger => "not_a_node",
            Self::Malformed => "malformed",
            Self::Leaving => "leaving",
            Self::Full => "no_room",
            Self::NoPath => "no_path",
            Self::UnknownEngine => "unknown_engine",
            Self::Unreachable => "engine_unreachable",
        }
    }

    fn response(self) -> Response<ResponseBody> {
        let body = format!("{{\"code\":\"{}\"}}", self.code());
        full_response(self.status(), "application/json", body.into())
    }
}

/// Room for requests of other nodes.
#[derive(Debug)]
pub(crate) struct Room(Arc<Semaphore>);

impl Room {
    /// The room of a process that may have `descriptors` open.
    pub(crate) fn of_process(descriptors: usize) -> Self {
        let requests = (descriptors as f64 * DESCRIPTOR_FRACTION / 2.0) as usize;
        Self(Arc::new(Semaphore::new(requests.max(1))))
    }
}

/// Opens a connection to an engine through a peer.
///
/// # Errors
/// No peer takes the request, or the peers did not reach the engine.
pub(crate) async fn connect(
    shared: &Arc<Shared>,
    engine: &Engine,
    id: &str,
) -> Result<IdleConnection, Error> {
    let mut asked: Vec<Host> = vec![];
    let mut unreached_by: Vec<Host> = vec![];
    while asked.len() < MAX_PEERS {
        let Some((peer, address)) = path::choose_peer(shared, &engine.service, &asked) else {
            break;
        };
        let result = timeout(OPEN_TIMEOUT, open(shared, address, engine)).await;
        let (result, error) = match result {
            Ok(Ok(connection)) => {
                count_passed_on(shared, "opened");
                log::info!(id, engine = *engine.id, peer = *peer; "request passed on");
                path::record_offer(shared, &engine.service, &peer);
                return Ok(connection);
            }
            Ok(Err(OpenError::Refused(StatusCode::BAD_GATEWAY))) => {
                unreached_by.push(peer.clone());
                ("engine_unreachable", "engine unreachable".to_owned())
            }
            Ok(Err(err @ OpenError::Refused(_))) => ("refused", err.to_string()),
            Ok(Err(err @ OpenError::Client(_))) => ("failed", err.to_string()),
            Err(_) => ("failed", "no answer in time".to_owned()),
        };
        count_passed_on(shared, result);
        log::info!(id, engine = *engine.id, peer = *peer, error; "request not passed on");
        path::record_refusal(shared, &engine.service, &peer);
        // The path of a single peer may have been cut as well.
        if unreached_by.len() >= MIN_UNREACHED_BY {
            return Err(Error::Engine(unreached_by));
        }
        asked.push(peer);
    }
    Err(Error::NoPeer)
}

/// Whether a peer connects to an engine. One that does not says nothing about the requests that it would take.
pub(crate) async fn reaches(shared: &Shared, engine: &Engine) -> bool {
    let Some((_, address)) = path::choose_peer(shared, &engine.service, &[]) else {
        return false;
    };
    let result = timeout(OPEN_TIMEOUT, open(shared, address, engine)).await;
    matches!(result, Ok(Ok(_)))
}

fn count_passed_on(shared: &Shared, result: &'static str) {
    let label = [("result", result)];
    shared.metrics.requests_passed_on.get_or_create(&label).inc();
}

#[derive(Debug, thiserror::Error)]
enum OpenError {
    #[error(transparent)]
    Client(#[from] client::Error),
    #[error("refused with status {0}")]
    Refused(StatusCode),
}

async fn open(shared: &Shared, peer: SocketAddr, engine: &Engine) -> Result<IdleConnection, OpenError> {
    let mut connection = shared.client.connect(peer, PEER_CONNECT_TIMEOUT).await?;
    let call = serde_json::json!(RunReport::new(&Run::of(engine))).to_string();
    let mut request = Request::new(Full::new(Bytes::from(call)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = hyper::Uri::from_static(PATH);
    if let Ok(host) = peer.to_string().parse() {
        request.headers_mut().insert(HOST, host);
    }
    match connection.call(request).await? {
        StatusCode::OK => Ok(connection),
        status => Err(OpenError::Refused(status)),
    }
}

/// A connection of another node, on which an engine may have been named.
#[derive(Debug)]
pub(crate) struct Passage {
    node: IpAddr,
    opened: Mutex<Option<Opened>>,
}

/// A connection to an engine for the next request of another node.
#[derive(Debug)]
struct Opened {
    engine: Arc<Engine>,
    connection: IdleConnection,
    permit: OwnedSemaphorePermit,
    memory: RequestShare,
}

/// No response was received for a request that was passed on. The connection to the other node is closed, as the one to
/// the engine was.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no response to a request that was passed on")]
pub(crate) struct NoResponse;

impl Passage {
    /// The passage of a connection from `node`.
    pub(crate) fn new(node: IpAddr) -> Self {
        Self {
            node,
            opened: Mutex::default(),
        }
    }

    /// Serves a request if it opens a connection to an engine, or if one is open for it; returns it otherwise.
    pub(crate) async fn serve(
        &self,
        shared: &Arc<Shared>,
        request: Request<Incoming>,
    ) -> Result<Result<Response<TrackedBody>, NoResponse>, Request<Incoming>> {
        let opened = lock(&self.opened).take();
        if let Some(opened) = opened {
            return Ok(pass_on(shared, opened, request).await);
        }
        if request.uri().path() != PATH || request.method() != Method::POST {
            return Err(request);
        }
        let result = accept(shared, self.node, request.into_body()).await;
        let label = [("result", result.as_ref().err().map_or("opened", |it| it.code()))];
        shared.metrics.requests_taken.get_or_create(&label).inc();
        let response = match result {
            Ok(it) => {
                *lock(&self.opened) = Some(it);
                full_response(StatusCode::OK, "application/json", Bytes::from_static(b"{}"))
            }
            Err(refusal) => {
                let node = self.node.to_string();
                log::info!(node, reason = refusal.code(); "request of another node not taken");
                refusal.response()
            }
        };
        Ok(Ok(response.map(TrackedBody::untracked)))
    }
}

/// Connects to the engine that another node names.
async fn accept(shared: &Arc<Shared>, node: IpAddr, body: Incoming) -> Result<Opened, Refusal> {
    if !is_member(shared, node) {
        return Err(Refusal::Stranger);
    }
    let call = body::read(body, MAX_CALL_BYTES, &shared.request_memory).await;
    let run: RunReport = call
        .ok()
        .and_then(|it| serde_json::from_slice(&it).ok())
        .ok_or(Refusal::Malformed)?;
    let run = run.into_run();
    if shared.is_leaving() {
        return Err(Refusal::Leaving);
    }
    let permit = shared.room.0.clone().try_acquire_owned();
    let permit = permit.map_err(|_| Refusal::Full)?;
    let memory = shared.memory.request_share().ok_or(Refusal::Full)?;
    let now = clock::now();
    let engine = lock(&shared.directory).engine(&run.engine).cloned();
    let engine = engine.filter(|it| Run::of(it) == run && !it.draining);
    let engine = engine.ok_or(Refusal::UnknownEngine)?;
    if matches!(shared.access(&engine, now), Access::Leaving | Access::Evacuated) {
        return Err(Refusal::UnknownEngine);
    }
    if path::answer(shared, &engine.service) == Answer::NotReached {
        return Err(Refusal::NoPath);
    }
    let connected = shared.client.connect(engine.address, CONNECT_TIMEOUT).await;
    let Ok(connection) = connected else {
        path::record_unreached(shared, &engine);
        return Err(Refusal::Unreachable);
    };
    path::record_reached(shared, &engine);
    Ok(Opened {
        engine,
        connection,
        permit,
        memory,
    })
}

fn is_member(shared: &Shared, node: IpAddr) -> bool {
    let table = lock(&shared.members);
    table
        .members()
        .any(|it| it.state != State::Dead && it.addresses.peer.ip() == node)
}

/// Sends a request to the engine that was opened for it.
async fn pass_on(
    shared: &Arc<Shared>,
    opened: Opened,
    request: Request<Incoming>,
) -> Result<Response<TrackedBody>, NoResponse> {
    let Opened {
        engine,
        connection,
        permit,
        memory,
    } = opened;
    let (mut head, body) = request.into_parts();
    let id = shared.protocol.request_metadata(&head).id.unwrap_or_default();
    let open = Arc::new(OpenRequest::begin(shared, id.clone(), clock::now(), memory));
    open.record_attempt(&engine);
    let limits = lock(&shared.configuration).value().map(|it| it.limits);
    let body = request_body::read(shared, body, limits, None).await;
    let Ok(body) = body else {
        log::info!(id, engine = *engine.id; "request of another node not received");
        return Err(NoResponse);
    };
    strip_connection_headers(&mut head.headers);
    if shared.is_evacuated(&engine) {
        // The other node cannot be told that nothing ran, as only engines say so on this connection.
        log::info!(id, engine = *engine.id; "engine is evacuated, request of another node not sent");
        return Err(NoResponse);
    }
    let request = Request::from_parts(head, Full::new(body));
    let (response, connection) = connection.send(request).await.map_err(|err| {
        log::info!(id, engine = *engine.id, error:% = err; "no answer to a request of another node");
        NoResponse
    })?;
    let (mut head, body) = response.into_parts();
    let is_framed = head::is_framed(&head.headers);
    strip_connection_headers(&mut head.headers);
    if !is_framed {
        head::mark_unframed(&mut head.headers);
    }
    let body = ResponseBody::Passed(Box::new(PassedBody {
        body,
        _connection: connection,
        _permit: permit,
    }));
    Ok(Response::from_parts(head, TrackedBody::new(body, open)))
}

/// Body of a response that an engine sends to another node.
#[derive(Debug)]
pub(crate) struct PassedBody {
    body: client::Body,
    _connection: Connection,
    _permit: OwnedSemaphorePermit,
}

impl PassedBody {
    /// Polls for the next part; a body that breaks off is not passed on as complete.
    pub(crate) fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        Poll::Ready(frame.map(|it| it.map_err(|_| StreamBroken)))
    }
}
