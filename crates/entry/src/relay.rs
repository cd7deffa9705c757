//! Asks other nodes for what they read from the store, and answers such questions, by datagrams.
//!
//! An answer says how old its reading is. The node that asked counts that age from the moment at which it sent the
//! question, so that neither a slow datagram nor a suspended host makes a reading look younger than it is.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use forward::BootTime;
use forward::directory::Engine;
use forward::relay::{AcceptedReply, Journal, JournalReply, Query, READERS_PER_TOPIC};
use model::{Host, Upstream, hash};
use rand::Rng;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::shared::{Shared, lock};
use crate::{clock, members};

/// Time for an answer; some tens of times the way between two failure domains, so that only a lost datagram or a
/// busy host exceeds it.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);

/// Greatest encoded answer. A longer one would be cut into many packets, of which none may be lost.
const MAX_ANSWER: usize = 8 << 10;

/// Age of a usable answer, in readings of the store. An answer that is older means that its node has no good way to
/// the store.
const USABLE: f64 = 1.2;

/// Nodes besides the readers that a node asks when the store has failed it: if the readers are turned away as well,
/// these read the store themselves.
const SUBSTITUTES: usize = 2;

/// Questions in the time of one reading of the store.
pub(crate) const ASKS: f64 = 2.0;

/// State of the exchange.
#[derive(Debug, Default)]
pub(crate) struct Relay {
    pub operators: Mutex<Journal<Change>>,
    pub engines: Mutex<Journal<Change>>,
    waiting: Mutex<HashMap<u64, oneshot::Sender<Answer>>>,
}

/// A question from one node to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Question {
    number: u64,
    subject: Subject,
    from: u64,
}

/// The answer to a [`Question`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Answer {
    number: u64,
    /// Offset behind the reading, its age in milliseconds, and the changes; `None` if it is not known.
    reading: Option<(u64, u64, Vec<Change>)>,
}

/// What is passed on. States of releases are not: their driver tells them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Subject {
    /// Whether there is something new of the operators; the records themselves come from the store.
    Operators,
    /// Changes of the list of engines.
    Engines,
}

/// Change of an engine's entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Change {
    id: String,
    engine: Option<Listing>,
}

/// An engine's entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Listing {
    born: u64,
    service: String,
    address: SocketAddr,
    domain: String,
    version: String,
    slots: u32,
    draining: bool,
}

impl Subject {
    fn name(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Engines => "engines",
        }
    }

    /// Time between two readings of the store.
    fn pace(self, shared: &Shared) -> Duration {
        let store = &shared.settings().store;
        match self {
            Self::Operators => store.config_wait,
            Self::Engines => store.engine_poll,
        }
    }

    fn journal(self, relay: &Relay) -> &Mutex<Journal<Change>> {
        match self {
            Self::Operators => &relay.operators,
            Self::Engines => &relay.engines,
        }
    }
}

impl Change {
    pub(crate) fn new(id: &Upstream, engine: Option<&Engine>) -> Self {
        Self {
            id: id.to_string(),
            engine: engine.map(|it| Listing {
                born: it.started_ms,
                service: it.service.to_string(),
                address: it.address,
                domain: it.domain.to_string(),
                version: it.version.to_string(),
                slots: it.slots,
                draining: it.draining,
            }),
        }
    }

    /// The engine's name, and its entry unless it is gone.
    pub(crate) fn into_entry(self) -> (Upstream, Option<Engine>) {
        let id: Upstream = self.id.into();
        let engine = self.engine.map(|it| Engine {
            id: id.clone(),
            started_ms: it.born,
            service: it.service.into(),
            address: it.address,
            domain: it.domain.into(),
            version: it.version.into(),
            slots: it.slots,
            draining: it.draining,
        });
        (id, engine)
    }
}

/// Asks the readers of a subject for what lies behind `from`.
///
/// `None` if this node has to read the store itself, because it is one of the readers, or because none of them has a
/// recent reading. A node that the store has failed (`is_lost`) asks also if it is a reader, and some more nodes.
pub(crate) async fn ask(
    shared: &Shared,
    socket: &UdpSocket,
    subject: Subject,
    from: u64,
    is_lost: bool,
) -> Option<AcceptedReply<Change>> {
    let pace = subject.pace(shared);
    for reader in readers(shared, subject, is_lost)? {
        let sent = clock::now();
        let own = lock(subject.journal(&shared.relay)).newest(sent);
        let age = own.map_or(Duration::MAX, |(_, age)| age);
        let Some(reading) = ask_one(shared, socket, reader, subject, from).await else {
            continue;
        };
        let asked = Query {
            from_offset: from,
            age,
            sent_at: sent,
        };
        let taken = asked.accept(reading, clock::now(), pace.mul_f64(USABLE));
        if taken.is_some() {
            let label = [("subject", subject.name())];
            shared.metrics.relayed.get_or_create(&label).inc();
            return taken;
        }
    }
    None
}

/// The nodes to ask, those of the own failure domain first; `None` if this node is itself a reader.
fn readers(shared: &Shared, subject: Subject, is_lost: bool) -> Option<Vec<SocketAddr>> {
    let table = lock(&shared.members);
    let own = table.local();
    let live = table.live(clock::now());
    let count = if is_lost {
        READERS_PER_TOPIC + SUBSTITUTES
    } else {
        READERS_PER_TOPIC
    };
    let mut chosen = hash::highest(subject.name(), live.iter().map(|it| &*it.host), count);
    if is_lost {
        chosen.retain(|it| *it != &*own.host);
    } else if chosen.contains(&&*own.host) {
        return None;
    }
    let is_chosen = |host: &Host| chosen.contains(&&**host);
    let mut readers: Vec<_> = live.iter().filter(|it| is_chosen(&it.host)).collect();
    readers.sort_by_key(|it| it.domain != own.domain);
    Some(readers.into_iter().map(|it| it.addresses.gossip).collect())
}

/// What is known of each topic, for operators: its offset, how old that is, and whether this node reads the store.
pub(crate) fn state(shared: &Shared, now: BootTime) -> Vec<serde_json::Value> {
    let subject = |subject: Subject| {
        let newest = lock(subject.journal(&shared.relay)).newest(now);
        json!({
            "subject": subject.name(),
            "offset": newest.map(|it| it.0),
            "age_ms": newest.map(|it| it.1.as_millis() as u64),
            "reads_store": readers(shared, subject, false).is_none(),
        })
    };
    [Subject::Operators, Subject::Engines].map(subject).into()
}

async fn ask_one(
    shared: &Shared,
    socket: &UdpSocket,
    reader: SocketAddr,
    subject: Subject,
    from: u64,
) -> Option<JournalReply<Change>> {
    let number = rand::rng().random();
    let (sender, receiver) = oneshot::channel();
    lock(&shared.relay.waiting).insert(number, sender);
    members::send_question(
        socket,
        &Question {
            number,
            subject,
            from,
        },
        reader,
    );
    let answer = timeout(ANSWER_TIMEOUT, receiver).await;
    lock(&shared.relay.waiting).remove(&number);
    let Ok(Ok(answer)) = answer else {
        log::debug!(subject = subject.name(), reader:%; "no answer about the store's topics");
        return None;
    };
    let (next, age_ms, changes) = answer.reading?;
    Some(JournalReply {
        next_offset: next,
        age: Duration::from_millis(age_ms),
        changes,
    })
}

/// Answers another node; `None` if the answer cannot be encoded.
pub(crate) fn answer(shared: &Shared, question: &Question) -> Option<Vec<u8>> {
    let journal = lock(question.subject.journal(&shared.relay));
    let reading = journal.since(question.from, clock::now());
    drop(journal);
    let reading = reading.map(|it| (it.next_offset, it.age.as_millis() as u64 + 1, it.changes));
    let number = question.number;
    let encoded = encode(&Answer { number, reading })?;
    if encoded.len() <= MAX_ANSWER {
        return Some(encoded);
    }
    encode(&Answer {
        number,
        reading: None,
    })
}

fn encode(answer: &Answer) -> Option<Vec<u8>> {
    serde_json::to_vec(answer)
        .inspect_err(|err| log::error!("an answer to another node does not encode: {err}"))
        .ok()
}

/// Hands an answer to the task that waits for it; one that came too late is dropped.
pub(crate) fn answered(shared: &Shared, answer: Answer) {
    if let Some(waiting) = lock(&shared.relay.waiting).remove(&answer.number) {
        // The task may have given up at this moment; then it reads the store.
        let _ = waiting.send(answer);
    }
}
