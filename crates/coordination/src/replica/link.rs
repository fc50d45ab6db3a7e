//! State of one link and of the neighbour at its other end.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{
    message::{Digest, SnapshotPart, Versions},
    name::{DomainName, VmName},
    sequence::Sequence,
    vm::Incarnation,
};

/// Time for which a neighbour may be behind before other neighbours are preferred.
const MAX_LAG: Duration = Duration::from_secs(2);

/// State of one link.
#[derive(Clone, Debug)]
pub(super) struct Link {
    /// Dialled address; `None` if the neighbour opened the link.
    pub(super) address: Option<SocketAddr>,
    /// When the link came up.
    pub(super) opened: Instant,
    /// When the last message of the neighbour arrived.
    pub(super) last_received: Instant,
    /// The neighbour; `None` until its hello arrives.
    pub(super) peer: Option<Peer>,
    /// Highest sequence that the neighbour has or was sent.
    pub(super) sent: Sequence,
    /// When notes or a snapshot were last sent.
    pub(super) last_push: Option<Instant>,
    /// When the list of VMs was last sent, and its number.
    pub(super) vms_sent: Option<(Instant, u64)>,
    /// When all drain orders were last sent, and their hash.
    pub(super) drains_sent: Option<(Instant, u64)>,
    /// When the next pull of missing notes is due.
    pub(super) pull_due: Option<Instant>,
    /// When the next digest is due.
    pub(super) digest_due: Instant,
    /// Time of the newest answer of the platform that the neighbour reported.
    pub(super) contact_known: Option<Instant>,
    /// Time of the newest answer of the platform that was reported to the neighbour.
    pub(super) contact_sent: Option<Instant>,
    /// Whether this node asks the neighbour to push notes.
    pub(super) push_requested: bool,
    /// Stamp of the newest report of each tree root that was sent or received on the link.
    pub(super) report_stamps: BTreeMap<VmName, u64>,
    /// Parts of an incomplete snapshot.
    pub(super) parts: Vec<SnapshotPart>,
}

/// Neighbour whose hello has arrived.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) vm: VmName,
    pub(super) domain: DomainName,
    pub(super) incarnation: Incarnation,
    pub(super) digest: Digest,
    /// Time since which the neighbour has been behind the highest known sequence.
    pub(super) behind_since: Option<Instant>,
}

impl Link {
    /// Returns the state of a link that just came up.
    pub(super) fn new(address: Option<SocketAddr>, now: Instant) -> Self {
        Self {
            address,
            opened: now,
            last_received: now,
            peer: None,
            sent: Sequence::ZERO,
            last_push: None,
            vms_sent: None,
            drains_sent: None,
            pull_due: None,
            digest_due: now,
            contact_known: None,
            contact_sent: None,
            push_requested: false,
            report_stamps: BTreeMap::new(),
            parts: Vec::new(),
        }
    }

    /// Returns the versions of the neighbour, or zeros before its hello.
    pub(super) fn versions(&self) -> Versions {
        self.peer
            .as_ref()
            .map(|peer| peer.digest.have)
            .unwrap_or_default()
    }

    /// Returns whether the neighbour has been behind for longer than `MAX_LAG`.
    pub(super) fn is_lagging(&self, now: Instant) -> bool {
        let since = self.peer.as_ref().and_then(|peer| peer.behind_since);
        since.is_some_and(|since| now.saturating_duration_since(since) > MAX_LAG)
    }
}

impl Peer {
    /// Updates the versions of the neighbour.
    pub(super) fn set_versions(&mut self, versions: Versions, highest: Sequence, now: Instant) {
        self.digest.have = versions;
        self.update_lag(highest, now);
    }

    /// Updates the time since which the neighbour has been behind.
    pub(super) fn update_lag(&mut self, highest: Sequence, now: Instant) {
        if self.digest.have.sequence >= highest {
            self.behind_since = None;
            return;
        }
        self.behind_since.get_or_insert(now);
    }
}
