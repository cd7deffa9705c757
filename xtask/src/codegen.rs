//! Generation of the Rust code for the node-to-node protocol.

use std::fs;
use std::path::{Path, PathBuf};

use eyre::{Context, Result};

/// Directory of the generated code, relative to the workspace root.
pub const GENERATED_DIR: &str = "crates/wire/src/generated";

/// Root directory of the workspace.
pub fn workspace_root() -> PathBuf {
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR"));
    manifest.parent().unwrap_or(manifest).to_path_buf()
}

/// Writes the generated code to the directory `out`, which is created if necessary.
///
/// # Errors
/// `peer.proto` does not compile, or `out` cannot be written.
pub fn generate(out: &Path) -> Result<()> {
    let proto = workspace_root().join("crates/wire/proto");
    let files = protox::compile(["peer.proto"], [&proto]).wrap_err("cannot compile peer.proto")?;
    fs::create_dir_all(out).wrap_err("cannot create the output directory")?;
    tonic_prost_build::configure()
        .out_dir(out)
        .compile_fds(files)
        .wrap_err("cannot generate code from peer.proto")
}
