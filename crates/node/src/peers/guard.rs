//! Admits only calls that the cluster key signed for this process.
//!
//! The tag covers the message as it was sent. Checking it before the message is decoded keeps fields that this
//! version does not know, so that nodes of different versions understand each other.

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

use super::auth::Key;
use super::client::{MAX_MESSAGE_BYTES, TAG};
use crate::shared::Shared;

/// Flag and length in front of a message.
const FRAME_HEADER: usize = 5;

/// A service behind the check.
#[derive(Debug, Clone)]
pub(super) struct Guard<S> {
    inner: S,
    shared: Arc<Shared>,
}

impl<S> Guard<S> {
    /// Puts the check in front of a service.
    pub(super) fn new(inner: S, shared: Arc<Shared>) -> Self {
        Self { inner, shared }
    }
}

impl<S: NamedService> NamedService for Guard<S> {
    const NAME: &'static str = S::NAME;
}

impl<S> Service<http::Request<Body>> for Guard<S>
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

fn is_signed(key: &Key, receiver: Incarnation, parts: &Parts, body: &Bytes) -> bool {
    let method = parts.uri.path().rsplit('/').next().unwrap_or_default();
    let (Some(tag), Some(message)) = (parts.headers.get(TAG), body.get(FRAME_HEADER..)) else {
        return false;
    };
    key.verify(method, receiver, message, tag.as_bytes())
}

#[cfg(test)]
mod tests;
