//! Checks of the repository structure.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

use xtask::codegen::workspace_root;

/// Workspace crates that each crate may depend on outside its tests. Unlisted crates may depend on any.
const ALLOWED_DEPENDENCIES: &[(&str, &[&str])] = &[
    ("model", &[]),
    ("config", &["model"]),
    ("policy", &["model"]),
    ("ledger", &["model"]),
    ("lease", &["model"]),
    ("membership", &["model"]),
    ("wire", &["model"]),
    ("gossip", &["membership", "model", "wire"]),
    ("ports", &["model"]),
    (
        "node",
        &[
            "config",
            "gossip",
            "ledger",
            "lease",
            "membership",
            "model",
            "ports",
            "policy",
            "wire",
        ],
    ),
    ("forward", &["model"]),
    (
        "entry",
        &["config", "forward", "gossip", "membership", "model", "wire"],
    ),
    ("daemon", &["config", "entry", "node", "platform", "ports"]),
    ("ctl", &["config", "ledger", "model", "ports"]),
];

/// Crates that must not read clocks, start threads or perform I/O.
const PURE_CRATES: &[&str] = &[
    "config",
    "forward",
    "ledger",
    "lease",
    "membership",
    "model",
    "policy",
];

/// Substrings that must not occur in the code of [`PURE_CRATES`].
const FORBIDDEN_IN_PURE_CODE: &[&str] = &[
    "std::fs",
    "std::thread",
    "std::net::Tcp",
    "std::net::Udp",
    "Instant::now",
    "SystemTime::now",
    "println!",
];

/// Licences that are compatible with distribution under MIT or Apache-2.0. MPL-2.0 is included because it
/// applies only to modified files of the library, and the project modifies none.
const COMPATIBLE_LICENCES: &[&str] = &[
    "MIT",
    "Apache-2.0",
    "BSD-2-Clause",
    "BSD-3-Clause",
    "ISC",
    "Zlib",
    "Unicode-3.0",
    "CC0-1.0",
    "CDLA-Permissive-2.0",
    "BSL-1.0",
    "0BSD",
    "Unlicense",
    "MIT-0",
    "MPL-2.0",
    "Apache-2.0 WITH LLVM-exception",
];

/// Maximum number of lines in a source file.
const MAX_LINES: usize = 450;

/// Guards against a dependency of a lower layer on a higher one.
#[test]
fn crates_depend_only_on_lower_layers() {
    for (name, allowed) in ALLOWED_DEPENDENCIES {
        let manifest =
            fs::read_to_string(workspace_root().join(format!("crates/{name}/Cargo.toml"))).unwrap();
        for used in dependencies(&manifest).filter(|it| is_workspace_crate(it)) {
            assert!(
                allowed.contains(&used.as_str()),
                "{name} must not depend on {used}"
            );
        }
    }
}

/// Guards against decision logic that depends on a clock or on I/O, so that tests cannot reproduce it.
#[test]
fn decision_logic_is_pure() {
    for name in PURE_CRATES {
        for file in rust_files(&workspace_root().join(format!("crates/{name}/src"))) {
            if file
                .components()
                .any(|it| it.as_os_str() == "tests" || it.as_os_str() == "tests.rs")
            {
                continue;
            }
            let text = fs::read_to_string(&file).unwrap();
            let found = FORBIDDEN_IN_PURE_CODE.iter().find(|it| text.contains(**it));
            assert_eq!(found, None, "in {}", file.display());
        }
    }
}

/// Guards against platform-specific names outside the platform adapter.
#[test]
fn platform_names_occur_only_in_the_adapter() {
    const NAMES: &[&str] = &[
        "bronzevale-attempt",
        "keyed.servers",
        "/log-read",
        "pathPrefix",
        "coldLeftMs",
    ];
    for file in rust_files(&workspace_root().join("crates")) {
        let text = fs::read_to_string(&file).unwrap().to_lowercase();
        let found = NAMES.iter().find(|it| text.contains(&it.to_lowercase()));
        assert_eq!(found, None, "in {}", file.display());
    }
}

/// Guards against decision logic in a platform adapter: decisions must be the same on every platform.
#[test]
fn platform_adapter_contains_no_decision_logic() {
    for file in rust_files(&workspace_root().join("platform/src")) {
        let text = fs::read_to_string(&file).unwrap();
        let found = FORBIDDEN_IN_PURE_CODE
            .iter()
            .chain(&["rand::", "tokio::"])
            .find(|it| text.contains(**it));
        assert_eq!(found, None, "in {}", file.display());
    }
}

/// Guards against source files that are too long to review.
#[test]
fn source_files_respect_the_line_limit() {
    for file in rust_files(&workspace_root().join("crates"))
        .into_iter()
        .chain(rust_files(&workspace_root().join("platform")))
    {
        if file.components().any(|it| it.as_os_str() == "generated") {
            continue;
        }
        let lines = fs::read_to_string(&file).unwrap().lines().count();
        assert!(lines <= MAX_LINES, "{} has {lines} lines", file.display());
    }
}

/// Guards against a dependency whose licence does not permit distribution with this project.
#[test]
fn licences_of_dependencies_are_compatible() {
    // A build downloads only the packages that it needs. Optional ones of libraries are listed here as well, so that
    // cargo may have to download them.
    let platform = format!("{}-unknown-linux-gnu", std::env::consts::ARCH);
    let output = Command::new(env!("CARGO"))
        .args(["metadata", "--format-version", "1", "--locked"])
        .args(["--filter-platform", &platform])
        .current_dir(workspace_root())
        .output()
        .unwrap();
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let metadata: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let mut incompatible = BTreeMap::new();
    for package in metadata["packages"].as_array().unwrap() {
        let licence = package["license"].as_str().unwrap_or_default();
        if !is_compatible(licence) {
            incompatible.insert(package["name"].to_string(), licence.to_owned());
        }
    }
    assert_eq!(incompatible, BTreeMap::new());
}

/// Whether at least one alternative of a licence expression consists of compatible licences only.
fn is_compatible(expression: &str) -> bool {
    let expression = expression.replace('/', " OR ").replace(['(', ')'], "");
    // `AND` binds more tightly than `OR`. Brackets are ignored: for the packages in use that have them, the
    // result is the same with and without them.
    expression.split(" OR ").any(|it| {
        it.split(" AND ")
            .all(|it| COMPATIBLE_LICENCES.contains(&it.trim()))
    })
}

fn dependencies(manifest: &str) -> impl Iterator<Item = String> {
    let start = manifest.find("[dependencies]").unwrap();
    let section = manifest[start..]
        .lines()
        .skip(1)
        .take_while(|it| !it.starts_with('['));
    section
        .filter_map(|it| it.split(['.', ' ', '=']).next().map(str::to_owned))
        .collect::<Vec<_>>()
        .into_iter()
}

fn is_workspace_crate(name: &str) -> bool {
    !name.is_empty() && workspace_root().join("crates").join(name).is_dir()
}

fn rust_files(dir: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.extend(rust_files(&path));
        } else if path.extension().is_some_and(|it| it == "rs") {
            files.push(path);
        }
    }
    files
}
