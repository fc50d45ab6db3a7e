//! Timeline events of a node, as its admin interface returns them.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Timeline event of one node process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Event {
    /// Time of the event.
    pub(crate) at: EventTime,
    /// VM of the node.
    pub(crate) vm: String,
    /// Number that identifies the process on the VM.
    pub(crate) incarnation: u64,
    /// Name of the event.
    pub(crate) event: String,
    /// Further fields, which depend on the event.
    #[serde(flatten)]
    pub(crate) fields: Map<String, Value>,
}

/// Timestamp of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct EventTime {
    /// Milliseconds since the Unix epoch.
    pub(crate) wall_ms: u64,
    /// Counter that orders events within the millisecond.
    pub(crate) counter: u32,
}

/// Kinds of events that the bench distinguishes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum EventKind {
    /// A note was accepted or refused.
    Folded {
        /// Sequence of the note.
        note: u64,
        /// Whether it was accepted.
        accepted: bool,
    },
    /// A snapshot was installed.
    Installed {
        /// Sequence of the snapshot.
        note: u64,
    },
    /// The node entered a phase.
    Phase(String),
    /// Any other event.
    Other,
}

impl Event {
    /// Returns the kind of the event.
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

    /// Returns the sequence of the note or snapshot that the event reports, if any.
    pub(crate) fn applied_sequence(&self) -> Option<u64> {
        match self.kind() {
            EventKind::Folded { note, .. } | EventKind::Installed { note } => Some(note),
            EventKind::Phase(_) | EventKind::Other => None,
        }
    }
}
