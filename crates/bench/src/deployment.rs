//! Deployments: failure domains, services and the capacity of their upstreams.

use std::{fs, path::Path};

use serde::Deserialize;
use snafu::ResultExt;
use wagtaillever_coordination::{DomainName, Method, RegionName, ServiceName};

use crate::error::{BenchError, DeploymentSnafu, IoSnafu};

/// A deployment, read from a YAML file or generated.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: String,
    /// Region of all failure domains; `None` distributes them over several regions.
    pub region: Option<RegionName>,
    /// Failure domains.
    pub domains: Vec<DomainName>,
    /// Network latencies.
    pub latency: Latency,
    /// Services.
    pub services: Vec<ServiceShape>,
}

/// One-way network latencies.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Latency {
    /// Between failure domains, in milliseconds.
    pub domains_ms: f64,
    /// From clients to nodes, in milliseconds.
    pub clients_ms: f64,
}

/// A service and the capacity of its upstreams.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceShape {
    /// Name of the service.
    pub name: ServiceName,
    /// Path prefix of its route.
    pub path: String,
    /// Methods of its route; an empty list means all methods.
    #[serde(default)]
    pub methods: Vec<Method>,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Maximum number of concurrent requests of an upstream.
    pub slots: u32,
    /// Maximum number of connections of an upstream.
    pub connections: u32,
    /// Connection setup time in milliseconds.
    pub connect_ms: u64,
    /// Duration of a health probe in milliseconds.
    pub probe_ms: u64,
    /// Mean execution time of a request in milliseconds.
    pub service_ms: f64,
    /// Length of the response body in bytes.
    #[serde(default = "default_answer_bytes")]
    pub answer_bytes: u64,
}

const fn default_answer_bytes() -> u64 {
    512
}

impl ServiceShape {
    /// Returns whether its requests must run at most once and therefore carry an idempotency key.
    #[must_use]
    pub fn is_keyed(&self) -> bool {
        self.methods.iter().any(|method| !method.is_idempotent())
    }
}

/// Number of failure domains per region in a deployment that names no region.
const DOMAINS_PER_REGION: usize = 4;

impl Deployment {
    /// Reads a deployment from a YAML file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or is not a valid deployment.
    pub fn load(path: &Path) -> Result<Self, BenchError> {
        let text = fs::read_to_string(path);
        let text = text.with_context(|_| IoSnafu {
            what: path.display().to_string(),
        })?;
        let deployment = serde_yaml_ng::from_str(&text);
        deployment.with_context(|_| DeploymentSnafu { path })
    }

    /// Generates a deployment with the given numbers of upstreams, failure domains and services.
    ///
    /// If there are fewer upstreams than services, some services have no upstream.
    #[must_use]
    pub fn synthetic(upstreams: usize, domains: usize, services: usize) -> Self {
        let service = |index: usize| ServiceShape {
            name: format!("service-{index}").into(),
            path: format!("/service-{index}"),
            methods: Vec::new(),
            upstreams: upstreams / services + usize::from(index < upstreams % services),
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
                .map(|index| format!("domain-{index}").into())
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
        let default_region = || format!("region-{}", domain / DOMAINS_PER_REGION + 1).into();
        self.region.clone().unwrap_or_else(default_region)
    }

    /// Returns the number of upstreams. Each upstream runs on a separate VM.
    #[must_use]
    pub fn upstreams(&self) -> usize {
        self.services.iter().map(|service| service.upstreams).sum()
    }
}

#[cfg(test)]
mod tests;
