//! Simulated configuration service of the platform, with faults that can be set at run time.

mod control;
mod faults;
mod handle;
mod rate_limiter;
mod server;
mod store;

pub use self::{
    faults::{Faults, Outage},
    handle::{Counts, PlatformHandle},
    server::PlatformServer,
    store::{Entry, Gone, Store, WatchAnswer},
};

pub(crate) use self::control::serve_control;
