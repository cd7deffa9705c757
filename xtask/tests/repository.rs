//! Checks of the repository's structure.

#![expect(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

use xtask::codegen::root;

/// Crates that a crate may use outside of its tests; those that are not listed may use any.
const LAYERS: &[(&str, &[&str])] = &[
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

/// Crates whose code must not read clocks, start threads or perform I/O.
const PURE: &[&str] = &[
    "config",
    "forward",
    "ledger",
    "lease",
    "membership",
    "model",
    "policy",
];

/// What pure code must not mention.
const IMPURE: &[&str] = &[
    "std::fs",
    "std::thread",
    "std::net::Tcp",
    "std::net::Udp",
    "Instant::now",
    "SystemTime::now",
    "println!",
];

/// Licences that are compatible with distribution under MIT or Apache-2.0. MPL-2.0 concerns changes to the library's
/// own files only, and there are none.
const LICENCES: &[&str] = &[
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

/// Greatest number of lines in a source file.
const MAX_LINES: usize = 450;

/// Guards against a lower layer that comes to depend on a higher one.
#[test]
fn dependencies_point_downwards() {
    for (name, allowed) in LAYERS {
        let manifest = fs::read_to_string(root().join(format!("crates/{name}/Cargo.toml"))).unwrap();
        for used in dependencies(&manifest).filter(|it| is_own(it)) {
            assert!(
                allowed.contains(&used.as_str()),
                "{name} must not depend on {used}"
            );
        }
    }
}

/// Guards against decisions that depend on a clock or the outside world and cannot be repeated in a test.
#[test]
fn decision_code_is_pure() {
    for name in PURE {
        for file in sources(&root().join(format!("crates/{name}/src"))) {
            if file
                .components()
                .any(|it| it.as_os_str() == "tests" || it.as_os_str() == "tests.rs")
            {
                continue;
            }
            let text = fs::read_to_string(&file).unwrap();
            let found = IMPURE.iter().find(|it| text.contains(**it));
            assert_eq!(found, None, "in {}", file.display());
        }
    }
}

/// Guards against names of a platform that spread beyond its adapter.
#[test]
fn platform_names_stay_in_the_adapter() {
    const NAMES: &[&str] = &[
        "bronzevale-attempt",
        "keyed.servers",
        "/log-read",
        "pathPrefix",
        "coldLeftMs",
    ];
    for file in sources(&root().join("crates")) {
        let text = fs::read_to_string(&file).unwrap().to_lowercase();
        let found = NAMES.iter().find(|it| text.contains(&it.to_lowercase()));
        assert_eq!(found, None, "in {}", file.display());
    }
}

/// Guards against decisions in the adapter of a platform, which must be the same on every platform.
#[test]
fn platform_adapter_only_translates() {
    for file in sources(&root().join("platform/src")) {
        let text = fs::read_to_string(&file).unwrap();
        let found = IMPURE
            .iter()
            .chain(&["rand::", "tokio::"])
            .find(|it| text.contains(**it));
        assert_eq!(found, None, "in {}", file.display());
    }
}

/// Guards against files that have grown too large to read.
#[test]
fn source_files_are_small() {
    for file in sources(&root().join("crates"))
        .into_iter()
        .chain(sources(&root().join("platform")))
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
    // Packages of other platforms are not downloaded by a build.
    let platform = format!("{}-unknown-linux-gnu", std::env::consts::ARCH);
    let output = Command::new(env!("CARGO"))
        .args(["metadata", "--format-version", "1", "--locked", "--offline"])
        .args(["--filter-platform", &platform])
        .current_dir(root())
        .output()
        .unwrap();
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let metadata: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let mut refused = BTreeMap::new();
    for package in metadata["packages"].as_array().unwrap() {
        let licence = package["license"].as_str().unwrap_or_default();
        if !is_compatible(licence) {
            refused.insert(package["name"].to_string(), licence.to_owned());
        }
    }
    assert_eq!(refused, BTreeMap::new());
}

/// Whether one alternative of a licence expression is compatible in all its parts.
fn is_compatible(expression: &str) -> bool {
    let expression = expression.replace('/', " OR ").replace(['(', ')'], "");
    // `A OR B AND C` binds as `A OR (B AND C)`; the packages in use that have brackets are covered by either reading.
    expression
        .split(" OR ")
        .any(|it| it.split(" AND ").all(|it| LICENCES.contains(&it.trim())))
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

fn is_own(name: &str) -> bool {
    !name.is_empty() && root().join("crates").join(name).is_dir()
}

fn sources(dir: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.extend(sources(&path));
        } else if path.extension().is_some_and(|it| it == "rs") {
            files.push(path);
        }
    }
    files
}
