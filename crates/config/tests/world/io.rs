//! What the nodes ask for, carried out by a faulty log and network.

use std::time::Duration;

use config::follow::{Action, Event, Page, Service};
use config::publish::{Outcome, Reply};
use config::record::Id;
use rand::Rng;

use super::network::Message;
use super::schedule::Kind;
use super::{Mutant, STEP, Violation, World};

impl World {
    pub(super) fn append(&mut self, index: usize, id: Option<Id>, payload: Vec<u8>) -> Result<(), Violation> {
        let run = self.nodes[index].run;
        let reply = |reply| Message::AppendReply {
            index,
            run,
            id,
            reply,
        };
        let delay = self.delay();
        if !self.reaches_log(index) {
            self.network.send(self.now + delay, reply(Reply::Unavailable));
            return Ok(());
        }
        if !self.active(Kind::LostReplies, None) {
            self.truth.land(payload, self.now)?;
            self.network.send(self.now + delay, reply(Reply::Appended));
            return Ok(());
        }
        self.network
            .send(self.now + Duration::from_secs(1), reply(Reply::NoReply));
        match self.rng.random_range(0..3) {
            0 => self.truth.land(payload, self.now)?,
            1 => {
                let at = self.now + Duration::from_millis(self.rng.random_range(0..5000));
                self.network.send(at, Message::LateAppend(payload));
            }
            _ => {}
        }
        Ok(())
    }

    pub(super) fn handle(&mut self, index: usize, event: Event) {
        let now = self.now + self.nodes[index].clock;
        let actions = self.nodes[index].follower.handle(event, now);
        for action in actions {
            self.execute(index, action);
        }
    }

    fn execute(&mut self, index: usize, action: Action) {
        let run = self.nodes[index].run;
        match action {
            Action::Read { request, from, limit } => {
                let event = if self.reaches_log(index) {
                    Event::Log(request, self.page(index, from, limit))
                } else {
                    Event::LogFailed(request)
                };
                self.reply(index, run, event);
            }
            Action::Fetch {
                request,
                host,
                revision,
            } => {
                let other: usize = host.parse().unwrap_or_default();
                if !self.reaches(index, other) || self.nodes[other].paused {
                    self.reply(index, run, Event::FetchFailed(request));
                    return;
                }
                let now = self.now + self.nodes[other].clock;
                let delta = self.nodes[other].follower.delta(revision, now);
                self.reply(index, run, Event::Fetched(request, delta));
            }
            Action::Folded { id, verdict, .. } => {
                let Some(id) = id else {
                    return;
                };
                for (_, publisher) in &mut self.nodes[index].publishers {
                    publisher.folded(id, &verdict);
                }
            }
            Action::Adopted(_) => {}
            Action::SnapshotDue(key) => {
                let writer = key as usize % self.nodes.len();
                if writer == index {
                    let payload = self.nodes[index].follower.state().to_snapshot();
                    // Appends of snapshots cannot break a rule of proposals.
                    let _ = self.append(index, None, payload);
                }
            }
        }
    }

    fn page(&mut self, index: usize, from: u64, limit: usize) -> Page {
        let end = match self.active(Kind::OldTail, None) {
            true => self
                .truth
                .end()
                .saturating_sub(self.rng.random_range(0..4))
                .max(self.truth.first),
            false => self.truth.end(),
        };
        let first = self.truth.first;
        let range = from.max(first)..end.min(from.max(first) + limit as u64).max(from.max(first));
        let records = range
            .filter(|it| *it < end)
            .map(|it| (it, self.truth.records[it as usize].clone()));
        let mut records: Vec<_> = records.collect();
        if self.mutant == Mutant::AlteredRecords && index == 0 {
            for (_, payload) in &mut records {
                let text = String::from_utf8_lossy(payload).into_owned();
                *payload = text
                    .replace("\"concurrency\":5", "\"concurrency\":7")
                    .into_bytes();
            }
        }
        Page { records, first, end }
    }

    fn reply(&mut self, index: usize, run: u32, event: Event) {
        let slow = self.active(Kind::Slow, None);
        if slow && self.rng.random_bool(0.2) {
            let delay = self.delay();
            let event = event.clone();
            self.network
                .send(self.now + delay, Message::ToNode { index, run, event });
        }
        if slow && self.rng.random_bool(0.1) {
            return;
        }
        let delay = self.delay();
        self.network
            .send(self.now + delay, Message::ToNode { index, run, event });
    }

    fn delay(&mut self) -> Duration {
        let greatest = if self.active(Kind::Slow, None) { 2000 } else { 20 };
        Duration::from_millis(self.rng.random_range(1..=greatest))
    }

    pub(super) fn deliver(&mut self, message: Message) -> Result<(), Violation> {
        match message {
            Message::LateAppend(payload) => self.truth.land(payload, self.now),
            Message::ToNode { index, run, event } => {
                let node = &self.nodes[index];
                let started = node.follower.state().revision() > 0;
                let deaf = self.mutant == Mutant::DeafNode && index == 0 && started;
                if node.paused && node.run == run {
                    self.network
                        .send(self.now + STEP, Message::ToNode { index, run, event });
                } else if node.run == run && node.running && !deaf {
                    self.handle(index, event);
                }
                Ok(())
            }
            Message::AppendReply {
                index,
                run,
                id,
                reply,
            } => self.deliver_reply(index, run, id, reply),
        }
    }

    fn deliver_reply(
        &mut self,
        index: usize,
        run: u32,
        id: Option<Id>,
        reply: Reply,
    ) -> Result<(), Violation> {
        let now = self.now + self.nodes[index].clock;
        let trusted = self.mutant == Mutant::TrustedAppend && reply == Reply::Appended;
        let node = &mut self.nodes[index];
        if node.run != run {
            return Ok(());
        }
        let Some((id, publisher)) = node.publishers.iter_mut().find(|it| Some(it.0) == id) else {
            return Ok(());
        };
        publisher.replied(reply, now);
        if trusted {
            let id = *id;
            return self.check_outcome(id, &Outcome::Accepted);
        }
        Ok(())
    }

    pub(super) fn serves(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        node.follower.status(self.now + node.clock).service == Service::Serving
    }
}
