use std::path::Path;

use super::Settings;

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

/// Settings with changed lines and the expected verdict.
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
            .find(|known| known.split(':').next() == Some(key))
        {
            Some(known) => *known = line.into(),
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
    fn accept(self) -> Settings {
        self.parse().unwrap()
    }

    #[track_caller]
    fn refuse(self, place: &str, reason: &str) {
        let err = self.parse().unwrap_err();
        assert!(err.starts_with(&format!("node.yaml:{place}: ")), "{err}");
        assert!(err.contains(reason), "{err}");
    }
}

#[track_caller]
fn refuse(line: &str, place: &str, reason: &str) {
    Case::new().set(line).refuse(place, reason);
}

#[test]
fn defaults_fill_what_is_left_out() {
    let settings = Case::new().accept();
    assert_eq!(settings.limits.stop_ms, 30_000);
    assert_eq!(settings.log, "info,actix_server=warn");
    assert!(settings.policies.relay);
    assert!(settings.token.is_none());
}

#[test]
fn unknown_and_missing_fields_are_refused() {
    refuse(
        "port: 1",
        "9",
        "unknown field `port`, expected one of `vm`, `domain`",
    );
    refuse(
        "limits: {bodies: 1}",
        "9",
        "unknown field `bodies`, expected one of `body_bytes`",
    );
    refuse("policies: {relays: true}", "9", "unknown field `relays`");
    let text = VALID.replace("vm: vm-1\n", "");
    Case { text }.refuse("1", "missing field `vm`");
    let text = format!("{VALID}vm: vm-2\n");
    Case { text }.refuse("9", "the key `vm` is repeated");
}

#[cfg(not(feature = "mutants"))]
#[test]
fn deliberate_faults_are_refused() {
    refuse("mutants: [go_back]", "9", "unknown field `mutants`");
}

#[cfg(feature = "mutants")]
#[test]
fn deliberate_faults_are_read() {
    let settings = Case::new().set("mutants: [go_back, no_ramp]").accept();
    assert_eq!(settings.mutants.len(), 2);
}

#[test]
fn values_of_the_wrong_type_are_refused() {
    refuse("address: nowhere", "4", "invalid IP address");
    refuse("callers: 127.0.0.1", "5", "invalid socket address");
    refuse("limits: {stop_ms: soon}", "9", "expected u64");
    refuse("limits: {stop_ms: -1}", "9", "expected u64");
    refuse("platform: 127.0.0.1:1", "8", "expected a sequence");
}

#[test]
fn names_are_plain() {
    refuse(
        "vm: VM 1",
        "1",
        "vm: \"VM 1\" must have 1 to 63 lower-case letters",
    );
    refuse("domain: ''", "2", "domain: \"\" must have");
}

#[test]
fn addresses_fit_together() {
    refuse(
        "peers: 127.0.0.1:7001",
        "6",
        "peers: 127.0.0.1:7001 is taken by callers",
    );
    refuse("peers: 0.0.0.0:7001", "6", "taken by callers");
    refuse("admin: 127.0.0.1:0", "7", "the port must be above 0");
    refuse("address: '::1'", "4", "::1 must be of the family of peers");
    refuse(
        "seeds: ['[::1]:9']",
        "9",
        "[::1]:9 must be of the family of address",
    );
    refuse(
        "platform: [0.0.0.0:9]",
        "8",
        "0.0.0.0:9 is not the address of one machine",
    );
    refuse(
        "platform: []",
        "8",
        "platform or seeds must name an address",
    );
    Case::new()
        .set("platform: []")
        .set("seeds: [127.0.0.1:9]")
        .accept();
    let other_ip = Case::new().set("peers: 127.0.0.2:7001");
    other_ip.accept();
}

#[test]
fn an_open_admin_interface_needs_a_token() {
    let open = || Case::new().set("admin: 0.0.0.0:7003");
    open().refuse("7", "needs a token");
    open()
        .set("token: short")
        .refuse("9", "at least 16 characters");
    open().set("token: sixteen-letters.").accept();
    refuse("token: two words", "9", "visible ASCII");
    refuse("token: ''", "9", "visible ASCII");
    Case::new().set("token: short").accept();
}

#[test]
fn limits_are_above_zero() {
    let text = format!("{VALID}limits:\n  body_bytes: 1\n  stop_ms: 0\n");
    Case { text }.refuse("11", "limits.stop_ms: must be above 0");
    refuse(
        "limits: {skew_ms: 0}",
        "1",
        "limits.skew_ms: must be above 0",
    );
}

#[test]
fn log_filters_are_known() {
    Case::new()
        .set("log: warn,wagtaillever_node::peers=debug")
        .accept();
    refuse("log: loud=very", "9", "\"loud=very\" is no filter");
    refuse("log: 'info,,'", "9", "\"\" is no filter");
    refuse("log: 'node = debug'", "9", "is no filter");
}

#[test]
fn a_store_needs_an_address() {
    Case::new()
        .set("platform: []")
        .set("seeds: [127.0.0.1:7009]")
        .set("protocol: store")
        .refuse("8", "must name the store");
    Case::new().set("protocol: store").accept();
    refuse("protocol: tape", "9", "unknown variant");
}

#[test]
fn probes_have_an_address_of_their_own() {
    refuse("probes: 127.0.0.1:7003", "9", "is taken by admin");
    let settings = Case::new().set("probes: 127.0.0.1:7004").accept();
    assert_eq!(settings.probes, Some("127.0.0.1:7004".parse().unwrap()));
}

#[test]
fn a_link_has_a_rate_or_is_not_stated() {
    for rate in ["0", "-1", ".inf"] {
        let text = format!("{VALID}limits:\n  link_mbps: {rate}\n");
        Case { text }.refuse("10", "limits.link_mbps: must be above 0");
    }
    let settings = Case::new().set("limits: {link_mbps: }").accept();
    assert_eq!(settings.limits.link_rate(), None);
}

#[test]
fn a_cold_upstream_gets_at_least_the_rate_that_is_stated() {
    let text = format!("{VALID}limits:\n  cold_overage: 0.9\n");
    Case { text }.refuse("10", "limits.cold_overage: must be 1 or more");
    let settings = Case::new().accept();
    assert_eq!(settings.limits.cold_rate(17), 17);
}

#[test]
fn the_template_of_the_prepared_machines_gives_valid_settings() {
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
        ("bounds.cold_overage", "1.5"),
    ];
    for (field, value) in fields {
        text = text.replace(&format!("{{{{{field}}}}}"), value);
    }
    assert!(!text.contains("{{"), "a field is not filled in: {text}");
    let settings = Case { text }.accept();
    assert_eq!(settings.protocol, super::Protocol::Store);
    assert_eq!(settings.regions.len(), 2);
    assert_eq!(settings.limits.link_rate(), Some(3_500_000));
    assert_eq!(settings.limits.cold_rate(17), 25);
    let stop_ms = settings.limits.notice_ms + settings.limits.stop_ms;
    assert!(stop_ms < 6_000, "the platform kills after 6 s");
}
