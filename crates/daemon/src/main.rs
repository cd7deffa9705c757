//! The entry node as a process.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use config::settings::Settings;
use eyre::{Result, WrapErr, eyre};
use node::{Handle, Ports, Secrets, Stopped};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Exit code for bad arguments and settings.
const BAD_INPUT: u8 = 2;

/// Interval of the checks for signals and an operator's drain.
const POLL: Duration = Duration::from_millis(100);

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
    let settings = match read(&args) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("{err:#}");
            return ExitCode::from(BAD_INPUT);
        }
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match run(settings) {
        Ok(code) => code,
        Err(err) => {
            log::error!("{err:#}");
            ExitCode::FAILURE
        }
    }
}

/// Parses the arguments; unlike the library's default, bad ones exit with [`BAD_INPUT`].
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
            ExitCode::from(BAD_INPUT)
        }
    })
}

fn read(args: &Args) -> Result<Settings> {
    let file = args.config.display().to_string();
    let text = std::fs::read_to_string(&args.config).wrap_err_with(|| file.clone())?;
    Ok(Settings::parse(&file, &text)?)
}

fn run(settings: Settings) -> Result<ExitCode> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let secrets = Secrets::load(&settings.keys)?;
    let ports = Ports::connect(&settings);
    let handle = node::spawn(settings, secrets, ports)?;
    wait(&handle, &mut signals);
    match handle.stop() {
        Stopped::Complete => Ok(ExitCode::SUCCESS),
        Stopped::Bounded { requests, records } => Err(eyre!(
            "the shutdown reached its bound: {requests} requests were cut off, {records} billing records may be lost"
        )),
    }
}

/// Waits for a signal or an operator's drain.
fn wait(handle: &Handle, signals: &mut Signals) {
    while !handle.is_leaving() {
        if let Some(signal) = signals.pending().next() {
            log::info!("signal {signal}");
            return;
        }
        std::thread::sleep(POLL);
    }
}
