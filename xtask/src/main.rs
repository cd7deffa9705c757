//! Command line of the repository automation; run as `cargo run -p xtask -- codegen` or `mixed COMMIT`.

use argh::FromArgs;
use eyre::Result;

/// Repository automation.
#[derive(Debug, FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Codegen(Codegen),
    Mixed(Mixed),
}

/// Regenerates the committed code from the protocol definitions.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "codegen")]
struct Codegen {}

/// Builds the daemon of a commit and runs the tests of fleets in which it takes part beside the current one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "mixed")]
struct Mixed {
    /// commit of the earlier build
    #[argh(positional)]
    commit: String,
}

fn main() -> Result<()> {
    let args: Args = argh::from_env();
    match args.command {
        Command::Codegen(Codegen {}) => {
            xtask::codegen::generate(&xtask::codegen::workspace_root().join(xtask::codegen::GENERATED_DIR))
        }
        Command::Mixed(Mixed { commit }) => xtask::builds::Build::extract(&commit)?.test(),
    }
}
