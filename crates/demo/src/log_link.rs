//! Connection of one node to the log service that can be interrupted, to simulate a network fault.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use model::Offset;
use ports::log::{Error, Log, Page};

/// State of a [`LogLink`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    /// Calls reach the log service.
    Up,
    /// Calls fail with [`Error::Unavailable`] and have no effect.
    Down,
}

/// Connection of one node to the log service.
#[derive(Debug)]
pub struct LogLink {
    log: Arc<dyn Log>,
    is_down: AtomicBool,
}

impl LogLink {
    /// Creates a connection in state [`LinkState::Up`].
    pub fn new(log: Arc<dyn Log>) -> Self {
        Self {
            log,
            is_down: AtomicBool::new(false),
        }
    }

    /// Interrupts or restores the connection.
    pub fn set_state(&self, state: LinkState) {
        self.is_down.store(state == LinkState::Down, Ordering::SeqCst);
    }

    fn ensure_up(&self) -> Result<(), Error> {
        if self.is_down.load(Ordering::SeqCst) {
            return Err(Error::Unavailable);
        }
        Ok(())
    }
}

impl Log for LogLink {
    fn append(&self, stream: &str, payloads: &[Vec<u8>]) -> Result<Offset, Error> {
        self.ensure_up()?;
        self.log.append(stream, payloads)
    }

    fn read(&self, stream: &str, from: Offset, limit: usize) -> Result<Page, Error> {
        self.ensure_up()?;
        self.log.read(stream, from, limit)
    }
}
