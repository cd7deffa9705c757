//! TLS on the caller port.

use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use demo::Cluster;
use rcgen::{CertifiedKey, KeyPair};
use tokio_rustls::rustls::crypto::ring;
use tokio_rustls::rustls::pki_types::{CertificateDer, ServerName};
use tokio_rustls::rustls::{ClientConfig, ClientConnection, RootCertStore, StreamOwned};

use crate::client::{Response, complete_chat_request, connect, options, read_one, read_to_end, wait_until};

type Stream = StreamOwned<ClientConnection, TcpStream>;

const GET: &[u8] = b"GET /healthz HTTP/1.1\r\nHost: localhost\r\n\r\n";

/// Generates a self-signed certificate for `localhost`.
fn certificate() -> CertifiedKey<KeyPair> {
    rcgen::generate_simple_self_signed(["localhost".to_owned()]).unwrap()
}

/// Certificate and key files of one test.
struct Files {
    directory: PathBuf,
}

impl Files {
    fn new(test: &str) -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("tls-{test}"));
        fs::create_dir_all(&directory).unwrap();
        Self { directory }
    }

    fn write(&self, certificate: &str, key: &str) {
        // A rename replaces the file atomically, as certificate renewal tools do.
        for (name, text) in [("cert.pem", certificate), ("key.pem", key)] {
            let new = self.directory.join(format!("{name}.new"));
            fs::write(&new, text).unwrap();
            fs::rename(new, self.directory.join(name)).unwrap();
        }
    }

    fn install(&self, certificate: &CertifiedKey<KeyPair>) {
        self.write(&certificate.cert.pem(), &certificate.signing_key.serialize_pem());
    }

    fn start(&self) -> Cluster {
        let mut options = options("header_timeout_ms = 1000");
        options.engine.token_interval = Duration::from_millis(100);
        options.engine.answer_tokens = 50;
        options.extra_settings += &format!(
            "[tls]\ncertificate_file = {0}/cert.pem\nprivate_key_file = {0}/key.pem\n",
            self.directory.display()
        );
        Cluster::start(&options).unwrap()
    }
}

/// Opens a TLS connection that trusts `roots`.
fn connect_tls(address: SocketAddr, roots: &[&CertifiedKey<KeyPair>]) -> Stream {
    let mut store = RootCertStore::empty();
    for root in roots {
        store.add(root.cert.der().clone()).unwrap();
    }
    let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(store)
        .with_no_client_auth();
    let name = ServerName::try_from("localhost").unwrap();
    let connection = ClientConnection::new(Arc::new(config), name).unwrap();
    StreamOwned::new(connection, connect(address))
}

fn get(stream: &mut Stream, request: &[u8]) -> Response {
    stream.write_all(request).unwrap();
    read_one(stream)
}

/// Certificate that the node presents on a new connection.
fn presented_certificate(address: SocketAddr, roots: &[&CertifiedKey<KeyPair>]) -> CertificateDer<'static> {
    let mut stream = connect_tls(address, roots);
    assert_eq!(get(&mut stream, GET).status, 200);
    stream.conn.peer_certificates().unwrap()[0].clone().into_owned()
}

fn metric(address: SocketAddr, roots: &[&CertifiedKey<KeyPair>], name: &str) -> String {
    let response = get(
        &mut connect_tls(address, roots),
        b"GET /metrics HTTP/1.1\r\nHost: localhost\r\n\r\n",
    );
    let text = String::from_utf8(response.body).unwrap();
    let prefix = format!("bronzevale_{name} ");
    let line = text.lines().find_map(|it| it.strip_prefix(&prefix));
    line.unwrap().to_owned()
}

/// Guards against a renewal that breaks open connections or has no effect on new ones.
#[test]
fn certificate_is_renewed_while_connections_are_open() {
    let [old, new] = [certificate(), certificate()];
    let both = [&old, &new];
    let files = Files::new("renewal");
    files.install(&old);
    let cluster = files.start();
    let address = cluster.addresses()[0];
    let mut idle = connect_tls(address, &both);
    assert_eq!(get(&mut idle, GET).status, 200);
    let mut busy = connect_tls(address, &both);
    busy.write_all(&complete_chat_request(true)).unwrap();
    assert_eq!(&presented_certificate(address, &both), old.cert.der());
    files.install(&new);
    wait_until("renewal", || {
        presented_certificate(address, &both) == *new.cert.der()
    });
    assert_eq!(get(&mut idle, GET).status, 200);
    let answer = read_one(&mut busy);
    assert_eq!(answer.status, 200);
    assert!(answer.body.ends_with(b"data: [DONE]\n\n"));
    assert_eq!(metric(address, &both, "tls_renewals_total"), "1");
}

/// Guards against invalid new files that interrupt the service, or are reported again on every check of the
/// files.
#[test]
fn invalid_new_files_leave_the_old_certificate_in_use() {
    let [old, other] = [certificate(), certificate()];
    let roots = [&old, &other];
    let files = Files::new("faulty");
    files.install(&old);
    let cluster = files.start();
    let address = cluster.addresses()[0];
    let failures = || metric(address, &roots, "tls_renewal_failures_total");
    let pem = old.cert.pem();
    let key = old.signing_key.serialize_pem();
    let faults = [
        ("", ""),
        (&pem[..pem.len() / 2], &key[..]),
        (&pem[..], "no key"),
        (&pem[..], &other.signing_key.serialize_pem()),
    ];
    let mut before: usize = failures().parse().unwrap();
    assert_eq!(before, 0);
    for (certificate, key) in faults {
        files.write(certificate, key);
        wait_until("failure", || failures().parse::<usize>().unwrap() > before);
        // Longer than two check intervals.
        std::thread::sleep(Duration::from_millis(2500));
        let now = failures().parse::<usize>().unwrap();
        // A check between the replacements of the two files counts as one more failure.
        assert!(now - before <= 2, "{before} {now}");
        before = now;
        assert_eq!(&presented_certificate(address, &roots), old.cert.der());
    }
    files.install(&other);
    wait_until("renewal", || {
        presented_certificate(address, &roots) == *other.cert.der()
    });
}

/// Guards against plain-text responses on a TLS port, and against connections that stay open without a
/// handshake.
#[test]
fn connections_without_a_handshake_are_closed() {
    let certificate = certificate();
    let files = Files::new("plain");
    files.install(&certificate);
    let cluster = files.start();
    let address = cluster.addresses()[0];
    let mut plain = connect(address);
    plain.write_all(GET).unwrap();
    assert!(!read_to_end(&mut plain).starts_with(b"HTTP/"));
    assert!(read_to_end(&mut connect(address)).is_empty());
    assert_eq!(
        &presented_certificate(address, &[&certificate]),
        certificate.cert.der()
    );
    let roots = [&certificate];
    wait_until("failures", || {
        metric(address, &roots, "tls_handshake_failures_total") == "2"
    });
}
