//! Command line of the repository automation; run as `cargo run -p xtask -- codegen`.

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
}

/// Regenerates the committed code from the protocol definitions.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "codegen")]
struct Codegen {}

fn main() -> Result<()> {
    let args: Args = argh::from_env();
    match args.command {
        Command::Codegen(Codegen {}) => {
            xtask::codegen::generate(&xtask::codegen::workspace_root().join(xtask::codegen::GENERATED_DIR))
        }
    }
}
