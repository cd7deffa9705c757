#![allow(clippy::unwrap_used, reason = "a failed set-up ends the test")]

use model::Incarnation;
use prost::Message;
use tonic::codegen::{Bytes, http};
use wire::peer::HoldBatchReply;

use super::is_signed;
use crate::peers::auth::ClusterKey;
use crate::peers::client::TAG_HEADER;

/// Guards against accepting calls that are not authenticated, and against refusing nodes of a later version
/// because their messages contain fields that this version does not know.
#[test]
fn only_signed_calls_pass_even_with_unknown_fields() {
    let receiver = Incarnation::from_bits(5);
    let key = ClusterKey::new(b"a cluster key of a test".to_vec());
    let mut message = HoldBatchReply { held: true }.encode_to_vec();
    // Unknown field 99 with value 1.
    message.extend_from_slice(&[0x98, 0x06, 0x01]);
    let mut body = vec![0, 0, 0, 0, u8::try_from(message.len()).unwrap()];
    body.extend_from_slice(&message);
    let body = Bytes::from(body);
    let tag = key.sign_call("HoldBatch", receiver, &message);
    let passes = |path: &str, tag: Option<&str>, receiver| {
        let mut request = http::Request::builder().uri(path);
        if let Some(tag) = tag {
            request = request.header(TAG_HEADER, tag);
        }
        let parts = request.body(()).unwrap().into_parts().0;
        is_signed(&key, receiver, &parts, &body)
    };
    let path = "/bronzevale.peer.v1.Peer/HoldBatch";
    assert!(passes(path, Some(&tag), receiver));
    assert!(!passes(path, None, receiver));
    assert!(!passes(path, Some("00"), receiver));
    assert!(!passes(path, Some(&tag), Incarnation::from_bits(6)));
    assert!(!passes("/bronzevale.peer.v1.Peer/Execute", Some(&tag), receiver));
}
