//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;

use crate::failure::{EXIT_USAGE, Failure};
use crate::output::Format;

/// Operates a bronzevale cluster.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// address of the log service, IP:PORT
    #[argh(option)]
    log: Option<SocketAddr>,
    /// name recorded as the author of a change
    #[argh(option, default = "String::from(\"operator\")")]
    pub author: String,
    #[argh(subcommand)]
    pub command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Check(Check),
    Publish(Publish),
    Diff(Diff),
    Show(Show),
    Status(Status),
    State(State),
    Explain(Explain),
    Watch(Watch),
    Withdraw(Withdraw),
    Rollout(Rollout),
    Drain(Drain),
    Bills(Bills),
}

/// Validates objects in files as a complete configuration, without a connection to the cluster.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// files with a JSON array of objects
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Publishes objects from files, and deletes objects.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct Publish {
    /// files with a JSON array of objects, as `show --json` prints them or without revisions
    #[argh(positional)]
    pub files: Vec<PathBuf>,
    /// object to delete, as KIND/NAME; may be repeated
    #[argh(option)]
    pub delete: Vec<String>,
    /// seconds to wait for the result (default 30)
    #[argh(option, default = "30")]
    pub wait: u64,
}

/// Prints how objects in files differ from the published ones.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// files with a JSON array of objects
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Prints published objects with their revisions.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct Show {
    /// kind, or KIND/NAME; all objects if absent
    #[argh(positional)]
    pub filter: Option<String>,
}

/// Prints the status of nodes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// entry address of a node; may be repeated
    #[argh(option)]
    pub node: Vec<SocketAddr>,
    /// file with the operators' bearer key
    #[argh(option)]
    pub key_file: Option<PathBuf>,
}

/// Prints the state that entry nodes of a platform have cached, and its age.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "state")]
pub struct State {
    /// control address of a node; may be repeated
    #[argh(option)]
    pub node: Vec<SocketAddr>,
}

/// Prints where a node would send a request now, and why, without sending it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// control address of the node
    #[argh(option)]
    pub node: SocketAddr,
    /// host that the request names
    #[argh(option)]
    pub host: String,
    /// path of the request
    #[argh(option)]
    pub path: String,
    /// model that the node is assumed to have chosen (default: the one that it would choose first)
    #[argh(option)]
    pub model: Option<String>,
    /// tokens of the prompt and expected tokens of the output, as PROMPT,OUTPUT
    #[argh(option)]
    pub tokens: Option<String>,
    /// hash of the prompt part that is looked for in prefix caches, in hexadecimal digits
    #[argh(option)]
    pub part: Option<String>,
    /// id of the request, by which a release assigns a version
    #[argh(option)]
    pub id: Option<String>,
}

/// Prints each new record of the configuration log with the result of applying it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "watch")]
pub struct Watch {
    /// stop after this many records
    #[argh(option)]
    pub count: Option<u64>,
    /// stop after this many seconds
    #[argh(option)]
    pub seconds: Option<u64>,
}

/// Withdraws a version, so that it gets no new requests.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "withdraw")]
pub struct Withdraw {
    /// name of the version
    #[argh(positional)]
    pub version: String,
    /// new default version of the model, if the withdrawn version is its default
    #[argh(option)]
    pub default: Option<String>,
}

/// Controls a roll-out.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rollout")]
pub struct Rollout {
    #[argh(subcommand)]
    pub action: RolloutAction,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum RolloutAction {
    Start(RolloutStart),
    Halt(RolloutHalt),
    Resume(RolloutResume),
}

/// Starts a roll-out of a version of a model.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "start")]
pub struct RolloutStart {
    /// name of the roll-out
    #[argh(positional)]
    pub name: String,
    /// name of the model
    #[argh(option)]
    pub model: String,
    /// version to roll out; it becomes the model's default version
    #[argh(option)]
    pub to: String,
    /// shares of the stages in thousandths, ascending, the last one 1000
    #[argh(option, default = "String::from(\"10,100,500,1000\")")]
    pub stages: String,
    /// maximum number of requests to the new version before the first stage is decided
    #[argh(option, default = "40")]
    pub budget: u32,
}

/// Halts a roll-out; the new version gets no new sessions.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "halt")]
pub struct RolloutHalt {
    /// name of the roll-out
    #[argh(positional)]
    pub name: String,
}

/// Resumes a halted roll-out at its stage.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "resume")]
pub struct RolloutResume {
    /// name of the roll-out
    #[argh(positional)]
    pub name: String,
}

/// Drains a node: it completes its requests and stops.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// entry address of the node
    #[argh(positional)]
    pub node: SocketAddr,
    /// file with the operators' bearer key
    #[argh(option)]
    pub key_file: Option<PathBuf>,
}

/// Prints the bill of each organisation, aggregated from the billing log.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bills")]
pub struct Bills {
    /// only this organisation
    #[argh(option)]
    pub organisation: Option<String>,
}

impl Args {
    /// Output format.
    pub fn format(&self) -> Format {
        if self.json { Format::Json } else { Format::Text }
    }

    /// Address of the log service.
    pub fn log(&self) -> Result<SocketAddr, Failure> {
        self.log.ok_or(Failure::NoLogAddress)
    }
}

/// Parses the command line; an error carries the exit code.
pub fn parse() -> Result<Args, ExitCode> {
    let strings: Vec<String> = std::env::args().collect();
    let strs: Vec<&str> = strings.iter().map(String::as_str).collect();
    let Some((_, rest)) = strs.split_first() else {
        return Err(ExitCode::from(EXIT_USAGE));
    };
    Args::from_args(&["bronzevalectl"], rest).map_err(|exit| {
        if exit.status.is_ok() {
            println!("{}", exit.output);
            ExitCode::SUCCESS
        } else {
            eprintln!("{}", exit.output);
            ExitCode::from(EXIT_USAGE)
        }
    })
}
