//! Decisions for distributing configuration and admitting calls in a service mesh.
//!
//! The crate performs no I/O: time and randomness are passed in by the caller,
//! so every decision can be replayed from a seed.

mod base;
mod config;
mod drain;
mod error;
mod fold;
mod history;
mod key;
mod name;
mod note;
mod report;
mod sequence;
mod vm;

pub use crate::{
    base::{Base, BaseIndex, Publication},
    config::{Config, Route, Service, Upstream},
    drain::{DrainAction, DrainList, DrainOrder, DrainScope},
    error::NoteError,
    fold::{Fold, FoldEvent},
    history::{History, Verdict},
    key::{IdempotencyKey, KeyError, key_owner},
    name::{DomainName, RegionName, RouteName, ServiceName, UpstreamName, VmName},
    note::{Changes, Method, ReleaseNote, RouteSpec, ServiceSpec, UpstreamSpec},
    report::{
        DomainReport, LaggardReport, NoteReport, NoteVerdict, PeerReport, RefusedReport,
        SpreadReport, StatusReport,
    },
    sequence::Sequence,
    vm::{Incarnation, VmEntry, VmList, VmState},
};
