//! Decisions of a node that serves callers.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    name::{OrganisationName, VmName},
    organisation::QuotaRate,
    quota::{
        QUOTA_SHARDS, QuotaBounds, QuotaReply, QuotaRequest, QuotaTable, ShardOwners,
        message::MAX_DEMANDS,
        quota_shard,
        tokens::{Isolation, Tokens},
    },
    sequence::Sequence,
};

/// Time after which a request counts as lost. Its reply is then ignored.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after a request that failed at once until the next one for the shard.
const FAILURE_DELAY: Duration = Duration::from_millis(30);
/// Shortest interval between two requests for a shard while no caller waits, so that one request covers
/// several organisations.
const BATCH_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum number of requests of an organisation that wait for a grant. Further ones are refused.
const MAX_WAITING: usize = 512;

/// Whether a request of an organisation may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaAnswer {
    /// It may run.
    Granted,
    /// A grant is on its way or due; see [`QuotaClient::retry`].
    Wait,
    /// It must be refused.
    Refused {
        /// Time after which a new request makes sense.
        after: Duration,
    },
}

/// State of an organisation's quota at this node.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaStatus {
    /// Name of the organisation.
    pub organisation: OrganisationName,
    /// Its quota over all nodes.
    pub limit: QuotaRate,
    /// Unspent tokens of this node.
    pub unspent: f64,
    /// Tokens per second that this node may spend without contact.
    pub offline: f64,
    /// Time since the last grant; `None` if there was none.
    pub age: Option<Duration>,
}

/// Tokens of this node, and its requests to the shard owners.
#[derive(Debug)]
pub struct QuotaClient {
    vm: VmName,
    bounds: QuotaBounds,
    table: QuotaTable,
    owners: ShardOwners,
    number: u64,
    in_flight: [Option<InFlight>; QUOTA_SHARDS],
    asked: [Option<Instant>; QUOTA_SHARDS],
    failed: [Option<Instant>; QUOTA_SHARDS],
    tokens: BTreeMap<OrganisationName, Tokens>,
    by_shard: HashMap<usize, Vec<OrganisationName>>,
}

/// Request whose reply has not arrived.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    number: u64,
    sent: Instant,
}

impl QuotaClient {
    /// Returns a client without tokens. `first_number` must exceed all numbers of earlier processes on
    /// the VM.
    #[must_use]
    pub fn new(vm: VmName, bounds: QuotaBounds, first_number: u64) -> Self {
        Self {
            vm,
            bounds,
            table: QuotaTable::default(),
            owners: ShardOwners::default(),
            number: first_number,
            in_flight: Default::default(),
            asked: Default::default(),
            failed: Default::default(),
            tokens: BTreeMap::new(),
            by_shard: HashMap::new(),
        }
    }

    /// Replaces the quotas by those of a newer configuration.
    pub fn set_table(&mut self, table: QuotaTable) {
        self.tokens.retain(|name, tokens| {
            let Some(limit) = table.get(name) else {
                return false;
            };
            tokens.set_limit(limit, table.sequence);
            true
        });
        self.table = table;
    }

    /// Returns the sequence of the configuration that is used.
    #[must_use]
    pub fn sequence(&self) -> Sequence {
        self.table.sequence
    }

    /// Follows a change of the list of VMs. Replies of owners that changed are ignored.
    pub fn set_owners(&mut self, owners: ShardOwners) {
        for (shard, in_flight) in self.in_flight.iter_mut().enumerate() {
            if owners.owner(shard) != self.owners.owner(shard) {
                *in_flight = None;
            }
        }
        self.owners = owners;
    }

    /// Decides on a new request of an organisation.
    pub fn acquire(&mut self, name: &OrganisationName, now: Instant) -> QuotaAnswer {
        let Some(limit) = self.table.get(name) else {
            return QuotaAnswer::Granted;
        };
        if !self.tokens.contains_key(name) {
            let phase = accrual_phase(&self.vm, name);
            let tokens = Tokens::new(limit, self.table.sequence, phase, now);
            self.tokens.insert(name.clone(), tokens);
        }
        if let Some(tokens) = self.tokens.get_mut(name) {
            tokens.count_request(now);
        }
        self.decide(name, now, true)
    }

    /// Decides again on a request that waits. The last time it is either granted or refused.
    pub fn retry(&mut self, name: &OrganisationName, is_last: bool, now: Instant) -> QuotaAnswer {
        self.decide(name, now, !is_last)
    }

    /// Records that a request begins to wait.
    pub fn begin_wait(&mut self, name: &OrganisationName) {
        if let Some(tokens) = self.tokens.get_mut(name) {
            tokens.add_waiting();
        }
    }

    /// Records that a request has ended to wait.
    pub fn end_wait(&mut self, name: &OrganisationName) {
        if let Some(tokens) = self.tokens.get_mut(name) {
            tokens.remove_waiting();
        }
    }

    /// Returns the requests to shard owners that are due, one for each shard at most.
    pub fn due_requests(&mut self, now: Instant) -> Vec<QuotaRequest> {
        self.tokens.retain(|_, tokens| !tokens.is_over(now));
        let isolation = self.isolation();
        let is_lost = |sent: Instant| now.saturating_duration_since(sent) >= REPLY_TIMEOUT;
        let has_just_failed = |at| now.saturating_duration_since(at) < FAILURE_DELAY;
        for names in self.by_shard.values_mut() {
            names.clear();
        }
        let mut is_due = [false; QUOTA_SHARDS];
        let is_recent = self.asked.map(|asked| {
            asked.is_some_and(|at| now.saturating_duration_since(at) < BATCH_INTERVAL)
        });
        for (name, tokens) in &self.tokens {
            let is_needed = tokens.is_due(isolation, now);
            if !is_needed && !tokens.joins(now) {
                continue;
            }
            let shard = quota_shard(name);
            is_due[shard] |= is_needed && (tokens.waiting() > 0 || !is_recent[shard]);
            self.by_shard.entry(shard).or_default().push(name.clone());
        }
        let mut requests = Vec::new();
        for (shard, is_due) in is_due.into_iter().enumerate() {
            let is_waiting = self.in_flight[shard].is_some_and(|sent| !is_lost(sent.sent))
                || self.failed[shard].is_some_and(has_just_failed);
            if is_due && !is_waiting && self.owners.owner(shard).is_some() {
                requests.push(self.request(shard, now));
            }
        }
        requests
    }

    /// Returns requests that give back all that this node holds, for a node that stops.
    pub fn release(&mut self, now: Instant) -> Vec<QuotaRequest> {
        for tokens in self.tokens.values_mut() {
            tokens.release(now);
        }
        self.in_flight = Default::default();
        self.asked = Default::default();
        self.failed = Default::default();
        self.due_requests(now)
    }

    /// Returns whether any organisation has a quota.
    #[must_use]
    pub fn has_quotas(&self) -> bool {
        !self.table.is_empty()
    }

    /// Returns the owner of a shard.
    #[must_use]
    pub fn owner(&self, shard: u8) -> Option<&VmName> {
        self.owners.owner(usize::from(shard))
    }

    /// Applies a reply and returns whether it was in time.
    pub fn apply(&mut self, shard: u8, reply: &QuotaReply, now: Instant) -> bool {
        let Some(in_flight) = self.in_flight.get_mut(usize::from(shard)) else {
            return false;
        };
        let is_awaited = in_flight.is_some_and(|sent| {
            let age = now.saturating_duration_since(sent.sent);
            sent.number == reply.number && age < REPLY_TIMEOUT
        });
        if !is_awaited {
            return false;
        }
        *in_flight = None;
        for grant in &reply.grants {
            if let Some(tokens) = self.tokens.get_mut(&grant.organisation) {
                tokens.apply(grant, reply.number, reply.sequence, now);
            }
        }
        true
    }

    /// Records that the request `number` failed before its timeout, so that the next one need not wait
    /// for that.
    pub fn fail(&mut self, shard: u8, number: u64, now: Instant) {
        let shard = usize::from(shard);
        let Some(Some(request)) = self.in_flight.get(shard).copied() else {
            return;
        };
        let age = now.saturating_duration_since(request.sent);
        if request.number != number || age >= REPLY_TIMEOUT {
            return;
        }
        self.in_flight[shard] = None;
        self.asked[shard] = None;
        self.failed[shard] = Some(now);
        for (name, tokens) in &mut self.tokens {
            if quota_shard(name) == shard {
                tokens.fail(request.sent);
            }
        }
    }

    /// Returns the state of the quotas of all organisations with recent requests.
    pub fn status(&self, now: Instant) -> impl Iterator<Item = QuotaStatus> {
        self.tokens.iter().map(move |(name, tokens)| {
            let (limit, unspent, offline, received) = tokens.status();
            QuotaStatus {
                organisation: name.clone(),
                limit,
                unspent,
                offline,
                age: received.map(|at| now.saturating_duration_since(at)),
            }
        })
    }

    /// Returns whether no organisation had a recent request.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.tokens.is_empty()
    }

    fn decide(&mut self, name: &OrganisationName, now: Instant, may_wait: bool) -> QuotaAnswer {
        let isolation = self.isolation();
        let Some(tokens) = self.tokens.get_mut(name) else {
            // The organisation lost its quota while the request waited.
            return QuotaAnswer::Granted;
        };
        if tokens.spend(isolation, now) {
            return QuotaAnswer::Granted;
        }
        if may_wait && tokens.waiting() < MAX_WAITING && tokens.can_wait(isolation.nodes, now) {
            return QuotaAnswer::Wait;
        }
        let after = tokens.refuse(isolation, now);
        QuotaAnswer::Refused { after }
    }

    fn request(&mut self, shard: usize, now: Instant) -> QuotaRequest {
        self.number += 1;
        let number = self.number;
        self.asked[shard] = Some(now);
        self.in_flight[shard] = Some(InFlight { number, sent: now });
        let isolation = self.isolation();
        let mut demands = Vec::new();
        for name in self.by_shard.get(&shard).into_iter().flatten() {
            if demands.len() == MAX_DEMANDS {
                break;
            }
            if let Some(tokens) = self.tokens.get_mut(name) {
                demands.push(tokens.ask(name, isolation, now));
            }
        }
        QuotaRequest {
            vm: self.vm.clone(),
            number,
            shard: u8::try_from(shard).unwrap_or(u8::MAX),
            sequence: self.table.sequence,
            demands,
        }
    }

    fn isolation(&self) -> Isolation {
        Isolation {
            bounds: self.bounds,
            nodes: self.owners.node_count(),
        }
    }
}

/// Returns a number from 0 to below 1 for an organisation at a node.
fn accrual_phase(vm: &VmName, organisation: &OrganisationName) -> f64 {
    let seed = xxh3_64(organisation.as_str().as_bytes());
    let hash = xxh3_64_with_seed(vm.as_str().as_bytes(), seed);
    #[allow(clippy::cast_possible_truncation)]
    let part = (hash >> 32) as u32;
    f64::from(part) / (f64::from(u32::MAX) + 1.0)
}
