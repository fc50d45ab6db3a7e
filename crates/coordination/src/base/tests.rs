use assert_matches::assert_matches;

use super::Base;
use crate::{Config, Rule, Sequence};

/// A configuration with `services` services of two upstreams each.
fn config(services: u32) -> Config {
    let mut text = String::from("note: 1\n");
    for (section, kinds) in [("services", 0..1), ("routes", 1..2), ("upstreams", 2..4)] {
        text.push_str(&format!("{section}:\n  add:\n"));
        for (number, kind) in (0..services).flat_map(|n| kinds.clone().map(move |kind| (n, kind))) {
            let rest = match kind {
                0 => String::new(),
                1 => format!(", path: /s{number}, service: n{number}"),
                _ => format!(
                    ", service: n{number}, vm: v{number}, domain: d, address: '10.0.0.1:{kind}', slots: 1, connections: 1"
                ),
            };
            let suffix = if kind == 3 { "-b" } else { "" };
            text.push_str(&format!("    - {{name: n{number}{suffix}{rest}}}\n"));
        }
    }
    let empty = Config::default();
    empty.apply_text(Sequence(1), text.as_bytes()).unwrap()
}

#[test]
fn a_small_base_is_published_whole() {
    let config = config(3);
    let published = config.publications();
    assert_eq!(published.len(), 1);
    assert_eq!(published[0].key, "base");
    let base = Base::parse(published[0].text.as_bytes()).unwrap();
    assert_eq!(base, Base::Whole(config));
}

#[test]
fn a_large_base_is_split_by_service_and_joined() {
    const LIMIT_BYTES: usize = 2000;
    let config = config(20);
    let mut published = config.publications_within(LIMIT_BYTES);
    assert!(published.len() > 3);
    assert!(
        published
            .iter()
            .all(|value| value.text.len() <= LIMIT_BYTES)
    );
    let index = published.pop().unwrap();
    assert_eq!(index.key, "base");
    let base = Base::parse(index.text.as_bytes()).unwrap();
    assert_matches!(base, Base::Split(index) => {
        let keys: Vec<_> = published.iter().map(|value| value.key.clone()).collect();
        assert_eq!(index.parts, keys);
        let parts = published.iter().map(|value| serde_json::from_str(&value.text).unwrap());
        assert_eq!(index.join(parts).unwrap(), config);
        let one = serde_json::from_str::<Config>(&published[0].text).unwrap();
        let err = index.join([one.clone(), one.clone()]).unwrap_err();
        assert_eq!(err.rule(), Rule::Unique);
        let other = Config { sequence: Sequence(2), ..one };
        let err = index.join([other]).unwrap_err();
        assert_eq!(err.rule(), Rule::Sequence);
    });
}

#[test]
fn bad_bases_are_refused() {
    let refuse = |text: &str, rule: Rule, reason: &str| {
        let err = Base::parse(text.as_bytes()).unwrap_err();
        assert_eq!(err.rule(), rule, "{err}");
        assert!(err.reason().contains(reason), "{err}");
    };
    let base = |services: &str| {
        format!(
            "{{\"sequence\": 1, \"services\": {{{services}}},\n \"routes\": {{}}, \"upstreams\": {{}}}}"
        )
    };
    refuse("", Rule::Syntax, "EOF");
    refuse("[]", Rule::Syntax, "");
    refuse("{\"sequence\": 1}", Rule::Syntax, "missing field");
    refuse(
        "{\"sequence\": 1, \"parts\": [], \"more\": 1}",
        Rule::Syntax,
        "unknown field `more`",
    );
    let twice = "\"a\": {\"name\": \"a\"}, \"a\": {\"name\": \"a\"}";
    refuse(&base(twice), Rule::Syntax, "the key `a` is repeated");
    refuse(
        &base("\"a\": {\"name\": \"b\"}"),
        Rule::Name,
        "stands under the key",
    );
    let dangling = base("").replace(
        "\"routes\": {}",
        "\"routes\": {\"r\": {\"name\": \"r\", \"path\": \"/r\", \"service\": \"gone\"}}",
    );
    refuse(&dangling, Rule::Exists, "gone");
}
