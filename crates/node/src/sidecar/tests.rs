//! Runs a real sidecar on loopback against small upstreams.

mod bed;
mod forwarding;
