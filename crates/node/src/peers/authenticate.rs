//! Middleware that rejects calls not signed with the cluster key for this process.
//!
//! The tag covers the encoded message and is checked before decoding, because decoding drops fields that this
//! version does not know. Nodes of different versions therefore accept each other's messages.

use std::convert::Infallible;
use std::sync::Arc;
use std::task::{Context, Poll};

use http_body_util::{BodyExt, Full, Limited};
use model::Incarnation;
use tonic::Status;
use tonic::body::Body;
use tonic::codegen::http::request::Parts;
use tonic::codegen::{BoxFuture, Bytes, Service, http};
use tonic::server::NamedService;

use super::auth::ClusterKey;
use super::client::{MAX_MESSAGE_BYTES, TAG_HEADER};
use crate::shared::Shared;

/// Length of the gRPC frame header: compression flag and message length.
const FRAME_HEADER_BYTES: usize = 5;

/// A service that accepts only authenticated calls.
#[derive(Debug, Clone)]
pub(super) struct Authenticate<S> {
    inner: S,
    shared: Arc<Shared>,
}

impl<S> Authenticate<S> {
    /// Wraps a service.
    pub(super) fn new(inner: S, shared: Arc<Shared>) -> Self {
        Self { inner, shared }
    }
}

impl<S: NamedService> NamedService for Authenticate<S> {
    const NAME: &'static str = S::NAME;
}

impl<S> Service<http::Request<Body>> for Authenticate<S>
where
    S: Service<http::Request<Body>, Response = http::Response<Body>, Error = Infallible>,
    S: Clone + Send + 'static,
    S::Future: Send,
{
    type Response = http::Response<Body>;
    type Error = Infallible;
    type Future = BoxFuture<Self::Response, Self::Error>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        let mut inner = self.inner.clone();
        let shared = Arc::clone(&self.shared);
        Box::pin(async move {
            let (parts, body) = request.into_parts();
            let body = Limited::new(body, MAX_MESSAGE_BYTES).collect().await;
            let body = body.map(http_body_util::Collected::to_bytes);
            match body {
                Ok(body) if is_signed(&shared.cluster_key, shared.incarnation, &parts, &body) => {
                    let request = http::Request::from_parts(parts, Body::new(Full::new(body)));
                    inner.call(request).await
                }
                _ => {
                    shared.metrics.peers.calls_rejected.inc();
                    Ok(Status::unauthenticated("the tag is missing or wrong").into_http())
                }
            }
        })
    }
}

fn is_signed(key: &ClusterKey, receiver: Incarnation, parts: &Parts, body: &Bytes) -> bool {
    let method = parts.uri.path().rsplit('/').next().unwrap_or_default();
    let (Some(tag), Some(message)) = (parts.headers.get(TAG_HEADER), body.get(FRAME_HEADER_BYTES..)) else {
        return false;
    };
    key.verify_call(method, receiver, message, tag.as_bytes())
}

#[cfg(test)]
mod tests;
