//! Decides when a new process starts to accept requests.

use std::time::{Duration, Instant};

use serde::Serialize;

use crate::sequence::Sequence;

/// Time for which the inputs must stay unchanged before a node joins without a serving peer of its
/// own failure domain.
const QUIET_PERIOD: Duration = Duration::from_secs(1);
/// Quiet period while the platform has not answered.
const OFFLINE_QUIET_PERIOD: Duration = Duration::from_secs(3);

/// Rule by which a node started to accept requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JoinRule {
    /// A serving peer answered, and the highest sequence it knows is in force here.
    ServingPeer,
    /// All reachable peers are joining too, and the platform answered.
    AllJoining,
    /// All reachable peers are joining too, the platform does not answer, and a configuration is
    /// known.
    BestKnown,
    /// The list of VMs names no other node, and the platform answered.
    OnlyNode,
    /// The platform answered, and its reads are never older than what was in force.
    PlatformRead,
}

/// Reason why a node does not accept requests yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JoinWait {
    /// A newer sequence than the one in force is known.
    Behind,
    /// No peer answers, and the platform may return an older configuration than was in force.
    Alone,
    /// A peer closer to the root of the tree is joining too.
    Parent,
    /// Not all candidates have answered or failed yet.
    Asking,
    /// The platform does not answer, and no peer knows a configuration.
    NothingKnown,
    /// The inputs of the decision changed within the quiet period.
    Settling,
}

/// Inputs of the join decision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JoinInputs {
    /// Sequence in force.
    pub sequence: Sequence,
    /// Highest sequence known to any peer.
    pub highest: Sequence,
    /// Whether a serving peer of the same failure domain answered.
    pub local_serving: bool,
    /// Whether a serving peer of another failure domain answered.
    pub remote_serving: bool,
    /// Whether any peer answered.
    pub has_peer: bool,
    /// Whether a peer closer to the root of the tree is linked.
    pub has_parent: bool,
    /// Whether all candidates have answered or could not be reached.
    pub queried_all: bool,
    /// Whether the platform answered this node or a reader known to it.
    pub platform_answered: bool,
    /// Whether the list of VMs has no other node.
    pub only_node: bool,
    /// Whether reads of the platform are never older than a configuration in force on any node.
    pub consistent_reads: bool,
}

/// Decides when a joining node starts to accept requests.
#[derive(Clone, Debug)]
pub struct Join {
    inputs: JoinInputs,
    stable_since: Instant,
}

impl Join {
    /// Returns the state of a new process.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            inputs: JoinInputs::default(),
            stable_since: now,
        }
    }

    /// Returns the rule by which the node joins now.
    ///
    /// # Errors
    ///
    /// Returns the reason why the node has to wait.
    pub fn decide(&mut self, inputs: JoinInputs, now: Instant) -> Result<JoinRule, JoinWait> {
        if inputs != self.inputs {
            self.inputs = inputs;
            self.stable_since = now;
        }
        if inputs.sequence < inputs.highest {
            return Err(JoinWait::Behind);
        }
        if inputs.consistent_reads && inputs.platform_answered && inputs.sequence > Sequence::ZERO {
            return Ok(JoinRule::PlatformRead);
        }
        if inputs.local_serving {
            return Ok(JoinRule::ServingPeer);
        }
        if inputs.remote_serving {
            return self.require_stable(JoinRule::ServingPeer, QUIET_PERIOD, now);
        }
        if inputs.only_node && inputs.platform_answered {
            return Ok(JoinRule::OnlyNode);
        }
        if inputs.has_parent {
            return Err(JoinWait::Parent);
        }
        if !inputs.queried_all {
            return Err(JoinWait::Asking);
        }
        if !inputs.has_peer {
            return Err(JoinWait::Alone);
        }
        if inputs.platform_answered {
            return self.require_stable(JoinRule::AllJoining, QUIET_PERIOD, now);
        }
        if inputs.sequence == Sequence::ZERO {
            return Err(JoinWait::NothingKnown);
        }
        self.require_stable(JoinRule::BestKnown, OFFLINE_QUIET_PERIOD, now)
    }

    fn require_stable(
        &self,
        rule: JoinRule,
        period: Duration,
        now: Instant,
    ) -> Result<JoinRule, JoinWait> {
        if now.saturating_duration_since(self.stable_since) < period {
            return Err(JoinWait::Settling);
        }
        Ok(rule)
    }
}
