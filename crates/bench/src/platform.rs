//! Stand-in for the platform's configuration service, with faults that are switched at run time.

mod control;
mod faults;
mod handle;
mod meter;
mod server;
mod store;

pub use self::{
    faults::{Faults, Outage},
    handle::{Counts, PlatformHandle},
    server::PlatformServer,
    store::{Entry, Gone, Store, WatchAnswer},
};

pub(crate) use self::control::serve_control;
