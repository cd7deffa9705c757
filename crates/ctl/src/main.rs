//! `bronzevalectl`, the command-line client for operators.
//!
//! Exit codes: 0 success, 1 refused or failed, 2 invalid arguments or input, 3 log service or node
//! unreachable, 4 outcome unknown.

use std::process::ExitCode;

mod args;
mod bills;
mod change;
mod config_log;
mod explain;
mod failure;
mod input;
mod nodes;
mod output;
mod publish;
mod show;
mod watch;

use args::{Args, Command};
use failure::Failure;

fn main() -> ExitCode {
    env_logger::init();
    let args = match args::parse() {
        Ok(args) => args,
        Err(code) => return code,
    };
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            output::failure(&failure, args.format());
            ExitCode::from(failure.exit_code())
        }
    }
}

fn run(args: &Args) -> Result<(), Failure> {
    let format = args.format();
    match &args.command {
        Command::Check(it) => input::check(it, format),
        Command::Publish(it) => publish::run(it, args, format),
        Command::Diff(it) => change::diff(it, args, format),
        Command::Show(it) => show::run(it, args, format),
        Command::Status(it) => nodes::status(it, format),
        Command::State(it) => nodes::state(it, format),
        Command::Explain(it) => explain::run(it, format),
        Command::Watch(it) => watch::run(it, args, format),
        Command::Withdraw(it) => change::withdraw(it, args, format),
        Command::Rollout(it) => change::rollout(it, args, format),
        Command::Drain(it) => nodes::drain(it, format),
        Command::Bills(it) => bills::run(it, args, format),
    }
}
