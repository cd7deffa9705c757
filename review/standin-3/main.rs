//! Stand-ins of the platform's store, servers and clients for the scripts of the third review.
//!
//! `standin-3 CASE FOLDER` plays a case with the node program of the deploy file, and writes `FOLDER/record.txt`. It ends
//! with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod client;
mod http;
mod node;
mod poison;
mod process;
mod record;
mod resumed;
mod rollouts;
mod seeds;
mod server;
mod store;
mod unframed;

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::process::ExitCode;

use node::Ports;

/// What a case showed.
pub enum Verdict {
    Held,
    Broken,
    /// It could not run.
    Void,
}

/// Whether the disruption takes place.
pub fn is_troubled() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}

/// Ports that are free on all loopback addresses now, below those that the system assigns.
pub fn free_ports(count: usize) -> Vec<u16> {
    let first = 21_000 + (std::process::id() % 500) as u16 * 20;
    let is_free = |port: &u16| {
        TcpListener::bind(("0.0.0.0", *port)).is_ok() && UdpSocket::bind(("0.0.0.0", *port)).is_ok()
    };
    (first..32_000).filter(is_free).take(count).collect()
}

/// Ports for nodes, and one for all others.
pub fn ports() -> (Ports, u16) {
    let free = free_ports(6);
    let ports = Ports {
        front: free[0],
        ready: free[1],
        control: free[2],
        directory: free[3],
        peer: free[4],
    };
    (ports, free[5])
}

/// A loopback address of the stand-ins.
pub fn address(last: usize, port: u16) -> SocketAddr {
    format!("127.0.2.{last}:{port}").parse().unwrap()
}

/// The configuration, with one route to a service.
pub fn configuration(routes: &[(&str, &str, &str, u32)], services: &[&str]) -> String {
    let routes: Vec<_> = routes
        .iter()
        .map(|(prefix, kind, service, attempts)| {
            format!(
                r#"{{"name":"r-{kind}","host":"app.example","pathPrefix":"{prefix}","type":"{kind}","timeoutMs":1200,"goalMs":150,"priority":2,"service":"{service}","attempts":{attempts},"public":false,"sticky":false,"resumable":false}}"#
            )
        })
        .collect();
    let services: Vec<_> = services
        .iter()
        .map(|it| {
            format!(r#"{{"name":"{it}","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}}"#)
        })
        .collect();
    format!(
        r#"{{"version":7,"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// Ends all processes if a case takes too long.
fn limit_time() {
    std::thread::spawn(|| {
        std::thread::sleep(MAX_TIME);
        eprintln!("the case took too long");
        for id in CHILDREN.lock().unwrap().iter() {
            let _ = std::process::Command::new("kill")
                .args(["-s", "KILL", &id.to_string()])
                .status();
        }
        std::process::exit(2);
    });
}

/// Notes that a process has ended.
pub fn forget(child: &std::process::Child) {
    CHILDREN.lock().unwrap().retain(|it| *it != child.id());
}

/// Longest time of a case.
const MAX_TIME: std::time::Duration = std::time::Duration::from_secs(112);

/// Processes that were started.
static CHILDREN: std::sync::Mutex<Vec<u32>> = std::sync::Mutex::new(vec![]);

/// Notes a process that is to end with the case.
pub fn note(child: &std::process::Child) {
    CHILDREN.lock().unwrap().push(child.id());
}

fn main() -> ExitCode {
    let words: Vec<_> = std::env::args().collect();
    let words: Vec<_> = words.iter().map(String::as_str).collect();
    if !words.iter().any(|it| it.ends_with("-server")) {
        limit_time();
    }
    let verdict = match words[1..] {
        ["seeds", folder] => seeds::play(folder),
        ["rollouts", folder] => rollouts::play(folder),
        ["unframed", folder] => unframed::play(folder),
        ["resumed", folder] => resumed::play(folder),
        ["resumed-server", address, id] => resumed::serve(address, id),
        ["poison", folder] => poison::play(folder),
        ["poison-server", address, id] => poison::serve(address, id),
        ["unframed-server", address, id] => unframed::serve(address, id),
        _ => {
            eprintln!("standin-3 CASE FOLDER");
            Verdict::Void
        }
    };
    match verdict {
        Verdict::Held => ExitCode::from(0),
        Verdict::Broken => ExitCode::from(1),
        Verdict::Void => ExitCode::from(2),
    }
}
