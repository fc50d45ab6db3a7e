use std::{collections::BTreeMap, time::Duration};

use super::*;
use crate::{Base, CallerLimits, Rule, Sequence};

/// Two organisations with the digests of `key-a`, `key-a2` and `key-b`, and caller limits.
fn config() -> Config {
    let note = format!(
        "note: 1\norganisations:\n  add:\n\
         \x20   - {{name: Acme/East, digests: [{}, {}], priority: 2}}\n\
         \x20   - {{name: bolt, digests: [{}], quota: {{per_second: 2.5, burst: 10}}}}\n\
         caller_limits: {{header_bytes: 16384, body_bytes: 67108864, header_timeout_ms: 3000, idle_timeout_ms: 15000}}\n",
        hex("key-a"),
        hex("key-a2"),
        hex("key-b"),
    );
    applied(&Config::default(), &note).unwrap()
}

fn hex(key: &str) -> String {
    let text = serde_json::to_string(&KeyDigest::of(key.as_bytes())).unwrap();
    text.trim_matches('"').to_string()
}

fn applied(config: &Config, note: &str) -> Result<Config, Rule> {
    let applied = config.apply_text(config.sequence.next(), note.as_bytes());
    applied.map_err(|err| err.rule())
}

fn found(config: &Config, key: &str) -> Option<String> {
    let table = KeyTable::new(config);
    let organisation = table.find(KeyDigest::of(key.as_bytes()));
    organisation.map(|organisation| organisation.name.to_string())
}

/// Guards against a digest that other tools compute differently: operators write digests in notes.
#[test]
fn a_digest_is_sha_256_in_hexadecimal() {
    let expected = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert_eq!(hex("abc"), expected);
    assert_eq!(expected.to_uppercase().parse(), Ok(KeyDigest::of(b"abc")));
    for text in ["", "ba78", &"g".repeat(64), &"\u{e9}".repeat(32)] {
        assert!(text.parse::<KeyDigest>().is_err(), "{text}");
    }
}

/// Guards against a key that finds no organisation or another one, also at the ends of the table.
#[test]
fn a_key_identifies_its_organisation() {
    let config = config();
    assert_eq!(found(&config, "key-a").as_deref(), Some("Acme/East"));
    assert_eq!(found(&config, "key-a2").as_deref(), Some("Acme/East"));
    assert_eq!(found(&config, "key-b").as_deref(), Some("bolt"));
    assert_eq!(found(&config, "key-c"), None);
    assert_eq!(found(&config, ""), None);
    assert_eq!(found(&Config::default(), "key-a"), None);
}

/// Guards against a withdrawal of the last organisation that opens all routes.
#[test]
fn a_note_withdraws_keys_but_not_the_need_for_a_key() {
    let changed = format!(
        "note: 2\norganisations:\n  change:\n    - {{name: Acme/East, digests: [{}]}}\n  withdraw: [bolt]\n",
        hex("key-a2")
    );
    let changed = applied(&config(), &changed).unwrap();
    assert_eq!(found(&changed, "key-a"), None);
    assert_eq!(found(&changed, "key-a2").as_deref(), Some("Acme/East"));
    assert_eq!(changed.caller_limits, config().caller_limits);
    let emptied = "note: 3\norganisations: {withdraw: [Acme/East]}\n";
    let emptied = applied(&changed, emptied).unwrap();
    assert!(KeyTable::new(&emptied).has_organisations());
    assert!(!KeyTable::new(&Config::default()).has_organisations());
}

/// Guards against a key whose calls count for two organisations, and against quotas that never grant.
#[test]
fn ambiguous_keys_and_unusable_quotas_are_refused() {
    let add = |entry: &str| {
        let note = format!("note: 2\norganisations:\n  add:\n    - {{name: c, {entry}}}\n");
        applied(&config(), &note).map(|_| ())
    };
    let quota = |quota: &str| add(&format!("digests: [], quota: {{{quota}}}"));
    assert_eq!(
        add(&format!("digests: [{}]", hex("key-b"))),
        Err(Rule::Unique)
    );
    assert_eq!(add("digests: [abcd]"), Err(Rule::Syntax));
    assert_eq!(quota("per_second: 0, burst: 1"), Err(Rule::Range));
    assert_eq!(quota("per_second: .nan, burst: 1"), Err(Rule::Range));
    assert_eq!(quota("per_second: 1, burst: -1"), Err(Rule::Range));
    assert_eq!(quota("per_second: 1, burst: 0"), Ok(()));
    let same = format!("digests: [{0}, {0}]", hex("key-c"));
    assert_eq!(add(&same), Ok(()));
}

/// Guards against nodes that lose keys or limits with a snapshot, or see the same digest with
/// other keys, and against a base of an earlier version that changes its text.
#[test]
fn snapshots_and_digests_hold_keys_and_limits() {
    let config = config();
    let text = serde_json::to_string(&config).unwrap();
    assert_eq!(serde_json::from_str::<Config>(&text).unwrap(), config);
    let limits = CallerLimits {
        header_bytes: 16_384,
        body_bytes: 67_108_864,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    assert_eq!(config.caller_limits, Some(limits));
    let mut without_keys = config.clone();
    without_keys.organisations = Some(BTreeMap::new());
    assert_ne!(without_keys.digest(), config.digest());
    let open = Config {
        organisations: None,
        ..config.clone()
    };
    assert_ne!(without_keys.digest(), open.digest());
    let empty = serde_json::to_string(&without_keys).unwrap();
    assert_eq!(
        serde_json::from_str::<Config>(&empty).unwrap(),
        without_keys
    );
    let plain = Config {
        sequence: Sequence(4),
        ..Config::default()
    };
    let plain = serde_json::to_string(&plain).unwrap();
    assert_eq!(
        plain,
        r#"{"sequence":4,"services":{},"routes":{},"upstreams":{}}"#
    );
}

/// Guards against a base in parts that loses organisations, so that a node needs no keys.
#[test]
fn a_base_in_parts_holds_keys_and_limits_once() {
    let services = "note: 2\nservices: {add: [{name: a}, {name: b}]}\n";
    let config = applied(&config(), services).unwrap();
    let mut published = config.publications_within(100);
    let index = published.pop().unwrap();
    let Base::Split(index) = Base::parse(index.text.as_bytes()).unwrap() else {
        panic!("one part");
    };
    let parts: Vec<Config> = published
        .iter()
        .map(|part| serde_json::from_str(&part.text).unwrap())
        .collect();
    assert_eq!(index.join(parts.clone()).unwrap(), config);
    let twice = index.join([parts[0].clone(), parts[0].clone()]);
    assert_eq!(twice.unwrap_err().rule(), Rule::Unique);
}

/// Guards against digests in logs, which tell which guess of a key is right.
#[test]
fn debug_output_shows_no_digest() {
    let config = config();
    let table = KeyTable::new(&config);
    let text = format!("{config:?} {table:?}");
    assert!(text.contains("Acme/East") && text.contains("KeyDigest(..)"));
    assert!(!text.contains(&hex("key-a")[..8]));
}
