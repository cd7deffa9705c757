//! Calls and readers that the end-to-end tests share.

#![allow(clippy::unwrap_used, reason = "a failed set-up ends the test")]
#![allow(dead_code, reason = "each test binary uses a part")]

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use demo::Cluster;
use platform::log::Log;
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
    let page = cluster.log_client().read("bills", 0, 100_000).unwrap();
    let mut seen = BTreeSet::new();
    let mut bills = BTreeMap::new();
    for record in page.records {
        let batch: Value = serde_json::from_slice(&record.payload).unwrap();
        let identity = (batch["incarnation"].to_string(), batch["sequence"].to_string());
        if !seen.insert(identity) {
            continue;
        }
        for bill in batch["records"].as_array().unwrap() {
            *bills.entry(bill["key"].as_str().unwrap().to_owned()).or_default() += 1;
        }
    }
    bills
}

/// Value of a metric of a node, zero if it is absent.
pub fn metric(address: SocketAddr, name: &str) -> f64 {
    let response = attohttpc::get(format!("http://{address}/metrics"))
        .send()
        .unwrap();
    let text = response.text().unwrap();
    let name = format!("bronzevale_{name} ");
    let line = text.lines().find_map(|it| it.strip_prefix(&name));
    line.map_or(0.0, |it| it.parse().unwrap())
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
    let page = cluster.log_client().read("bills", 0, 100_000).unwrap();
    let batches = page
        .records
        .iter()
        .map(|it| serde_json::from_slice(&it.payload).unwrap());
    let of = |batch: Value| -> Vec<(u64, u64)> {
        let records = batch["records"].as_array().unwrap().iter();
        let costs = records.map(|it| {
            (
                it["cost"].as_u64().unwrap(),
                it["rejected_cost"].as_u64().unwrap(),
            )
        });
        costs.collect()
    };
    batches.flat_map(of).collect()
}
