//! Calls and readers that the end-to-end tests share.

#![allow(clippy::unwrap_used, reason = "a failed set-up ends the test")]
#![allow(dead_code, reason = "each test program uses a part")]

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use config::record::{Change, Proposal, ProposalId, Record};
use demo::Cluster;
use demo::cluster::Options;
use demo::sample::{KEY, objects};
use ledger::BILLING_STREAM;
use ledger::bill::Reader;
use ledger::billing::{Key, decode};
use model::Object;
use model::object::version;
use ports::log::Log;
use serde_json::{Value, json};

/// Tokens of a whole answer of the engine stand-in.
pub const TOKENS: usize = 20;

/// A caller's view of an answer.
#[derive(Debug)]
pub struct Chat {
    pub status: u16,
    pub id: String,
    pub session: String,
    /// Code of the error, if any.
    pub error: Option<String>,
    /// Value of `ran` of the error, if any.
    pub ran: Option<String>,
    /// Value of the header `Retry-After`, if any.
    pub retry_after: Option<String>,
    pub text: String,
    /// Whether the answer ended as a complete one does.
    pub complete: bool,
}

/// Starts a streamed chat request and reads it to the end.
pub fn chat(address: SocketAddr, key: &str, model: &str, headers: &[(&str, &str)]) -> Chat {
    read(send(address, key, model, headers))
}

/// Starts a streamed chat request.
pub fn send(address: SocketAddr, key: &str, model: &str, headers: &[(&str, &str)]) -> attohttpc::Response {
    let body = json!({
        "model": model,
        "stream": true,
        "messages": [{ "role": "user", "content": "Hello" }],
    });
    let mut request = attohttpc::post(format!("http://{address}/v1/chat/completions"))
        .read_timeout(Duration::from_secs(10))
        .bearer_auth(key);
    for (name, value) in headers {
        let name = attohttpc::header::HeaderName::from_bytes(name.as_bytes()).unwrap();
        request = request.header(name, *value);
    }
    request.text(body.to_string()).send().unwrap()
}

/// Reads an answer to the end.
pub fn read(response: attohttpc::Response) -> Chat {
    let header = |name: &str| {
        let value = response.headers().get(name);
        value
            .map(|it| it.to_str().unwrap().to_owned())
            .unwrap_or_default()
    };
    let mut chat = Chat {
        status: response.status().as_u16(),
        id: header("X-Request-Id"),
        session: header("X-Session"),
        error: None,
        ran: None,
        retry_after: Some(header("Retry-After")).filter(|it| !it.is_empty()),
        text: String::new(),
        complete: false,
    };
    for line in BufReader::new(response).lines() {
        let Ok(line) = line else { break };
        match line.strip_prefix("data: ").unwrap_or(&line) {
            "[DONE]" => chat.complete = true,
            data => add(&mut chat, data),
        }
    }
    chat
}

fn add(chat: &mut Chat, data: &str) {
    let Ok(value) = serde_json::from_str::<Value>(data) else {
        return;
    };
    if let Some(code) = value["error"]["code"].as_str() {
        chat.error = Some(code.to_owned());
        chat.ran = value["error"]["ran"].as_str().map(ToOwned::to_owned);
    }
    if let Some(text) = value["choices"][0]["delta"]["content"].as_str() {
        chat.text.push_str(text);
    }
}

/// The whole answer of a version.
pub fn answer(version: &str) -> String {
    (0..TOKENS).map(|it| format!("{version}:{it} ")).collect()
}

/// Number of bills of each billing key, as a reader counts them: repeated batches are discarded.
pub fn bills(cluster: &Cluster) -> BTreeMap<String, usize> {
    let page = cluster.log_client().read(BILLING_STREAM, 0, 100_000).unwrap();
    let mut seen = BTreeSet::new();
    let mut bills = BTreeMap::new();
    for record in page.records {
        for batch in decode(&record.payload).unwrap() {
            if !seen.insert(batch.id) {
                continue;
            }
            for bill in batch.records {
                let key = match bill.key {
                    Key::Idempotency(text) => text.to_string(),
                    Key::Request { incarnation, number } => format!("{incarnation}-{number}"),
                };
                *bills.entry(format!("{}/{key}", bill.organisation)).or_default() += 1;
            }
        }
    }
    bills
}

/// Requests that an organisation pays for, as the bill reader adds them up.
pub fn billed(cluster: &Cluster, organisation: &str) -> u64 {
    let page = cluster.log_client().read(BILLING_STREAM, 0, 100_000).unwrap();
    let mut reader = Reader::default();
    for record in page.records {
        reader.read(&record.payload).unwrap();
    }
    reader.bills().get(organisation).map_or(0, |it| it.requests)
}

/// Waits until `done` holds.
pub fn wait(what: &str, bound: Duration, done: impl Fn() -> bool) {
    let end = Instant::now() + bound;
    while !done() {
        assert!(Instant::now() < end, "{what}: not within {bound:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Cost and cost of rejected steps of each bill.
pub fn rejected_costs(cluster: &Cluster) -> Vec<(u64, u64)> {
    let page = cluster.log_client().read(BILLING_STREAM, 0, 100_000).unwrap();
    let batches: BTreeMap<_, _> = page
        .records
        .iter()
        .flat_map(|it| decode(&it.payload).unwrap())
        .map(|it| (it.id, it))
        .collect();
    let records = batches.into_values().flat_map(|it| it.records);
    records.map(|it| (it.cost, it.rejected)).collect()
}

/// Addresses that a node names to callers, with the key prefix of each.
pub fn entries(address: SocketAddr, query: &str) -> Vec<Value> {
    let response = attohttpc::get(format!("http://{address}/v1/entries{query}"))
        .bearer_auth(KEY)
        .send()
        .unwrap();
    let answer: Value = response.json().unwrap();
    answer["entries"].as_array().unwrap().clone()
}

/// Starts a cluster and waits until each node names all of them.
pub fn start_whole(options: &Options) -> Cluster {
    let cluster = Cluster::start(options).unwrap();
    let addresses = cluster.addresses();
    let whole = || {
        addresses
            .iter()
            .all(|it| entries(*it, "").len() == addresses.len())
    };
    wait("entries", Duration::from_secs(10), whole);
    cluster
}

/// Value of a metric without labels, zero if it is absent.
pub fn metric(address: SocketAddr, name: &str) -> f64 {
    let text = attohttpc::get(format!("http://{address}/metrics"))
        .send()
        .unwrap()
        .text()
        .unwrap();
    let line = text
        .lines()
        .find_map(|it| it.strip_prefix(&format!("bronzevale_{name} ")));
    line.map_or(0.0, |it| it.parse().unwrap())
}

/// Withdraws `small-1` and makes `small-2` the default version of its model; `base` is their revision.
pub fn withdrawal(base: model::Revision) -> Vec<u8> {
    let mut changes = Vec::new();
    for mut object in objects() {
        match &mut object {
            Object::Version(it) if &*it.name == "small-1" => it.state = version::State::Withdrawn,
            Object::Model(it) if &*it.name == "small" => it.default_version = "small-2".into(),
            _ => continue,
        }
        changes.push(Change::Put(object));
    }
    let base = changes.iter().map(|it| (it.key(), base)).collect();
    Record::Proposal(Proposal {
        id: ProposalId::from_bits(2),
        author: "test".to_owned(),
        base,
        changes,
    })
    .to_bytes()
}
