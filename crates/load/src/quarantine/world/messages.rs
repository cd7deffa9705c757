//! Messages between the nodes of the simulated fleet.

use std::time::Duration;

use forward::quarantine::Message;
use rand::Rng;

use super::World;
use crate::quarantine::event::Event;
use crate::quarantine::scenario::Trouble;

const MESSAGE_DELAY: Duration = Duration::from_millis(5);
const LOST_MESSAGES: f64 = 0.33;

/// Number of datagrams that nodes send at once to others, and the pause after them.
const BURST_SIZE: usize = 8;
const BURST_PAUSE: Duration = Duration::from_millis(20);

impl World {
    /// Sends a message in bursts, with the ages that it has at the time of each.
    pub(super) fn post(&mut self, from: usize, to: &[usize], message: &Message) {
        for (index, burst) in to.chunks(BURST_SIZE).enumerate() {
            let delay = BURST_PAUSE * index as u32;
            self.post_burst(from, burst, delay, message.aged(delay));
        }
    }

    fn post_burst(&mut self, from: usize, to: &[usize], delay: Duration, message: Message) {
        self.outcome.datagrams += to.len();
        let id = self.sequence as usize;
        let mut receivers = 0;
        for &to in to {
            let is_lost = self.trial.trouble == Trouble::LostMessages && self.rng.random_bool(LOST_MESSAGES);
            if !is_lost && !self.is_cut(from, to) {
                receivers += 1;
                let started = self.nodes[to].started;
                self.schedule(
                    delay + MESSAGE_DELAY,
                    Event::Deliver {
                        to,
                        started,
                        message: id,
                    },
                );
            }
        }
        if receivers > 0 {
            self.messages.insert(id, (message, receivers));
        }
    }

    pub(super) fn deliver(&mut self, to: usize, started: u32, message: usize) {
        let Some((content, receivers)) = self.messages.get_mut(&message) else {
            return;
        };
        *receivers -= 1;
        let is_last = *receivers == 0;
        if self.nodes[to].started == started && self.nodes[to].up_since.is_some() {
            self.nodes[to].quarantine.apply(content, self.now);
        }
        if is_last {
            self.messages.remove(&message);
        }
        self.note_held(to);
    }
}
