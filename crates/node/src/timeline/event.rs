//! Events of the time line.

use std::sync::Arc;

use serde::Serialize;
use wagtaillever_coordination::{DrainOrder, Incarnation, Sequence, VmName};

use crate::{timeline::Timestamp, view::Phase};

/// One event of one process.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Event {
    /// When it happened.
    pub(crate) at: Timestamp,
    /// VM on which it happened.
    pub(crate) vm: VmName,
    /// Process on the VM.
    pub(crate) incarnation: Incarnation,
    /// What happened.
    #[serde(flatten)]
    pub(crate) kind: EventKind,
}

/// What happened.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum EventKind {
    /// The node entered a phase.
    PhaseEntered {
        /// The phase.
        phase: Phase,
    },
    /// A release note came into force.
    NoteAccepted {
        /// Sequence of the note.
        note: Sequence,
    },
    /// A release note was refused and changed nothing.
    NoteRefused {
        /// Sequence of the note.
        note: Sequence,
        /// Rule that the note breaks.
        reason: Arc<str>,
    },
    /// A snapshot replaced the configuration.
    SnapshotInstalled {
        /// Sequence of the snapshot.
        note: Sequence,
    },
    /// A drain order came into force.
    OrderApplied {
        /// The order.
        order: DrainOrder,
    },
    /// The process was paused.
    Stalled {
        /// Length of the pause in milliseconds.
        paused_ms: u64,
    },
}
