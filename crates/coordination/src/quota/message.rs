//! Messages between a node that serves callers and a shard owner.

use serde::{Deserialize, Serialize};

use crate::{
    name::{OrganisationName, VmName},
    sequence::Sequence,
};

/// Maximum number of organisations in a message.
pub(crate) const MAX_DEMANDS: usize = 64;

/// Request for grants of the organisations of one shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// VM of the requesting node.
    pub vm: VmName,
    /// Number of the request, which increases with each request of the node, also over restarts.
    pub number: u64,
    /// Shard of the organisations.
    pub shard: u8,
    /// Sequence of the configuration that the node uses.
    pub sequence: Sequence,
    /// Demands, at most 64.
    pub demands: Vec<QuotaDemand>,
}

/// What a node holds and needs of the tokens of an organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaDemand {
    /// Name of the organisation.
    pub organisation: OrganisationName,
    /// Number of the last request whose grant the node applied; 0 if there is none.
    pub confirmed: u64,
    /// Unspent tokens of the node. The grant replaces them.
    pub held: f64,
    /// Tokens that the node wants to hold. If it is 0 the node keeps none of the granted
    /// ones, even if this message is lost.
    pub wanted: f64,
    /// Recent requests per second; 0 if the node gives its share back and keeps nothing of it, even if
    /// this message is lost.
    pub per_second: f64,
    /// Offline rate that the node holds.
    pub offline: f64,
    /// Time in milliseconds for which the offline rate is still valid.
    pub offline_ms: u32,
    /// Whether the node currently spends its offline rate.
    pub is_offline: bool,
}

impl QuotaDemand {
    pub(super) fn is_release(&self) -> bool {
        self.per_second <= 0.0 && self.wanted <= 0.0
    }
}

/// Grants for a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// Number of the request.
    pub number: u64,
    /// Sequence of the configuration that the shard owner uses.
    pub sequence: Sequence,
    /// Grants, one for each demand of an organisation that has a quota.
    pub grants: Vec<QuotaGrant>,
}

/// Tokens of an organisation for a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Name of the organisation.
    pub organisation: OrganisationName,
    /// Tokens that the node holds from the time of its request on, instead of those that it stated.
    pub tokens: f64,
    /// Tokens per second that the node may spend without contact.
    pub offline: f64,
    /// Whether the bucket held fewer tokens than the node wanted.
    pub is_short: bool,
    /// Whether the demand of all nodes exceeds the rate, so that further requests soon bring few tokens.
    pub is_above_rate: bool,
}
