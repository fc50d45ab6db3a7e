use proptest::prelude::*;

use super::*;

const BOUNDS: CallerRoomBounds = CallerRoomBounds {
    connections: 4,
    stalled: 2,
};
const REUSE: Duration = Duration::from_secs(60);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A crowd of silent connections must not keep out callers that send requests.
#[test]
fn unused_connections_give_up_their_places_first() {
    let now = Instant::now();
    let mut room = CallerRoom::new(BOUNDS);
    let ids: Vec<_> = (0..4).map(|i| room.open(now + millis(i))).collect();
    room.record(ids[0], CallerActivity::Active);
    room.record(
        ids[1],
        CallerActivity::Idle {
            reusable_until: now,
        },
    );
    assert!(!room.has_place());
    assert_eq!(room.evict(now + millis(900)), None);
    let late = now + millis(5_000);
    for id in [ids[2], ids[3], ids[1]] {
        assert_eq!(room.evict(late), Some(id));
        assert_eq!(room.evict(late), None, "a place becomes free already");
        room.remove(id);
    }
    assert_eq!(room.evict(late), None);
    assert_eq!(room.len(), 1);
}

/// A request that the caller sent within its reuse time may be on its way when the connection is closed.
#[test]
fn a_connection_keeps_its_place_for_its_reuse_time() {
    let now = Instant::now();
    let mut room = CallerRoom::new(BOUNDS);
    let id = room.open(now);
    let reusable_until = now + REUSE;
    room.record(id, CallerActivity::Idle { reusable_until });
    assert_eq!(room.evict(now + REUSE + millis(900)), None);
    assert_eq!(room.evict(now + REUSE + millis(1_100)), Some(id));
}

/// Memory must not grow with the number of callers that leave answers unread.
#[test]
fn the_longest_stalled_connection_goes_beyond_the_bound() {
    let now = Instant::now();
    let mut room = CallerRoom::new(BOUNDS);
    let ids: Vec<_> = (0..3).map(|_| room.open(now)).collect();
    for (id, at) in ids.iter().zip([2, 1, 3]) {
        assert_eq!(room.evict_excess(), None);
        let since = now + millis(at);
        room.record(*id, CallerActivity::Stalled { since });
    }
    assert_eq!(room.evict_excess(), Some(ids[1]));
    assert_eq!(room.evict_excess(), None);
}

/// Callers that send more than is read beside their calls must not fill the memory either.
#[test]
fn a_held_connection_goes_after_those_that_wait_for_their_caller() {
    let now = Instant::now();
    let mut room = CallerRoom::new(BOUNDS);
    let ids: Vec<_> = (0..4).map(|_| room.open(now)).collect();
    for id in &ids[..3] {
        room.record(*id, CallerActivity::Held { since: now });
    }
    assert_eq!(room.evict_excess(), Some(ids[0]));
    assert_eq!(room.evict_excess(), None);
    let since = now + millis(5);
    room.record(ids[3], CallerActivity::Stalled { since });
    assert_eq!(room.evict_excess(), Some(ids[3]));
}

/// A caller that pauses must not lose its answer while nobody else needs the memory.
#[test]
fn a_stalled_connection_goes_only_in_favour_of_another() {
    let now = Instant::now();
    let mut room = CallerRoom::new(BOUNDS);
    let ids: Vec<_> = (0..2).map(|_| room.open(now)).collect();
    room.record(ids[0], CallerActivity::Stalled { since: now });
    let late = now + millis(5_000);
    assert_eq!(room.evict_stalled(Some(ids[0]), late), None);
    assert_eq!(room.evict_stalled(Some(ids[1]), now + millis(900)), None);
    assert_eq!(room.evict_stalled(Some(ids[1]), late), Some(ids[0]));
}

#[test]
fn the_reuse_time_falls_as_places_fill_up() {
    let now = Instant::now();
    let mut room = CallerRoom::new(BOUNDS);
    let mut times = vec![room.reuse_time(REUSE)];
    for _ in 0..4 {
        room.open(now);
        times.push(room.reuse_time(REUSE));
    }
    assert_eq!(times, [REUSE, REUSE, REUSE, REUSE / 2, Duration::ZERO]);
}

fn activity(kind: u8, at: Instant) -> CallerActivity {
    match kind {
        0 => CallerActivity::Unused { since: at },
        1 => CallerActivity::Idle { reusable_until: at },
        2 => CallerActivity::Active,
        3 => CallerActivity::Held { since: at },
        4 => CallerActivity::Closing,
        _ => CallerActivity::Stalled { since: at },
    }
}

proptest! {
    /// Whatever the callers do, an active connection keeps its place and the counts stay true.
    #[test]
    fn active_connections_are_never_evicted(
        steps in proptest::collection::vec((0usize..12, 0u8..8, 0u64..2_000), 0..200),
    ) {
        let start = Instant::now();
        let mut room = CallerRoom::new(BOUNDS);
        let ids: Vec<_> = (0..12).map(|_| room.open(start)).collect();
        let mut activities: BTreeMap<_, _> =
            ids.iter().map(|id| (*id, activity(0, start))).collect();
        let mut now = start;
        for (index, kind, pause) in steps {
            now += millis(pause);
            let evicted = match kind {
                0..6 => {
                    room.record(ids[index], activity(kind, now));
                    activities.insert(ids[index], activity(kind, now));
                    room.evict_excess()
                }
                6 => room.evict(now),
                _ => room.evict_stalled(Some(ids[index]), now),
            };
            if let Some(id) = evicted {
                prop_assert!(!room.is_empty());
                room.remove(id);
                prop_assert_ne!(activities.remove(&id), Some(CallerActivity::Active));
            }
            prop_assert_eq!(room.len(), activities.len());
            let stalled = activities.values().filter(|it| has_data(it)).count();
            prop_assert_eq!(room.stalled(), stalled);
            prop_assert!(stalled <= BOUNDS.stalled);
        }
    }
}
