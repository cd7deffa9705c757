//! Execution of the nodes' actions on a faulty log and network.

use std::time::Duration;

use config::follow::{Action, Event, Page, Readiness};
use config::publish::{AppendResult, Outcome};
use config::record::ProposalId;
use rand::Rng;

use super::network::Message;
use super::schedule::Kind;
use super::{Mutant, STEP, Violation, World};

impl World {
    pub(super) fn append(
        &mut self,
        index: usize,
        id: Option<ProposalId>,
        payload: Vec<u8>,
    ) -> Result<(), Violation> {
        let run = self.nodes[index].run;
        let reply = |reply| Message::AppendReply {
            index,
            run,
            id,
            reply,
        };
        let delay = self.delay();
        if !self.reaches_log(index) {
            self.network
                .send(self.now + delay, reply(AppendResult::NotAppended));
            return Ok(());
        }
        if !self.active(Kind::LostReplies, None) {
            self.reference.append(payload, self.now)?;
            self.network.send(self.now + delay, reply(AppendResult::Appended));
            return Ok(());
        }
        self.network
            .send(self.now + Duration::from_secs(1), reply(AppendResult::Unknown));
        match self.rng.random_range(0..3) {
            0 => self.reference.append(payload, self.now)?,
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
                    Event::LogRead(request, self.page(index, from, limit))
                } else {
                    Event::LogReadFailed(request)
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
            Action::Applied { id, result, .. } => {
                let Some(id) = id else {
                    return;
                };
                for (_, publisher) in &mut self.nodes[index].publishers {
                    publisher.on_applied(id, &result);
                }
            }
            Action::Adopted(_) => {}
            Action::SnapshotDue(key) => {
                let writer = key as usize % self.nodes.len();
                if writer == index {
                    let payload = self.nodes[index].follower.state().to_snapshot();
                    // Appending a snapshot cannot violate an invariant of proposals.
                    let _ = self.append(index, None, payload);
                }
            }
        }
    }

    fn page(&mut self, index: usize, from: u64, limit: usize) -> Page {
        let end = match self.active(Kind::StaleReads, None) {
            true => self
                .reference
                .end()
                .saturating_sub(self.rng.random_range(0..4))
                .max(self.reference.first),
            false => self.reference.end(),
        };
        let first = self.reference.first;
        let range = from.max(first)..end.min(from.max(first) + limit as u64).max(from.max(first));
        let records = range
            .filter(|it| *it < end)
            .map(|it| (it, self.reference.records[it as usize].clone()));
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
        let slow = self.active(Kind::SlowNetwork, None);
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
        let max_ms = if self.active(Kind::SlowNetwork, None) {
            2000
        } else {
            20
        };
        Duration::from_millis(self.rng.random_range(1..=max_ms))
    }

    pub(super) fn deliver(&mut self, message: Message) -> Result<(), Violation> {
        match message {
            Message::LateAppend(payload) => self.reference.append(payload, self.now),
            Message::ToNode { index, run, event } => {
                let node = &self.nodes[index];
                let started = node.follower.state().revision() > 0;
                let ignored = self.mutant == Mutant::IgnoredMessages && index == 0 && started;
                if node.paused && node.run == run {
                    self.network
                        .send(self.now + STEP, Message::ToNode { index, run, event });
                } else if node.run == run && node.running && !ignored {
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
        id: Option<ProposalId>,
        reply: AppendResult,
    ) -> Result<(), Violation> {
        let now = self.now + self.nodes[index].clock;
        let trusted = self.mutant == Mutant::TrustedReply && reply == AppendResult::Appended;
        let node = &mut self.nodes[index];
        if node.run != run {
            return Ok(());
        }
        let Some((id, publisher)) = node.publishers.iter_mut().find(|it| Some(it.0) == id) else {
            return Ok(());
        };
        publisher.on_append_result(reply, now);
        if trusted {
            let id = *id;
            return self.check_outcome(id, &Outcome::Accepted);
        }
        Ok(())
    }

    pub(super) fn serves(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        node.follower.status(self.now + node.clock).readiness == Readiness::Serving
    }
}
