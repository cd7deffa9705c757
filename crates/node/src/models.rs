//! `GET /v1/models`.

use model::Refusal;
use model::object::Kind;
use serde_json::json;

use crate::http::exchange::Exchange;
use crate::http::reply::Reply;
use crate::shared::Shared;

/// Lists the models, versions and cascades that the organisation may request.
///
/// # Errors
/// `unauthorised`.
pub(crate) fn list(shared: &Shared, exchange: &Exchange) -> Result<Reply, Refusal> {
    let view = shared.config.view();
    let organisation = crate::auth::organisation(&view, exchange)?;
    let entry = |(name, kind): &(model::Name, Kind)| {
        json!({
            "id": &**name,
            "object": "model",
            "kind": kind.as_str(),
            "owned_by": "bronzevale",
        })
    };
    let list: Vec<_> = view.requestable(&organisation).iter().map(entry).collect();
    Ok(Reply::json(200, &json!({ "object": "list", "data": list })))
}
