//! One attempt on one engine.
//!
//! A reader thread calls the blocking port and passes events on, so that the request thread can give up on a silent
//! engine. Dropping the receiver ends the reader at the next event, and with it the generation.

use std::net::SocketAddr;
use std::sync::Arc;

use crossbeam::channel::{Receiver, Sender, bounded};
use ports::engine::{Engines, Error, Event, Request};

/// Events that the reader may be ahead of the caller.
const EVENTS: usize = 64;

/// Stack of a reader thread.
const STACK_BYTES: usize = 256 << 10;

/// What the reader passes on.
pub(crate) type Item = Result<Event, Error>;

/// Starts an attempt; after an error or the end of the answer the channel is closed.
pub(crate) fn start(engines: &Arc<dyn Engines>, address: SocketAddr, request: Request) -> Receiver<Item> {
    let (events, receiver) = bounded(EVENTS);
    let engines = Arc::clone(engines);
    let thread = std::thread::Builder::new()
        .name("engine".to_owned())
        .stack_size(STACK_BYTES);
    let fallback = events.clone();
    let run = move || read(&*engines, address, &request, &events);
    if thread.spawn(run).is_err() {
        // Without a thread nothing was sent, as if the connection had failed.
        fallback.try_send(Err(Error::Connect)).ok();
    }
    receiver
}

fn read(engines: &dyn Engines, address: SocketAddr, request: &Request, events: &Sender<Item>) {
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
