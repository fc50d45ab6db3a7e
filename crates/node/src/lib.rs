//! Node of wagtaillever: a small process that runs on the VM of each upstream.
//!
//! A node is a micro-kernel with services that find each other by name. The
//! daemon `wagtailleverd` parses its arguments and calls [`run`].

mod admin;
mod body_budget;
mod daemon;
mod error;
mod ingress;
mod invariant;
mod kernel;
mod lifecycle;
mod logging;
mod mutant;
mod peers;
mod quota;
mod settings;
mod sidecar;
mod source;
mod stall;
mod timeline;
mod transport;
mod view;
mod wire;

pub use crate::{
    daemon::{Arguments, run},
    error::NodeError,
    mutant::Mutant,
    settings::{Limits, Policies, Protocol, QuotaSettings, Settings, SettingsError},
};
