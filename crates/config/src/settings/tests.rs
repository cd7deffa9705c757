use proptest::prelude::*;

use super::Settings;

const MINIMAL: &str = "\
[node]
host = entry-1
failure_domain = domain-a
entry = 127.0.0.1:8080
peer = 127.0.0.1:7080
gossip = 127.0.0.1:6080

[keys]
session_file = session.key
cluster_file = cluster.key

[platform]
log = 127.0.0.1:9001
hosts = 127.0.0.1:9002
";

fn check(text: &str, expected: &[&str]) {
    let found: Vec<_> = match Settings::parse("node.ini", text) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.0.iter().map(ToString::to_string).collect(),
    };
    assert_eq!(found, expected);
}

macro_rules! cases {
    ($($name:ident: $text:expr => $expected:expr;)*) => {
        $(#[test] fn $name() { check(&String::from($text), &$expected); })*
    };
}

// Each case guards against the daemon starting with an error in its settings.
cases! {
    minimal_settings_are_valid: MINIMAL => [];
    unknown_key: MINIMAL.replace("[keys]", "colour = red\n[keys]") =>
        ["node.ini: [node] colour: unknown key"];
    unknown_section: format!("{MINIMAL}[logs]\nlevel = info\n") => ["node.ini: [logs] : unknown section"];
    duplicate_key: MINIMAL.replace("[keys]", "host = b\n[keys]") =>
        ["node.ini: [node] host: the key is set more than once"];
    out_of_range: format!("{MINIMAL}[config]\npoll_ms = 1\n") =>
        ["node.ini: [config] poll_ms: 1 is not between 50 and 10000"];
    conflicting_values:
        format!("{MINIMAL}[stop]\nentry_lifetime_seconds = 60\ndrain_timeout_seconds = 60\n") =>
        ["node.ini: [stop] drain_timeout_seconds: the value conflicts with stop.entry_lifetime_seconds"];
    all_errors_are_reported: MINIMAL.replace("host = entry-1", "host = a b").replace(":9001", "") => [
        "node.ini: [node] host: \"a b\" is not a name of 1 to 64 letters, digits, '-', '_' or '.'",
        "node.ini: [platform] log: \"127.0.0.1\" is not an IP address with a port",
    ];
    incomplete_tls_section: format!("{MINIMAL}[tls]\ncertificate_file = cert.pem\n") =>
        ["node.ini: [tls] private_key_file: the key is missing"];
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    // Guards against a panic on arbitrary text.
    #[test]
    fn any_text_does_not_panic(text in "(\\[[a-z]{1,6}\\]\n|[a-z_]{1,8} ?= ?.{0,12}\n|.{0,20}\n){0,12}") {
        if let Err(errors) = Settings::parse("any.ini", &text) {
            prop_assert!(!errors.is_empty());
        }
    }
}
