//! Parsing and routing of callers' requests.

use std::{
    cell::RefCell,
    sync::Arc,
    time::{Duration, Instant},
};

use actix_http::{Request, header::HeaderMap};
use uuid::Uuid;
use wagtaillever_coordination::{
    Dialect, IdempotencyKey, Method, Organisation, RequestKind, Route, RouteName, RouteTable,
    Sequence, ServiceName,
};

use crate::{
    ingress::{credential::Credential, routing::RoutingView},
    mutant::{self, Mutant},
    wire::RefusalReason,
};

/// Largest number of hops of a call.
const MAX_HOPS: u8 = 6;
/// Divisor that gives the reply margin as a fraction of the caller's timeout.
const REPLY_MARGIN_DIVISOR: u32 = 50;
/// Upper bound of the reply margin.
const MAX_REPLY_MARGIN: Duration = Duration::from_millis(20);
/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
/// Length of the longest call ID that is accepted from a caller. Call IDs are part of log lines.
const MAX_CALL_ID_BYTES: usize = 1024;

/// Request of a caller and its route.
pub(super) struct CallerRequest {
    /// Call ID, given by the caller or generated.
    pub(super) call_id: Arc<str>,
    /// Sequence of the configuration that routed the call.
    pub(super) sequence: Sequence,
    /// Value of the `host` header.
    pub(super) host: String,
    /// Route of the call.
    pub(super) route: Arc<Route>,
    /// Service to which the call is routed.
    pub(super) service: ServiceName,
    pub(super) method: String,
    /// Path and query.
    pub(super) target: String,
    /// Headers that are forwarded.
    pub(super) headers: Vec<(String, Vec<u8>)>,
    /// Organisation whose API key the request carries; `None` if the request needs no key.
    pub(super) organisation: Option<Arc<Organisation>>,
    credential: Credential,
    /// Configuration by which the key was checked.
    checked: Sequence,
    /// Length of the body in bytes, if it is known.
    pub(super) length: Option<u64>,
    /// Time at which the request arrived.
    pub(super) arrived: Instant,
    /// Time by which the call must be answered.
    pub(super) deadline: Instant,
    /// Time that the caller waits for the answer, if it states one.
    pub(super) caller_timeout: Option<Duration>,
    /// Hops of the call, including this one.
    pub(super) hops: u8,
    /// Whether the request may run more than once.
    pub(super) idempotent: bool,
    /// Idempotency key, if the request is not idempotent and has one.
    pub(super) key: Option<IdempotencyKey>,
}

impl CallerRequest {
    /// Parses and routes a request that arrived at `arrived`. `choose_service` selects the service
    /// on a route that splits its calls.
    ///
    /// # Errors
    ///
    /// Returns an error if no route matches or the request is invalid.
    pub(super) fn parse(
        request: &Request,
        routing: &RoutingView,
        header_rules: HeaderRules<'_>,
        choose_service: impl FnOnce(&Route) -> ServiceName,
        arrived: Instant,
    ) -> Result<Self, RequestError> {
        let headers = request.head().headers();
        let dialect = header_rules.dialect;
        let target = request.uri().path_and_query().map_or("/", |t| t.as_str());
        let host = header_text(headers, "host").unwrap_or_default();
        let routes = &routing.routes;
        let route = find_route(routes, host, request.method().as_str(), target)?;
        let mut credential = Credential::default();
        let mut forwarded = forwarded_headers(headers, header_rules);
        let organisation = credential
            .check(&mut forwarded, &routing.keys, route.public, dialect)
            .map_err(|reason| RequestError::Unauthorized(reason, route.name.clone()))?;
        let hops = hops(headers, dialect)?;
        let idempotent = is_idempotent(&route, request.method().as_str());
        let key = if idempotent {
            None
        } else {
            idempotency_key(headers, dialect)?
        };
        Ok(Self {
            call_id: call_id(headers, dialect)?,
            host: host.to_string(),
            service: choose_service(&route),
            sequence: routes.sequence(),
            method: request.method().to_string(),
            target: target.to_string(),
            headers: forwarded,
            organisation,
            credential,
            checked: routes.sequence(),
            length: length(headers),
            arrived,
            caller_timeout: caller_timeout(headers, dialect),
            deadline: arrived + time_limit(headers, &route, dialect),
            hops,
            idempotent,
            key,
            route,
        })
    }

    /// Routes the request again by a newer table. Returns false and changes nothing if no route
    /// matches or the request would change between idempotent and not.
    pub(super) fn reroute(
        &mut self,
        routes: &RouteTable,
        choose_service: impl FnOnce(&Route) -> ServiceName,
    ) -> bool {
        let Ok(route) = find_route(routes, &self.host, &self.method, &self.target) else {
            return false;
        };
        if is_idempotent(&route, &self.method) != self.idempotent {
            return false;
        }
        if !route.services().any(|service| *service == self.service) {
            self.service = choose_service(&route);
        }
        self.route = route;
        self.sequence = routes.sequence();
        true
    }

    /// Checks the API key again by a newer configuration.
    ///
    /// # Errors
    ///
    /// Returns the reason to refuse the request if its key is not known any more.
    pub(super) fn check_key(
        &mut self,
        routing: &RoutingView,
        dialect: &Dialect,
    ) -> Result<(), RefusalReason> {
        let sequence = routing.routes.sequence();
        if self.checked == sequence {
            return Ok(());
        }
        let route = find_route(&routing.routes, &self.host, &self.method, &self.target);
        let is_public = route.map_or(self.route.public, |route| route.public);
        let keys = &routing.keys;
        let credential = &mut self.credential;
        self.organisation = credential.check(&mut self.headers, keys, is_public, dialect)?;
        self.checked = sequence;
        Ok(())
    }

    /// Returns the headers of an attempt, with the organisation.
    pub(super) fn attempt_headers(&self, dialect: &Dialect) -> Vec<(String, Vec<u8>)> {
        let mut headers = self.headers.clone();
        if let (Some(header), Some(organisation)) = (dialect.organisation, &self.organisation) {
            headers.push((header.into(), organisation.name.as_str().into()));
        }
        headers
    }

    /// Returns the priority of the request; 0 is the highest.
    pub(super) fn priority(&self) -> u8 {
        let organisation = self.organisation.as_ref();
        let priority = organisation.and_then(|organisation| organisation.priority);
        priority.unwrap_or(self.route.priority)
    }

    /// Returns the kind of the request, which decides how it may be resent.
    pub(super) fn kind(&self) -> RequestKind {
        match (self.idempotent, &self.key) {
            (true, _) => RequestKind::Idempotent,
            (false, Some(_)) => RequestKind::Keyed,
            (false, None) => RequestKind::Plain,
        }
    }

    /// Returns the time that the caller is willing to wait, if it states one.
    pub(super) fn stated_wait(&self) -> Option<StatedWait> {
        self.caller_timeout.map(|time| StatedWait {
            route: self.route.name.clone(),
            time,
        })
    }

    /// Returns the time until the deadline, or zero after it.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Reason for rejecting a request before its first attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RequestError {
    /// No route matches the request.
    NoRoute,
    /// The request has no known API key, which its route needs.
    Unauthorized(RefusalReason, RouteName),
    /// The request has a malformed header or too many hops.
    Invalid(RefusalReason),
}

/// Returns the name by which the calls in flight of a caller are counted: its `x-caller` header or
/// its IP address.
pub(super) fn caller_name(request: &Request) -> Arc<str> {
    let named = header_text(request.head().headers(), "x-caller");
    if let Some(name) = named.filter(|name| !name.is_empty()) {
        return name.into();
    }
    let peer = request.peer_addr().map(|peer| peer.ip().to_string());
    peer.unwrap_or_default().into()
}

thread_local! {
    /// Headers of the previous request, for the injected fault `CrossedAnswers`.
    static PREVIOUS_HEADERS: RefCell<Vec<(String, Vec<u8>)>> = const { RefCell::new(Vec::new()) };
}

/// Time that a caller is willing to wait for a request.
#[derive(Clone, Debug)]
pub(super) struct StatedWait {
    pub(super) route: RouteName,
    pub(super) time: Duration,
}

/// Header names of the deployment and the caller service that the node sets.
#[derive(Clone, Copy)]
pub(super) struct HeaderRules<'a> {
    /// Header names.
    pub(super) dialect: &'a Dialect,
    /// Service of the upstream on the node's own VM, which makes the calls.
    pub(super) caller_service: Option<&'a ServiceName>,
}

impl HeaderRules<'_> {
    /// Returns whether a header is not forwarded because nodes set it themselves or carry its value
    /// in the call head.
    fn is_reserved(self, name: &str) -> bool {
        let Dialect {
            call_id,
            deadline_ms,
            hops,
            note,
            caller_service,
            target_upstream,
            ..
        } = *self.dialect;
        let always = [call_id, deadline_ms, "content-length"];
        let optional = [hops, note, caller_service, target_upstream];
        always.contains(&name) || optional.contains(&Some(name))
    }
}

/// Returns the headers that are forwarded to the next hop.
pub(super) fn forwarded_headers(
    headers: &HeaderMap,
    header_rules: HeaderRules<'_>,
) -> Vec<(String, Vec<u8>)> {
    let connection_headers: Vec<String> = connection_options(headers);
    let mut forwarded: Vec<_> = headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(&name.as_str()))
        .filter(|(name, _)| !header_rules.is_reserved(name.as_str()))
        .filter(|(name, _)| {
            !connection_headers
                .iter()
                .any(|option| option == name.as_str())
        })
        .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
        .collect();
    if let (Some(header), Some(service)) = (
        header_rules.dialect.caller_service,
        header_rules.caller_service,
    ) {
        forwarded.push((header.into(), service.as_str().into()));
    }
    if mutant::is_enabled(Mutant::CrossedAnswers) {
        return PREVIOUS_HEADERS.replace(forwarded);
    }
    forwarded
}

fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all("connection");
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|option| option.trim().to_ascii_lowercase())
        .collect()
}

fn find_route(
    routes: &RouteTable,
    host: &str,
    method: &str,
    target: &str,
) -> Result<Arc<Route>, RequestError> {
    let method = Method::from_name(method).ok_or(RequestError::NoRoute)?;
    let route = routes.find(host, method, target);
    route.cloned().ok_or(RequestError::NoRoute)
}

fn is_idempotent(route: &Route, method: &str) -> bool {
    let by_method = Method::from_name(method).is_some_and(Method::is_idempotent);
    route.idempotent.unwrap_or(by_method)
}

fn hops(headers: &HeaderMap, dialect: &Dialect) -> Result<u8, RequestError> {
    let Some(hops) = dialect.hops.and_then(|name| header_text(headers, name)) else {
        return Ok(1);
    };
    match hops.parse::<u8>() {
        Ok(hops) if hops < MAX_HOPS => Ok(hops + 1),
        _ => Err(RequestError::Invalid(RefusalReason::TooManyHops)),
    }
}

fn idempotency_key(
    headers: &HeaderMap,
    dialect: &Dialect,
) -> Result<Option<IdempotencyKey>, RequestError> {
    let Some(name) = dialect.idempotency_key else {
        return Ok(None);
    };
    let mut keys = headers.get_all(name);
    let Some(key) = keys.next() else {
        return Ok(None);
    };
    let bad_key = || RequestError::Invalid(RefusalReason::BadKey);
    if keys.next().is_some() {
        return Err(bad_key());
    }
    let key = key.to_str().map_err(|_| bad_key())?;
    let key = IdempotencyKey::parse(key).map_err(|_| bad_key())?;
    Ok(Some(key))
}

fn call_id(headers: &HeaderMap, dialect: &Dialect) -> Result<Arc<str>, RequestError> {
    let Some(given) = headers.get(dialect.call_id).filter(|id| !id.is_empty()) else {
        return Ok(Uuid::now_v7().to_string().into());
    };
    match given.to_str() {
        Ok(id) if id.len() <= MAX_CALL_ID_BYTES => Ok(id.into()),
        _ => Err(RequestError::Invalid(RefusalReason::BadCallId)),
    }
}

fn length(headers: &HeaderMap) -> Option<u64> {
    if headers.contains_key("transfer-encoding") {
        return None;
    }
    let length = header_text(headers, "content-length").and_then(|text| text.parse().ok());
    Some(length.unwrap_or(0))
}

/// Returns the time within which the call must be answered: the timeout of the route or, if that is
/// shorter, the caller's timeout less the reply margin, so that the reply arrives before the caller
/// gives up.
fn time_limit(headers: &HeaderMap, route: &Route, dialect: &Dialect) -> Duration {
    let limit = Duration::from_millis(route.timeout_ms);
    let timeout = caller_timeout(headers, dialect);
    timeout.map_or(limit, |timeout| limit.min(timeout - reply_margin(timeout)))
}

fn caller_timeout(headers: &HeaderMap, dialect: &Dialect) -> Option<Duration> {
    let timeout = header_text(headers, dialect.deadline_ms).and_then(|text| text.parse().ok());
    timeout.map(Duration::from_millis)
}

/// Returns the part of the caller's timeout that is reserved for the reply to reach it.
fn reply_margin(timeout: Duration) -> Duration {
    (timeout / REPLY_MARGIN_DIVISOR).min(MAX_REPLY_MARGIN)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
