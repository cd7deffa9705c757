//! Fetching from peers.

use std::time::Duration;

use super::{Action, Delta, Fetch, Follower, LogState, Peer, Request, by_host};
use crate::fold::State;

impl Follower {
    pub(super) fn update_peers(&mut self, peers: Vec<Peer>, heard: Option<Duration>) {
        self.peers = by_host(peers);
        let Some(heard) = heard.filter(|_| !self.peers.is_empty()) else {
            return;
        };
        self.contacted(heard);
    }

    pub(super) fn fetch(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(Peer {
            host, incarnation, ..
        }) = self.source(now).cloned()
        else {
            return;
        };
        let request = self.next_request();
        self.fetching = Some(Fetch {
            request,
            sent: now,
            incarnation,
        });
        self.next_fetch = now + self.settings.fetch;
        self.counters.fetches += 1;
        let revision = self.state.revision();
        actions.push(Action::Fetch {
            request,
            host,
            revision,
        });
    }

    pub(super) fn fetch_failed(&mut self, request: Request) {
        self.fetching.take_if(|it| it.request == request);
    }

    pub(super) fn fetch_returned(
        &mut self,
        request: Request,
        delta: Delta,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let fetch = self.fetching.take_if(|it| it.request == request);
        if let Some(payload) = delta.snapshot {
            match State::from_snapshot(&payload) {
                Ok(state) => self.adopt(state, actions),
                Err(_) => self.counters.bad_snapshots += 1,
            }
        }
        self.fold(delta.records, now, actions);
        let Some(Fetch {
            sent, incarnation, ..
        }) = fetch
        else {
            return;
        };
        self.contacted(sent);
        let complete = self.state.revision() >= delta.revision;
        let Some(age) = delta.age.filter(|_| complete) else {
            return;
        };
        let at = sent.saturating_sub(age);
        self.confirm(at);
        self.resumed
            .take_if(|it| sent >= it.resumed && (at >= it.paused || it.witnesses.contains(&incarnation)));
    }

    /// The peer to ask, if there is a reason to: one that is ahead, or the freshest one if the log does not help.
    fn source(&self, now: Duration) -> Option<&Peer> {
        let revision = self.state.revision();
        let ahead: Vec<_> = self.peers.iter().filter(|it| it.revision > revision).collect();
        if !ahead.is_empty() {
            // Successive requests go to different peers, so that one that fails does not hold the node up.
            let index = usize::try_from(self.requests).unwrap_or_default() % ahead.len();
            return Some(ahead[index]);
        }
        let log_helps = self.log == LogState::Up && self.resumed.is_none();
        let fresh = self.age(now).is_some_and(|it| it <= self.settings.poll * 4);
        if log_helps && fresh {
            return None;
        }
        let known = self.peers.iter().filter(|it| it.age.is_some());
        let mut freshest: Vec<_> = known.collect();
        freshest.sort_by_key(|it| it.age);
        freshest.truncate(3);
        let index = usize::try_from(self.requests).unwrap_or_default();
        freshest.get(index % freshest.len().max(1)).copied()
    }
}
