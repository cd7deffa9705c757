//! Network, log and action handling of the billing simulation.

use super::{
    Action, AppendOutcome, BatchId, HoldOutcome, Message, ReleaseReason, Side, Simulation, Violation, decode,
};

impl Simulation {
    /// Delivers a message. It is dropped if the receiver is dead, and stays in transit if the receiver is
    /// paused.
    pub(in crate::tests) fn deliver(&mut self, message: Message) -> Result<(), Violation> {
        let Some(receiver) = message.receiver() else {
            return self.deliver_to_log(message);
        };
        let Some(index) = self
            .nodes
            .iter()
            .position(|it| it.alive && it.member.incarnation == receiver)
        else {
            return Ok(());
        };
        if self.nodes[index].paused {
            self.messages.push(message);
            return Ok(());
        }
        self.deliver_to(index, message)
    }

    fn deliver_to(&mut self, index: usize, message: Message) -> Result<(), Violation> {
        let node = &mut self.nodes[index];
        let now = self.now + node.clock_offset;
        match message {
            Message::Hold {
                id,
                payload,
                rank,
                other,
                ..
            } => {
                let reply = node.holder.hold(id, payload[..].into(), rank, other, now);
                let held = reply.map_err(|err| err.to_string())? == HoldOutcome::Held;
                let from = node.member.incarnation;
                if held {
                    self.confirmed.entry(id).or_default().insert(from);
                }
                if !held {
                    self.events.insert("holder full");
                }
                self.messages.push(Message::HoldReply { from, id, held });
            }
            Message::HoldReply { from, id, held: true } => node.origin.hold_confirmed(from, id, now),
            Message::HoldReply {
                from,
                id,
                held: false,
            } => node.origin.hold_failed(from, id, now),
            Message::Settle {
                from,
                to,
                number,
                ids,
            } => {
                node.holder.settle(&ids);
                self.messages.push(Message::SettleReply {
                    from: to,
                    to: from,
                    number,
                });
            }
            Message::SettleReply { from, number, .. } => node.origin.settle_confirmed(from, number),
            Message::AppendReply {
                side,
                number,
                outcome,
                ..
            } => return self.finish_append(index, side, number, outcome),
            Message::Append { .. } => (),
        }
        Ok(())
    }

    fn deliver_to_log(&mut self, message: Message) -> Result<(), Violation> {
        let Message::Append {
            from,
            side,
            number,
            payload,
        } = message
        else {
            return Ok(());
        };
        let mut outcome = AppendOutcome::Unconfirmed;
        if !self.outage {
            for batch in decode(&payload).map_err(|err| err.to_string())? {
                self.logged.insert(batch.id);
            }
            self.reader.read(&payload).map_err(|err| err.to_string())?;
            self.log.push(payload);
            if side == Side::Holder {
                self.events.insert("append by a holder");
            }
            if self.lose_replies > 0 {
                self.lose_replies -= 1;
                self.events.insert("reply lost");
                return Ok(());
            }
            outcome = AppendOutcome::Confirmed;
        }
        self.messages.push(Message::AppendReply {
            to: from,
            side,
            number,
            outcome,
        });
        Ok(())
    }

    /// Drops a message. If it belongs to a hold call, the call fails at the origin.
    pub(in crate::tests) fn drop_message(&mut self, message: &Message) {
        let (from, id) = match *message {
            Message::Hold { to, id, .. } => (to, id),
            Message::HoldReply { from, id, .. } => (from, id),
            _ => return,
        };
        self.messages.push(Message::HoldReply {
            from,
            id,
            held: false,
        });
    }

    /// Times out the oldest append of a node.
    pub(in crate::tests) fn time_out(&mut self, index: usize) -> Result<(), Violation> {
        let Some(node) = self.active(index) else {
            return Ok(());
        };
        let Some((side, number)) = node.appends.first().copied() else {
            return Ok(());
        };
        self.finish_append(index, side, number, AppendOutcome::Unconfirmed)
    }

    fn finish_append(
        &mut self,
        index: usize,
        side: Side,
        number: u64,
        outcome: AppendOutcome,
    ) -> Result<(), Violation> {
        let node = &mut self.nodes[index];
        node.appends.retain(|it| *it != (side, number));
        let now = self.now + node.clock_offset;
        let actions = match side {
            Side::Origin => node.origin.append_finished(number, outcome, now),
            Side::Holder => node.holder.append_finished(number, outcome, now),
        };
        self.run(index, side, actions)
    }

    pub(super) fn run(&mut self, index: usize, side: Side, actions: Vec<Action>) -> Result<(), Violation> {
        let from = self.nodes[index].member.incarnation;
        for action in actions {
            match action {
                Action::Hold {
                    peer: to,
                    id,
                    payload,
                    rank,
                    other,
                } => self.messages.push(Message::Hold {
                    to,
                    id,
                    payload,
                    rank,
                    other,
                }),
                Action::Append { number, payload } => {
                    self.nodes[index].appends.push((side, number));
                    self.messages.push(Message::Append {
                        from,
                        side,
                        number,
                        payload,
                    });
                }
                Action::Settle {
                    peer: to,
                    number,
                    ids,
                } => self.messages.push(Message::Settle {
                    from,
                    to,
                    number,
                    ids,
                }),
                Action::Release { sequence, reason } => {
                    let id = BatchId {
                        incarnation: from,
                        sequence,
                    };
                    self.events.insert(match reason {
                        ReleaseReason::Replicated => "released when replicated",
                        ReleaseReason::Logged => "released when logged",
                        ReleaseReason::Underreplicated => "released underreplicated",
                    });
                    self.check_release(id, reason)?;
                }
            }
        }
        Ok(())
    }
}
