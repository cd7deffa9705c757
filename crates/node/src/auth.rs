//! Authentication by bearer keys.
//!
//! Only SHA-256 hashes of keys are stored. Organisations are looked up by hash in a hash table. The timing of
//! the lookup depends only on the hash of the presented key, which a caller cannot steer towards a stored
//! hash. The operators' key is compared in constant time.

use std::sync::{Arc, PoisonError};

use config::view::{KeyHash, OrganisationView, View, hash_key};
use model::Refusal;
use model::refusal::Reason;
use subtle::ConstantTimeEq;

use crate::http::exchange::Exchange;
use crate::shared::Shared;

/// Returns the organisation that sent the request.
///
/// # Errors
/// `unauthorised` if there is no bearer key or no organisation has it.
pub(crate) fn organisation(view: &View, exchange: &Exchange) -> Result<Arc<OrganisationView>, Refusal> {
    let key = bearer(exchange).ok_or(Refusal::not_run(Reason::Unauthorised))?;
    view.organisation_by_key(&hash_key(key)).cloned()
}

/// Checks that an operator sent the request.
///
/// # Errors
/// `unauthorised` if the bearer key is not the operators' key, or if no such key is configured and the caller
/// is not on the loopback interface.
pub(crate) fn operator(shared: &Shared, exchange: &Exchange) -> Result<(), Refusal> {
    let hash = *shared.admin_key.lock().unwrap_or_else(PoisonError::into_inner);
    let authorised = match hash {
        Some(hash) => bearer(exchange).is_some_and(|it| hashes_equal(&hash, &hash_key(it))),
        None => exchange.is_loopback(),
    };
    if authorised {
        return Ok(());
    }
    Err(Refusal::not_run(Reason::Unauthorised))
}

fn hashes_equal(a: &KeyHash, b: &KeyHash) -> bool {
    a.ct_eq(b).into()
}

fn bearer(exchange: &Exchange) -> Option<&str> {
    let (scheme, key) = exchange.header("Authorization")?.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}
