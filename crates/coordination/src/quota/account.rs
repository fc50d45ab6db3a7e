//! Token bucket of one organisation at the shard owner.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{
    name::VmName,
    organisation::QuotaRate,
    quota::{
        GRANT_TIME, HORIZON_S, OFFLINE_TIME, QuotaBounds, QuotaDemand, QuotaGrant, SILENCE_LIMIT,
        ShardRole,
    },
};

/// Interval between recalculations over all nodes. A request updates the sums for its own node only.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Time of the refill that nodes may hold together at a demand above the rate, in addition to the
/// tokens left.
const FAIR_TIME_S: f64 = 0.25;
/// Share of the depth that stays in the bucket for other nodes before a node gets more than
/// [`MIN_HORIZON_S`] covers.
const AMPLE_SHARE: f64 = 0.4;
/// Time in seconds of recent demand that the tokens of a node cover if the bucket has few. Longer, and
/// tokens stay at nodes whose demand has moved.
const MIN_HORIZON_S: f64 = 0.3;
/// Maximum number of nodes that an account knows, twice the planned size of the fleet.
const MAX_LEASES: usize = 4_096;
/// Silence of the platform after which the list of VMs may be out of date: the platform is otherwise
/// recorded about once a second.
const PLATFORM_SILENCE: Duration = Duration::from_secs(3);
/// Silent part of the rate from which on a shard owner without a platform answer takes itself for
/// cut off from the rest of the fleet. One crashed node of a large fleet has less.
const CUT_OFF_SHARE: f64 = 0.1;
/// Factor by which the use of unlisted VMs may exceed that of others.
const MAX_USE_FACTOR: f64 = 3.0;
/// Silent nodes from which on it does so.
const CUT_OFF_NODES: usize = 2;

/// Token bucket of one organisation, with what each node holds of it.
///
/// The tokens in the bucket and those that nodes hold never exceed the depth, so no more than the depth
/// and the refill are spent in any time.
#[derive(Debug)]
pub(super) struct Account {
    tokens: f64,
    refilled: Instant,
    swept: Instant,
    /// Offline rates that nodes stated to this process when it had become the owner.
    taken_over: f64,
    sums: Sums,
    leases: HashMap<VmName, Lease>,
}

/// Sums over the leases of all nodes.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    held: f64,
    offline: f64,
    /// Offline rates of silent nodes.
    silent: f64,
    per_second: f64,
    silent_nodes: usize,
}

/// What one node holds.
#[derive(Clone, Copy, Debug)]
struct Lease {
    number: u64,
    held: f64,
    held_until: Instant,
    /// Tokens of the last grant that the node has if and only if it received that grant.
    unconfirmed: f64,
    offline: f64,
    offline_until: Instant,
    /// Time from which the node may spend its offline rate.
    silent_from: Instant,
    per_second: f64,
}

/// What an account is computed from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Terms {
    pub(super) limit: QuotaRate,
    pub(super) bounds: QuotaBounds,
    pub(super) role: ShardRole,
    /// Number of listed VMs.
    pub(super) nodes: usize,
    /// Time since the platform answered this node or a neighbour.
    pub(super) platform_silence: Duration,
}

impl Terms {
    fn room(&self, reserved: f64) -> f64 {
        let rate = self.limit.per_second;
        let share = if rate > 0.0 {
            1.0 - reserved / rate
        } else {
            1.0
        };
        self.bounds.depth(self.limit) * share
    }
}

impl Account {
    /// Returns the account of an organisation without requests since `since`, when the bucket was
    /// empty.
    pub(super) fn new(since: Instant) -> Self {
        Self {
            tokens: 0.0,
            refilled: since,
            swept: since,
            taken_over: 0.0,
            sums: Sums::default(),
            leases: HashMap::new(),
        }
    }

    /// Returns whether the account is the same as a new one.
    pub(super) fn is_unused(&mut self, terms: &Terms, now: Instant) -> bool {
        self.refill(terms, now);
        self.leases.is_empty() && self.tokens >= terms.bounds.depth(terms.limit)
    }

    /// Decides on the demand of a node. Returns `None` if the request is older than one already seen, or
    /// if the account knows too many nodes.
    pub(super) fn grant(
        &mut self,
        vm: &VmName,
        number: u64,
        demand: &QuotaDemand,
        terms: &Terms,
        now: Instant,
    ) -> Option<QuotaGrant> {
        self.refill(terms, now);
        let previous = self.leases.get(vm).copied();
        if previous.is_some_and(|lease| lease.number >= number) {
            return None;
        }
        if previous.is_none() && self.leases.len() >= MAX_LEASES {
            return None;
        }
        let mut silent_from = now + SILENCE_LIMIT;
        if let Some(lease) = previous {
            self.sums.remove(&lease, now);
            if lease.number != demand.confirmed {
                // The node ignores replies to earlier requests, so it never gets these tokens.
                if lease.held_until > now {
                    self.tokens += lease.unconfirmed;
                }
                silent_from = silent_from.min(lease.silent_from);
            }
        } else {
            self.taken_over += demand.offline.max(0.0);
        }
        if demand.is_offline {
            silent_from = now;
        }
        let room = terms.room(self.reserved(terms)) - self.sums.held.max(0.0);
        let room = room.max(0.0);
        let pool = (self.tokens + demand.held).min(room);
        // A node whose callers have just come has waiting ones, but no rate yet.
        let weight = demand.per_second.max(demand.wanted);
        let fair = self.fair_part(weight, pool, terms);
        let ample = pool - terms.bounds.depth(terms.limit) * AMPLE_SHARE;
        let needed = demand.wanted - demand.per_second * (HORIZON_S - MIN_HORIZON_S);
        let needed = needed.max(demand.wanted.min(1.0));
        let wanted = demand.wanted.min(needed.max(ample)).min(fair);
        // A part of a token is of no use at a node.
        let tokens = wanted.max(0.0).min(pool);
        let tokens = if tokens > 0.0 { tokens.floor() } else { tokens };
        self.tokens = pool - tokens;
        let offline = self.offline_rate(demand.per_second, terms);
        let is_above_rate = self.sums.per_second + demand.per_second > terms.limit.per_second;
        let keeps_none = demand.wanted <= 0.0;
        let lease = Lease {
            number,
            held: if keeps_none {
                0.0
            } else {
                tokens.max(demand.held)
            },
            held_until: now + GRANT_TIME,
            unconfirmed: if keeps_none {
                0.0
            } else {
                tokens - demand.held
            },
            offline: offline.max(demand.offline),
            offline_until: now + OFFLINE_TIME,
            silent_from,
            per_second: demand.per_second,
        };
        if demand.is_release() {
            self.leases.remove(vm);
        } else {
            self.sums.add(&lease, now);
            self.leases.insert(vm.clone(), lease);
        }
        Some(QuotaGrant {
            organisation: demand.organisation.clone(),
            tokens,
            offline,
            is_short: tokens < needed.floor(),
            is_above_rate,
        })
    }

    /// Returns the tokens that a node may hold. At a demand above the rate they are in proportion to its
    /// part of the demand, so that the tokens that nodes hold don't fill the bucket up.
    fn fair_part(&self, weight: f64, pool: f64, terms: &Terms) -> f64 {
        let rate = terms.limit.per_second;
        let all = self.sums.per_second + weight;
        if all <= rate {
            return f64::INFINITY;
        }
        let part = (rate * FAIR_TIME_S + pool.max(0.0)) * weight / all;
        part.max(1.0)
    }

    /// Returns the offline rate of a node in proportion to its recent use, as far as the other nodes
    /// leave it.
    fn offline_rate(&self, per_second: f64, terms: &Terms) -> f64 {
        let rate = terms.limit.per_second;
        let all = self.sums.per_second + per_second;
        if all <= 0.0 {
            return 0.0;
        }
        let left = (rate - self.sums.offline).max(0.0);
        (rate * per_second / all).min(left)
    }

    fn refill(&mut self, terms: &Terms, now: Instant) {
        if now.saturating_duration_since(self.swept) >= SWEEP_INTERVAL {
            self.sweep(terms, now);
        }
        let passed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        let reserved = self.reserved(terms);
        self.tokens += passed * (terms.limit.per_second - reserved).max(0.0);
        let room = terms.room(reserved) - self.sums.held.max(0.0);
        self.tokens = self.tokens.min(room.max(0.0));
    }

    /// Returns the part of the rate that is spent elsewhere.
    fn reserved(&self, terms: &Terms) -> f64 {
        let rate = terms.limit.per_second;
        let reserved = self.sums.silent + self.unknown_rate(terms);
        if terms.platform_silence < OFFLINE_TIME || !self.is_cut_off(terms) {
            return reserved.clamp(0.0, rate);
        }
        // Nodes that the platform answers have another shard owner by now.
        #[allow(clippy::cast_precision_loss)]
        let reachable = (self.leases.len() - self.sums.silent_nodes) as f64;
        let isolated = terms.bounds.isolated_rate(terms.limit, terms.nodes) * reachable;
        (rate - isolated).clamp(0.0, rate)
    }

    /// Returns whether this owner is probably on the smaller side of a partition, if the
    /// platform does not answer.
    fn is_cut_off(&self, terms: &Terms) -> bool {
        let silent = self.sums.silent > terms.limit.per_second * CUT_OFF_SHARE;
        silent || self.sums.silent_nodes >= CUT_OFF_NODES
    }

    /// Returns the tokens per second that an earlier owner may still grant to nodes that are cut off
    /// together with it: what the offline rates stated to this owner leave of the rate. A few lost VMs
    /// have probably crashed, so little is reserved for them.
    fn unknown_rate(&self, terms: &Terms) -> f64 {
        let rate = terms.limit.per_second;
        let max = rate * (terms.role.unlisted_share * MAX_USE_FACTOR).min(1.0);
        (rate - self.taken_over).clamp(0.0, max)
    }

    /// Ends what has expired, and recomputes the sums. Offline rates of silent nodes don't end while
    /// the platform is silent as well: another owner may then grant the rest of the rate to them.
    fn sweep(&mut self, terms: &Terms, now: Instant) {
        self.swept = now;
        let mut sums = Sums::default();
        self.leases.retain(|_, lease| {
            if lease.held_until <= now {
                lease.held = 0.0;
                lease.unconfirmed = 0.0;
            }
            if lease.offline_until <= now && terms.platform_silence < PLATFORM_SILENCE {
                return false;
            }
            sums.add(lease, now);
            true
        });
        self.sums = sums;
    }
}

impl Sums {
    fn add(&mut self, lease: &Lease, now: Instant) {
        self.update(lease, now, 1.0);
    }

    fn remove(&mut self, lease: &Lease, now: Instant) {
        self.update(lease, now, -1.0);
    }

    fn update(&mut self, lease: &Lease, now: Instant, sign: f64) {
        self.held += sign * lease.held.max(0.0);
        self.offline += sign * lease.offline;
        self.per_second += sign * lease.per_second;
        if lease.silent_from <= now && lease.offline > 0.0 {
            self.silent += sign * lease.offline;
            if sign > 0.0 {
                self.silent_nodes += 1;
            } else {
                self.silent_nodes = self.silent_nodes.saturating_sub(1);
            }
        }
    }
}
