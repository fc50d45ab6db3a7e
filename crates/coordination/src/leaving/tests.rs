use super::*;
use crate::note::UpstreamStart;

fn upstream(name: &str, started: Option<u64>) -> Upstream {
    Upstream {
        name: name.into(),
        service: "s".into(),
        vm: "vm".into(),
        domain: "d".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        slots: 8,
        connections: 8,
        start: started.map(|started| UpstreamStart {
            started,
            cold_ms: 0,
        }),
    }
}

#[test]
fn a_listed_upstream_leaves_until_it_starts_again() {
    let mut leaving = LeavingUpstreams::default();
    let now = Instant::now();
    assert!(leaving.record(&upstream("u", Some(1)), now));
    assert!(!leaving.record(&upstream("u", Some(1)), now));
    let later = now + Duration::from_secs(3600);
    assert!(leaving.contains(&upstream("u", Some(1)), later));
    assert!(!leaving.contains(&upstream("u", Some(2)), now));
    assert!(!leaving.contains(&upstream("v", Some(1)), now));
    assert!(leaving.record(&upstream("u", Some(2)), now));
}

#[test]
fn an_unlisted_upstream_is_tried_again() {
    let mut leaving = LeavingUpstreams::default();
    let now = Instant::now();
    leaving.record(&upstream("u", None), now);
    assert!(leaving.contains(&upstream("u", None), now + UNLISTED_TERM / 2));
    assert!(!leaving.contains(&upstream("u", None), now + UNLISTED_TERM));
}

#[test]
fn the_oldest_of_too_many_entries_is_dropped() {
    let mut leaving = LeavingUpstreams::default();
    let now = Instant::now();
    for i in 0..=MAX_ENTRIES {
        let at = now + Duration::from_millis(i as u64);
        leaving.record(&upstream(&format!("u{i}"), Some(1)), at);
    }
    assert!(!leaving.contains(&upstream("u0", Some(1)), now));
    assert!(leaving.contains(&upstream("u1", Some(1)), now));
    assert_eq!(leaving.entries.len(), MAX_ENTRIES);
}
