//! Validation of settings beyond the types of their fields.

use std::net::{IpAddr, SocketAddr};

use log::LevelFilter;
use wagtaillever_coordination::{MAX_NAME_BYTES, is_name};

use super::{Protocol, Settings};

/// Field with an invalid value.
#[derive(Debug)]
pub(super) struct InvalidField {
    /// Path of the field, such as `limits.grace_s`.
    pub(super) field: &'static str,
    /// What was expected.
    pub(super) reason: String,
}

/// Minimum length of the token if the admin interface is reachable from other machines.
const MIN_TOKEN_BYTES: usize = 16;

/// Range in seconds of the bounds on changes. Readers of the platform are replaced within half of the
/// bound, which has to be several times the time of an answer.
const MIN_APPLY_S: f64 = 0.5;
const MAX_APPLY_S: f64 = 3_600.0;

/// Range in seconds of the grace period of a stop: no call can be finished in less, and none lasts
/// longer.
const MIN_GRACE_S: f64 = 0.1;
const MAX_GRACE_S: f64 = 3_600.0;

/// Smallest memory in megabytes and fewest descriptors with which a node serves: an idle process takes
/// 9 MB, and 200 descriptors are reserved for files.
const MIN_MEMORY_MB: u32 = 32;
const MIN_FDS: u32 = 256;
/// Range in seconds of the windows of quotas: shorter ones are below the interval between grants, and
/// over longer ones the bounds allow bursts that no upstream bears.
const MIN_QUOTA_WINDOW_S: f64 = 1.0;
const MAX_QUOTA_WINDOW_S: f64 = 60.0;
/// Largest overage of a quota, at which a quota doubles.
const MAX_QUOTA_OVERAGE: f64 = 1.0;

impl Settings {
    /// Checks the rules that the types of the fields do not enforce.
    pub(super) fn check(&self) -> Result<(), InvalidField> {
        self.check_names()?;
        self.check_addresses()?;
        self.check_token()?;
        self.check_sources()?;
        self.check_limits()?;
        self.check_quota()?;
        check_filter(&self.log)
    }

    fn check_names(&self) -> Result<(), InvalidField> {
        let names = [
            ("vm", self.vm.as_str()),
            ("domain", self.domain.as_str()),
            ("region", self.region.as_str()),
        ];
        for (field, name) in names {
            let reason = format!(
                "{name:?} must have 1 to {MAX_NAME_BYTES} lower-case letters, digits, dashes, dots or underscores"
            );
            ensure(is_name(name), field, reason)?;
        }
        Ok(())
    }

    fn check_quota(&self) -> Result<(), InvalidField> {
        let quota = &self.quota;
        let reason = format!("must be {MIN_QUOTA_WINDOW_S} to {MAX_QUOTA_WINDOW_S} seconds");
        let is_valid = (MIN_QUOTA_WINDOW_S..=MAX_QUOTA_WINDOW_S).contains(&quota.window_s);
        ensure(is_valid, "quota.window_s", reason)?;
        let is_valid = (0.0..=MAX_QUOTA_OVERAGE).contains(&quota.overage);
        let reason = format!("must be 0 to {MAX_QUOTA_OVERAGE}");
        ensure(is_valid, "quota.overage", reason)?;
        let is_valid = quota.slack >= 0.0 && quota.slack.is_finite();
        ensure(is_valid, "quota.slack", "must be 0 or more")
    }

    fn check_addresses(&self) -> Result<(), InvalidField> {
        let listeners = self.listeners();
        for (index, (field, address)) in listeners.iter().enumerate() {
            ensure(address.port() != 0, field, "the port must be above 0")?;
            let earlier = &listeners[..index];
            if let Some((other, _)) = earlier.iter().find(|(_, known)| overlaps(*known, *address)) {
                return reject(field, format!("{address} is already used by {other}"));
            }
        }
        let is_same_version = self.peers.is_ipv4() == self.address.is_ipv4();
        let reason = format!("{} must have the same IP version as peers", self.address);
        ensure(is_same_version, "address", reason)?;
        ensure(
            !self.address.is_multicast(),
            "address",
            "a multicast address can't be a source address",
        )
    }

    fn listeners(&self) -> Vec<(&'static str, SocketAddr)> {
        let probes = self.probes.map(|probes| ("probes", probes));
        let others = [
            ("callers", self.callers),
            ("peers", self.peers),
            ("admin", self.admin),
        ];
        others.into_iter().chain(probes).collect()
    }

    fn check_token(&self) -> Result<(), InvalidField> {
        let is_public = !self.admin.ip().is_loopback();
        let Some(token) = &self.token else {
            let reason = "a token is required because the admin address is not loopback";
            return ensure(!is_public, "admin", reason);
        };
        let is_printable = !token.is_empty() && token.chars().all(|c| c.is_ascii_graphic());
        ensure(
            is_printable,
            "token",
            "must be visible ASCII without spaces",
        )?;
        let is_long_enough = token.len() >= MIN_TOKEN_BYTES;
        let reason = format!(
            "must have at least {MIN_TOKEN_BYTES} characters because the admin address is not loopback"
        );
        ensure(!is_public || is_long_enough, "token", reason)
    }

    fn check_sources(&self) -> Result<(), InvalidField> {
        let has_store = self.protocol != Protocol::Store || !self.platform.is_empty();
        let reason = "must contain the address of the store that the protocol reads";
        ensure(has_store, "platform", reason)?;
        let is_isolated = self.platform.is_empty() && self.seeds.is_empty();
        let reason =
            "platform or seeds must contain an address, or the node can't obtain a configuration";
        ensure(!is_isolated, "platform", reason)?;
        check_targets("platform", &self.platform, self.address)?;
        check_targets("seeds", &self.seeds, self.address)
    }

    fn check_limits(&self) -> Result<(), InvalidField> {
        let limits = &self.limits;
        let above_zero = "must be above 0";
        ensure(limits.body_bytes > 0, "limits.body_bytes", above_zero)?;
        let is_possible = (MIN_GRACE_S..=MAX_GRACE_S).contains(&limits.grace_s);
        let reason = format!("must be {MIN_GRACE_S} to {MAX_GRACE_S} seconds");
        ensure(is_possible, "limits.grace_s", reason)?;
        ensure(limits.skew_ms > 0, "limits.skew_ms", above_zero)?;
        let reason = format!("must be {MIN_MEMORY_MB} or more");
        let is_enough = limits
            .memory_mb
            .is_none_or(|memory| memory >= MIN_MEMORY_MB);
        ensure(is_enough, "limits.memory_mb", reason)?;
        let reason = format!("must be {MIN_FDS} or more");
        let is_enough = limits.max_fds.is_none_or(|fds| fds >= MIN_FDS);
        ensure(is_enough, "limits.max_fds", reason)?;
        check_bound("limits.apply_s", limits.apply_s)?;
        check_bound("limits.drain_s", limits.drain_s)?;
        let is_positive_rate = limits
            .link_mbps
            .is_none_or(|rate| rate.is_finite() && rate > 0.0);
        ensure(is_positive_rate, "limits.link_mbps", above_zero)?;
        let is_valid_factor = limits.cold_overage.is_finite() && limits.cold_overage >= 1.0;
        ensure(is_valid_factor, "limits.cold_overage", "must be 1 or more")?;
        let is_valid_gain = limits.crossing_gain.is_finite() && limits.crossing_gain > 0.0;
        ensure(is_valid_gain, "limits.crossing_gain", above_zero)
    }
}

impl InvalidField {
    /// Returns the line of the field in the text of the settings, counted from 1; 1 if it is not
    /// there.
    pub(super) fn line(&self, text: &str) -> usize {
        let key = self.field.rsplit('.').next().unwrap_or(self.field);
        let is_nested = self.field.contains('.');
        let mut lines = text.lines();
        let found = lines.position(|line| {
            let start = line.trim_start().trim_start_matches(['"', '\'', '{']);
            let rest = start
                .strip_prefix(key)
                .map(|rest| rest.trim_start_matches(['"', '\'']));
            let is_indented = line.starts_with([' ', '\t']);
            is_indented == is_nested && rest.is_some_and(|rest| rest.trim_start().starts_with(':'))
        });
        found.map_or(1, |index| index + 1)
    }
}

fn check_bound(field: &'static str, bound: Option<f64>) -> Result<(), InvalidField> {
    let range = MIN_APPLY_S..=MAX_APPLY_S;
    let is_valid = bound.is_none_or(|seconds| range.contains(&seconds));
    let reason = format!("must be {MIN_APPLY_S} to {MAX_APPLY_S} seconds");
    ensure(is_valid, field, reason)
}

fn check_targets(
    field: &'static str,
    targets: &[SocketAddr],
    local_ip: IpAddr,
) -> Result<(), InvalidField> {
    for target in targets {
        ensure(
            target.port() != 0,
            field,
            format!("{target}: the port must be above 0"),
        )?;
        let is_same_version = target.is_ipv4() == local_ip.is_ipv4();
        let reason = format!("{target} must have the same IP version as address {local_ip}");
        ensure(is_same_version, field, reason)?;
        let reason = format!("{target} must not be an unspecified or multicast address");
        let ip = target.ip();
        ensure(!ip.is_unspecified() && !ip.is_multicast(), field, reason)?;
    }
    Ok(())
}

/// Checks directives of the form `level`, `module` or `module=level`, separated by commas.
fn check_filter(filter: &str) -> Result<(), InvalidField> {
    let directives = filter.split('/').next().unwrap_or(filter);
    for directive in directives.split(',').map(str::trim) {
        let (module, level) = match directive.split_once('=') {
            Some((module, level)) => (module, Some(level)),
            None => (directive, None),
        };
        let is_level = level.is_none_or(|level| level.parse::<LevelFilter>().is_ok());
        let is_module = |c: char| c.is_ascii_alphanumeric() || "_:-".contains(c);
        let is_valid = is_level && !module.is_empty() && module.chars().all(is_module);
        let reason = format!(
            "{directive:?} is not a valid filter; expected off, error, warn, info, debug, trace or <module>=<level>"
        );
        ensure(is_valid, "log", reason)?;
    }
    Ok(())
}

/// Returns whether two listen addresses can't be bound at the same time.
fn overlaps(a: SocketAddr, b: SocketAddr) -> bool {
    a.port() == b.port() && (a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified())
}

fn ensure(holds: bool, field: &'static str, reason: impl Into<String>) -> Result<(), InvalidField> {
    if holds {
        return Ok(());
    }
    reject(field, reason)
}

fn reject(field: &'static str, reason: impl Into<String>) -> Result<(), InvalidField> {
    Err(InvalidField {
        field,
        reason: reason.into(),
    })
}
