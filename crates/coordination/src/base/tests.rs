use assert_matches::assert_matches;

use super::Base;
use crate::{Config, Rule, Sequence};

/// Returns a configuration of `services` services, each with one route and two upstreams.
fn config(services: u32) -> Config {
    let mut text = String::from("note: 1\n");
    for (section, kinds) in [("services", 0..1), ("routes", 1..2), ("upstreams", 2..4)] {
        text.push_str(&format!("{section}:\n  add:\n"));
        for (number, kind) in (0..services).flat_map(|n| kinds.clone().map(move |kind| (n, kind))) {
            let fields = match kind {
                0 => String::new(),
                1 => format!(", path: /s{number}, service: n{number}"),
                _ => format!(
                    ", service: n{number}, vm: v{number}, domain: d, address: '10.0.0.1:{kind}', slots: 1, connections: 1"
                ),
            };
            let suffix = if kind == 3 { "-b" } else { "" };
            text.push_str(&format!("    - {{name: n{number}{suffix}{fields}}}\n"));
        }
    }
    let empty = Config::default();
    empty.apply_text(Sequence(1), text.as_bytes()).unwrap()
}

#[test]
fn a_small_base_is_published_as_one_value() {
    let config = config(3);
    let published = config.publications();
    assert_eq!(published.len(), 1);
    assert_eq!(published[0].key, "base");
    let base = Base::parse(published[0].text.as_bytes()).unwrap();
    assert_eq!(base, Base::Whole(config));
}

#[test]
fn a_large_base_is_split_by_service_and_rejoined() {
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
        let part = serde_json::from_str::<Config>(&published[0].text).unwrap();
        let err = index.join([part.clone(), part.clone()]).unwrap_err();
        assert_eq!(err.rule(), Rule::Unique);
        let other = Config { sequence: Sequence(2), ..part };
        let err = index.join([other]).unwrap_err();
        assert_eq!(err.rule(), Rule::Sequence);
    });
}

#[test]
fn invalid_bases_are_refused() {
    let assert_refused = |text: &str, rule: Rule, reason: &str| {
        let err = Base::parse(text.as_bytes()).unwrap_err();
        assert_eq!(err.rule(), rule, "{err}");
        assert!(err.reason().contains(reason), "{err}");
    };
    let base_json = |services: &str| {
        format!(
            "{{\"sequence\": 1, \"services\": {{{services}}},\n \"routes\": {{}}, \"upstreams\": {{}}}}"
        )
    };
    assert_refused("", Rule::Syntax, "EOF");
    assert_refused("[]", Rule::Syntax, "");
    assert_refused("{\"sequence\": 1}", Rule::Syntax, "missing field");
    assert_refused(
        "{\"sequence\": 1, \"parts\": [], \"more\": 1}",
        Rule::Syntax,
        "unknown field `more`",
    );
    let duplicate = "\"a\": {\"name\": \"a\"}, \"a\": {\"name\": \"a\"}";
    assert_refused(
        &base_json(duplicate),
        Rule::Syntax,
        "the key `a` is repeated",
    );
    assert_refused(
        &base_json("\"a\": {\"name\": \"b\"}"),
        Rule::Name,
        "is stored under the key",
    );
    let dangling = base_json("").replace(
        "\"routes\": {}",
        "\"routes\": {\"r\": {\"name\": \"r\", \"path\": \"/r\", \"service\": \"gone\"}}",
    );
    assert_refused(&dangling, Rule::Exists, "gone");
}
