//! Stand-ins and three nodes as threads of one process on 127.0.0.1, ports 8080 to 8082.

use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use demo::Cluster;
use demo::cluster::Options;
use demo::sample::KEY;
use eyre::{Result, eyre};
use node::StopOutcome;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Starts stand-ins of the platform and three nodes in one process.
#[derive(Debug, FromArgs)]
struct Args {
    /// port of the first node (default 8080); 0 picks free ports
    #[argh(option, default = "8080")]
    port: u16,
}

/// Callers of the demo keep entry answers for this time, so a stop after `curl` takes no longer.
const SHORT_LIFETIME: &str = "[stop]\nentry_lifetime_seconds = 2\ndrain_timeout_seconds = 30\n";

fn main() -> Result<ExitCode> {
    let args: Args = argh::from_env();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let cluster = Cluster::start(&Options {
        first_port: args.port,
        engine: standin::engine::Options {
            token_interval: Duration::from_millis(50),
            ..Options::default().engine
        },
        extra: SHORT_LIFETIME.to_owned(),
        ..Options::default()
    })?;
    print(&cluster);
    signals.forever().next();
    let stops = cluster.stop();
    if stops.iter().all(|it| *it == StopOutcome::Complete) {
        return Ok(ExitCode::SUCCESS);
    }
    Err(eyre!("not every node stopped in time: {stops:?}"))
}

fn print(cluster: &Cluster) {
    let addresses = cluster.addresses();
    for address in &addresses {
        println!("node http://{address}");
    }
    println!("log http://{}", cluster.log.address());
    println!("hosts http://{}", cluster.hosts.address());
    let [chat, list, call] = [0, 1, 2].map(|it| addresses[it]);
    let chat_body = r#"{"model":"small","stream":true,"messages":[{"role":"user","content":"Hello"}]}"#;
    println!("curl -sN http://{chat}/v1/chat/completions -H 'Authorization: Bearer {KEY}' -d '{chat_body}'");
    println!("curl -s http://{list}/v1/models -H 'Authorization: Bearer {KEY}'");
    println!("curl -s http://{call}/v1/services/stock/repeatable/1 -H 'Authorization: Bearer {KEY}'");
}
