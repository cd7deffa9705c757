//! Network, log and actions of the billing world.

use super::{Action, Append, Basis, Hold, Id, Message, Side, Violation, World, decode};

impl World {
    /// Delivers a message, or loses it if the receiver is dead; a paused receiver keeps it waiting.
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
        let now = self.now + node.offset;
        match message {
            Message::Hold {
                id,
                payload,
                rank,
                other,
                ..
            } => {
                let reply = node.held.hold(id, payload[..].into(), rank, other, now);
                let held = reply.map_err(|err| err.to_string())? == Hold::Held;
                let from = node.member.incarnation;
                if held {
                    self.confirmed.entry(id).or_default().insert(from);
                }
                if !held {
                    self.events.insert("no room at a holder");
                }
                self.messages.push(Message::HoldReply { from, id, held });
            }
            Message::HoldReply { from, id, held: true } => node.origin.held(from, id, now),
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
                node.held.settle(&ids);
                self.messages.push(Message::Settled {
                    from: to,
                    to: from,
                    number,
                });
            }
            Message::Settled { from, number, .. } => node.origin.settled(from, number),
            Message::AppendReply {
                side,
                number,
                outcome,
                ..
            } => return self.append_ended(index, side, number, outcome),
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
        let mut outcome = Append::Unconfirmed;
        if !self.outage {
            for batch in decode(&payload).map_err(|err| err.to_string())? {
                self.logged.insert(batch.id);
            }
            self.reader.read(&payload).map_err(|err| err.to_string())?;
            self.log.push(payload);
            if side == Side::Held {
                self.events.insert("append by a holder");
            }
            if self.lose_replies > 0 {
                self.lose_replies -= 1;
                self.events.insert("reply lost");
                return Ok(());
            }
            outcome = Append::Confirmed;
        }
        self.messages.push(Message::AppendReply {
            to: from,
            side,
            number,
            outcome,
        });
        Ok(())
    }

    /// Loses a message; a call to hold a batch fails at its origin.
    pub(in crate::tests) fn lose(&mut self, message: &Message) {
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

    /// The oldest append of a node times out.
    pub(in crate::tests) fn time_out(&mut self, index: usize) -> Result<(), Violation> {
        let Some(node) = self.active(index) else {
            return Ok(());
        };
        let Some((side, number)) = node.appends.first().copied() else {
            return Ok(());
        };
        self.append_ended(index, side, number, Append::Unconfirmed)
    }

    fn append_ended(
        &mut self,
        index: usize,
        side: Side,
        number: u64,
        outcome: Append,
    ) -> Result<(), Violation> {
        let node = &mut self.nodes[index];
        node.appends.retain(|it| *it != (side, number));
        let now = self.now + node.offset;
        let actions = match side {
            Side::Origin => node.origin.appended(number, outcome, now),
            Side::Held => node.held.appended(number, outcome, now),
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
                Action::Release { sequence, basis } => {
                    let id = Id {
                        incarnation: from,
                        sequence,
                    };
                    self.events.insert(match basis {
                        Basis::Replicated => "released when replicated",
                        Basis::Logged => "released when logged",
                        Basis::Underreplicated => "released underreplicated",
                    });
                    self.check_release(id, basis)?;
                }
            }
        }
        Ok(())
    }
}
