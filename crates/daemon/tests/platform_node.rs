//! The daemon process with the settings of a platform.

#![allow(clippy::unwrap_used, reason = "a failed set-up ends the test")]

#[path = "../../../platform/tests/common/mod.rs"]
mod common;

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

use common::free_address;
use common::http::call;
use common::store::Store;

const CONFIG: &str = r#"{"version":1,"routes":[],"services":[],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// Maximum time to wait for a log line.
const LINE_TIMEOUT: Duration = Duration::from_secs(20);

struct Daemon {
    child: Child,
    lines: Receiver<serde_json::Value>,
    file: PathBuf,
    text: String,
    control: SocketAddr,
}

impl Daemon {
    fn spawn(name: &str) -> Self {
        let store = Store::spawn();
        store.put("keyed.op", "config", CONFIG);
        let control = free_address();
        let text = format!(
            "[node]\nhost = n1\nfailure_domain = a\nregion = r\n\
             [listen]\nentry = {}\nready = {}\ndirectory = {}\ncontrol = {control}\ngossip = {}\n\
             [store]\naddress = {}\n\
             [bounds]\nstrict_revocation = true\ngrace_seconds = 5\nretry_ratio = 0.9\nretry_slack = 56\n",
            free_address(),
            free_address(),
            free_address(),
            free_address(),
            store.address
        );
        let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.ini"));
        fs::write(&file, &text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_bronzevaled"))
            .arg("--config")
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let (sender, lines) = channel();
        let out = BufReader::new(child.stdout.take().unwrap());
        thread::spawn(move || {
            for line in out.lines().map_while(Result::ok) {
                // A line that is not a JSON object fails the test that waits for it.
                let _ = sender.send(serde_json::from_str(&line).unwrap_or_default());
            }
        });
        let daemon = Self {
            child,
            lines,
            file,
            text,
            control,
        };
        daemon.expect("engines known");
        daemon
    }

    /// Waits for the log line of an event.
    fn expect(&self, event: &str) -> serde_json::Value {
        loop {
            let line = self
                .lines
                .recv_timeout(LINE_TIMEOUT)
                .unwrap_or_else(|_| panic!("no log line with event {event:?}"));
            assert!(line.is_object(), "a log line is not a JSON object");
            if line["event"] == event {
                return line;
            }
        }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .args(["-s", name, &id])
                .status()
                .unwrap()
                .success()
        );
    }

    fn get(&self, path: &str) -> String {
        call(
            self.control,
            &format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"),
        )
        .text()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn planned_stop_ends_the_process_within_the_grace_time() {
    let mut daemon = Daemon::spawn("stop");
    daemon.signal("TERM");
    daemon.expect("stopping");
    assert_eq!(daemon.expect("stopped")["cut"], 0);
    assert_eq!(daemon.child.wait().unwrap().code(), Some(0));
}

#[test]
fn settings_are_reloaded_by_a_signal_and_without_one() {
    let daemon = Daemon::spawn("reload");
    daemon.signal("HUP");
    daemon.expect("settings reloaded");
    fs::write(&daemon.file, daemon.text.replace("= 0.9", "= 0.5")).unwrap();
    daemon.expect("settings reloaded");
}

#[test]
fn invalid_settings_leave_the_current_ones_in_force() {
    let daemon = Daemon::spawn("faulty");
    fs::write(&daemon.file, daemon.text.replace("= 0.9", "= many")).unwrap();
    let line = daemon.expect("settings not reloaded");
    assert!(
        line["error"]
            .as_str()
            .is_some_and(|it| it.contains("retry_ratio")),
        "{line}"
    );
    assert!(daemon.get("/state").contains("\"version\":1"));
}

#[test]
fn operators_can_read_metrics_and_state() {
    let daemon = Daemon::spawn("state");
    assert!(daemon.get("/metrics").contains("bronzevale_store_calls_total"));
    let state: serde_json::Value = serde_json::from_str(&daemon.get("/state")).unwrap();
    assert_eq!(
        state["readings"][0]["reads_store"], true,
        "a single node reads the store itself"
    );
    assert_eq!(state["configuration"]["version"], 1);
    assert!(
        state["configuration"]["age_ms"]
            .as_u64()
            .is_some_and(|it| it < 10_000)
    );
}
