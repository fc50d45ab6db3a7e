use std::{collections::BTreeMap, sync::Arc};

use proptest::{collection::vec, prelude::*, sample::select};

use super::{Fold, FoldEvent, MAX_PENDING, MAX_PENDING_BYTES};
use crate::{Config, ReleaseNote, Sequence, Verdict};

/// One change of a generated note; many break a rule.
#[derive(Clone, Debug)]
struct Change {
    section: &'static str,
    list: &'static str,
    name: u8,
    service: u8,
}

impl Change {
    fn item(&self) -> String {
        let Self { name, service, .. } = self;
        if self.list == "withdraw" {
            return format!("n{name}");
        }
        match self.section {
            "services" => format!("{{name: n{name}}}"),
            "routes" => format!("{{name: n{name}, path: /p{name}, service: n{service}}}"),
            _ => format!(
                "{{name: n{name}, service: n{service}, vm: v{name}, domain: d, address: '10.0.0.1:{}', slots: {service}, connections: 1}}",
                name % 3 + 1
            ),
        }
    }
}

fn change() -> impl Strategy<Value = Change> {
    let section = select(vec!["services", "services", "routes", "upstreams"]);
    let list = select(vec!["add", "add", "add", "change", "withdraw"]);
    (section, list, 0..6u8, 0..6u8).prop_map(|(section, list, name, service)| Change {
        section,
        list,
        name,
        service,
    })
}

fn note_text(sequence: u64, changes: &[Change]) -> Arc<[u8]> {
    let mut sections: BTreeMap<_, BTreeMap<_, Vec<_>>> = BTreeMap::new();
    for change in changes {
        let lists = sections.entry(change.section).or_default();
        lists.entry(change.list).or_default().push(change.item());
    }
    let mut text = format!("note: {sequence}\n");
    for (section, lists) in sections {
        text.push_str(&format!("{section}:\n"));
        for (list, items) in lists {
            text.push_str(&format!("  {list}: [{}]\n", items.join(", ")));
        }
    }
    text.into_bytes().into()
}

/// Generates numbered notes, including invalid and unparsable ones.
fn notes() -> impl Strategy<Value = Vec<(Sequence, Arc<[u8]>)>> {
    let note = prop_oneof![
        8 => vec(change(), 1..4).prop_map(Ok),
        1 => vec(any::<u8>(), 0..20).prop_map(Err),
    ];
    vec(note, 1..24).prop_map(|notes| {
        let numbered = notes.into_iter().zip(1..);
        let texts = numbered.map(|(note, number)| {
            let text = note.map_or_else(Arc::from, |changes| note_text(number, &changes));
            (Sequence(number), text)
        });
        texts.collect()
    })
}

fn fold_all(start: Fold, notes: &[(Sequence, Arc<[u8]>)]) -> (Fold, Vec<FoldEvent>) {
    let mut fold = start;
    let mut events = Vec::new();
    for (sequence, text) in notes {
        let before = fold.sequence();
        events.extend(fold.insert(*sequence, Arc::clone(text)));
        assert!(fold.sequence() >= before, "the sequence decreased");
    }
    (fold, events)
}

proptest! {
    #[test]
    fn parsing_arbitrary_bytes_does_not_panic(bytes in vec(any::<u8>(), 0..400)) {
        let _ = ReleaseNote::parse(&bytes);
        let _ = Config::parse(&bytes);
        let _ = crate::VmList::parse(&bytes);
        let _ = crate::DrainOrder::parse_list(&bytes);
    }

    #[test]
    fn parsing_arbitrary_yaml_tokens_does_not_panic(
        tokens in vec(select(vec![
            "note: 1", "\n", "  ", "- ", "services:", "add:", "name:", " a", "[", "]", "{", "}",
            "\"", "'", "#", "&a ", "*a", "|", ">", "? ", ": ", ",", "<<", "!t ", "---", "%", "\t",
        ]), 0..60),
    ) {
        let _ = ReleaseNote::parse(tokens.concat().as_bytes());
    }

    #[test]
    fn arrival_order_does_not_change_the_result(
        (notes, shuffled) in notes().prop_flat_map(|notes| (Just(notes.clone()), Just(notes).prop_shuffle())),
        repeats in vec(any::<prop::sample::Index>(), 0..8),
    ) {
        let (in_order, expected) = fold_all(Fold::default(), &notes);
        let mut arrivals = shuffled;
        for repeat in repeats {
            let again = repeat.get(&notes).clone();
            arrivals.insert(repeat.index(arrivals.len()), again);
        }
        let (fold, events) = fold_all(Fold::default(), &arrivals);
        prop_assert_eq!(fold.config(), in_order.config());
        prop_assert_eq!(events, expected);
        prop_assert_eq!(fold.gap(), None);
        for (sequence, _) in &notes {
            prop_assert_eq!(fold.history().verdict(*sequence), in_order.history().verdict(*sequence));
        }
    }

    #[test]
    fn a_base_replaces_the_notes_before_it(notes in notes(), cut in any::<prop::sample::Index>()) {
        let (full, _) = fold_all(Fold::default(), &notes);
        let cut = cut.index(notes.len() + 1);
        let (first, _) = fold_all(Fold::default(), &notes[..cut]);
        let text = serde_json::to_vec(&**first.config()).unwrap();
        let mut fold = Fold::default();
        fold.install(Config::parse(&text).unwrap()).unwrap();
        let (fold, _) = fold_all(fold, &notes);
        prop_assert_eq!(fold.config(), full.config());
        prop_assert_eq!(fold.config().digest(), full.config().digest());
    }

    #[test]
    fn every_folded_configuration_is_valid(notes in notes()) {
        let mut fold = Fold::default();
        for (sequence, text) in notes {
            let before = Arc::clone(fold.config());
            let events = fold.insert(sequence, text);
            prop_assert!(fold.config().validate().is_ok());
            if let [FoldEvent::Refused(..)] = &events[..] {
                let unchanged = Config { sequence, ..Config::clone(&before) };
                prop_assert_eq!(&**fold.config(), &unchanged);
            }
        }
    }
}

#[test]
fn notes_behind_a_gap_are_folded_once_it_closes() {
    let mut fold = Fold::default();
    assert!(fold.insert(Sequence(2), note_text(2, &[])).is_empty());
    assert_eq!(fold.gap(), Some(Sequence(1)));
    let events = fold.insert(Sequence(1), note_text(1, &[]));
    let accepted = [1, 2].map(|number| FoldEvent::Accepted(Sequence(number)));
    assert_eq!(events, accepted);
    assert_eq!(
        fold.history().verdict(Sequence(2)),
        Some(&Verdict::Accepted)
    );
}

#[test]
fn an_older_snapshot_is_ignored() {
    let (mut fold, _) = fold_all(Fold::default(), &[(Sequence(1), note_text(1, &[]))]);
    let events = fold.install(Config::default()).unwrap();
    assert!(events.is_empty());
    assert_eq!(fold.sequence(), Sequence(1));
}

#[test]
fn pending_notes_are_limited_in_number() {
    let mut fold = Fold::default();
    for number in (2..3000).rev() {
        fold.insert(Sequence(number), note_text(number, &[]));
    }
    assert_eq!(fold.pending.len(), MAX_PENDING);
    let events = fold.insert(Sequence(1), note_text(1, &[]));
    assert_eq!(
        events.len(),
        MAX_PENDING + 1,
        "the notes with the lowest sequences are kept"
    );
}

#[test]
fn pending_notes_are_limited_in_bytes() {
    let mut fold = Fold::default();
    let large: Arc<[u8]> = vec![b' '; 3 << 20].into();
    for number in 2..10 {
        fold.insert(Sequence(number), Arc::clone(&large));
    }
    assert!(fold.pending_bytes() <= MAX_PENDING_BYTES);
    assert!(fold.pending.contains_key(&Sequence(2)));
}
