//! Generates the Rust code of the messages between nodes.

use std::fs;
use std::path::{Path, PathBuf};

use eyre::{Context, Result};

/// Generated file, relative to the workspace.
pub const GENERATED: &str = "crates/wire/src/generated";

/// Root of the workspace.
pub fn root() -> PathBuf {
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR"));
    manifest.parent().unwrap_or(manifest).to_path_buf()
}

/// Writes the generated code below `out`.
///
/// # Errors
/// The definitions do not compile, or `out` cannot be written.
pub fn generate(out: &Path) -> Result<()> {
    let proto = root().join("crates/wire/proto");
    let files = protox::compile(["peer.proto"], [&proto]).wrap_err("cannot compile peer.proto")?;
    fs::create_dir_all(out).wrap_err("cannot create the output directory")?;
    tonic_prost_build::configure()
        .out_dir(out)
        .compile_fds(files)
        .wrap_err("cannot generate code")
}
