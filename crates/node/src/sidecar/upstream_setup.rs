//! Admission settings and HTTP client of an upstream.

use std::time::Duration;

use awc::{Client, Connector};
use wagtaillever_coordination::{AdmissionSettings, Service, Upstream};

use crate::{
    mutant::{self, Mutant},
    settings::{Limits, Policies},
    sidecar::connector::TracedConnector,
};

/// Timeout for opening a connection to an upstream, which runs on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an idle connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(4);

/// Returns the settings of the admission control of an upstream.
pub(super) fn admission_settings(
    spec: &Upstream,
    service: Option<&Service>,
    policies: &Policies,
    limits: &Limits,
) -> AdmissionSettings {
    let is_listed = spec.start.is_some();
    let cold_per_second = service.and_then(|service| service.cold_per_second);
    AdmissionSettings {
        cold_burst: limits.cold_burst(),
        cold_per_second: cold_per_second
            .filter(|_| is_listed)
            .map(|rate| limits.cold_rate(rate)),
        link_rate: limits.link_rate(),
        slots: spec.slots.min(connections(spec, limits)),
        // The limit of an upstream that states its slots does not adapt, because its failures need
        // not be caused by load.
        adaptive: policies.adaptive && !is_listed,
        has_limit: policies.limit && !mutant::is_enabled(Mutant::NoRamp),
        has_ramp: policies.ramp && !mutant::is_enabled(Mutant::NoRamp),
    }
}

/// Returns the largest number of open connections to an upstream: that of its entry, unless the process
/// may open fewer.
fn connections(spec: &Upstream, limits: &Limits) -> u32 {
    let bound = limits.bounds().upstream_connections;
    spec.connections
        .min(u32::try_from(bound).unwrap_or(u32::MAX))
}

/// Returns the client that sends requests to an upstream.
pub(super) fn client(spec: &Upstream, limits: &Limits) -> Client {
    let connector = Connector::new()
        .connector(TracedConnector::new(spec.address))
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(KEEP_ALIVE)
        .limit(connections(spec, limits) as usize);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}
