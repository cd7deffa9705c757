use http_body_util::BodyExt;
use tokio::sync::mpsc;

use super::{IncompleteBody, Part, ResponseBody};

fn collect(parts: Vec<Part>) -> Result<Vec<u8>, IncompleteBody> {
    let (sender, receiver) = mpsc::channel(parts.len().max(1));
    for part in parts {
        sender.try_send(part).unwrap();
    }
    drop(sender);
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    let collected = runtime.block_on(ResponseBody::stream(receiver, None).collect());
    collected.map(|it| it.to_bytes().to_vec())
}

macro_rules! streamed {
    ($($name:ident: $parts:expr => $expected:expr;)*) => {
        $(#[test] fn $name() {
            assert_eq!(collect($parts), $expected);
        })*
    };
}

// Guards against truncated answers that look complete: a body whose producer ends without `Part::End` must
// fail.
streamed! {
    complete: vec![Part::Data("ab".into()), Part::Data("c".into()), Part::End] => Ok(b"abc".to_vec());
    empty: vec![Part::End] => Ok(Vec::new());
    truncated: vec![Part::Data("ab".into())] => Err(IncompleteBody);
    truncated_before_first_part: vec![] => Err(IncompleteBody);
}
