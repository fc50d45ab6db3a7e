//! Quotas of organisations across all nodes.
//!
//! Organisations are hashed to a fixed number of shards, each of which has one shard owner among the
//! listed VMs. The shard owner holds the token bucket of an organisation ([`QuotaLedger`]); a node
//! that serves callers asks it for tokens ahead of need ([`QuotaClient`]). All tokens of an
//! organisation together, in the bucket and at nodes, never exceed [`QuotaBounds::depth`].

mod account;
mod bounds;
mod client;
mod ledger;
mod message;
mod meter;
mod shard;
mod table;
#[cfg(test)]
mod tests;
mod tokens;

pub use self::{
    bounds::QuotaBounds,
    client::{QuotaAnswer, QuotaClient, QuotaStatus},
    ledger::QuotaLedger,
    message::{QuotaDemand, QuotaGrant, QuotaReply, QuotaRequest},
    shard::{QUOTA_SHARDS, ShardOwners, ShardRole, quota_shard},
    table::QuotaTable,
};

use std::time::Duration;

/// Time for which a grant can be spent, counted from its request.
pub(crate) const GRANT_TIME: Duration = Duration::from_secs(2);
/// Time in seconds of recent demand that a node asks tokens for.
pub(crate) const HORIZON_S: f64 = 1.0;
/// Time for which an offline rate is valid, counted from its request.
pub(crate) const OFFLINE_TIME: Duration = Duration::from_secs(12);
/// Silence of a node after which the shard owner deducts its offline rate from the refill.
pub(crate) const SILENCE_LIMIT: Duration = Duration::from_secs(1);
/// Time without a reply after which a node spends its offline rate. It exceeds [`SILENCE_LIMIT`] by
/// the time between two sweeps of the shard owner, so that the deduction begins first.
pub(crate) const OFFLINE_DELAY: Duration = Duration::from_millis(1_300);
