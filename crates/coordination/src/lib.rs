//! Decisions for distributing configuration and admitting calls in a service mesh.
//!
//! The crate performs no I/O: time and randomness are passed in by the caller,
//! so every decision can be replayed from a seed.

mod balancer;
mod base;
mod candidates;
mod config;
mod drain;
mod error;
mod fold;
mod health;
mod history;
mod key;
mod name;
mod note;
mod report;
mod retry;
mod routing;
mod sequence;
mod share;
mod stall;
mod vm;

pub use crate::{
    balancer::{Balancer, BalancerPolicy, NoChoice, ReportedLoad, Ticket, Wish},
    base::{Base, BaseIndex, Publication},
    candidates::{Candidate, Candidates},
    config::{Config, Route, Service, Upstream},
    drain::{DrainAction, DrainList, DrainOrder, DrainScope},
    error::NoteError,
    fold::{Fold, FoldEvent},
    health::{Evidence, Health, HealthChange, Standing},
    history::{History, Verdict},
    key::{IdempotencyKey, KeyError, key_owner},
    name::{DomainName, RegionName, RouteName, ServiceName, UpstreamName, VmName},
    note::{Changes, Method, ReleaseNote, RouteSpec, ServiceSpec, UpstreamSpec},
    report::{
        DomainReport, LaggardReport, NoteReport, NoteVerdict, PeerReport, RefusedReport,
        SpreadReport, StatusReport,
    },
    retry::{AttemptEnd, Attempts, Next, RequestKind, RetryBudget},
    routing::RouteTable,
    sequence::Sequence,
    share::CallShares,
    stall::{STALL_GAP, StallDetector},
    vm::{Incarnation, VmEntry, VmList, VmState},
};
