//! Configuration distribution, routing and admission control for a service mesh.
//!
//! The crate performs no I/O. Callers pass in time and randomness, so every decision can be
//! replayed from a seed.

mod admission;
mod apply_timing;
mod backoff;
mod balancer;
mod base;
mod border;
mod budget;
mod caller_age;
mod caller_limits;
mod caller_room;
mod candidates;
mod config;
mod crash;
mod dialect;
mod drain;
mod era;
mod error;
mod fleet;
mod fold;
mod handover;
mod health;
mod history;
mod join;
mod key;
mod leaving;
mod ledger;
mod listing;
mod locator;
mod message;
mod name;
mod named;
mod note;
mod organisation;
mod overlay;
mod poison;
mod quality;
mod quota;
mod registrations;
mod replica;
mod report;
mod retry;
mod routing;
mod rule;
mod sequence;
mod share;
mod soft_report;
mod spillover;
mod split;
mod stall;
mod statement;
mod store;
mod vm;
mod watch_pause;

pub use crate::{
    admission::{
        Admission, AdmissionDecision, AdmissionRequest, AdmissionSettings, QueueDecision,
        QueueTicket, Rank, Rejection, RejectionCause, Sample, SampleResult, StartMark,
    },
    apply_timing::ApplyTiming,
    backoff::{Backoff, retry_after},
    balancer::{Balancer, BalancerPolicy, Constraints, NoCandidate, ReportedLoad, Ticket},
    base::{Base, BaseIndex, Publication},
    border::parse_yaml,
    budget::{PLATFORM_READS_PER_S, ReadBudget},
    caller_age::CallerAges,
    caller_limits::CallerLimits,
    caller_room::{CallerActivity, CallerId, CallerRoom, CallerRoomBounds},
    candidates::{Candidate, Candidates},
    config::{Config, Route, Service, Upstream},
    crash::CrashDetector,
    dialect::{Dialect, RetryAfterFormat},
    drain::{DrainAction, DrainList, DrainOrder, DrainScope},
    era::{era_of, ordered_revision, revision_within_era},
    error::NoteError,
    fleet::{FleetSummary, Summary, TreeReport},
    fold::{Fold, FoldEvent},
    handover::{KeyHandover, KnownKeys, Ownership},
    health::{Evidence, Health, HealthChange, HealthStatus},
    history::{History, Verdict},
    join::{Join, JoinInputs, JoinRule, JoinWait},
    key::{IdempotencyKey, KeyError, key_owner},
    leaving::LeavingUpstreams,
    ledger::{Claim, ExecutionOutcome, Ledger, LedgerSettings, RecordedAnswer, RequestId},
    listing::{Listing, RegistrationAnswer, RestorationFilter},
    message::{Contact, Digest, Hello, Message, SnapshotPart, Versions},
    name::{
        DomainName, MAX_NAME_BYTES, OrganisationName, RegionName, RouteName, ServiceName,
        UpstreamName, VmName, is_name,
    },
    note::{
        Changes, Method, ReleaseNote, RouteSpec, ServiceSpec, SplitPart, UpstreamSpec,
        UpstreamStart,
    },
    organisation::{KeyDigest, KeyTable, Organisation, QuotaRate},
    overlay::{Overlay, parent_positions},
    poison::{InFlight, PoisonReport, PoisonTracker, Suspicion, trial_rank},
    quality::Quality,
    quota::{
        QUOTA_SHARDS, QuotaAnswer, QuotaBounds, QuotaClient, QuotaDemand, QuotaGrant, QuotaLedger,
        QuotaReply, QuotaRequest, QuotaStatus, QuotaTable, ShardOwners, ShardRole, quota_shard,
    },
    registrations::{Registration, Registrations},
    replica::{
        Identity, LinkId, Origin, Output, PlatformMode, PlatformValue, Replica, ReplicaEvent,
        ReplicaPolicy,
    },
    report::{
        DomainReport, LaggardReport, NoteReport, NoteVerdict, RefusedReport, SpreadReport,
        StatusReport,
    },
    retry::{
        AttemptFailure, AttemptLimit, Attempts, FleetRetryBudget, RequestKind, RetryBudget,
        RetryDecision, RetryRates,
    },
    routing::RouteTable,
    rule::Rule,
    sequence::Sequence,
    share::CallShares,
    soft_report::SoftReport,
    spillover::{ShareChange, SpilloverSettings},
    split::Splitter,
    stall::{MIN_STALL, StallDetector},
    statement::{RequestRate, StatedLimit, Statement},
    store::{ConfigStore, StoreChange, StoreChanges, StoreFailure, StoreState, UnusableValue},
    vm::{Incarnation, ListedUpstream, VmEntry, VmList, VmState},
    watch_pause::watch_pause,
};
