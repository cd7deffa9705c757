//! Guards against misread settings of an entry node, and against errors that are reported one at a time.

use std::time::Duration;

use config::settings::entry::Settings;

const TEXT: &str = "[node]\nhost = edge-a-1\nfailure_domain = a\nregion = r\ncores = 2\n\
     [listen]\nentry = 10.1.0.1:80\nready = 10.1.0.1:81\ndirectory = 10.1.0.1:82\ncontrol = 10.1.0.1:83\n\
     gossip = 10.1.0.1:7340\nseeds = 10.1.0.1:83,10.2.0.1:83\n\
     [store]\naddress = 10.200.0.1:90\nheartbeat_ms = 1200\n\
     [bounds]\nrevocation_ms = 5000\nstrict_revocation = true\ngrace_seconds = 8\n\
     retry_ratio = 0.9\nretry_slack = 56\n";

#[test]
fn settings_are_read() {
    let settings = Settings::parse("node.ini", TEXT).unwrap();
    assert_eq!((&*settings.node.host, settings.node.cores), ("edge-a-1", 2));
    assert_eq!(settings.store.heartbeat, Duration::from_millis(1200));
    assert_eq!(settings.bounds.retry_ratio, 0.9);
    // All hosts have the same gossip port, and a node is not a seed of itself.
    assert_eq!(settings.seeds, ["10.2.0.1:7340".parse().unwrap()]);
}

#[test]
fn resources_of_the_host_are_read() {
    let text = TEXT.replace("cores = 2\n", "memory_mb = 260\ndescriptors = 8200\n");
    let node = Settings::parse("node.ini", &text).unwrap().node;
    assert_eq!((node.memory, node.descriptors), (260_000_000, 8200));
}

/// Guards against processes that use limits again which the ones before them have used.
#[test]
fn first_start_is_not_assumed() {
    let node = Settings::parse("node.ini", TEXT).unwrap().node;
    assert!(!node.first_start);
    let text = TEXT.replace("cores = 2\n", "first_start = true\n");
    assert!(Settings::parse("node.ini", &text).unwrap().node.first_start);
}

/// Guards against a node that does not start on platforms without cold engines, or misreads their bounds.
#[test]
fn warm_up_is_optional() {
    let settings = Settings::parse("node.ini", TEXT).unwrap();
    assert!(!settings.warm_up.enabled);
    assert_eq!(
        (settings.bounds.cold_overage, settings.bounds.cold_slack),
        (None, None)
    );
    let text = format!("{TEXT}cold_overage = 1.5\ncold_slack = 5\n[warm_up]\nenabled = true\n");
    let settings = Settings::parse("node.ini", &text).unwrap();
    assert!(settings.warm_up.enabled);
    let bounds = settings.bounds;
    assert_eq!((bounds.cold_overage, bounds.cold_slack), (Some(1.5), Some(5.0)));
}

#[test]
fn fractional_times_are_accepted() {
    let text = TEXT.replace(
        "grace_seconds = 8",
        "grace_seconds = 8.5\nsession_seconds = 8.25\nconfig_ms = 2000.0",
    );
    let bounds = Settings::parse("node.ini", &text).unwrap().bounds;
    assert_eq!(
        (bounds.grace, bounds.session),
        (Duration::from_millis(8500), Duration::from_millis(8250))
    );
    assert_eq!(bounds.config, Duration::from_secs(2));
}

/// Guards against a node that does not start or reads the store too rarely when the operators set narrow
/// limits.
#[test]
fn intervals_are_derived_from_the_limits() {
    let store = |more: &str| {
        let text = TEXT.replace("revocation_ms = 5000", more);
        Settings::parse("node.ini", &text).unwrap().store
    };
    let default = store("revocation_ms = 5000\ndrain_ms = 2000\nconfig_ms = 2000");
    // A node that gets the result of a read from another node has it half an interval later, and the readers' calls and its
    // queries take time.
    assert!(default.engine_poll.mul_f64(1.7) < Duration::from_millis(1500));
    assert!(default.config_wait.mul_f64(1.7) < Duration::from_millis(2000));
    let narrow = store("revocation_ms = 1000\ndrain_ms = 600\nconfig_ms = 900");
    assert!(narrow.engine_poll < Duration::from_millis(600));
    assert!(narrow.config_wait < Duration::from_millis(900));
    let evacuated = store("revocation_ms = 5000\nconfig_ms = 9000\nevacuation_ms = 2000");
    assert!(evacuated.config_wait.mul_f64(1.7) < Duration::from_millis(1500));
}

#[test]
fn kinds_of_settings_are_distinguished() {
    assert!(Settings::recognises(TEXT));
    assert!(!Settings::recognises(include_str!(
        "../../../examples/lumefolha-entry-1.ini"
    )));
}

macro_rules! errors {
    ($($name:ident: $from:literal => $to:literal, $($error:literal),+;)*) => {
        $(#[test]
        fn $name() {
            let text = TEXT.replace($from, $to);
            assert_ne!(text, TEXT);
            let errors = Settings::parse("node.ini", &text).unwrap_err().to_string();
            $(assert!(errors.contains($error), "{errors}");)+
        })*
    };
}

errors! {
    all_errors_are_reported: "cores = 2\n" => "cores = 0\ncolour = red\n",
        "[node] cores: 0 is not between 1 and 256", "[node] colour: unknown key";
    memory_too_small: "cores = 2\n" => "memory_mb = 16\n", "[node] memory_mb: 16 is not between 32 and 1000000";
    malformed_first_start: "cores = 2\n" => "first_start = yes\n",
        "[node] first_start: \"yes\" is not true or false";
    too_few_descriptors: "cores = 2\n" => "descriptors = 100\n",
        "[node] descriptors: 100 is not between 500 and 10000000";
    link_too_slow: "cores = 2\n" => "link_mbps = 0.5\n", "[node] link_mbps: 0 is not between 1 and 1000000";
    missing_address: "address = 10.200.0.1:90\n" => "", "[store] address: the key is missing";
    time_out_of_range: "grace_seconds = 8" => "grace_seconds = 0.5",
        "[bounds] grace_seconds: 0 is not between 1 and 86400";
    negative_ratio: "0.9" => "-0.9", "[bounds] retry_ratio: \"-0.9\" is not a number of zero or more";
    malformed_flag: "strict_revocation = true" => "strict_revocation = yes",
        "[bounds] strict_revocation: \"yes\" is not true or false";
    malformed_cold_overage: "grace_seconds = 8" => "cold_overage = much",
        "[bounds] cold_overage: \"much\" is not a number of zero or more";
    cold_slack_without_overage: "grace_seconds = 8" => "cold_slack = 5",
        "[bounds] cold_slack: the value conflicts with bounds.cold_overage";
    malformed_warm_up: "[bounds]" => "[warm_up]\nenabled = yes\npace = 2\n[bounds]",
        "[warm_up] enabled: \"yes\" is not true or false", "[warm_up] pace: unknown key";
    config_wait_above_revocation: "heartbeat_ms = 1200" => "config_wait_ms = 6000",
        "[store] config_wait_ms: the value conflicts with bounds.revocation_ms";
    config_wait_above_config: "heartbeat_ms = 1200" => "config_wait_ms = 1300",
        "[store] config_wait_ms: the value conflicts with bounds.config_ms";
    engine_poll_above_drain: "heartbeat_ms = 1200" => "engine_poll_ms = 1300",
        "[store] engine_poll_ms: the value conflicts with bounds.drain_ms";
    entry_lifetime_too_long_for_grace: "grace_seconds = 8" => "grace_seconds = 3\nentry_lifetime_seconds = 1",
        "[bounds] entry_lifetime_seconds: the value conflicts with bounds.grace_seconds";
}
