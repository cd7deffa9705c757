//! Load and experiment tool.
//!
//! Exit codes: 0 all targets met, 1 a target missed, 2 bad arguments or input.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use load::report::Report;

/// Measures the decision library against baselines.
#[derive(Debug, FromArgs)]
struct Args {
    /// name of the experiment; `list` prints all names
    #[argh(positional)]
    experiment: String,
    /// seed of all random choices
    #[argh(option, default = "1")]
    seed: u64,
    /// directory for the JSON report and the SVG plot
    #[argh(option)]
    out: Option<PathBuf>,
}

/// An experiment and its name on the command line.
type Experiment = (&'static str, fn(u64) -> Report);

const EXPERIMENTS: &[Experiment] = &[
    // Control plane.
    ("capacity", load::capacity::run),
    // Cost.
    ("cascade", load::cascade::run),
    ("rollout", load::rollout::run),
    ("release", load::release::run),
    // Load.
    ("rush", load::rush::run),
    ("faults", load::faults::run),
    ("quarantine", load::quarantine::run),
    ("cut", load::cut::run),
    ("affinity", load::affinity::run),
    ("loads", load::loads::run),
    ("warm-up", load::warm_up::run),
    ("decide", load::decide::run),
    // The whole way.
    ("path", load::path::run),
    ("peak", load::path::peak::run),
];

const EXIT_MISSED: u8 = 1;
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    env_logger::init();
    let args: Args = match parse() {
        Ok(args) => args,
        Err(code) => return code,
    };
    if args.experiment == "list" {
        for (name, _) in EXPERIMENTS {
            println!("{name}");
        }
        return ExitCode::SUCCESS;
    }
    let Some((_, run)) = EXPERIMENTS.iter().find(|(name, _)| *name == args.experiment) else {
        eprintln!("unknown experiment {}; `list` prints all names", args.experiment);
        return ExitCode::from(EXIT_USAGE);
    };
    finish(&run(args.seed), args.out)
}

fn parse() -> Result<Args, ExitCode> {
    let strings: Vec<String> = std::env::args().collect();
    let strs: Vec<&str> = strings.iter().map(String::as_str).collect();
    Args::from_args(&strs[..1], &strs[1..]).map_err(|exit| {
        if exit.status.is_ok() {
            println!("{}", exit.output);
            ExitCode::SUCCESS
        } else {
            eprintln!("{}", exit.output);
            ExitCode::from(EXIT_USAGE)
        }
    })
}

fn finish(report: &Report, out: Option<PathBuf>) -> ExitCode {
    if let Err(err) = report.print(&mut std::io::stdout().lock()) {
        eprintln!("cannot print the report: {err}");
    }
    if let Some(dir) = out
        && let Err(err) = report.save(&dir)
    {
        eprintln!("{err:#}");
        return ExitCode::from(EXIT_USAGE);
    }
    if report.met() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_MISSED)
    }
}
