//! Rules that the settings are held to as a whole.

use std::net::{IpAddr, SocketAddr};

use log::LevelFilter;
use wagtaillever_coordination::{MAX_NAME_BYTES, is_name};

use super::{Protocol, Settings};

/// A field with a value that the node can't work with.
#[derive(Debug)]
pub(super) struct Fault {
    /// Field, with the fields that hold it.
    pub(super) field: &'static str,
    /// What was expected.
    pub(super) reason: String,
}

/// Shortest token, in bytes, for an admin interface that others can reach.
const MIN_TOKEN_BYTES: usize = 16;

impl Settings {
    /// Checks what the types of the fields leave open.
    pub(super) fn check(&self) -> Result<(), Fault> {
        self.check_names()?;
        self.check_addresses()?;
        self.check_token()?;
        self.check_sources()?;
        self.check_limits()?;
        check_filter(&self.log)
    }

    fn check_names(&self) -> Result<(), Fault> {
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

    fn check_addresses(&self) -> Result<(), Fault> {
        let listeners = self.listeners();
        for (index, (field, address)) in listeners.iter().enumerate() {
            ensure(address.port() != 0, field, "the port must be above 0")?;
            let earlier = &listeners[..index];
            if let Some((other, _)) = earlier.iter().find(|(_, known)| overlaps(*known, *address)) {
                return refuse(field, format!("{address} is taken by {other}"));
            }
        }
        let same_family = self.peers.is_ipv4() == self.address.is_ipv4();
        let reason = format!("{} must be of the family of peers", self.address);
        ensure(same_family, "address", reason)?;
        ensure(
            !self.address.is_multicast(),
            "address",
            "a multicast address can't open connections",
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

    fn check_token(&self) -> Result<(), Fault> {
        let is_open = !self.admin.ip().is_loopback();
        let Some(token) = &self.token else {
            let reason = "an admin address that is not loopback needs a token";
            return ensure(!is_open, "admin", reason);
        };
        let is_plain = !token.is_empty() && token.chars().all(|c| c.is_ascii_graphic());
        ensure(is_plain, "token", "must be visible ASCII without spaces")?;
        let is_long = token.len() >= MIN_TOKEN_BYTES;
        let reason = format!(
            "must have at least {MIN_TOKEN_BYTES} characters, as the admin address is not loopback"
        );
        ensure(!is_open || is_long, "token", reason)
    }

    fn check_sources(&self) -> Result<(), Fault> {
        let has_store = self.protocol != Protocol::Store || !self.platform.is_empty();
        let reason = "must name the store that the protocol reads";
        ensure(has_store, "platform", reason)?;
        let is_alone = self.platform.is_empty() && self.seeds.is_empty();
        let reason = "platform or seeds must name an address, else the node learns nothing";
        ensure(!is_alone, "platform", reason)?;
        check_targets("platform", &self.platform, self.address)?;
        check_targets("seeds", &self.seeds, self.address)
    }

    fn check_limits(&self) -> Result<(), Fault> {
        let limits = &self.limits;
        let above_zero = "must be above 0";
        ensure(limits.body_bytes > 0, "limits.body_bytes", above_zero)?;
        ensure(limits.stop_ms > 0, "limits.stop_ms", above_zero)?;
        ensure(limits.skew_ms > 0, "limits.skew_ms", above_zero)?;
        let is_rate = limits
            .link_mbps
            .is_none_or(|rate| rate.is_finite() && rate > 0.0);
        ensure(is_rate, "limits.link_mbps", above_zero)?;
        let is_factor = limits.cold_overage.is_finite() && limits.cold_overage >= 1.0;
        ensure(is_factor, "limits.cold_overage", "must be 1 or more")
    }
}

impl Fault {
    /// Returns the line of the field in the text of the settings.
    pub(super) fn line(&self, text: &str) -> usize {
        let key = self.field.rsplit('.').next().unwrap_or(self.field);
        let is_nested = self.field.contains('.');
        let mut lines = text.lines();
        let found = lines.position(|line| {
            let head = line.trim_start().trim_start_matches(['"', '\'', '{']);
            let rest = head
                .strip_prefix(key)
                .map(|it| it.trim_start_matches(['"', '\'']));
            let is_indented = line.starts_with([' ', '\t']);
            is_indented == is_nested && rest.is_some_and(|rest| rest.trim_start().starts_with(':'))
        });
        found.map_or(1, |index| index + 1)
    }
}

fn check_targets(field: &'static str, targets: &[SocketAddr], local: IpAddr) -> Result<(), Fault> {
    for target in targets {
        ensure(
            target.port() != 0,
            field,
            format!("{target}: the port must be above 0"),
        )?;
        let same_family = target.is_ipv4() == local.is_ipv4();
        let reason = format!("{target} must be of the family of address {local}");
        ensure(same_family, field, reason)?;
        let reason = format!("{target} is not the address of one machine");
        let ip = target.ip();
        ensure(!ip.is_unspecified() && !ip.is_multicast(), field, reason)?;
    }
    Ok(())
}

/// Checks directives of the form `level`, `module` or `module=level`, separated by commas.
fn check_filter(filter: &str) -> Result<(), Fault> {
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
            "{directive:?} is no filter; expected off, error, warn, info, debug, trace or <module>=<level>"
        );
        ensure(is_valid, "log", reason)?;
    }
    Ok(())
}

/// Tells whether two listeners can't be open at once.
fn overlaps(a: SocketAddr, b: SocketAddr) -> bool {
    a.port() == b.port() && (a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified())
}

fn ensure(holds: bool, field: &'static str, reason: impl Into<String>) -> Result<(), Fault> {
    if holds {
        return Ok(());
    }
    refuse(field, reason)
}

fn refuse(field: &'static str, reason: impl Into<String>) -> Result<(), Fault> {
    Err(Fault {
        field,
        reason: reason.into(),
    })
}
