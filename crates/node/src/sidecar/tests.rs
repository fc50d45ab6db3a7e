//! Runs a real sidecar on loopback against small upstreams.

mod admission;
mod fixture;
mod forwarding;
mod keys;
mod listed;
