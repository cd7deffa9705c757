//! Fuzzing of the caller port with arbitrary and mutated bytes.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicUsize, Ordering};

use demo::Cluster;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

use crate::client::{chat_request, complete_chat_request, connect, parse_all, read_to_end, serves, start};

/// Number of concurrent connections per case.
const CONNECTIONS_PER_CASE: usize = 64;

/// Number of cases if the environment variable `PROPTEST_CASES` is not set. Each case takes as long as the
/// longest time-out.
const DEFAULT_CASES: u32 = 16;

/// Number of panics in threads that serve callers.
static PANICS: AtomicUsize = AtomicUsize::new(0);

/// Installs a panic hook that maintains [`PANICS`].
fn count_panics() {
    static ONCE: OnceLock<()> = OnceLock::new();
    ONCE.get_or_init(|| {
        let default = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            if matches!(std::thread::current().name(), Some("http" | "callers")) {
                PANICS.fetch_add(1, Ordering::SeqCst);
            }
            default(info);
        }));
    });
}

/// Starts a cluster with short time-outs, so that incomplete requests end soon.
fn cluster() -> Cluster {
    start(
        "header_timeout_ms = 200\nbody_timeout_ms = 200\nidle_timeout_ms = 200\n\
         max_header_bytes = 4096\nmax_body_bytes = 8192",
    )
}

/// Well-formed requests, used unchanged or mutated.
fn well_formed_requests() -> Vec<Vec<u8>> {
    vec![
        complete_chat_request(true),
        complete_chat_request(false),
        chat_request(
            "Transfer-Encoding: chunked\r\n",
            "3\r\n{\"a\r\n2\r\n\":\r\n0\r\n\r\n",
        ),
        chat_request("Expect: 100-continue\r\nContent-Length: 2\r\n", "{}"),
        chat_request("X-Session: x\r\nX-Deadline-Ms: 5\r\nContent-Length: 2\r\n", "{}"),
        b"GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer demo-key\r\n\r\n".to_vec(),
        b"GET /v1/entries?a=%00 HTTP/1.1\r\nHost: x\r\nConnection: keep-alive\r\n\r\n".to_vec(),
        b"POST /v1/services/stock/holds HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\na".to_vec(),
        b"GET http://x/healthz HTTP/1.0\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n".to_vec(),
    ]
}

/// A mutation of a byte string. Positions are taken modulo its length.
#[derive(Debug, Clone)]
enum Mutation {
    Replace(usize, u8),
    Insert(usize, Vec<u8>),
    Remove(usize, usize),
    Cut(usize),
}

impl Mutation {
    fn apply(&self, bytes: &mut Vec<u8>) {
        let position = |at: usize, bytes: &[u8]| at % bytes.len().max(1);
        match self {
            Self::Replace(at, byte) => {
                let at = position(*at, bytes);
                if let Some(it) = bytes.get_mut(at) {
                    *it = *byte;
                }
            }
            Self::Insert(at, more) => {
                let at = position(*at, bytes);
                bytes.splice(at..at, more.iter().copied());
            }
            Self::Remove(at, len) => {
                let at = position(*at, bytes);
                bytes.drain(at..(at + len).min(bytes.len()));
            }
            Self::Cut(at) => bytes.truncate(position(*at, bytes)),
        }
    }
}

fn mutation() -> impl Strategy<Value = Mutation> {
    let tokens = [
        "\r\n",
        "\r\n\r\n",
        ":",
        " ",
        "0\r\n\r\n",
        "chunked",
        "99999999999999",
        "\0",
        "\u{ff}",
        ", ",
    ];
    let token = proptest::sample::select(tokens.map(|it| it.as_bytes().to_vec()).to_vec());
    let more = prop_oneof![token, vec(any::<u8>(), 1..20)];
    prop_oneof![
        (any::<usize>(), any::<u8>()).prop_map(|(at, byte)| Mutation::Replace(at, byte)),
        (any::<usize>(), more).prop_map(|(at, more)| Mutation::Insert(at, more)),
        (any::<usize>(), 1..30_usize).prop_map(|(at, len)| Mutation::Remove(at, len)),
        any::<usize>().prop_map(Mutation::Cut),
    ]
}

fn input() -> impl Strategy<Value = Vec<u8>> {
    let mutated = (
        proptest::sample::select(well_formed_requests()),
        vec(mutation(), 0..5),
    )
        .prop_map(|(mut bytes, mutations)| {
            for mutation in mutations {
                mutation.apply(&mut bytes);
            }
            bytes
        });
    let random = vec(any::<u8>(), 0..2000);
    let text = vec("[ -~]{0,40}", 0..20).prop_map(|it| it.join("\r\n").into_bytes());
    let pipelined = vec(proptest::sample::select(well_formed_requests()), 1..5).prop_map(|it| it.concat());
    prop_oneof![6 => mutated, 1 => random, 1 => text, 2 => pipelined]
}

/// Sends each input on its own connection, all open concurrently, and returns the received bytes.
fn send_all(address: SocketAddr, inputs: &[Vec<u8>]) -> Vec<Vec<u8>> {
    let streams = inputs.iter().map(|input| {
        let mut stream = connect(address);
        // The write may fail, since the node may respond and close the connection before it has read
        // everything.
        stream.write_all(input).ok();
        stream
    });
    let mut streams: Vec<_> = streams.collect();
    streams.iter_mut().map(read_to_end).collect()
}

/// Guards against input that makes the node panic, hang, send a malformed response or stop serving.
#[test]
fn arbitrary_bytes_get_a_well_formed_response_or_a_closed_connection() {
    count_panics();
    let cluster = cluster();
    let address = cluster.addresses()[0];
    let config = Config {
        rng_seed: RngSeed::Fixed(1),
        cases: std::env::var("PROPTEST_CASES")
            .map_or(DEFAULT_CASES, |it| it.parse().unwrap_or(DEFAULT_CASES)),
        max_shrink_iters: 64,
        failure_persistence: None,
        ..Config::default()
    };
    let run = TestRunner::new(config).run(&vec(input(), CONNECTIONS_PER_CASE), |inputs| {
        let answers = send_all(address, &inputs);
        for (input, answer) in inputs.iter().zip(answers) {
            let is_well_formed = parse_all(&answer).is_some();
            let (input, answer) = (input.escape_ascii(), answer.escape_ascii());
            prop_assert!(is_well_formed, "{input}\nwas answered\n{answer}");
        }
        prop_assert_eq!(PANICS.load(Ordering::SeqCst), 0);
        prop_assert!(serves(address));
        Ok(())
    });
    run.unwrap();
}
