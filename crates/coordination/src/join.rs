//! When a fresh process starts to take work.

use std::time::{Duration, Instant};

use serde::Serialize;

use crate::sequence::Sequence;

/// Time for which the facts must hold before a node follows them without a serving peer.
const SETTLE: Duration = Duration::from_secs(1);
/// The same, while the platform has not answered.
const SETTLE_SILENT: Duration = Duration::from_secs(3);

/// Rule by which a node began to take work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JoinRule {
    /// A peer that takes work was heard, and what it knows is in force here.
    ServingPeer,
    /// All peers in reach are joining too, and the platform answered.
    AllJoining,
    /// All peers in reach are joining too, and one knew a configuration while the platform is silent.
    BestKnown,
    /// The list of VMs names no other node, and the platform answered.
    OnlyNode,
    /// The platform answered, and its answers are never older than what was in force.
    PlatformRead,
}

/// Why a node does not take work yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JoinWait {
    /// A newer sequence is known than the one in force.
    Behind,
    /// No peer answers; what the platform says may be older than what was in force.
    Alone,
    /// A peer nearer to the root of the tree is joining.
    Parent,
    /// Other nodes are being asked.
    Asking,
    /// The platform is silent and no peer knows a configuration.
    NothingKnown,
    /// The facts have not held for long enough.
    Settling,
}

/// What a joining node has learnt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JoinInputs {
    /// Sequence in force.
    pub have: Sequence,
    /// Highest sequence that any peer knows.
    pub highest: Sequence,
    /// Whether a serving peer of the same failure domain answered.
    pub near_serving: bool,
    /// Whether a serving peer of another failure domain answered.
    pub far_serving: bool,
    /// Whether any peer answered.
    pub has_peer: bool,
    /// Whether a peer nearer to the root of the tree is linked.
    pub has_parent: bool,
    /// Whether all candidates have answered or failed.
    pub asked_all: bool,
    /// Whether the platform answered since the node started.
    pub platform: bool,
    /// Whether no other node is listed.
    pub only_node: bool,
    /// Whether the platform's answers are never older than what was in force anywhere.
    pub consistent_reads: bool,
}

/// Decides when a joining node takes work.
#[derive(Clone, Debug)]
pub struct Join {
    facts: JoinInputs,
    since: Instant,
}

impl Join {
    /// Returns the state of a fresh process.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            facts: JoinInputs::default(),
            since: now,
        }
    }

    /// Decides on the facts of this moment.
    ///
    /// # Errors
    ///
    /// Returns why the node has to wait.
    pub fn decide(&mut self, facts: JoinInputs, now: Instant) -> Result<JoinRule, JoinWait> {
        if facts != self.facts {
            self.facts = facts;
            self.since = now;
        }
        if facts.have < facts.highest {
            return Err(JoinWait::Behind);
        }
        if facts.consistent_reads && facts.platform && facts.have > Sequence::ZERO {
            return Ok(JoinRule::PlatformRead);
        }
        if facts.near_serving {
            return Ok(JoinRule::ServingPeer);
        }
        if facts.far_serving {
            return self.settled(JoinRule::ServingPeer, SETTLE, now);
        }
        if facts.only_node && facts.platform {
            return Ok(JoinRule::OnlyNode);
        }
        if facts.has_parent {
            return Err(JoinWait::Parent);
        }
        if !facts.asked_all {
            return Err(JoinWait::Asking);
        }
        if !facts.has_peer {
            return Err(JoinWait::Alone);
        }
        if facts.platform {
            return self.settled(JoinRule::AllJoining, SETTLE, now);
        }
        if facts.have == Sequence::ZERO {
            return Err(JoinWait::NothingKnown);
        }
        self.settled(JoinRule::BestKnown, SETTLE_SILENT, now)
    }

    fn settled(&self, rule: JoinRule, time: Duration, now: Instant) -> Result<JoinRule, JoinWait> {
        if now.saturating_duration_since(self.since) < time {
            return Err(JoinWait::Settling);
        }
        Ok(rule)
    }
}
