//! Runs the demo cluster in one process. By default its nodes listen on 127.0.0.1, ports 8080 to 8082.

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

/// Runs three nodes and fakes of the external services in one process.
#[derive(Debug, FromArgs)]
struct Args {
    /// port of the first node (default 8080), the others use the next ports; 0 selects free ports
    #[argh(option, default = "8080")]
    port: u16,
}

/// Settings with a short lifetime of entry answers. A stop waits until these answers have expired, which the
/// default lifetime would make long for interactive use.
const SHORT_STOP_SETTINGS: &str = "[stop]\nentry_lifetime_seconds = 2\ndrain_timeout_seconds = 30\n";

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
        extra_settings: SHORT_STOP_SETTINGS.to_owned(),
        ..Options::default()
    })?;
    print_usage(&cluster);
    signals.forever().next();
    let outcomes = cluster.stop();
    if outcomes.iter().all(|it| *it == StopOutcome::Complete) {
        return Ok(ExitCode::SUCCESS);
    }
    Err(eyre!(
        "not all nodes stopped within the drain time-out: {outcomes:?}"
    ))
}

fn print_usage(cluster: &Cluster) {
    let addresses = cluster.addresses();
    for address in &addresses {
        println!("node http://{address}");
    }
    println!("log http://{}", cluster.log.address());
    println!("hosts http://{}", cluster.hosts.address());
    let [chat_node, models_node, service_node] = [0, 1, 2].map(|it| addresses[it]);
    let chat_body = r#"{"model":"small","stream":true,"messages":[{"role":"user","content":"Hello"}]}"#;
    println!(
        "curl -sN http://{chat_node}/v1/chat/completions -H 'Authorization: Bearer {KEY}' -d '{chat_body}'"
    );
    println!("curl -s http://{models_node}/v1/models -H 'Authorization: Bearer {KEY}'");
    println!("curl -s http://{service_node}/v1/services/stock/repeatable/1 -H 'Authorization: Bearer {KEY}'");
}
