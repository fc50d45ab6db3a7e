use super::*;

fn platform() -> PlatformHandle {
    PlatformHandle::new(2000, 7)
}

#[test]
fn frozen_answers_hide_later_writes() {
    let platform = platform();
    platform.publish("a", "old");
    platform.freeze(100);
    platform.publish("a", "new");
    assert_eq!(&*platform.read("a").0.unwrap().value, "old");
    assert!(platform.since(1).unwrap().events.is_empty());
    platform.clear_faults();
    assert_eq!(&*platform.read("a").0.unwrap().value, "new");
}

#[test]
fn crossed_answers_deliver_all_events_over_several_watches() {
    let platform = platform();
    platform.set_faults(|faults| faults.crossed = true);
    for n in 0..8 {
        platform.publish(&format!("notes/{n}"), "x");
    }
    let mut after = 0;
    let mut seen = std::collections::BTreeSet::new();
    while after < 8 {
        let answer = platform.since(after).unwrap();
        seen.extend(answer.events.iter().map(|event| event.revision));
        after = answer.revision;
    }
    assert_eq!(seen.len(), 8);
}

#[test]
fn repeated_answers_include_earlier_events() {
    let platform = platform();
    platform.set_faults(|faults| faults.repeated = true);
    platform.publish("a", "x");
    platform.publish("b", "x");
    let answer = platform.since(1).unwrap();
    assert_eq!(answer.events.len(), 2);
}
