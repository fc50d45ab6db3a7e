//! Time line of all nodes around a broken invariant.

use crate::fleet::{Event, Fleet};

/// Time before the breach that is shown, in milliseconds.
const BEFORE_MS: u64 = 10_000;
/// Events that are shown at most; the newest go first.
const MAX_EVENTS: usize = 200;

/// Prints the events of all running nodes before a moment to standard error.
pub(crate) async fn print_timeline(fleet: &Fleet, wall_ms: u64) {
    let events = fleet.events(&fleet.running()).await;
    let mut events: Vec<Event> = events.into_iter().flatten().collect();
    events.retain(|event| event.at.wall_ms + BEFORE_MS >= wall_ms);
    events.sort_by_key(|event| event.at);
    let skipped = events.len().saturating_sub(MAX_EVENTS);
    eprintln!(
        "time line of the last {} s, {skipped} events left out:",
        BEFORE_MS / 1000
    );
    for event in events.iter().skip(skipped) {
        let fields = serde_json::Value::Object(event.fields.clone());
        let before = i128::from(event.at.wall_ms) - i128::from(wall_ms);
        eprintln!("{before:>8} ms {:<14} {} {fields}", event.vm, event.event);
    }
}
