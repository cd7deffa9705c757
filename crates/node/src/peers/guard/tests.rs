#![allow(clippy::unwrap_used, reason = "a failed set-up ends the test")]

use model::Incarnation;
use prost::Message;
use tonic::codegen::{Bytes, http};
use wire::peer::HoldBatchReply;

use super::is_signed;
use crate::peers::auth::Key;
use crate::peers::client::TAG;

/// Guards against calls that are not authenticated, and against nodes of a later version that are refused because their messages
/// have fields which this version does not know.
#[test]
fn only_signed_calls_pass_whatever_their_fields() {
    let receiver = Incarnation::from_bits(5);
    let key = Key::new(b"a cluster key of a test".to_vec());
    let mut message = HoldBatchReply { held: true }.encode_to_vec();
    // Field 99 with the number 1.
    message.extend_from_slice(&[0x98, 0x06, 0x01]);
    let mut body = vec![0, 0, 0, 0, u8::try_from(message.len()).unwrap()];
    body.extend_from_slice(&message);
    let body = Bytes::from(body);
    let tag = key.sign("HoldBatch", receiver, &message);
    let passes = |path: &str, tag: Option<&str>, receiver| {
        let mut request = http::Request::builder().uri(path);
        if let Some(tag) = tag {
            request = request.header(TAG, tag);
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
