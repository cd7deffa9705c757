//! Guards against committed generated code that does not match `peer.proto`.

use std::fs;

use xtask::codegen::{GENERATED_DIR, generate, workspace_root};

#[test]
fn committed_code_matches_the_definitions() {
    let out = workspace_root().join("target/codegen-check");
    generate(&out).unwrap();
    for entry in fs::read_dir(&out).unwrap() {
        let generated = entry.unwrap().path();
        let committed = workspace_root()
            .join(GENERATED_DIR)
            .join(generated.file_name().unwrap());
        let same = fs::read(&generated).unwrap() == fs::read(&committed).unwrap();
        assert!(
            same,
            "{} is out of date: run `cargo run -p xtask -- codegen`",
            committed.display()
        );
    }
}
