use super::Config;
use crate::{Fold, FoldEvent, ReleaseNote, Rule, Sequence};

const FIRST: &str = "\
note: 1
services:
  add: [{name: balances}, {name: idle}]
routes:
  add:
    - {name: balances, path: /balances, methods: [GET], service: balances}
upstreams:
  add:
    - name: balances-1
      service: balances
      vm: vm-1
      domain: ragusa
      address: 127.0.0.1:9001
      slots: 12
      connections: 120
";

/// An invalid note that follows [`FIRST`] and the error expected for it.
struct Case<'a> {
    text: &'a [u8],
    line: Option<usize>,
    rule: Rule,
    reason: &'a str,
}

impl Case<'_> {
    #[track_caller]
    fn check(&self) {
        let config = first_config();
        let err = config.apply_text(Sequence(2), self.text).unwrap_err();
        assert_eq!(err.rule(), self.rule, "{err}");
        assert_eq!(err.line(), self.line, "{err}");
        assert!(err.reason().contains(self.reason), "{err}");
        assert!(err.to_string().ends_with(&format!("(rule {})", self.rule)));
        let mut fold = Fold::default();
        fold.insert(Sequence(1), FIRST.as_bytes().into());
        let events = fold.insert(Sequence(2), self.text.into());
        assert!(matches!(&events[..], [FoldEvent::Refused(Sequence(2), _)]));
        assert_eq!(
            fold.sequence(),
            Sequence(2),
            "a refused note consumes its sequence"
        );
        let unchanged = Config {
            sequence: Sequence(2),
            ..config
        };
        assert_eq!(
            **fold.config(),
            unchanged,
            "a refused note changes nothing else"
        );
    }
}

fn first_config() -> Config {
    let empty = Config::default();
    empty.apply_text(Sequence(1), FIRST.as_bytes()).unwrap()
}

#[track_caller]
fn assert_refused(
    text: impl AsRef<[u8]>,
    line: impl Into<Option<usize>>,
    rule: Rule,
    reason: &str,
) {
    Case {
        text: text.as_ref(),
        line: line.into(),
        rule,
        reason,
    }
    .check();
}

fn upstream(name: &str, rest: &str) -> String {
    format!(
        "note: 2\nupstreams:\n  add:\n    - {{name: {name}, service: balances, domain: ragusa, connections: 1, {rest}}}\n"
    )
}

#[test]
fn malformed_yaml_is_refused() {
    assert_refused(
        "note: [2",
        2,
        Rule::Syntax,
        "did not find expected ',' or ']', while parsing a flow",
    );
    assert_refused(
        "note: 2\n\tservices: {}\n",
        2,
        Rule::Syntax,
        "found a tab character",
    );
    assert_refused("just words", 1, Rule::Syntax, "invalid type");
    assert_refused("", None, Rule::Syntax, "the value is empty");
    assert_refused(
        "---\nnote: 2\n---\nnote: 3\n",
        3,
        Rule::Syntax,
        "holds more than one document",
    );
    assert_refused(
        "note: 2\nsummary: \"open\n",
        3,
        Rule::Syntax,
        "unexpected end of stream",
    );
}

#[test]
fn unknown_repeated_and_missing_keys_are_refused() {
    assert_refused(
        "note: 2\nservice: {}\n",
        2,
        Rule::Syntax,
        "unknown field `service`, expected one of",
    );
    assert_refused(
        "note: 2\nservices:\n  add:\n    - {name: a, port: 1}\n",
        4,
        Rule::Syntax,
        "unknown field `port`",
    );
    assert_refused(
        "note: 2\nnote: 2\n",
        2,
        Rule::Syntax,
        "the key `note` is repeated",
    );
    assert_refused(
        "note: 2\nservices:\n  add: []\n  add: []\n",
        4,
        Rule::Syntax,
        "the key `add` is repeated",
    );
    assert_refused("summary: none\n", 1, Rule::Syntax, "missing field `note`");
    assert_refused(
        "note: 2\nroutes:\n  add:\n    - {name: r, path: /r}\n",
        4,
        Rule::Syntax,
        "missing field `service`",
    );
    assert_refused(
        "note: 2\n<<: {summary: x}\n",
        2,
        Rule::Syntax,
        "unknown field `<<`",
    );
}

#[test]
fn values_of_the_wrong_type_are_refused() {
    assert_refused(
        "note: two\n",
        1,
        Rule::Syntax,
        "invalid type: string \"two\", expected u64",
    );
    assert_refused(
        "note: -2\n",
        1,
        Rule::Syntax,
        "invalid type: integer `-2`, expected u64",
    );
    assert_refused(
        upstream("b", "vm: v, address: nowhere, slots: 1"),
        4,
        Rule::Syntax,
        "invalid socket address",
    );
    assert_refused(
        upstream("b", "vm: v, address: 127.0.0.1:1, slots: 0"),
        4,
        Rule::Syntax,
        "nonzero u32",
    );
    assert_refused(
        upstream("b", "vm: v, address: 127.0.0.1:1, slots: 5000000000"),
        4,
        Rule::Syntax,
        "u32",
    );
    assert_refused(
        "note: 2\nroutes:\n  add:\n    - {name: r, path: /r, service: balances, methods: [FETCH]}\n",
        4,
        Rule::Syntax,
        "unknown variant `FETCH`",
    );
    assert_refused("note: 2\nservices: !tag {}\n", 2, Rule::Syntax, "");
}

#[test]
fn bad_names_paths_and_numbers_are_refused() {
    assert_refused(
        "note: 2\nservices:\n  add:\n    - name: Big\n",
        4,
        Rule::Name,
        "service \"Big\"",
    );
    assert_refused(
        "note: 2\nservices:\n  add:\n    - name: ''\n",
        4,
        Rule::Syntax,
        "shorter than 1",
    );
    let long = format!(
        "note: 2\nservices:\n  add:\n    - name: {}\n",
        "a".repeat(64)
    );
    assert_refused(long, 4, Rule::Syntax, "longer than 63");
    let route = |path: &str| {
        format!("note: 2\nroutes:\n  add:\n    - {{name: r, path: {path}, service: balances}}\n")
    };
    assert_refused(route("r"), 4, Rule::Path, "must start with a slash");
    assert_refused(route("/r?x"), 4, Rule::Path, "plain ASCII");
    assert_refused(route("'/r r'"), 4, Rule::Path, "plain ASCII");
    assert_refused(
        route(&format!("/{}", "r".repeat(2048))),
        4,
        Rule::Path,
        "at most 2048 bytes",
    );
    assert_refused(
        upstream("b", "vm: v, address: 127.0.0.1:0, slots: 1"),
        4,
        Rule::Range,
        "port",
    );
}

#[test]
fn dangling_references_are_refused() {
    assert_refused(
        "note: 2\nroutes:\n  add:\n    - {name: r, path: /r, service: gone}\n",
        4,
        Rule::Exists,
        "route r names service gone, which does not exist",
    );
    assert_refused(
        "note: 2\nservices:\n  withdraw: [gone]\n",
        3,
        Rule::Exists,
        "service gone does not exist",
    );
    assert_refused(
        "note: 2\nroutes:\n  change:\n    - {name: r, path: /r, service: balances}\n",
        4,
        Rule::Exists,
        "route r does not exist",
    );
}

#[test]
fn withdrawing_a_service_in_use_is_refused() {
    assert_refused(
        "note: 2\nservices:\n  withdraw:\n    - idle\n    - balances\n",
        5,
        Rule::InUse,
        "service balances is withdrawn but route balances still needs it",
    );
    assert_refused(
        "note: 2\nservices:\n  withdraw: [balances]\nroutes:\n  withdraw: [balances]\n",
        3,
        Rule::InUse,
        "upstream balances-1 still needs it",
    );
}

#[test]
fn duplicates_are_refused() {
    assert_refused(
        "note: 2\nservices:\n  add:\n    - name: balances\n",
        4,
        Rule::Unique,
        "service balances already exists",
    );
    assert_refused(
        "note: 2\nservices:\n  add:\n    - name: new\n    - name: new\n",
        5,
        Rule::Unique,
        "named twice",
    );
    assert_refused(
        "note: 2\nservices:\n  withdraw:\n    - idle\n    - idle\n",
        5,
        Rule::Unique,
        "named twice",
    );
    assert_refused(
        "note: 2\nservices:\n  withdraw: [idle]\n  add:\n    - name: idle\n",
        5,
        Rule::Unique,
        "named twice",
    );
    assert_refused(
        "note: 2\nroutes:\n  add:\n    - {name: r, path: /balances/, service: balances}\n",
        4,
        Rule::Overlap,
        "routes balances and r",
    );
}

#[test]
fn upstreams_with_the_same_address_are_refused() {
    assert_refused(
        upstream("b", "vm: vm-1, address: 127.0.0.1:9001, slots: 1"),
        4,
        Rule::Address,
        "upstreams b and balances-1",
    );
    assert_refused(
        upstream("a", "vm: vm-1, address: 127.0.0.1:9001, slots: 1"),
        4,
        Rule::Address,
        "upstreams a and balances-1",
    );
    let text = upstream("b", "vm: vm-2, address: 127.0.0.1:9001, slots: 1");
    let config = first_config().apply_text(Sequence(2), text.as_bytes());
    assert_eq!(
        config.unwrap().upstreams.len(),
        2,
        "the same address on another VM is allowed"
    );
}

#[test]
fn a_vm_in_two_failure_domains_is_refused() {
    let text =
        upstream("b", "vm: vm-1, address: 127.0.0.1:2, slots: 1").replace("ragusa", "modica");
    assert_refused(text, 4, Rule::Domain, "VM vm-1 is in failure domain modica");
}

#[test]
fn a_note_published_under_another_sequence_is_refused() {
    assert_refused(
        "summary: x\nnote: 7\n",
        2,
        Rule::Sequence,
        "names sequence 7 but is published under 2",
    );
}

#[test]
fn large_and_binary_values_are_refused() {
    let large = format!("note: 2\nsummary: {}\n", "x".repeat(1_000_000));
    assert_refused(large, None, Rule::Size, "the limit is 1000000");
    assert_refused(b"note: 2\nsummary: \xff\n", 2, Rule::Utf8, "byte 17");
}

#[test]
fn alias_expansion_is_limited() {
    let mut nested = String::from("note: 2\na: &a [x, x, x, x, x, x, x, x, x, x]\n");
    for (old, new) in ('a'..='h').zip('b'..='i') {
        let items = vec![format!("*{old}"); 10].join(", ");
        nested.push_str(&format!("{new}: &{new} [{items}]\n"));
    }
    let err = first_config()
        .apply_text(Sequence(2), nested.as_bytes())
        .unwrap_err();
    assert_eq!(err.rule(), Rule::Expansion, "{err}");
    let long = "s".repeat(10_000);
    let items = vec!["*s"; 500].join(", ");
    let repeated = format!("note: 2\nsummary: &s {long}\nservices: {{withdraw: [{items}]}}\n");
    let err = first_config()
        .apply_text(Sequence(2), repeated.as_bytes())
        .unwrap_err();
    assert_eq!(err.rule(), Rule::Expansion, "{err}");
}

#[test]
fn deep_nesting_is_refused() {
    let too_deep = "values nest more than 32 levels deep";
    for open in [
        "[", "{a: ", "- ", "? ", "[\n", "{'a': ", "[ # ]\n", "[ ']',",
    ] {
        let deep = format!("note: 2\nsummary:\n  {}", open.repeat(5_000));
        let err = first_config()
            .apply_text(Sequence(2), deep.as_bytes())
            .unwrap_err();
        assert_eq!(err.reason(), too_deep, "{open}");
    }
    for prefix in [
        "summary: x\n  \"\nroutes: DEEP\n# \"",
        "summary: |\n  x\nroutes: DEEP\n",
    ] {
        let deep = format!("note: 2\n{prefix}").replace("DEEP", &"[".repeat(5_000));
        let err = first_config()
            .apply_text(Sequence(2), deep.as_bytes())
            .unwrap_err();
        assert!(err.reason() == too_deep || err.reason().contains("brackets"));
    }
}

#[test]
fn brackets_in_strings_and_comments_do_not_count_as_nesting() {
    let text = "note: 2\nsummary: |\n  IN [[[[\n\n  more '[[\nservices: # [[[[\n  add: [{name: 'a'}, {name: b}]\n";
    let text = text.replace("IN", &"[".repeat(100));
    let config = first_config()
        .apply_text(Sequence(2), text.as_bytes())
        .unwrap();
    assert_eq!(config.services.len(), 4);
}

#[test]
fn a_valid_note_is_applied_completely() {
    let text = "note: 2\nservices: {withdraw: [idle]}\nroutes:\nupstreams:\n  change:\n    - {name: balances-1, service: balances, vm: vm-1, domain: ragusa, address: '127.0.0.1:9001', slots: 10, connections: 100}\n";
    let config = first_config()
        .apply_text(Sequence(2), text.as_bytes())
        .unwrap();
    assert_eq!(config.services.len(), 1);
    assert_eq!(config.upstreams["balances-1"].slots, 10);
    assert_eq!(config.routes["balances"].timeout_ms, 10_000, "the default");
}

#[test]
fn serialised_values_round_trip() {
    let note = ReleaseNote::parse(FIRST.as_bytes()).unwrap();
    let text = serde_yaml_ng::to_string(&note).unwrap();
    assert_eq!(ReleaseNote::parse(text.as_bytes()).unwrap(), note);
    let config = first_config();
    let text = serde_json::to_vec(&config).unwrap();
    assert_eq!(Config::parse(&text).unwrap(), config);
    assert_eq!(serde_json::from_slice::<Config>(&text).unwrap(), config);
}
