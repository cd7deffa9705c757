//! What a refusal says about execution.

use model::{Ran, Refusal};

use super::PREFIX;
use super::keyed::HEADER;
use crate::http::exchange::Exchange;

/// The refusal as it may be stated by a node that is not the issuer of the call's key, or did not ask its table.
///
/// An earlier copy of a keyed call may run at the issuer, so that such a refusal proves nothing. Only a key that no
/// node can have issued proves that no copy ran.
pub(crate) fn unproven(exchange: &Exchange, refusal: &Refusal) -> Refusal {
    let is_call = exchange.path().starts_with(PREFIX);
    let key = exchange.header(HEADER).filter(|_| is_call);
    let issued = key.is_some_and(|it| it.parse::<ledger::idempotency::Key>().is_ok());
    let ran = if issued { Ran::Unknown } else { refusal.ran };
    Refusal {
        ran,
        ..refusal.clone()
    }
}
