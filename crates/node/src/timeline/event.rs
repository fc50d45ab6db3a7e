//! Events of the timeline.

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

/// Event of one process.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Event {
    /// Time of the event.
    pub(crate) at: Timestamp,
    /// VM of the process.
    pub(crate) vm: VmName,
    /// Incarnation of the process on the VM.
    pub(crate) incarnation: Incarnation,
    /// Kind and details of the event.
    #[serde(flatten)]
    pub(crate) kind: EventKind,
}

/// Kind and details of an event.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum EventKind {
    /// The node entered a phase.
    PhaseEntered {
        /// The phase.
        phase: Phase,
    },
    /// A release note took effect.
    NoteAccepted {
        /// Sequence of the note.
        note: Sequence,
    },
    /// A release note was refused and changed nothing.
    NoteRefused {
        /// Sequence of the note.
        note: Sequence,
        /// Rule that the note violates.
        reason: Arc<str>,
    },
    /// A snapshot replaced the configuration.
    SnapshotInstalled {
        /// Sequence of the snapshot.
        note: Sequence,
    },
    /// A drain order took effect.
    OrderApplied {
        /// The order.
        order: DrainOrder,
    },
    /// An upstream gets a limited number of requests because it just started.
    UpstreamCold {
        /// Name of the upstream.
        upstream: UpstreamName,
    },
    /// An upstream has completed its warm-up and can handle requests in all its slots.
    UpstreamWarm {
        /// Name of the upstream.
        upstream: UpstreamName,
    },
    /// An upstream crashed with requests in flight.
    UpstreamCrashed {
        /// Name of the upstream.
        upstream: UpstreamName,
        /// Number of requests suspected as the cause.
        suspects: usize,
    },
    /// The previous owner of idempotency keys no longer decides on them.
    KeysHandedOver {
        /// VM of the previous owner.
        from: VmName,
        /// Note that moved the keys.
        note: Sequence,
    },
    /// The process was paused.
    Stalled {
        /// Duration of the pause in milliseconds.
        paused_ms: u64,
    },
    /// A link to a neighbour was established.
    LinkUp {
        /// VM of the neighbour.
        peer: VmName,
    },
    /// The last link to a neighbour was closed.
    LinkDown {
        /// VM of the neighbour.
        peer: VmName,
    },
    /// The node started to read the platform on behalf of others.
    RelayStarted,
    /// The node stopped reading the platform on behalf of others.
    RelayStopped,
    /// The platform no longer answers any reachable reader.
    PlatformLost,
    /// The platform answers a reachable reader again.
    PlatformFound,
    /// The node obtained the configuration in force and accepts requests.
    Joined {
        /// Rule by which it joined.
        rule: JoinRule,
    },
    /// A snapshot from a neighbour or the platform was refused.
    SnapshotRefused {
        /// VM that sent the snapshot, or `platform`.
        peer: VmName,
        /// Rule that the snapshot violates.
        reason: Arc<str>,
    },
    /// A call got no answer from an upstream; only a sample of such calls is recorded.
    CallRefused {
        /// Identifier of the call.
        call: Arc<str>,
        /// Service of the call.
        service: ServiceName,
        /// Whether the request ran.
        outcome: Outcome,
        /// Reason for the refusal.
        reason: RefusalReason,
    },
    /// This node stopped sending calls to an upstream for a limited time.
    UpstreamEjected {
        /// The upstream.
        upstream: UpstreamName,
        /// Duration of the ejection in milliseconds.
        span_ms: u64,
    },
    /// A call was sent to an ejected upstream as a probe.
    UpstreamProbed {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// This node sends calls to an ejected upstream again.
    UpstreamReturned {
        /// The upstream.
        upstream: UpstreamName,
    },
}
