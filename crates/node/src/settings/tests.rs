use std::path::Path;

use super::{SettingOverride, Settings};

const VALID: &str = "\
vm: vm-1
domain: modica
region: sicily
address: 127.0.0.1
callers: 127.0.0.1:7001
peers: 127.0.0.1:7002
admin: 127.0.0.1:7003
platform: [127.0.0.1:7000]
";

/// Text of settings, valid unless changed.
struct Case {
    text: String,
}

impl Case {
    fn new() -> Self {
        Self { text: VALID.into() }
    }

    /// Replaces the line of a key, or adds it.
    fn set(mut self, line: &str) -> Self {
        let key = line.split(':').next().unwrap();
        let mut lines: Vec<_> = self.text.lines().map(String::from).collect();
        match lines
            .iter_mut()
            .find(|existing| existing.split(':').next() == Some(key))
        {
            Some(existing) => *existing = line.into(),
            None => lines.push(line.into()),
        }
        self.text = lines.join("\n") + "\n";
        self
    }

    fn parse(&self) -> Result<Settings, String> {
        let settings = Settings::parse(Path::new("node.yaml"), &self.text);
        settings.map_err(|err| err.to_string())
    }

    #[track_caller]
    fn parse_valid(self) -> Settings {
        self.parse().unwrap()
    }

    #[track_caller]
    fn assert_refused(self, line: &str, reason: &str) {
        let err = self.parse().unwrap_err();
        assert!(err.starts_with(&format!("node.yaml:{line}: ")), "{err}");
        assert!(err.contains(reason), "{err}");
    }
}

#[track_caller]
fn assert_refused(setting: &str, line: &str, reason: &str) {
    Case::new().set(setting).assert_refused(line, reason);
}

#[test]
fn omitted_fields_get_defaults() {
    let settings = Case::new().parse_valid();
    assert_eq!(settings.limits.grace_s, 30.0);
    assert_eq!(settings.log, "info,actix_server=warn");
    assert!(settings.policies.relay);
    assert!(!settings.policies.spillover);
    assert_eq!(settings.limits.crossing_gain, 0.25);
    assert!(settings.token.is_none());
}

#[test]
fn unknown_and_missing_fields_are_refused() {
    assert_refused(
        "port: 1",
        "9",
        "unknown field `port`, expected one of `vm`, `domain`",
    );
    assert_refused(
        "limits: {bodies: 1}",
        "9",
        "unknown field `bodies`, expected one of `body_bytes`",
    );
    assert_refused("policies: {relays: true}", "9", "unknown field `relays`");
    let text = VALID.replace("vm: vm-1\n", "");
    Case { text }.assert_refused("1", "missing field `vm`");
    let text = format!("{VALID}vm: vm-2\n");
    Case { text }.assert_refused("9", "the key `vm` is repeated");
}

#[cfg(not(feature = "mutants"))]
#[test]
fn mutants_are_refused_without_the_feature() {
    assert_refused("mutants: [go_back]", "9", "unknown field `mutants`");
}

#[cfg(feature = "mutants")]
#[test]
fn mutants_are_parsed_with_the_feature() {
    let settings = Case::new().set("mutants: [go_back, no_ramp]").parse_valid();
    assert_eq!(settings.mutants.len(), 2);
}

#[test]
fn values_of_the_wrong_type_are_refused() {
    assert_refused("address: nowhere", "4", "invalid IP address");
    assert_refused("callers: 127.0.0.1", "5", "invalid socket address");
    assert_refused("limits: {grace_s: soon}", "9", "expected f64");
    assert_refused("limits: {grace_s: [1]}", "9", "expected f64");
    assert_refused("limits: {stop_ms: 1}", "9", "unknown field `stop_ms`");
    assert_refused("limits: {notice_ms: soon}", "9", "expected u64");
    assert_refused("limits: {notice_ms: -1}", "9", "expected u64");
    assert_refused("platform: 127.0.0.1:1", "8", "expected a sequence");
}

#[test]
fn invalid_names_are_refused() {
    assert_refused(
        "vm: VM 1",
        "1",
        "vm: \"VM 1\" must have 1 to 63 lower-case letters",
    );
    assert_refused("domain: ''", "2", "domain: \"\" must have");
}

#[test]
fn conflicting_addresses_are_refused() {
    assert_refused(
        "peers: 127.0.0.1:7001",
        "6",
        "peers: 127.0.0.1:7001 is already used by callers",
    );
    assert_refused("peers: 0.0.0.0:7001", "6", "already used by callers");
    assert_refused("admin: 127.0.0.1:0", "7", "the port must be above 0");
    assert_refused(
        "address: '::1'",
        "4",
        "::1 must have the same IP version as peers",
    );
    assert_refused(
        "seeds: ['[::1]:9']",
        "9",
        "[::1]:9 must have the same IP version as address",
    );
    assert_refused(
        "platform: [0.0.0.0:9]",
        "8",
        "0.0.0.0:9 must not be an unspecified or multicast address",
    );
    assert_refused(
        "platform: []",
        "8",
        "platform or seeds must contain an address",
    );
    Case::new()
        .set("platform: []")
        .set("seeds: [127.0.0.1:9]")
        .parse_valid();
    let other_ip = Case::new().set("peers: 127.0.0.2:7001");
    other_ip.parse_valid();
}

#[test]
fn an_admin_address_other_than_loopback_requires_a_token() {
    let public = || Case::new().set("admin: 0.0.0.0:7003");
    public().assert_refused("7", "a token is required");
    public()
        .set("token: short")
        .assert_refused("9", "at least 16 characters");
    public().set("token: sixteen-letters.").parse_valid();
    assert_refused("token: two words", "9", "visible ASCII");
    assert_refused("token: ''", "9", "visible ASCII");
    Case::new().set("token: short").parse_valid();
}

#[test]
fn limits_must_be_above_zero() {
    let text = format!("{VALID}limits:\n  skew_ms: 1\n  body_bytes: 0\n");
    Case { text }.assert_refused("11", "limits.body_bytes: must be above 0");
    assert_refused(
        "limits: {skew_ms: 0}",
        "1",
        "limits.skew_ms: must be above 0",
    );
}

#[test]
fn the_grace_period_must_be_possible() {
    for value in ["0", "-1", ".nan", "3601"] {
        let text = format!("{VALID}limits:\n  body_bytes: 1\n  grace_s: {value}\n");
        let reason = "limits.grace_s: must be 0.1 to 3600 seconds";
        Case { text }.assert_refused("11", reason);
    }
}

#[test]
fn a_stop_fits_into_the_grace_period_and_leaves_most_of_it_to_calls() {
    for grace_s in [0.5, 3.0, 6.0, 10.0, 30.0, 120.0] {
        let limits = format!("limits: {{grace_s: {grace_s}, notice_ms: 2600}}");
        let times = Case::new().set(&limits).parse_valid().limits.stop_times();
        let share = |time: std::time::Duration| time.as_secs_f64() / grace_s;
        assert!(share(times.calls) >= 5.0 / 6.0, "{times:?}");
        assert!(share(times.end) - share(times.calls) >= 0.05, "{times:?}");
        assert!(share(times.end) <= 0.97, "{times:?}");
        // A call that is accepted last gets a third of the grace period at least.
        assert!(
            share(times.calls) - share(times.notice) >= 1.0 / 3.0,
            "{times:?}"
        );
    }
}

#[test]
fn invalid_log_filters_are_refused() {
    Case::new()
        .set("log: warn,wagtaillever_node::peers=debug")
        .parse_valid();
    assert_refused("log: loud=very", "9", "\"loud=very\" is not a valid filter");
    assert_refused("log: 'info,,'", "9", "\"\" is not a valid filter");
    assert_refused("log: 'node = debug'", "9", "is not a valid filter");
}

#[test]
fn the_store_protocol_requires_an_address() {
    Case::new()
        .set("platform: []")
        .set("seeds: [127.0.0.1:7009]")
        .set("protocol: store")
        .assert_refused("8", "must contain the address of the store");
    Case::new().set("protocol: store").parse_valid();
    assert_refused("protocol: tape", "9", "unknown variant");
}

#[test]
fn the_address_of_probes_must_be_unused() {
    assert_refused("probes: 127.0.0.1:7003", "9", "is already used by admin");
    let settings = Case::new().set("probes: 127.0.0.1:7004").parse_valid();
    assert_eq!(settings.probes, Some("127.0.0.1:7004".parse().unwrap()));
}

#[test]
fn the_link_rate_is_positive_or_omitted() {
    for rate in ["0", "-1", ".inf"] {
        let text = format!("{VALID}limits:\n  link_mbps: {rate}\n");
        Case { text }.assert_refused("10", "limits.link_mbps: must be above 0");
    }
    let settings = Case::new().set("limits: {link_mbps: }").parse_valid();
    assert_eq!(settings.limits.link_rate(), None);
}

#[test]
fn the_shorter_bound_sets_how_long_a_watch_waits() {
    let wait = |limits: &str| {
        let text = format!("{VALID}limits: {limits}\n");
        let settings = Case { text }.parse_valid();
        settings.limits.timing().watch_wait().as_millis()
    };
    assert_eq!(wait("{apply_s: 2}"), 600);
    assert_eq!(wait("{apply_s: 3, drain_s: 2.5}"), 750);
    assert_eq!(wait("{apply_s: 2, drain_s: 3}"), 600);
    assert_eq!(wait("{apply_s: , drain_s: }"), 2_000);
    assert_eq!(wait("{}"), 2_000);
}

#[test]
fn bounds_on_changes_must_be_possible() {
    for (field, value) in [("apply_s", "0"), ("apply_s", ".nan"), ("drain_s", "-1")] {
        let text = format!("{VALID}limits:\n  {field}: {value}\n");
        let reason = format!("limits.{field}: must be 0.5 to 3600 seconds");
        Case { text }.assert_refused("10", &reason);
    }
}

/// Guards against a price of zero, at which every call may cross.
#[test]
fn crossing_gain_must_be_above_zero() {
    let text = format!("{VALID}limits:\n  crossing_gain: 0\n");
    Case { text }.assert_refused("10", "limits.crossing_gain: must be above 0");
}

#[test]
fn cold_overage_must_not_lower_the_stated_rate() {
    let text = format!("{VALID}limits:\n  cold_overage: 0.9\n");
    Case { text }.assert_refused("10", "limits.cold_overage: must be 1 or more");
    let settings = Case::new().parse_valid();
    assert_eq!(settings.limits.cold_rate(17), 17);
}

#[test]
fn the_deployment_template_gives_valid_settings() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/node.yaml");
    let mut text = std::fs::read_to_string(path).unwrap();
    let fields = [
        ("ip", "10.1.0.41"),
        ("zone", "ragusa"),
        ("region", "sicily"),
        ("service", "huvo11a"),
        ("listen.outbound", "10.1.0.41:8629"),
        ("listen.ready", "10.1.0.41:8625"),
        ("provider.address", "10.200.1.7:8627"),
        (
            "zones|json",
            "{\"ragusa\":\"sicily\",\"modica\":\"sicily\"}",
        ),
        ("bounds.retry_budget_ratio", "0.2"),
        ("bounds.budget_min_retries", "60"),
        ("bounds.budget_window_s", "10"),
        ("limits.link_mbps", "28.0"),
        ("limits.memory_mb", "160"),
        ("limits.max_fds", "4100"),
        ("bounds.cold_overage", "1.5"),
        ("bounds.config_apply_s", "2"),
        ("bounds.drain_s", "2"),
        ("bounds.grace_s", "6"),
        ("bounds.cold_slack", "8"),
        ("bounds.quota_window_s", "4"),
        ("bounds.quota_overage", "0.5"),
        ("bounds.quota_slack", "10"),
    ];
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/system.toml");
    let mut command = std::fs::read_to_string(deploy).unwrap();
    for (field, value) in fields {
        let placeholder = format!("{{{{{field}}}}}");
        text = text.replace(&placeholder, value);
        command = command.replace(&placeholder, value);
    }
    assert!(
        !text.contains("{{") && !command.contains("{{"),
        "a field is not filled in: {text} {command}"
    );
    let (_, variable) = command.split_once("WAGTAILLEVER_SET = \"").unwrap();
    let (variable, _) = variable.split_once('"').unwrap();
    let overrides = variable.split(' ').map(|setting| setting.parse().unwrap());
    let overrides: Vec<SettingOverride> = overrides.collect();
    let settings = Settings::parse_with(Path::new("node.yaml"), &text, &overrides).unwrap();
    assert_eq!(settings.protocol, super::Protocol::Store);
    assert_eq!(settings.regions.len(), 2);
    assert_eq!(settings.limits.link_rate(), Some(3_500_000));
    assert_eq!(settings.limits.cold_rate(17), 25);
    assert_eq!(settings.quota.bounds().window.as_secs(), 4);
    assert_eq!(settings.limits.cold_burst(), Some(4));
    assert_eq!(settings.limits.max_fds, Some(4_100));
    let times = settings.limits.stop_times();
    assert!(
        times.end.as_millis() < 6_000,
        "the platform kills a stopping node after 6 s"
    );
    assert_eq!(times.notice.as_millis(), 2_600);
}

/// A bound above the memory or the descriptors of the machine lets callers end the process.
#[test]
fn bounds_follow_from_memory_and_descriptors() {
    let bounds = |limits: &str| Case::new().set(limits).parse_valid().limits.bounds();
    let default = bounds("limits: {skew_ms: 1}");
    assert_eq!(default.body_bytes, 32 << 20);
    assert_eq!(default.caller_connections, 4_096);
    assert_eq!(default.stalled_callers, 4_096);
    assert_eq!(default.ahead_bytes, 16 << 20);
    let small = bounds("limits: {memory_mb: 64, max_fds: 650}");
    assert_eq!(small.body_bytes, (64 << 20) / 5);
    assert_eq!(small.caller_connections, 225);
    assert_eq!(small.stalled_callers, 136);
    assert_eq!(small.ahead_bytes, (64 << 20) / 10);
    assert_eq!(small.peer_connections, 90);
    assert_eq!(small.upstream_connections, 67);
    let large = bounds("limits: {memory_mb: 512, max_fds: 8192}");
    assert_eq!(large.body_bytes, default.body_bytes);
    assert_eq!(large.caller_connections, 3_996);
    assert_refused("limits: {memory_mb: 31}", "1", "must be 32 or more");
    assert_refused("limits: {max_fds: 255}", "1", "must be 256 or more");
}

/// Returns the settings of the valid file with one of them replaced on the command line.
fn with_override(setting: &str) -> Result<Settings, String> {
    let overrides = [setting.parse::<SettingOverride>()?];
    let parsed = Settings::parse_with(Path::new("node.yaml"), VALID, &overrides);
    parsed.map_err(|err| err.to_string())
}

/// Failure: a misspelt or invalid setting of the command line that is ignored leaves a limit out.
#[test]
fn settings_of_the_command_line_replace_those_of_the_file() {
    let settings = with_override("limits.grace_s=12").unwrap();
    assert_eq!(settings.limits.grace_s, 12.0);
    assert_eq!(settings, with_override("limits.grace_s=12").unwrap());
    assert_eq!(
        with_override("limits.grace_s=").unwrap(),
        Case::new().parse_valid(),
        "an empty value changes nothing"
    );
    for (setting, reason) in [
        ("limits.colour=1", "--set limits.colour: unknown field"),
        ("limits.grace_s=soon", "--set limits.grace_s: invalid type"),
        (
            "vm.name=x",
            "--set vm.name: name is not a field of a section",
        ),
        ("limits.grace_s=0", "limits.grace_s: must be"),
        ("limits.grace_s", "expected NAME=VALUE"),
    ] {
        let err = with_override(setting).unwrap_err();
        assert!(err.contains(reason), "{setting}: {err}");
    }
}
