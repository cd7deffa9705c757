//! Earlier builds of the daemon from the repository's history, and the tests of fleets that they take part in.

use std::path::PathBuf;
use std::process::{Command, Stdio};

use eyre::{Context, Result, ensure, eyre};

use crate::codegen::workspace_root;

/// Directory of the builds, relative to the workspace root.
const BUILDS_DIR: &str = "target/builds";

/// Variable in which the tests look for the earlier daemon.
const PREVIOUS: &str = "BRONZEVALE_PREVIOUS";

/// Tests in which daemons of two builds take part.
const TESTS: &[&str] = &["previous_build", "replaced_nodes"];

/// A commit and the directory in which it is built.
#[derive(Debug)]
pub struct Build {
    id: String,
    directory: PathBuf,
}

impl Build {
    /// Extracts a commit to a directory of its own, unless that was done before.
    ///
    /// # Errors
    /// The commit is not known, or the directory cannot be written.
    pub fn extract(commit: &str) -> Result<Self> {
        let id = id(commit)?;
        let directory = workspace_root().join(BUILDS_DIR).join(&id);
        if !directory.join("Cargo.toml").exists() {
            std::fs::create_dir_all(&directory).wrap_err("cannot create the directory of the build")?;
            let mut archive = Command::new("git")
                .args(["archive", "--format=tar", &id])
                .current_dir(workspace_root())
                .stdout(Stdio::piped())
                .spawn()
                .wrap_err("cannot run git")?;
            let files = archive.stdout.take().ok_or_else(|| eyre!("git has no output"))?;
            let mut tar = Command::new("tar");
            run(tar.args(["-x", "-C"]).arg(&directory).stdin(files))?;
            ensure!(archive.wait()?.success(), "git archive {id} failed");
        }
        Ok(Self { id, directory })
    }

    /// Builds the daemon; returns its path.
    ///
    /// # Errors
    /// The build fails.
    pub fn daemon(&self) -> Result<PathBuf> {
        let mut cargo = Command::new("cargo");
        cargo.args([
            "build",
            "--release",
            "--locked",
            "-p",
            "daemon",
            "--bin",
            "bronzevaled",
        ]);
        run(cargo
            .current_dir(&self.directory)
            .env("CARGO_TARGET_DIR", self.directory.join("target")))?;
        Ok(self.directory.join("target/release/bronzevaled"))
    }

    /// Runs the tests of fleets of this build and the current one.
    ///
    /// # Errors
    /// The build or a test fails.
    pub fn test(&self) -> Result<()> {
        let daemon = self.daemon()?;
        let mut cargo = Command::new("cargo");
        cargo.args(["test", "--locked", "-p", "daemon", "--no-fail-fast"]);
        cargo.args(TESTS.iter().flat_map(|it| ["--test", it]));
        cargo.current_dir(workspace_root()).env(PREVIOUS, daemon);
        run(&mut cargo).wrap_err_with(|| format!("tests beside {}", self.id))
    }
}

/// The abbreviated hash of a commit.
fn id(commit: &str) -> Result<String> {
    let output = Command::new("git")
        .args([
            "rev-parse",
            "--short=12",
            "--verify",
            "--quiet",
            "--end-of-options",
        ])
        .arg(format!("{commit}^{{commit}}"))
        .current_dir(workspace_root())
        .output()
        .wrap_err("cannot run git")?;
    ensure!(
        output.status.success(),
        "{commit:?} is no commit of this repository"
    );
    Ok(String::from_utf8(output.stdout)?.trim().to_owned())
}

fn run(command: &mut Command) -> Result<()> {
    let status = command
        .status()
        .wrap_err_with(|| format!("cannot run {command:?}"))?;
    ensure!(status.success(), "{command:?}: {status}");
    Ok(())
}
