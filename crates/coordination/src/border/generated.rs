// Generated from `schema/` by `cargo run -p xtask -- generate`; do not edit.

/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
///The whole configuration at one sequence number, or one part of it.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Base {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub caller_limits: ::std::option::Option<CallerLimits>,
    ///Organisations by name; absent if the deployment has none.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub organisations: ::std::option::Option<
        crate::border::unique_map::UniqueMap<::std::string::String, Organisation>,
    >,
    ///Routes by name.
    pub routes: crate::border::unique_map::UniqueMap<::std::string::String, Route>,
    ///Sequence number of the last note folded into the base.
    pub sequence: u64,
    ///Services by name.
    pub services: crate::border::unique_map::UniqueMap<::std::string::String, Service>,
    ///Upstreams by name.
    pub upstreams: crate::border::unique_map::UniqueMap<::std::string::String, Upstream>,
}
impl ::std::convert::From<&Base> for Base {
    fn from(value: &Base) -> Self {
        value.clone()
    }
}
///Index of a configuration published in parts.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BaseIndex {
    ///Keys of the parts.
    pub parts: ::std::vec::Vec<::std::string::String>,
    ///Sequence number of the configuration and of each part.
    pub sequence: u64,
}
impl ::std::convert::From<&BaseIndex> for BaseIndex {
    fn from(value: &BaseIndex) -> Self {
        value.clone()
    }
}
///Limits on what callers may send and for how long they may stay idle.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    ///Maximum size of the body of a request in bytes.
    pub body_bytes: ::std::num::NonZeroU64,
    ///Maximum size of the head of a request in bytes.
    pub header_bytes: ::std::num::NonZeroU32,
    ///Time in milliseconds within which the head of a request must be complete.
    pub header_timeout_ms: ::std::num::NonZeroU64,
    ///Time in milliseconds for which a connection may stay idle.
    pub idle_timeout_ms: ::std::num::NonZeroU64,
}
impl ::std::convert::From<&CallerLimits> for CallerLimits {
    fn from(value: &CallerLimits) -> Self {
        value.clone()
    }
}
///Whether an order takes its scope out of service or returns it to service.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum DrainAction {
    #[serde(rename = "drain")]
    Drain,
    #[serde(rename = "restore")]
    Restore,
}
impl ::std::convert::From<&Self> for DrainAction {
    fn from(value: &DrainAction) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for DrainAction {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Drain => f.write_str("drain"),
            Self::Restore => f.write_str("restore"),
        }
    }
}
impl ::std::str::FromStr for DrainAction {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "drain" => Ok(Self::Drain),
            "restore" => Ok(Self::Restore),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for DrainAction {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for DrainAction {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for DrainAction {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Order of an operator.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DrainOrder {
    pub action: DrainAction,
    ///Order number; the highest one for a scope is in force.
    pub number: ::std::num::NonZeroU64,
    pub scope: DrainScope,
}
impl ::std::convert::From<&DrainOrder> for DrainOrder {
    fn from(value: &DrainOrder) -> Self {
        value.clone()
    }
}
///Failure domain or VM that an order applies to.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum DrainScope {
    #[serde(rename = "domain")]
    Domain(Name),
    #[serde(rename = "vm")]
    Vm(Name),
}
impl ::std::convert::From<&Self> for DrainScope {
    fn from(value: &DrainScope) -> Self {
        value.clone()
    }
}
///Operators' orders that take failure domains and VMs out of service or return them to service.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct Drains(pub ::std::vec::Vec<DrainOrder>);
impl ::std::ops::Deref for Drains {
    type Target = ::std::vec::Vec<DrainOrder>;
    fn deref(&self) -> &::std::vec::Vec<DrainOrder> {
        &self.0
    }
}
impl ::std::convert::From<Drains> for ::std::vec::Vec<DrainOrder> {
    fn from(value: Drains) -> Self {
        value.0
    }
}
impl ::std::convert::From<&Drains> for Drains {
    fn from(value: &Drains) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<::std::vec::Vec<DrainOrder>> for Drains {
    fn from(value: ::std::vec::Vec<DrainOrder>) -> Self {
        Self(value)
    }
}
///Name of an organisation: visible ASCII characters.
///
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct Label(::std::string::String);
impl ::std::ops::Deref for Label {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<Label> for ::std::string::String {
    fn from(value: Label) -> Self {
        value.0
    }
}
impl ::std::convert::From<&Label> for Label {
    fn from(value: &Label) -> Self {
        value.clone()
    }
}
impl ::std::str::FromStr for Label {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        if value.chars().count() > 200usize {
            return Err("longer than 200 characters".into());
        }
        if value.chars().count() < 1usize {
            return Err("shorter than 1 characters".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for Label {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for Label {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Label {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for Label {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///Upstream that the platform lists on a VM.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ListedUpstream {
    ///Address of the upstream on its VM, as <ip>:<port>.
    pub address: ::std::net::SocketAddr,
    ///Time in milliseconds for which the upstream is cold after the change of the list.
    #[serde(default)]
    pub cold_ms: u64,
    pub name: Name,
    pub service: Name,
    ///Maximum number of concurrent requests of the upstream.
    pub slots: ::std::num::NonZeroU32,
    ///Start time of the upstream in milliseconds since the Unix epoch, by the clock of its VM.
    pub started: u64,
}
impl ::std::convert::From<&ListedUpstream> for ListedUpstream {
    fn from(value: &ListedUpstream) -> Self {
        value.clone()
    }
}
///HTTP method that a route can match.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum Method {
    #[serde(rename = "GET")]
    Get,
    #[serde(rename = "HEAD")]
    Head,
    #[serde(rename = "POST")]
    Post,
    #[serde(rename = "PUT")]
    Put,
    #[serde(rename = "PATCH")]
    Patch,
    #[serde(rename = "DELETE")]
    Delete,
    #[serde(rename = "OPTIONS")]
    Options,
}
impl ::std::convert::From<&Self> for Method {
    fn from(value: &Method) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for Method {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Get => f.write_str("GET"),
            Self::Head => f.write_str("HEAD"),
            Self::Post => f.write_str("POST"),
            Self::Put => f.write_str("PUT"),
            Self::Patch => f.write_str("PATCH"),
            Self::Delete => f.write_str("DELETE"),
            Self::Options => f.write_str("OPTIONS"),
        }
    }
}
impl ::std::str::FromStr for Method {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "GET" => Ok(Self::Get),
            "HEAD" => Ok(Self::Head),
            "POST" => Ok(Self::Post),
            "PUT" => Ok(Self::Put),
            "PATCH" => Ok(Self::Patch),
            "DELETE" => Ok(Self::Delete),
            "OPTIONS" => Ok(Self::Options),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Method {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for Method {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Method {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Name of a service, route, upstream, VM, failure domain or region.
///
#[derive(::serde::Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct Name(::std::string::String);
impl ::std::ops::Deref for Name {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<Name> for ::std::string::String {
    fn from(value: Name) -> Self {
        value.0
    }
}
impl ::std::convert::From<&Name> for Name {
    fn from(value: &Name) -> Self {
        value.clone()
    }
}
impl ::std::str::FromStr for Name {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        if value.chars().count() > 63usize {
            return Err("longer than 63 characters".into());
        }
        if value.chars().count() < 1usize {
            return Err("shorter than 1 characters".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for Name {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for Name {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Name {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for Name {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
///An organisation, whose callers present API keys.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    ///SHA-256 digests of the API keys, in 64 hexadecimal digits each.
    pub digests: ::std::vec::Vec<crate::organisation::KeyDigest>,
    pub name: Label,
    ///Priority of the organisation's calls, which takes precedence over that of the route; 0 is the highest.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub priority: ::std::option::Option<u8>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub quota: ::std::option::Option<QuotaRate>,
}
impl ::std::convert::From<&Organisation> for Organisation {
    fn from(value: &Organisation) -> Self {
        value.clone()
    }
}
///Changes to organisations. Once a note has added one, requests need an API key unless their route is public.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OrganisationChanges {
    ///Organisations to add; none may exist yet.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub add: ::std::vec::Vec<Organisation>,
    ///Organisations to replace; each must exist.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub change: ::std::vec::Vec<Organisation>,
    ///Names of organisations to remove; each must exist.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub withdraw: ::std::vec::Vec<Label>,
}
impl ::std::convert::From<&OrganisationChanges> for OrganisationChanges {
    fn from(value: &OrganisationChanges) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for OrganisationChanges {
    fn default() -> Self {
        Self {
            add: Default::default(),
            change: Default::default(),
            withdraw: Default::default(),
        }
    }
}
///Limit on the requests of an organisation over all nodes.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct QuotaRate {
    pub burst: f64,
    pub per_second: f64,
}
impl ::std::convert::From<&QuotaRate> for QuotaRate {
    fn from(value: &QuotaRate) -> Self {
        value.clone()
    }
}
///A release note: additions, changes and withdrawals that are applied atomically.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ReleaseNote {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub caller_limits: ::std::option::Option<CallerLimits>,
    ///Sequence number under which the note is published.
    pub note: u64,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub organisations: ::std::option::Option<OrganisationChanges>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub routes: ::std::option::Option<RouteChanges>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub services: ::std::option::Option<ServiceChanges>,
    ///Free-form description for operators.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub summary: ::std::option::Option<::std::string::String>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub upstreams: ::std::option::Option<UpstreamChanges>,
}
impl ::std::convert::From<&ReleaseNote> for ReleaseNote {
    fn from(value: &ReleaseNote) -> Self {
        value.clone()
    }
}
///Route from a path prefix to a service.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Route {
    ///Maximum number of upstreams that one call may be sent to.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub attempts: ::std::option::Option<::std::num::NonZeroU32>,
    ///Host that the route matches; if absent, the route matches all hosts.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub host: ::std::option::Option<::std::string::String>,
    ///Whether a request may run more than once; defaults to the idempotence of its HTTP method.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub idempotent: ::std::option::Option<bool>,
    ///HTTP methods of the route; an empty list matches all methods.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub methods: ::std::vec::Vec<Method>,
    pub name: Name,
    ///Path prefix; starts with a slash and matches whole segments.
    pub path: ::std::string::String,
    ///Priority of the route's calls under overload; 0 is the highest.
    #[serde(default)]
    pub priority: u8,
    ///Whether requests need no API key even if there are organisations.
    #[serde(default)]
    pub public: bool,
    pub service: Name,
    ///Services that share the calls by weight; used instead of `service`.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub split: ::std::vec::Vec<SplitPart>,
    ///Target latency in milliseconds.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub target_ms: ::std::option::Option<::std::num::NonZeroU64>,
    ///Maximum duration of a call in milliseconds.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 10000>")]
    pub timeout_ms: ::std::num::NonZeroU64,
}
impl ::std::convert::From<&Route> for Route {
    fn from(value: &Route) -> Self {
        value.clone()
    }
}
///Changes to routes.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RouteChanges {
    ///Routes to add; none may exist yet.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub add: ::std::vec::Vec<Route>,
    ///Routes to replace; each must exist.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub change: ::std::vec::Vec<Route>,
    ///Names of routes to remove; each must exist.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub withdraw: ::std::vec::Vec<Name>,
}
impl ::std::convert::From<&RouteChanges> for RouteChanges {
    fn from(value: &RouteChanges) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for RouteChanges {
    fn default() -> Self {
        Self {
            add: Default::default(),
            change: Default::default(),
            withdraw: Default::default(),
        }
    }
}
///A service.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Service {
    ///Time in milliseconds for which an upstream of the service is cold after it starts.
    #[serde(default)]
    pub cold_ms: u64,
    ///Requests per second that a cold upstream of the service can handle; if absent, sidecars estimate it.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub cold_per_second: ::std::option::Option<::std::num::NonZeroU32>,
    ///Path of the health check of the service's upstreams.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub health: ::std::option::Option<::std::string::String>,
    pub name: Name,
}
impl ::std::convert::From<&Service> for Service {
    fn from(value: &Service) -> Self {
        value.clone()
    }
}
///Changes to services.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServiceChanges {
    ///Services to add; none may exist yet.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub add: ::std::vec::Vec<Service>,
    ///Services to replace; each must exist.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub change: ::std::vec::Vec<Service>,
    ///Names of services to remove; each must exist.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub withdraw: ::std::vec::Vec<Name>,
}
impl ::std::convert::From<&ServiceChanges> for ServiceChanges {
    fn from(value: &ServiceChanges) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for ServiceChanges {
    fn default() -> Self {
        Self {
            add: Default::default(),
            change: Default::default(),
            withdraw: Default::default(),
        }
    }
}
///Share of a route's calls that is sent to one service.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SplitPart {
    pub service: Name,
    ///Weight of the part relative to the other parts.
    pub weight: ::std::num::NonZeroU32,
}
impl ::std::convert::From<&SplitPart> for SplitPart {
    fn from(value: &SplitPart) -> Self {
        value.clone()
    }
}
///Upstream: a server of a service on a VM.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    ///Address of the upstream on its VM, as <ip>:<port>.
    pub address: ::std::net::SocketAddr,
    ///Maximum number of connections that the upstream accepts.
    pub connections: ::std::num::NonZeroU32,
    pub domain: Name,
    pub name: Name,
    pub service: Name,
    ///Maximum number of concurrent requests of the upstream.
    pub slots: ::std::num::NonZeroU32,
    pub vm: Name,
}
impl ::std::convert::From<&Upstream> for Upstream {
    fn from(value: &Upstream) -> Self {
        value.clone()
    }
}
///Changes to upstreams.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct UpstreamChanges {
    ///Upstreams to add; none may exist yet.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub add: ::std::vec::Vec<Upstream>,
    ///Upstreams to replace; each must exist.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub change: ::std::vec::Vec<Upstream>,
    ///Names of upstreams to remove; each must exist.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub withdraw: ::std::vec::Vec<Name>,
}
impl ::std::convert::From<&UpstreamChanges> for UpstreamChanges {
    fn from(value: &UpstreamChanges) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for UpstreamChanges {
    fn default() -> Self {
        Self {
            add: Default::default(),
            change: Default::default(),
            withdraw: Default::default(),
        }
    }
}
///VM of the list.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    ///Address on which the VM's node accepts connections of other nodes, as <ip>:<port>.
    pub address: ::std::net::SocketAddr,
    pub domain: Name,
    pub region: Name,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub state: ::std::option::Option<VmState>,
    ///Upstreams that the platform lists on the VM, in addition to those of release notes.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub upstreams: ::std::vec::Vec<ListedUpstream>,
    pub vm: Name,
}
impl ::std::convert::From<&Vm> for Vm {
    fn from(value: &Vm) -> Self {
        value.clone()
    }
}
///State that the platform reports for a VM.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum VmState {
    #[serde(rename = "live")]
    Live,
    #[serde(rename = "leaving")]
    Leaving,
}
impl ::std::convert::From<&Self> for VmState {
    fn from(value: &VmState) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for VmState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Live => f.write_str("live"),
            Self::Leaving => f.write_str("leaving"),
        }
    }
}
impl ::std::str::FromStr for VmState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "live" => Ok(Self::Live),
            "leaving" => Ok(Self::Leaving),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for VmState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for VmState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for VmState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::default::Default for VmState {
    fn default() -> Self {
        VmState::Live
    }
}
///The platform's list of live and leaving VMs, which may lag behind the actual state.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Vms {
    ///Number of the list, which increases with every version.
    pub number: u64,
    ///Entries of the list.
    pub vms: ::std::vec::Vec<Vm>,
}
impl ::std::convert::From<&Vms> for Vms {
    fn from(value: &Vms) -> Self {
        value.clone()
    }
}
/// Generation of default values for serde.
pub mod defaults {
    pub(super) fn default_nzu64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<::std::num::NonZeroU64>,
        <T as ::std::convert::TryFrom<::std::num::NonZeroU64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(::std::num::NonZeroU64::try_from(V).unwrap()).unwrap()
    }
}
