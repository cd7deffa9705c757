//! Queries to other nodes whose replies have not arrived.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use rand::Rng;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::shared::lock;

/// Queries without a reply so far, by their numbers.
#[derive(Debug)]
pub(crate) struct PendingReplies<T>(Mutex<HashMap<u64, oneshot::Sender<T>>>);

/// A query without a reply so far; forgotten when it is dropped.
#[derive(Debug)]
pub(crate) struct Pending<'a, T> {
    replies: &'a PendingReplies<T>,
    number: u64,
    receiver: oneshot::Receiver<T>,
}

impl<T> Default for PendingReplies<T> {
    fn default() -> Self {
        Self(Mutex::default())
    }
}

impl<T> PendingReplies<T> {
    /// Begins a query, with a number that its reply repeats.
    pub(crate) fn begin(&self) -> Pending<'_, T> {
        self.begin_with(rand::rng().random())
    }

    /// Begins a query with a number that no other one has.
    pub(crate) fn begin_with(&self, number: u64) -> Pending<'_, T> {
        let (sender, receiver) = oneshot::channel();
        lock(&self.0).insert(number, sender);
        Pending {
            replies: self,
            number,
            receiver,
        }
    }

    /// Passes a reply to the task that waits for it; one to a query that has ended is dropped.
    pub(crate) fn deliver(&self, number: u64, reply: T) {
        if let Some(sender) = lock(&self.0).remove(&number) {
            // The query may have ended at this moment.
            let _ = sender.send(reply);
        }
    }
}

impl<T> Pending<'_, T> {
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// Waits for the reply; `None` if it does not arrive in time.
    pub(crate) async fn reply(mut self, max_wait: Duration) -> Option<T> {
        timeout(max_wait, &mut self.receiver).await.ok()?.ok()
    }
}

impl<T> Drop for Pending<'_, T> {
    fn drop(&mut self) {
        lock(&self.replies.0).remove(&self.number);
    }
}
