//! Deployments: failure domains, services and the sizes of their upstreams.

use std::{fs, path::Path};

use serde::Deserialize;
use snafu::ResultExt;
use wagtaillever_coordination::{DomainName, Method, RegionName, ServiceName};

use crate::error::{BenchError, DeploymentSnafu, IoSnafu};

/// A deployment, read from a YAML file or made up.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: String,
    /// Region of all its failure domains; `None` spreads them over several.
    pub region: Option<RegionName>,
    /// Failure domains.
    pub domains: Vec<DomainName>,
    /// Latencies of the network.
    pub latency: Latency,
    /// Services.
    pub services: Vec<ServiceShape>,
}

/// Latencies of the network, one way.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Latency {
    /// Between failure domains, in milliseconds.
    pub domains_ms: f64,
    /// From clients to nodes, in milliseconds.
    pub clients_ms: f64,
}

/// A service and the sizes of its upstreams.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceShape {
    /// Name of the service.
    pub name: ServiceName,
    /// Path prefix of its route.
    pub path: String,
    /// Methods of its route; an empty list stands for all.
    #[serde(default)]
    pub methods: Vec<Method>,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Requests that an upstream can run at once.
    pub slots: u32,
    /// Connections that an upstream accepts.
    pub connections: u32,
    /// Time to set up a connection in milliseconds.
    pub connect_ms: u64,
    /// Time that a probe takes in milliseconds.
    pub probe_ms: u64,
    /// Time that a request runs in milliseconds.
    pub service_ms: f64,
    /// Length of an answer in bytes.
    #[serde(default = "default_answer_bytes")]
    pub answer_bytes: u64,
}

const fn default_answer_bytes() -> u64 {
    512
}

impl ServiceShape {
    /// Returns whether its requests must run at most once.
    #[must_use]
    pub fn is_keyed(&self) -> bool {
        self.methods.iter().any(|method| !method.is_idempotent())
    }
}

/// Failure domains that share a region in a deployment without a region of its own.
const DOMAINS_PER_REGION: usize = 4;

impl Deployment {
    /// Reads a deployment from a YAML file.
    ///
    /// # Errors
    ///
    /// Returns an error when the file can't be read or is not a deployment.
    pub fn load(path: &Path) -> Result<Self, BenchError> {
        let text = fs::read_to_string(path);
        let text = text.with_context(|_| IoSnafu {
            what: path.display().to_string(),
        })?;
        let deployment = serde_yaml_ng::from_str(&text);
        deployment.with_context(|_| DeploymentSnafu { path })
    }

    /// Makes up a deployment of as many upstreams, failure domains and services as stated.
    ///
    /// A service may have no upstream when there are fewer upstreams than services.
    #[must_use]
    pub fn synthetic(upstreams: usize, domains: usize, services: usize) -> Self {
        let service = |at: usize| ServiceShape {
            name: format!("service-{at}").into(),
            path: format!("/service-{at}"),
            methods: Vec::new(),
            upstreams: upstreams / services + usize::from(at < upstreams % services),
            slots: 12,
            connections: 120,
            connect_ms: 1,
            probe_ms: 1,
            service_ms: 10.0,
            answer_bytes: default_answer_bytes(),
        };
        Self {
            name: "synthetic".into(),
            region: None,
            domains: (1..=domains)
                .map(|at| format!("domain-{at}").into())
                .collect(),
            latency: Latency {
                domains_ms: 0.0,
                clients_ms: 0.0,
            },
            services: (0..services).map(service).collect(),
        }
    }

    /// Returns the region of a failure domain.
    #[must_use]
    pub fn region_of(&self, domain: usize) -> RegionName {
        let made_up = || format!("region-{}", domain / DOMAINS_PER_REGION + 1).into();
        self.region.clone().unwrap_or_else(made_up)
    }

    /// Returns the number of upstreams, each of which has a VM of its own.
    #[must_use]
    pub fn upstreams(&self) -> usize {
        self.services.iter().map(|service| service.upstreams).sum()
    }
}

#[cfg(test)]
mod tests;
