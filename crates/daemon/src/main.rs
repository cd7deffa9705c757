//! Entry node as a process.
//!
//! The settings select one of two interfaces: the project's own (`node`), or that of a platform (`entry`).

mod log_sink;
mod platform_node;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use config::settings::{Settings, entry};
use eyre::{Result, WrapErr, eyre};
use node::{Handle, Ports, Secrets, StopOutcome};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Exit code for invalid arguments and settings.
const EXIT_BAD_INPUT: u8 = 2;

/// Interval at which signals and an operator's drain request are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Entry node of the bronzevale router.
#[derive(Debug, FromArgs)]
struct Args {
    /// settings of the node (INI)
    #[argh(option)]
    config: PathBuf,

    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args = match parse_args() {
        Ok(args) => args,
        Err(code) => return code,
    };
    let settings = match read(&args.config) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("{err:#}");
            return ExitCode::from(EXIT_BAD_INPUT);
        }
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    let result = match settings {
        NodeSettings::Own(settings) => {
            env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
            run(*settings)
        }
        NodeSettings::Platform(settings) => {
            log_sink::install();
            platform_node::run(*settings, &args.config)
        }
    };
    match result {
        Ok(code) => code,
        Err(err) => {
            log::error!("{err:#}");
            ExitCode::FAILURE
        }
    }
}

/// Parses the arguments; unlike the default of argh, invalid ones exit with [`EXIT_BAD_INPUT`].
fn parse_args() -> Result<Args, ExitCode> {
    let args: Vec<_> = std::env::args().collect();
    let args: Vec<_> = args.iter().map(String::as_str).collect();
    let parsed = Args::from_args(&["bronzevaled"], args.get(1..).unwrap_or_default());
    parsed.map_err(|exit| match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}", exit.output);
            ExitCode::from(EXIT_BAD_INPUT)
        }
    })
}

/// Settings of one of the two kinds of node.
#[derive(Debug)]
enum NodeSettings {
    /// Node with the project's own interface.
    Own(Box<Settings>),
    /// Node that serves the callers of a platform.
    Platform(Box<entry::Settings>),
}

fn read(path: &Path) -> Result<NodeSettings> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).wrap_err_with(|| file.clone())?;
    if entry::Settings::recognises(&text) {
        let settings = entry::Settings::parse(&file, &text)?;
        return Ok(NodeSettings::Platform(Box::new(settings)));
    }
    Ok(NodeSettings::Own(Box::new(Settings::parse(&file, &text)?)))
}

fn run(settings: Settings) -> Result<ExitCode> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let secrets = Secrets::load(&settings.keys)?;
    let ports = Ports::connect(&settings);
    let handle = node::spawn(settings, secrets, ports)?;
    wait(&handle, &mut signals);
    match handle.stop() {
        StopOutcome::Complete => Ok(ExitCode::SUCCESS),
        StopOutcome::TimedOut { requests, records } => Err(eyre!(
            "the shutdown timed out: {requests} requests were cut off, {records} billing records may be lost"
        )),
    }
}

/// Waits for a signal or an operator's drain request.
fn wait(handle: &Handle, signals: &mut Signals) {
    while !handle.is_leaving() {
        if let Some(signal) = signals.pending().next() {
            log::info!("signal {signal}");
            return;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
