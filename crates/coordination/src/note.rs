//! Release notes as operators write them.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    border,
    error::NoteError,
    name::{DomainName, RouteName, ServiceName, UpstreamName, VmName},
    sequence::Sequence,
};

/// A release note: what is added, changed and withdrawn, whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "border::ReleaseNote")]
pub struct ReleaseNote {
    /// Sequence number under which the note is published.
    pub note: Sequence,
    /// Free text for people.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub summary: Option<String>,
    /// Changes of services.
    pub services: Changes<ServiceSpec, ServiceName>,
    /// Changes of routes.
    pub routes: Changes<RouteSpec, RouteName>,
    /// Changes of upstreams.
    pub upstreams: Changes<UpstreamSpec, UpstreamName>,
}

impl ReleaseNote {
    /// Parses the text of a note.
    ///
    /// # Errors
    ///
    /// Returns an error that names the line and the rule that the text breaks.
    pub fn parse(text: &[u8]) -> Result<Self, NoteError> {
        let note: border::ReleaseNote = border::parse_yaml(text)?;
        Self::try_from(note).map_err(|err| err.located(&String::from_utf8_lossy(text)))
    }
}

/// Additions, changes and withdrawals of one kind of thing.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Changes<S, N> {
    /// Things that must not exist yet.
    pub add: Vec<Arc<S>>,
    /// Things that must exist and are replaced whole.
    pub change: Vec<Arc<S>>,
    /// Names of things that must exist and go away.
    pub withdraw: Vec<N>,
}

impl<S, N> Default for Changes<S, N> {
    fn default() -> Self {
        Self {
            add: Vec::new(),
            change: Vec::new(),
            withdraw: Vec::new(),
        }
    }
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "border::Service")]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Path under which an upstream of the service tells its health.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub health: Option<String>,
    /// Requests a second that a cold upstream bears; without it, sidecars find out.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cold_per_second: Option<u32>,
    /// Time in milliseconds for which an upstream is cold after its start.
    #[serde(skip_serializing_if = "is_default")]
    pub cold_ms: u64,
}

impl ServiceSpec {
    /// Returns a service of which nothing but the name is known.
    #[must_use]
    pub fn with_name(name: ServiceName) -> Self {
        Self {
            name,
            health: None,
            cold_per_second: None,
            cold_ms: 0,
        }
    }
}

/// Returns whether a value need not be written, as it is the default.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// A route from a path prefix to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "border::Route")]
pub struct RouteSpec {
    /// Name of the route.
    pub name: RouteName,
    /// Path prefix, which starts with a slash and matches whole segments.
    pub path: String,
    /// Methods of the route; an empty list stands for all.
    pub methods: Vec<Method>,
    /// Service to which the route leads.
    pub service: ServiceName,
    /// Whether a request may run more than once; by default what HTTP says of the method.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
    /// Longest time in milliseconds that a call may take.
    pub timeout_ms: u64,
    /// Host whose requests take the route, in lower case; `None` stands for all hosts.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub host: Option<Arc<str>>,
    /// Services among which the calls are divided; an empty list sends all to `service`.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<SplitPart>,
    /// Upstreams to which one call may be sent; by default the product's own limit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempts: Option<u32>,
    /// Time in milliseconds within which callers want the answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub target_ms: Option<u64>,
    /// Rank of the calls where not all can be served; 0 goes first.
    #[serde(skip_serializing_if = "is_default")]
    pub priority: u8,
}

impl RouteSpec {
    /// Returns a route for all hosts and methods that sends its calls to one service.
    #[must_use]
    pub fn for_service(
        name: RouteName,
        path: impl Into<String>,
        service: ServiceName,
        timeout_ms: u64,
    ) -> Self {
        Self {
            name,
            path: path.into(),
            methods: Vec::new(),
            service,
            idempotent: None,
            timeout_ms,
            host: None,
            split: Vec::new(),
            attempts: None,
            target_ms: None,
            priority: 0,
        }
    }

    /// Iterates over all services to which calls of the route may go.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let single = self.split.is_empty().then_some(&self.service);
        let parts = self.split.iter().map(|part| &part.service);
        single.into_iter().chain(parts)
    }
}

/// Part of a route's calls that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SplitPart {
    /// The service.
    pub service: ServiceName,
    /// Share of the calls, relative to the other parts.
    pub weight: u32,
}

/// An upstream: one server of a service on one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "border::Upstream")]
pub struct UpstreamSpec {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Service that the upstream serves.
    pub service: ServiceName,
    /// VM on which the upstream runs.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Address of the upstream as seen from its VM.
    pub address: SocketAddr,
    /// Requests that the upstream can run at once.
    pub slots: u32,
    /// Connections that the upstream accepts.
    pub connections: u32,
    /// What the platform tells of the upstream's start; a note tells nothing of it.
    #[serde(skip)]
    pub start: Option<UpstreamStart>,
}

/// What the platform tells of an upstream's start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamStart {
    /// Time of the start in milliseconds since the Unix epoch, by the clock of the upstream's VM.
    pub started: u64,
    /// Time in milliseconds for which the upstream was still cold when it was listed.
    pub cold_ms: u64,
}

/// HTTP methods that a route can name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "border::Method", rename_all = "UPPERCASE")]
pub enum Method {
    /// `GET`
    Get,
    /// `HEAD`
    Head,
    /// `POST`
    Post,
    /// `PUT`
    Put,
    /// `PATCH`
    Patch,
    /// `DELETE`
    Delete,
    /// `OPTIONS`
    Options,
}

impl Method {
    /// Returns the method of that name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Some(match name {
            "GET" => Self::Get,
            "HEAD" => Self::Head,
            "POST" => Self::Post,
            "PUT" => Self::Put,
            "PATCH" => Self::Patch,
            "DELETE" => Self::Delete,
            "OPTIONS" => Self::Options,
            _ => return None,
        })
    }

    /// Returns whether HTTP defines the method as idempotent.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        !matches!(self, Self::Post | Self::Patch)
    }
}
