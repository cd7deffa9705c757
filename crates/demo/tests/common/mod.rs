//! Test helpers for requests to a cluster and for reading its log, metrics and entry answers.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]
#![allow(dead_code, reason = "each test binary uses only some of the helpers")]

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
use model::object::{Rollout, rollout, version};
use ports::log::Log;
use serde_json::{Value, json};

/// Number of tokens in a complete answer of the engine fake.
pub const ANSWER_TOKENS: usize = 20;

/// Response to a chat request, as received by the caller.
#[derive(Debug)]
pub struct ChatResponse {
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
    /// Whether the stream ended with the `[DONE]` event.
    pub complete: bool,
}

/// Sends a streamed chat request and reads the response to the end.
pub fn chat(address: SocketAddr, key: &str, model: &str, headers: &[(&str, &str)]) -> ChatResponse {
    read_chat(send_chat(address, key, model, headers))
}

/// Sends a streamed chat request without reading the body of the response.
pub fn send_chat(
    address: SocketAddr,
    key: &str,
    model: &str,
    headers: &[(&str, &str)],
) -> attohttpc::Response {
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

/// Reads a streamed response to the end.
pub fn read_chat(response: attohttpc::Response) -> ChatResponse {
    let header = |name: &str| {
        let value = response.headers().get(name);
        value
            .map(|it| it.to_str().unwrap().to_owned())
            .unwrap_or_default()
    };
    let mut chat = ChatResponse {
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
            data => add_event(&mut chat, data),
        }
    }
    chat
}

fn add_event(chat: &mut ChatResponse, data: &str) {
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

/// Complete answer of the engine fake for a version.
pub fn expected_answer(version: &str) -> String {
    (0..ANSWER_TOKENS).map(|it| format!("{version}:{it} ")).collect()
}

/// Number of billing records per `ORGANISATION/KEY` in the log. Repeated batches are counted once, because
/// readers discard them.
pub fn bill_counts(cluster: &Cluster) -> BTreeMap<String, usize> {
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

/// Number of requests billed to an organisation, as aggregated by [`Reader`].
pub fn billed_requests(cluster: &Cluster, organisation: &str) -> u64 {
    let page = cluster.log_client().read(BILLING_STREAM, 0, 100_000).unwrap();
    let mut reader = Reader::default();
    for record in page.records {
        reader.read(&record.payload).unwrap();
    }
    reader.bills().get(organisation).map_or(0, |it| it.requests)
}

/// Waits until `done` returns true; panics after `timeout`.
pub fn wait_until(what: &str, timeout: Duration, done: impl Fn() -> bool) {
    let deadline = Instant::now() + timeout;
    while !done() {
        assert!(Instant::now() < deadline, "{what}: not within {timeout:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Cost and rejected cost of each billing record. Repeated batches are counted once.
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

/// Entry answer of a node: the nodes that callers may use, each with its address and key prefix.
pub fn entries(address: SocketAddr, query: &str) -> Vec<Value> {
    let response = attohttpc::get(format!("http://{address}/v1/entries{query}"))
        .bearer_auth(KEY)
        .send()
        .unwrap();
    let answer: Value = response.json().unwrap();
    answer["entries"].as_array().unwrap().clone()
}

/// Starts a cluster and waits until the entry answer of every node contains all nodes.
pub fn start_with_all_entries(options: &Options) -> Cluster {
    let cluster = Cluster::start(options).unwrap();
    let addresses = cluster.addresses();
    let all_listed = || {
        addresses
            .iter()
            .all(|it| entries(*it, "").len() == addresses.len())
    };
    wait_until("entries", Duration::from_secs(10), all_listed);
    cluster
}

/// Value of a metric, 0 if it is absent. `name` has no `bronzevale_` prefix and includes any labels.
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

/// Payload of a proposal that withdraws `small-1` and makes `small-2` the default version of its model.
/// `base` is the current revision of both objects.
pub fn withdrawal_payload(base: model::Revision) -> Vec<u8> {
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

/// Starts a roll-out from `small-1` to `small-2`.
pub fn start_rollout(cluster: &Cluster) {
    let rollout = Object::Rollout(Rollout {
        name: "next".into(),
        model: "small".into(),
        from: "small-1".into(),
        to: "small-2".into(),
        stages: vec![200, 1000],
        stage: 0,
        state: rollout::State::Running,
        exposure_budget: 100,
    });
    let proposal = Record::Proposal(Proposal {
        id: ProposalId::from_bits(3),
        author: "test".to_owned(),
        base: BTreeMap::new(),
        changes: vec![Change::Put(rollout)],
    });
    cluster.publish(&proposal.to_bytes()).unwrap();
}
