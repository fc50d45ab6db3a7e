//! Runs a real sidecar on loopback against small upstreams.

mod admission;
mod bed;
mod forwarding;
mod keys;
mod listed;
