//! Guards against generated code that no longer matches its definitions.

use std::fs;

use xtask::codegen::{GENERATED, generate, root};

#[test]
fn committed_code_is_up_to_date() {
    let out = root().join("target/codegen-check");
    generate(&out).unwrap();
    for entry in fs::read_dir(&out).unwrap() {
        let fresh = entry.unwrap().path();
        let committed = root().join(GENERATED).join(fresh.file_name().unwrap());
        let same = fs::read(&fresh).unwrap() == fs::read(&committed).unwrap();
        assert!(
            same,
            "{} is stale: run `cargo run -p xtask -- codegen`",
            committed.display()
        );
    }
}
