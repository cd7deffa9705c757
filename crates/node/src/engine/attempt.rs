//! An attempt on one engine.
//!
//! A reader thread calls the blocking port and forwards its events, so that the request thread can abandon an
//! engine that makes no progress. Dropping the receiver stops the reader at the next event, which cancels the
//! generation.

use std::net::SocketAddr;
use std::sync::Arc;

use crossbeam::channel::{Receiver, Sender, bounded};
use ports::engine::{Engines, Error, Event, Request};

/// Events that the reader may be ahead of the request thread.
const EVENT_QUEUE_CAPACITY: usize = 64;

/// Stack size of a reader thread.
const STACK_BYTES: usize = 256 << 10;

/// Item that the reader forwards.
pub(crate) type Item = Result<Event, Error>;

/// Starts an attempt. The channel is closed after an error or the end of the answer.
pub(crate) fn start(engines: &Arc<dyn Engines>, address: SocketAddr, request: Request) -> Receiver<Item> {
    let (events, receiver) = bounded(EVENT_QUEUE_CAPACITY);
    let engines = Arc::clone(engines);
    let thread = std::thread::Builder::new()
        .name("engine".to_owned())
        .stack_size(STACK_BYTES);
    let fallback = events.clone();
    let run = move || forward_events(&*engines, address, &request, &events);
    if thread.spawn(run).is_err() {
        // Without a thread nothing was sent, which is equivalent to a failed connection.
        fallback.try_send(Err(Error::Connect)).ok();
    }
    receiver
}

fn forward_events(engines: &dyn Engines, address: SocketAddr, request: &Request, events: &Sender<Item>) {
    let mut stream = match engines.generate(address, request) {
        Ok(stream) => stream,
        Err(err) => {
            events.send(Err(err)).ok();
            return;
        }
    };
    loop {
        let item = stream.next();
        let last = !matches!(item, Ok(Event::Token { .. }));
        if events.send(item).is_err() || last {
            return;
        }
    }
}
