//! Settings of a node, read from a YAML file.

mod check;
mod error;
mod limits;
mod policies;
mod protocol;
#[cfg(test)]
mod tests;

pub use self::{error::SettingsError, limits::Limits, policies::Policies, protocol::Protocol};

use std::{
    collections::BTreeMap,
    fs,
    net::{IpAddr, SocketAddr},
    path::Path,
};

use serde::Deserialize;
use snafu::ResultExt;
use wagtaillever_coordination::{
    DomainName, FleetRetryBudget, NoteError, RegionName, ServiceName, VmName, parse_yaml,
};

use crate::settings::error::ReadSnafu;

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
    /// Address on which other nodes are accepted.
    pub peers: SocketAddr,
    /// Address of the admin interface; loopback unless set otherwise.
    pub admin: SocketAddr,
    /// Token that guards admin requests that change anything.
    #[serde(default)]
    pub token: Option<String>,
    /// Address on which anyone may ask for readiness and metrics; only the admin interface
    /// answers unless it is set.
    #[serde(default)]
    pub probes: Option<SocketAddr>,
    /// How the platform publishes configuration, and how callers and upstreams speak.
    #[serde(default)]
    pub protocol: Protocol,
    /// Service of the upstream on the VM, which upstreams are told of calls that begin here.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Region of each failure domain, where the platform does not tell it.
    #[serde(default)]
    pub regions: BTreeMap<DomainName, RegionName>,
    /// Resends that all nodes together may make; by default each node has a budget of its own.
    #[serde(default)]
    pub resends: Option<FleetRetryBudget>,
    /// Addresses of the platform's configuration service.
    #[serde(default)]
    pub platform: Vec<SocketAddr>,
    /// Addresses of nodes to start from, until the list of VMs is known.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Limits of the node.
    #[serde(default)]
    pub limits: Limits,
    /// Policies that experiments switch off; all are on by default.
    #[serde(default)]
    pub policies: Policies,
    /// Deliberate faults.
    #[cfg(feature = "mutants")]
    #[serde(default)]
    pub mutants: Vec<crate::mutant::Mutant>,
    /// Log filter, as `env_logger` reads it.
    #[serde(default = "default_log")]
    pub log: String,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, the line and what was expected.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        Self::parse(path, &text)
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, the line and what was expected.
    pub fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = parse_yaml(text.as_bytes()).map_err(|err| syntax(path, &err))?;
        let Err(fault) = settings.check() else {
            return Ok(settings);
        };
        Err(SettingsError::Invalid {
            path: path.into(),
            line: fault.line(text),
            field: fault.field,
            reason: fault.reason,
        })
    }
}

fn syntax(path: &Path, err: &NoteError) -> SettingsError {
    SettingsError::Syntax {
        path: path.into(),
        line: err.line().unwrap_or(1),
        reason: err.reason().into(),
    }
}

fn default_log() -> String {
    "info,actix_server=warn".into()
}
