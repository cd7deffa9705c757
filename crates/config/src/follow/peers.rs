//! Fetching the configuration from peers.

use std::time::Duration;

use super::{Action, Delta, Fetch, Follower, LogState, Peer, RequestId, sort_by_host};
use crate::state::State;

impl Follower {
    pub(super) fn update_peers(&mut self, peers: Vec<Peer>, heard: Option<Duration>) {
        self.peers = sort_by_host(peers);
        let Some(heard) = heard.filter(|_| !self.peers.is_empty()) else {
            return;
        };
        self.record_contact(heard);
    }

    pub(super) fn start_fetch(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(Peer {
            host, incarnation, ..
        }) = self.choose_peer(now).cloned()
        else {
            return;
        };
        let request = self.next_request_id();
        self.pending_fetch = Some(Fetch {
            request,
            sent_at: now,
            incarnation,
        });
        self.next_fetch = now + self.settings.fetch_interval;
        self.counters.fetches += 1;
        let revision = self.state.revision();
        actions.push(Action::Fetch {
            request,
            host,
            revision,
        });
    }

    pub(super) fn fetch_failed(&mut self, request: RequestId) {
        self.pending_fetch.take_if(|it| it.request == request);
    }

    pub(super) fn fetch_returned(
        &mut self,
        request: RequestId,
        delta: Delta,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let fetch = self.pending_fetch.take_if(|it| it.request == request);
        if let Some(payload) = delta.snapshot {
            match State::from_snapshot(&payload) {
                Ok(state) => self.adopt(state, actions),
                Err(_) => self.counters.bad_snapshots += 1,
            }
        }
        self.apply_records(delta.records, now, actions);
        let Some(Fetch {
            sent_at: sent,
            incarnation,
            ..
        }) = fetch
        else {
            return;
        };
        self.record_contact(sent);
        let complete = self.state.revision() >= delta.revision;
        let Some(age) = delta.age.filter(|_| complete) else {
            return;
        };
        let at = sent.saturating_sub(age);
        self.confirm(at);
        self.resumption.take_if(|it| {
            sent >= it.resumed_at && (at >= it.paused_at || it.known_peers.contains(&incarnation))
        });
    }

    /// Selects a peer to fetch from: one that is ahead, or one of the freshest if the log cannot confirm the
    /// state.
    ///
    /// Returns `None` if no fetch is needed.
    fn choose_peer(&self, now: Duration) -> Option<&Peer> {
        let revision = self.state.revision();
        let ahead: Vec<_> = self.peers.iter().filter(|it| it.revision > revision).collect();
        if !ahead.is_empty() {
            // Successive requests go to different peers, so that a failing peer does not block progress.
            let index = usize::try_from(self.last_request_id).unwrap_or_default() % ahead.len();
            return Some(ahead[index]);
        }
        let log_is_up = self.log == LogState::Up && self.resumption.is_none();
        let fresh = self
            .age(now)
            .is_some_and(|it| it <= self.settings.poll_interval * 4);
        if log_is_up && fresh {
            return None;
        }
        let known = self.peers.iter().filter(|it| it.age.is_some());
        let mut freshest: Vec<_> = known.collect();
        freshest.sort_by_key(|it| it.age);
        freshest.truncate(3);
        let index = usize::try_from(self.last_request_id).unwrap_or_default();
        freshest.get(index % freshest.len().max(1)).copied()
    }
}
