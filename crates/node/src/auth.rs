//! Bearer keys.
//!
//! Only SHA-256 hashes of keys are held. Organisations are looked up by hash in a hash table: its timing depends on
//! the hash of the guess, which a caller cannot steer towards a stored one. The key of operators is compared in
//! constant time.

use std::sync::{Arc, PoisonError};

use config::view::{KeyHash, OrganisationView, View, hash_key};
use model::Refusal;
use model::refusal::Reason;
use subtle::ConstantTimeEq;

use crate::http::exchange::Exchange;
use crate::shared::Shared;

/// The organisation that sent the request.
///
/// # Errors
/// `unauthorised` if there is no bearer key or no organisation has it.
pub(crate) fn tenant(view: &View, exchange: &Exchange) -> Result<Arc<OrganisationView>, Refusal> {
    let key = bearer(exchange).ok_or(Refusal::not_run(Reason::Unauthorised))?;
    view.organisation_by_key(&hash_key(key)).cloned()
}

/// Checks that an operator sent the request.
///
/// # Errors
/// `unauthorised` if the bearer key is not that of operators, or if none is set and the caller is remote.
pub(crate) fn operator(shared: &Shared, exchange: &Exchange) -> Result<(), Refusal> {
    let hash = *shared.admin_key.lock().unwrap_or_else(PoisonError::into_inner);
    let admitted = match hash {
        Some(hash) => bearer(exchange).is_some_and(|it| matches(&hash, &hash_key(it))),
        None => exchange.is_loopback(),
    };
    if admitted {
        return Ok(());
    }
    Err(Refusal::not_run(Reason::Unauthorised))
}

fn matches(a: &KeyHash, b: &KeyHash) -> bool {
    a.ct_eq(b).into()
}

fn bearer(exchange: &Exchange) -> Option<&str> {
    let (scheme, key) = exchange.header("Authorization")?.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}
