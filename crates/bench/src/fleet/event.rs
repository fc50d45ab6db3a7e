//! Events of a node's time line, as its admin interface shows them.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// One event of one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Event {
    /// When it happened.
    pub(crate) at: EventTime,
    /// VM on which it happened.
    pub(crate) vm: String,
    /// Process on the VM.
    pub(crate) incarnation: u64,
    /// What happened.
    pub(crate) event: String,
    /// What it refers to.
    #[serde(flatten)]
    pub(crate) fields: Map<String, Value>,
}

/// Time stamp of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct EventTime {
    /// Milliseconds since the Unix epoch.
    pub(crate) wall_ms: u64,
    /// Counter of events within the millisecond.
    pub(crate) counter: u32,
}

/// What the bench needs to know of an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum EventKind {
    /// A note was folded, and accepted or not.
    Folded {
        /// Sequence of the note.
        note: u64,
        /// Whether it was accepted.
        accepted: bool,
    },
    /// A snapshot came into force.
    Installed {
        /// Sequence of the snapshot.
        note: u64,
    },
    /// The node entered a phase.
    Phase(String),
    /// Anything else.
    Other,
}

impl Event {
    /// Returns what happened.
    pub(crate) fn kind(&self) -> EventKind {
        let note = self.fields.get("note").and_then(Value::as_u64);
        match (&*self.event, note) {
            ("note_accepted", Some(note)) => EventKind::Folded {
                note,
                accepted: true,
            },
            ("note_refused", Some(note)) => EventKind::Folded {
                note,
                accepted: false,
            },
            ("snapshot_installed", Some(note)) => EventKind::Installed { note },
            ("phase_entered", _) => {
                let phase = self.fields.get("phase").and_then(Value::as_str);
                EventKind::Phase(phase.unwrap_or_default().into())
            }
            _ => EventKind::Other,
        }
    }

    /// Returns the sequence that the node reached with the event, if any.
    pub(crate) fn applied_sequence(&self) -> Option<u64> {
        match self.kind() {
            EventKind::Folded { note, .. } | EventKind::Installed { note } => Some(note),
            EventKind::Phase(_) | EventKind::Other => None,
        }
    }
}
