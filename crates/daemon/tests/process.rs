//! The daemon as operators start it.

#![allow(clippy::unwrap_used, reason = "a failed set-up ends the test")]

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use standin::{Hosts, Log};

fn daemon(config: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bronzevaled"));
    command.arg("--config").arg(config).stderr(Stdio::piped());
    command
}

fn check(config: &Path) -> Output {
    daemon(config).arg("--check").output().unwrap()
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

/// Guards against examples that the daemon itself rejects.
#[test]
fn examples_pass_the_check() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let mut count = 0;
    for entry in fs::read_dir(examples).unwrap() {
        let path = entry.unwrap().path();
        if path.extension().is_some_and(|it| it == "ini") {
            let output = check(&path);
            assert_eq!(output.status.code(), Some(0), "{path:?}: {output:?}");
            count += 1;
        }
    }
    assert!(count > 0);
}

macro_rules! rejected_settings {
    ($($name:ident: $text:expr => $message:expr;)*) => {
        $(#[test] fn $name() {
            let config = file(concat!(stringify!($name), ".ini"), $text);
            let output = check(&config);
            assert_eq!(output.status.code(), Some(2));
            let message = String::from_utf8(output.stderr).unwrap();
            assert!(message.contains($message), "{message}");
        })*
    };
}

// Guards against a daemon that starts with other settings than the intended ones.
rejected_settings! {
    syntax: "[node\n" => "syntax.ini";
    missing_keys: "[node]\nhost = a\n" => "the key is missing";
    unknown_section: "[colours]\nred = 1\n" => "unknown section";
}

/// Guards against bad arguments that look like a failure of the platform.
#[test]
fn bad_arguments_exit_with_2() {
    for args in [
        &[][..],
        &["--config"],
        &["--colour", "red"],
        &["--config", "/does/not/exist"],
    ] {
        let output = Command::new(env!("CARGO_BIN_EXE_bronzevaled"))
            .args(args)
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(2), "{args:?}");
    }
}

/// Guards against a daemon that a signal kills instead of stopping it gracefully.
#[test]
fn signals_stop_the_daemon() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let log = Log::bind(any, standin::log::Options::default()).unwrap();
    let hosts = Hosts::bind(any, standin::hosts::Options::default()).unwrap();
    let session = file("session.key", "a key of enough bytes");
    let cluster = file("cluster.key", "another key of enough bytes");
    for signal in ["TERM", "INT"] {
        let entry = free_port();
        let text = format!(
            "[node]\nhost = a\nfailure_domain = d\nentry = 127.0.0.1:{entry}\n\
             peer = 127.0.0.1:{}\ngossip = 127.0.0.1:{}\n\
             [keys]\nsession_file = {}\ncluster_file = {}\n\
             [platform]\nlog = {}\nhosts = {}\n",
            free_port(),
            free_port(),
            session.display(),
            cluster.display(),
            log.address(),
            hosts.address(),
        );
        let config = file(&format!("{signal}.ini"), &text);
        let mut child = daemon(&config).spawn().unwrap();
        wait_for(entry);
        let sent = Command::new("kill")
            .args(["-s", signal, &child.id().to_string()])
            .status();
        assert!(sent.unwrap().success());
        assert_eq!(exit_code(&mut child), Some(0), "{signal}");
    }
}

/// Guards against an operators' key that stays valid after its file has changed.
#[test]
fn a_changed_key_file_takes_effect() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let log = Log::bind(any, standin::log::Options::default()).unwrap();
    let hosts = Hosts::bind(any, standin::hosts::Options::default()).unwrap();
    let admin = file("admin-change.key", "the first key of operators");
    let entry = free_port();
    let text = format!(
        "[node]\nhost = a\nfailure_domain = d\nentry = 127.0.0.1:{entry}\n\
         peer = 127.0.0.1:{}\ngossip = 127.0.0.1:{}\n\
         [keys]\nsession_file = {}\ncluster_file = {}\nadmin_file = {}\n\
         [platform]\nlog = {}\nhosts = {}\n",
        free_port(),
        free_port(),
        file("session-change.key", "a key of enough bytes").display(),
        file("cluster-change.key", "another key of enough bytes").display(),
        admin.display(),
        log.address(),
        hosts.address(),
    );
    let mut child = daemon(&file("change.ini", &text)).spawn().unwrap();
    wait_for(entry);
    assert_eq!(status(entry, "the first key of operators"), "200");
    fs::write(&admin, "the second key of operators").unwrap();
    let end = Instant::now() + Duration::from_secs(10);
    while status(entry, "the second key of operators") != "200" {
        assert!(Instant::now() < end, "the new key is not accepted");
        std::thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(status(entry, "the first key of operators"), "401");
    let sent = Command::new("kill").arg(child.id().to_string()).status();
    assert!(sent.unwrap().success());
    assert_eq!(exit_code(&mut child), Some(0));
}

/// Status of `GET /admin/status` with a bearer key.
fn status(port: u16, key: &str) -> String {
    let mut stream = std::net::TcpStream::connect(("127.0.0.1", port)).unwrap();
    let request = format!(
        "GET /admin/status HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {key}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).unwrap();
    reply.split(' ').nth(1).unwrap_or_default().to_owned()
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().port()
}

fn wait_for(port: u16) {
    let end = Instant::now() + Duration::from_secs(10);
    while std::net::TcpStream::connect(("127.0.0.1", port)).is_err() {
        assert!(Instant::now() < end, "port {port} is not served");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn exit_code(child: &mut Child) -> Option<i32> {
    let end = Instant::now() + Duration::from_secs(10);
    loop {
        if let Some(status) = child.try_wait().unwrap() {
            return status.code();
        }
        if Instant::now() >= end {
            child.kill().unwrap();
            child.wait().unwrap();
            panic!("the daemon did not stop within 10 s");
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}
