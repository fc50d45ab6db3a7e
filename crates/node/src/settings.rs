//! Settings of a node, read from a YAML file.

mod bounds;
mod check;
mod error;
mod limits;
mod overrides;
mod policies;
mod protocol;
mod quota;
#[cfg(test)]
mod tests;

pub(crate) use self::{
    bounds::{CALLER_RECEIVE_BYTES, CALLER_SEND_BYTES, UPSTREAM_RECEIVE_BYTES},
    limits::StopTimes,
    overrides::SettingOverride,
};
pub use self::{
    error::SettingsError, limits::Limits, policies::Policies, protocol::Protocol,
    quota::QuotaSettings,
};

use std::{
    collections::BTreeMap,
    fs,
    net::{IpAddr, SocketAddr},
    path::Path,
};

use serde::Deserialize;
use serde_yaml_ng::Value;
use snafu::ResultExt;
use wagtaillever_coordination::{
    DomainName, FleetRetryBudget, NoteError, RegionName, ServiceName, VmName, parse_yaml,
};

use crate::settings::error::{OverrideSnafu, ReadSnafu};

/// Settings of a node.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// VM on which the node runs.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Region of the failure domain.
    pub region: RegionName,
    /// Address from which the node opens connections to other nodes.
    pub address: IpAddr,
    /// Address on which callers are served.
    pub callers: SocketAddr,
    /// Address on which connections of other nodes are accepted.
    pub peers: SocketAddr,
    /// Address of the admin interface, normally loopback.
    pub admin: SocketAddr,
    /// Token required for admin requests that change state.
    #[serde(default)]
    pub token: Option<String>,
    /// Address on which readiness and metrics are served without a token, in addition to the admin
    /// interface.
    #[serde(default)]
    pub probes: Option<SocketAddr>,
    /// Protocol of the platform, and headers of callers and upstreams.
    #[serde(default)]
    pub protocol: Protocol,
    /// Service of the upstream on the VM, sent to upstreams as the caller service of its calls.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Region of each failure domain, for platforms that do not provide it.
    #[serde(default)]
    pub regions: BTreeMap<DomainName, RegionName>,
    /// Retry budget shared by all nodes; by default, each node has a separate budget.
    #[serde(default)]
    pub resends: Option<FleetRetryBudget>,
    /// Bounds on what all nodes together may run beyond the quota of an organisation.
    #[serde(default)]
    pub quota: QuotaSettings,
    /// Addresses of the platform's configuration service.
    #[serde(default)]
    pub platform: Vec<SocketAddr>,
    /// Addresses of nodes to contact until the list of VMs is known.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Limits of the node.
    #[serde(default)]
    pub limits: Limits,
    /// Policies, all but `spillover` enabled by default, that experiments can change.
    #[serde(default)]
    pub policies: Policies,
    /// Injected faults to enable.
    #[cfg(feature = "mutants")]
    #[serde(default)]
    pub mutants: Vec<crate::mutant::Mutant>,
    /// Log filter in the syntax of `env_logger`.
    #[serde(default = "default_log")]
    pub log: String,
}

impl Settings {
    /// Reads and checks a settings file, with the settings of the command line in place of its own.
    ///
    /// # Errors
    ///
    /// Returns an error with the file, the line and the expected value.
    pub(crate) fn load(path: &Path, overrides: &[SettingOverride]) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        Self::parse_with(path, &text, overrides)
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error with the file, the line and the expected value.
    pub fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        Self::parse_with(path, text, &[])
    }

    fn parse_with(
        path: &Path,
        text: &str,
        overrides: &[SettingOverride],
    ) -> Result<Self, SettingsError> {
        let settings: Self = parse_yaml(text.as_bytes()).map_err(|err| syntax_error(path, &err))?;
        let settings = match overrides {
            [] => settings,
            _ => overridden(path, text, overrides)?,
        };
        let Err(invalid) = settings.check() else {
            return Ok(settings);
        };
        Err(SettingsError::Invalid {
            path: path.into(),
            line: invalid.line(text),
            field: invalid.field,
            reason: invalid.reason,
        })
    }
}

/// Parses a settings file again with the settings of the command line in place of its own.
fn overridden(
    path: &Path,
    text: &str,
    overrides: &[SettingOverride],
) -> Result<Settings, SettingsError> {
    let mut settings: Value =
        parse_yaml(text.as_bytes()).map_err(|err| syntax_error(path, &err))?;
    for setting in overrides {
        let name = setting.name();
        let invalid = |reason: String| OverrideSnafu { name, reason }.build();
        setting.apply(&mut settings).map_err(invalid)?;
        let result = serde_yaml_ng::from_value::<Settings>(settings.clone());
        result.map_err(|err| invalid(err.to_string()))?;
    }
    serde_yaml_ng::from_value(settings).map_err(|err| {
        let reason = err.to_string();
        OverrideSnafu { name: "", reason }.build()
    })
}

fn syntax_error(path: &Path, err: &NoteError) -> SettingsError {
    SettingsError::Syntax {
        path: path.into(),
        line: err.line().unwrap_or(1),
        reason: err.reason().into(),
    }
}

fn default_log() -> String {
    "info,actix_server=warn".into()
}
