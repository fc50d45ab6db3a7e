//! Timeline of all nodes before an invariant violation.

use crate::fleet::{Event, Fleet};

/// Time before the violation that the timeline covers.
const TIMELINE_SPAN_MS: u64 = 10_000;
/// Maximum number of printed events; the oldest are left out.
const MAX_EVENTS: usize = 200;

/// Prints the events of all running nodes up to a wall time to standard error.
pub(crate) async fn print_timeline(fleet: &Fleet, wall_ms: u64) {
    let events = fleet.events(&fleet.running()).await;
    let mut events: Vec<Event> = events.into_iter().flatten().collect();
    events.retain(|event| event.at.wall_ms + TIMELINE_SPAN_MS >= wall_ms);
    events.sort_by_key(|event| event.at);
    let skipped = events.len().saturating_sub(MAX_EVENTS);
    eprintln!(
        "timeline of the last {} s, {skipped} older events omitted:",
        TIMELINE_SPAN_MS / 1000
    );
    for event in events.iter().skip(skipped) {
        let fields = serde_json::Value::Object(event.fields.clone());
        let offset_ms = i128::from(event.at.wall_ms) - i128::from(wall_ms);
        eprintln!(
            "{offset_ms:>8} ms {:<14} {} {fields}",
            event.vm, event.event
        );
    }
}
