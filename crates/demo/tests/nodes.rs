//! Configuration, life cycle and authentication across nodes.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

use std::time::Duration;

use demo::Cluster;
use demo::cluster::Options;
use demo::log_link::LinkState;
use demo::sample::KEY;
use node::StopOutcome;
use ports::log::Log;

mod common;

use common::{
    chat, entries, expected_answer, metric, read_chat, send_chat, start_with_all_entries, wait_until,
    withdrawal_payload,
};

const ADMIN_KEY: &str = "operators-key";

fn options() -> Options {
    Options {
        extra_settings:
            "[stop]\nentry_lifetime_seconds = 1\ndrain_timeout_seconds = 20\n[config]\npoll_ms = 100\n"
                .to_owned(),
        admin_key: Some(ADMIN_KEY.to_owned()),
        ..Options::default()
    }
}

fn start() -> Cluster {
    start_with_all_entries(&options())
}

/// Guards against a node that serves a withdrawn version because it cannot reach the log and does not ask its
/// peers.
#[test]
fn node_without_the_log_gets_a_withdrawal_from_its_peers() {
    let cluster = start();
    cluster.set_log_link(2, LinkState::Down);
    let address = cluster.addresses()[2];
    assert_eq!(chat(address, KEY, "small", &[]).text, expected_answer("small-1"));
    cluster.publish(&withdrawal_payload(1)).unwrap();
    let refused = || chat(address, KEY, "small-1", &[]).error.as_deref() == Some("version_withdrawn");
    wait_until("withdrawal", Duration::from_secs(5), refused);
    assert_eq!(chat(address, KEY, "small", &[]).text, expected_answer("small-2"));
    assert!(metric(address, "config_fetched_total") >= 1.0);
    // The peers also report the age of the configuration.
    wait_until("age", Duration::from_secs(5), || {
        metric(address, "config_age_seconds") < 3.0
    });
}

/// Guards against a node that keeps serving versions that may have been withdrawn, because it can reach
/// neither the log nor a peer.
#[test]
fn isolated_node_refuses_chat_requests() {
    let mut cluster = start();
    cluster.set_log_link(0, LinkState::Down);
    cluster.kill(2);
    cluster.kill(1);
    let address = cluster.addresses()[0];
    assert!(chat(address, KEY, "small", &[]).complete);
    let refused = || {
        let chat = chat(address, KEY, "small", &[]);
        chat.error.as_deref() == Some("config_stale") && chat.ran.as_deref() == Some("no")
    };
    wait_until("refusal", Duration::from_secs(15), refused);
    assert!(entries(address, "").is_empty());
    cluster.set_log_link(0, LinkState::Up);
    wait_until("recovery", Duration::from_secs(5), || !refused());
}

/// Guards against a node that cannot start because the log no longer contains the first configuration
/// records.
#[test]
fn node_starts_from_a_snapshot_after_records_were_removed() {
    let mut cluster = start();
    let payloads = vec![b"malformed".to_vec(); 1_100];
    cluster.log_client().append(config::STREAM, &payloads).unwrap();
    let written = || {
        let written = |it: &_| metric(*it, "config_snapshots_total");
        cluster.addresses().iter().map(written).sum::<f64>()
    };
    wait_until("snapshot", Duration::from_secs(10), || written() >= 1.0);
    // The next append removes the records that created the objects, and keeps those after the revision of the
    // snapshot.
    cluster.log.update(|it| it.retention = 300);
    cluster.publish(b"malformed").unwrap();
    let first = cluster.log_client().read(config::STREAM, 0, 1).unwrap().first;
    assert!(first > 1, "{first}");
    // Without peers, the new node can get the configuration only from the log.
    for _ in 0..3 {
        cluster.kill(0);
    }
    cluster.add_node(&options()).unwrap();
    let address = cluster.addresses()[0];
    wait_until("start", Duration::from_secs(10), || cluster.nodes[0].is_ready());
    assert_eq!(chat(address, KEY, "small", &[]).text, expected_answer("small-1"));
}

/// Guards against callers being directed to nodes in other failure domains first, or to dead or leaving
/// nodes.
#[test]
fn entries_contain_live_nodes_with_the_callers_domain_first() {
    let mut cluster = start();
    let addresses = cluster.addresses();
    for address in &addresses {
        for domain in ["domain-0", "domain-1", "domain-2"] {
            let entries = entries(*address, &format!("?failure_domain={domain}"));
            assert_eq!(entries.len(), 3);
            assert_eq!(entries[0]["failure_domain"].as_str(), Some(domain));
        }
    }
    cluster.kill(1);
    let gone = || entries(addresses[0], "").len() == 2 && entries(addresses[2], "").len() == 2;
    wait_until("death", Duration::from_secs(15), gone);
    assert_eq!(metric(addresses[0], "members"), 2.0);
}

/// Guards against a drain request that is accepted without the operators' key, and against a drain that
/// aborts a stream or leaves new callers without a node.
#[test]
fn drain_requires_the_operators_key_and_completes_streams() {
    let mut cluster = start();
    let addresses = cluster.addresses();
    let drain = |key: &str| {
        let request = attohttpc::post(format!("http://{}/admin/drain", addresses[0]));
        request.bearer_auth(key).send().unwrap().status().as_u16()
    };
    for key in [KEY, "guess"] {
        assert_eq!(drain(key), 401);
        assert!(!cluster.nodes[0].is_leaving());
    }
    let stream = send_chat(addresses[0], KEY, "small", &[]);
    assert_eq!(drain(ADMIN_KEY), 202);
    assert!(cluster.nodes[0].is_leaving());
    let left = || entries(addresses[1], "").len() == 2 && entries(addresses[2], "").len() == 2;
    wait_until("entries", Duration::from_secs(3), left);
    // The daemon completes a drain in the same way.
    let node = cluster.nodes.remove(0);
    let stopping = std::thread::spawn(move || node.stop());
    let stream = read_chat(stream);
    assert_eq!(stream.text, expected_answer("small-1"));
    assert!(stream.complete);
    assert_eq!(stopping.join().unwrap(), StopOutcome::Complete);
    assert!(chat(addresses[1], KEY, "small", &[]).complete);
}

/// Guards against unauthenticated processes that send billing records, execute calls or join the cluster
/// through the node-to-node ports.
#[test]
fn unauthenticated_peer_calls_and_datagrams_are_rejected() {
    let cluster = start();
    let node = &cluster.nodes[0];
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    socket
        .send_to(b"no datagram of a node", node.gossip_address())
        .unwrap();
    let address = node.address();
    let rejected = || metric(address, "gossip_rejected_total") == 1.0;
    wait_until("rejected datagram", Duration::from_secs(5), rejected);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let peer = format!("http://{}", node.peer_address());
    for tag in [None, Some("00")] {
        let mut request = tonic::Request::new(wire::peer::ExecuteRequest::default());
        if let Some(tag) = tag {
            request
                .metadata_mut()
                .insert("x-cluster-tag", tag.parse().unwrap());
        }
        let status = runtime.block_on(async {
            let mut client = wire::peer::peer_client::PeerClient::connect(peer.clone())
                .await
                .unwrap();
            client.execute(request).await.unwrap_err()
        });
        assert_eq!(status.code(), tonic::Code::Unauthenticated, "{status}");
    }
    assert_eq!(metric(address, "peer_calls_rejected_total"), 2.0);
}
