//! What a replica knows of one link and of the neighbour behind it.

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

/// Time for which a neighbour may be behind before others are preferred.
const BEHIND_LIMIT: Duration = Duration::from_secs(2);

/// State of one link.
#[derive(Clone, Debug)]
pub(super) struct Link {
    /// Address that was dialled; `None` when the neighbour opened the link.
    pub(super) address: Option<SocketAddr>,
    /// When the link came up.
    pub(super) opened: Instant,
    /// When the neighbour was last heard.
    pub(super) heard: Instant,
    /// The neighbour, after its hello.
    pub(super) peer: Option<Peer>,
    /// Highest sequence that was sent to the neighbour.
    pub(super) sent: Sequence,
    /// When notes or a snapshot were last sent.
    pub(super) pushed: Option<Instant>,
    /// When the list of VMs was last sent.
    pub(super) listed: Option<Instant>,
    /// When all drain orders were last sent.
    pub(super) ordered: Option<Instant>,
    /// When missing notes are asked for.
    pub(super) pull_due: Option<Instant>,
    /// When the next digest is sent.
    pub(super) digest_due: Instant,
    /// Whether the neighbour was asked to push notes.
    pub(super) push: bool,
    /// Newest report of each tree root that crossed the link.
    pub(super) reported: BTreeMap<VmName, u64>,
    /// Parts of a snapshot that came so far.
    pub(super) parts: Vec<SnapshotPart>,
}

/// A neighbour that has said hello.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) vm: VmName,
    pub(super) domain: DomainName,
    pub(super) incarnation: Incarnation,
    pub(super) digest: Digest,
    /// Since when the neighbour is behind the highest known sequence.
    pub(super) behind: Option<Instant>,
}

impl Link {
    /// Returns a link that just came up.
    pub(super) fn new(address: Option<SocketAddr>, now: Instant) -> Self {
        Self {
            address,
            opened: now,
            heard: now,
            peer: None,
            sent: Sequence::ZERO,
            pushed: None,
            listed: None,
            ordered: None,
            pull_due: None,
            digest_due: now,
            push: false,
            reported: BTreeMap::new(),
            parts: Vec::new(),
        }
    }

    /// Returns the versions of the neighbour.
    pub(super) fn have(&self) -> Versions {
        self.peer
            .as_ref()
            .map(|peer| peer.digest.have)
            .unwrap_or_default()
    }

    /// Returns whether the neighbour has been behind others for too long.
    pub(super) fn is_stale(&self, now: Instant) -> bool {
        let behind = self.peer.as_ref().and_then(|peer| peer.behind);
        behind.is_some_and(|since| now.saturating_duration_since(since) > BEHIND_LIMIT)
    }
}

impl Peer {
    /// Takes in newer versions of the neighbour.
    pub(super) fn set_have(&mut self, have: Versions, highest: Sequence, now: Instant) {
        self.digest.have = have;
        self.note_lag(highest, now);
    }

    /// Notes since when the neighbour is behind.
    pub(super) fn note_lag(&mut self, highest: Sequence, now: Instant) {
        if self.digest.have.sequence >= highest {
            self.behind = None;
            return;
        }
        self.behind.get_or_insert(now);
    }
}
