//! Decisions of a shard owner.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{
    name::{OrganisationName, VmName},
    quota::{
        QUOTA_SHARDS, QuotaBounds, QuotaReply, QuotaRequest, QuotaTable, ShardOwners, ShardRole,
        account::{Account, Terms},
        message::MAX_DEMANDS,
        quota_shard,
    },
};

/// Interval between removals of accounts that nobody uses.
const PRUNE_INTERVAL: Duration = Duration::from_secs(10);

/// Token buckets of the organisations whose shards this node owns.
#[derive(Debug)]
pub struct QuotaLedger {
    bounds: QuotaBounds,
    table: QuotaTable,
    shards: [Shard; QUOTA_SHARDS],
    nodes: usize,
    heard_platform: Instant,
    pruned: Instant,
}

#[derive(Debug, Default)]
struct Shard {
    role: ShardRole,
    owned_since: Option<Instant>,
    accounts: HashMap<OrganisationName, Account>,
}

impl QuotaLedger {
    /// Returns a ledger that owns no shard.
    #[must_use]
    pub fn new(bounds: QuotaBounds, now: Instant) -> Self {
        Self {
            bounds,
            table: QuotaTable::default(),
            shards: Default::default(),
            nodes: 0,
            heard_platform: now,
            pruned: now,
        }
    }

    /// Replaces the quotas by those of a newer configuration.
    pub fn set_table(&mut self, table: QuotaTable) {
        for shard in &mut self.shards {
            shard.accounts.retain(|name, _| table.get(name).is_some());
        }
        self.table = table;
    }

    /// Follows a change of the list of VMs. A new owner of a shard begins with empty buckets.
    pub fn set_owners(&mut self, owners: &ShardOwners, vm: &VmName, now: Instant) {
        self.nodes = owners.node_count();
        for (shard, role) in self.shards.iter_mut().zip(owners.roles(vm)) {
            if !role.is_owner {
                *shard = Shard::default();
            } else if shard.owned_since.is_none() {
                shard.owned_since = Some(now);
            }
            shard.role = role;
        }
    }

    /// Returns the shards that this node owns.
    #[must_use]
    pub fn owned_shards(&self) -> Vec<usize> {
        let shards = self.shards.iter().enumerate();
        let owned = shards.filter(|(_, shard)| shard.role.is_owner);
        owned.map(|(index, _)| index).collect()
    }

    /// Records that the platform answered this node or a neighbour at `at`. While it is silent, offline
    /// rates of silent nodes stay reserved.
    pub fn record_platform(&mut self, at: Instant) {
        self.heard_platform = self.heard_platform.max(at);
    }

    /// Returns the grants for a request; `None` if this node does not own the shard.
    pub fn handle(&mut self, request: &QuotaRequest, now: Instant) -> Option<QuotaReply> {
        self.prune(now);
        let platform_silence = now.saturating_duration_since(self.heard_platform);
        let index = usize::from(request.shard);
        let shard = self.shards.get_mut(index)?;
        let since = shard.owned_since?;
        let mut grants = Vec::new();
        for demand in request.demands.iter().take(MAX_DEMANDS) {
            let name = &demand.organisation;
            let Some(limit) = self.table.get(name) else {
                continue;
            };
            let is_sound = [
                demand.held,
                demand.wanted,
                demand.per_second,
                demand.offline,
            ]
            .iter()
            .all(|value| value.is_finite());
            if quota_shard(name) != index || !is_sound {
                continue;
            }
            let terms = Terms {
                limit,
                bounds: self.bounds,
                role: shard.role,
                nodes: self.nodes,
                platform_silence,
            };
            let account = shard.accounts.entry(name.clone());
            let account = account.or_insert_with(|| Account::new(since));
            grants.extend(account.grant(&request.vm, request.number, demand, &terms, now));
        }
        Some(QuotaReply {
            number: request.number,
            sequence: self.table.sequence,
            grants,
        })
    }

    fn prune(&mut self, now: Instant) {
        if now.saturating_duration_since(self.pruned) < PRUNE_INTERVAL {
            return;
        }
        self.pruned = now;
        let platform_silence = now.saturating_duration_since(self.heard_platform);
        for shard in &mut self.shards {
            shard.accounts.retain(|name, account| {
                self.table.get(name).is_some_and(|limit| {
                    let terms = Terms {
                        limit,
                        bounds: self.bounds,
                        role: shard.role,
                        nodes: self.nodes,
                        platform_silence,
                    };
                    !account.is_unused(&terms, now)
                })
            });
        }
    }
}
