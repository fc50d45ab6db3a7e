//! Events of the time line.

use std::sync::Arc;

use serde::Serialize;
use wagtaillever_coordination::{
    DrainOrder, Incarnation, JoinRule, Sequence, ServiceName, UpstreamName, VmName,
};

use crate::{
    timeline::Timestamp,
    view::Phase,
    wire::{Outcome, RefusalReason},
};

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
    /// An upstream gets a trickle, since it started.
    UpstreamCold {
        /// Name of the upstream.
        upstream: UpstreamName,
    },
    /// An upstream bears its slots again.
    UpstreamWarm {
        /// Name of the upstream.
        upstream: UpstreamName,
    },
    /// An upstream crashed with requests in flight.
    UpstreamCrashed {
        /// Name of the upstream.
        upstream: UpstreamName,
        /// Number of requests that may be the cause.
        suspects: usize,
    },
    /// An earlier owner of idempotency keys decides on them no more.
    KeysHandedOver {
        /// VM of the earlier owner.
        from: VmName,
        /// Note that moved the keys.
        note: Sequence,
    },
    /// The process was paused.
    Stalled {
        /// Length of the pause in milliseconds.
        paused_ms: u64,
    },
    /// A neighbour said hello.
    LinkUp {
        /// VM of the neighbour.
        peer: VmName,
    },
    /// The last link to a neighbour ended.
    LinkDown {
        /// VM of the neighbour.
        peer: VmName,
    },
    /// The node began to read the platform for others.
    RelayStarted,
    /// The node left the reading of the platform to others.
    RelayStopped,
    /// No reader in reach hears the platform any more.
    PlatformLost,
    /// A reader in reach hears the platform.
    PlatformFound,
    /// The node learnt what is in force and takes work.
    Joined {
        /// Rule that allowed it.
        rule: JoinRule,
    },
    /// A snapshot of a neighbour or of the platform was not usable.
    SnapshotRefused {
        /// Where it came from.
        peer: VmName,
        /// Rule that it breaks.
        reason: Arc<str>,
    },
    /// A call got no answer of an upstream; only a sample is recorded.
    CallRefused {
        /// Identity of the call.
        call: Arc<str>,
        /// Service of the call.
        service: ServiceName,
        /// Whether the request ran.
        outcome: Outcome,
        /// Cause.
        reason: RefusalReason,
    },
    /// An upstream gets no calls of this node for a while.
    UpstreamEjected {
        /// The upstream.
        upstream: UpstreamName,
        /// Length of the ejection in milliseconds.
        span_ms: u64,
    },
    /// A call probes an ejected upstream.
    UpstreamProbed {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// An ejected upstream gets calls of this node again.
    UpstreamReturned {
        /// The upstream.
        upstream: UpstreamName,
    },
}
