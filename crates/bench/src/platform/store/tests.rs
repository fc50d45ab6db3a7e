use assert_matches::assert_matches;

use super::*;

fn store(writes: &[(&str, &str)]) -> Store {
    let mut store = Store::default();
    for (key, value) in writes {
        store.put(key, value);
    }
    store
}

fn keys(answer: &WatchAnswer) -> Vec<&str> {
    answer.events.iter().map(|event| &*event.key).collect()
}

#[test]
fn watch_returns_the_last_value_of_each_key() {
    let store = store(&[("a", "1"), ("b", "1"), ("a", "2")]);
    let answer = store.since(0, 3).unwrap();
    assert_eq!(keys(&answer), ["b", "a"]);
    assert_eq!(answer.revision, 3);
}

#[test]
fn values_are_readable_at_old_revisions() {
    let store = store(&[("a", "1"), ("a", "2")]);
    assert_eq!(&*store.get("a", 1).unwrap().value, "1");
    assert_eq!(&*store.get("a", 2).unwrap().value, "2");
    assert_matches!(store.get("a", 0), None);
}

#[test]
fn compacted_revisions_are_gone() {
    let mut store = store(&[("a", "1"), ("b", "1")]);
    store.compact(1);
    assert_eq!(store.since(0, 2), Err(Gone));
    assert_eq!(keys(&store.since(1, 2).unwrap()), ["b"]);
}

#[test]
fn large_answers_are_split_at_a_lower_revision() {
    let large = "x".repeat(600_000);
    let store = store(&[("a", &large), ("b", &large)]);
    let answer = store.since(0, 2).unwrap();
    assert_eq!(keys(&answer), ["a"]);
    assert_eq!(answer.revision, 1);
    let answer = store.since(1, 2).unwrap();
    assert_eq!(keys(&answer), ["b"]);
    assert_eq!(answer.revision, 2);
}
