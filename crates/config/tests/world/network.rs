//! Messages in transit.

use std::collections::BTreeMap;
use std::time::Duration;

use config::follow::Event;
use config::publish::AppendResult;
use config::record::ProposalId;

#[derive(Debug)]
pub enum Message {
    /// A reply to a request of one run of a node.
    ToNode { index: usize, run: u32, event: Event },
    /// The reply to an append.
    AppendReply {
        index: usize,
        run: u32,
        id: Option<ProposalId>,
        reply: AppendResult,
    },
    /// An append that takes effect after its sender has received no reply.
    LateAppend(Vec<u8>),
}

#[derive(Debug, Default)]
pub struct Network {
    queue: BTreeMap<(Duration, u64), Message>,
    sent: u64,
}

impl Network {
    pub fn send(&mut self, at: Duration, message: Message) {
        self.sent += 1;
        self.queue.insert((at, self.sent), message);
    }

    pub fn arrived(&mut self, now: Duration) -> Option<Message> {
        let (key, _) = self.queue.first_key_value().filter(|it| it.0.0 <= now)?;
        let key = *key;
        self.queue.remove(&key)
    }
}
