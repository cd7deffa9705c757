//! Refusals of service calls by nodes that did not consult the issuer's key table.

use model::{Ran, Refusal};

use super::PREFIX;
use super::keyed::KEY_HEADER;
use crate::http::exchange::Exchange;

/// Adapts a refusal by a node that did not issue the call's key or did not consult its key table.
///
/// An earlier copy of the call may be running at the issuer, so the refusal must not say that nothing ran.
/// Only a key that no node can have issued proves that no copy ran.
pub(crate) fn for_non_issuer(exchange: &Exchange, refusal: &Refusal) -> Refusal {
    let is_call = exchange.path().starts_with(PREFIX);
    let key = exchange.header(KEY_HEADER).filter(|_| is_call);
    let issued = key.is_some_and(|it| it.parse::<ledger::idempotency::Key>().is_ok());
    let ran = if issued { Ran::Unknown } else { refusal.ran };
    Refusal {
        ran,
        ..refusal.clone()
    }
}
