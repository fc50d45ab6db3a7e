//! What the ingress reads from a caller's request.

use std::{
    cell::RefCell,
    sync::Arc,
    time::{Duration, Instant},
};

use actix_web::{HttpRequest, http::header::HeaderMap};
use uuid::Uuid;
use wagtaillever_coordination::{
    Dialect, IdempotencyKey, Method, RequestKind, Route, RouteTable, Sequence, ServiceName,
};

use crate::{
    mutant::{self, Mutant},
    wire::RefusalReason,
};

/// Hops that a call may take.
const MAX_HOPS: u8 = 6;
/// Part of a caller's time that is set aside for the way back, as a divisor.
const WAY_BACK_SHARE: u32 = 50;
/// Longest time that is set aside for the way back.
const MAX_WAY_BACK: Duration = Duration::from_millis(20);
/// Headers that hold for one connection only.
const HOP_HEADERS: [&str; 9] = [
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
/// Longest identity of a call in bytes that is passed on.
const MAX_CALL_ID_BYTES: usize = 128;

/// Request of a caller with the route that it takes.
pub(super) struct CallerRequest {
    /// Identity of the call.
    pub(super) call: Arc<str>,
    /// Sequence of the configuration that routed the call.
    pub(super) sequence: Sequence,
    /// Host that the caller named.
    pub(super) host: String,
    /// Route that the call takes.
    pub(super) route: Arc<Route>,
    /// Service to which the call goes.
    pub(super) service: ServiceName,
    /// HTTP method.
    pub(super) method: String,
    /// Path and query.
    pub(super) target: String,
    /// Headers that are passed on.
    pub(super) headers: Vec<(String, Vec<u8>)>,
    /// Length of the body in bytes, if it is known.
    pub(super) length: Option<u64>,
    /// Time at which the request arrived.
    pub(super) arrived: Instant,
    /// Time by which the caller must have an answer.
    pub(super) deadline: Instant,
    /// Time for which the caller waits, if it tells.
    pub(super) patience: Option<Duration>,
    /// Hops that the call has taken, this one included.
    pub(super) hops: u8,
    /// Whether the request may run more than once.
    pub(super) idempotent: bool,
    /// Idempotency key, on a route that is not idempotent.
    pub(super) key: Option<IdempotencyKey>,
}

impl CallerRequest {
    /// Reads a request that arrived at `arrived`; `choose` divides the calls of a route.
    ///
    /// # Errors
    ///
    /// Returns the cause for which the request is refused.
    pub(super) fn read(
        request: &HttpRequest,
        routes: &RouteTable,
        words: Words<'_>,
        choose: impl FnOnce(&Route) -> ServiceName,
        arrived: Instant,
    ) -> Result<Self, ReadError> {
        let headers = request.headers();
        let dialect = words.dialect;
        let target = request.uri().path_and_query().map_or("/", |t| t.as_str());
        let host = text(headers, "host").unwrap_or_default();
        let route = find_route(routes, host, request.method().as_str(), target)?;
        let hops = hops(headers, dialect)?;
        let idempotent = is_idempotent(&route, request.method().as_str());
        let key = if idempotent { None } else { key(headers)? };
        Ok(Self {
            call: call_id(headers, dialect),
            host: host.to_string(),
            service: choose(&route),
            sequence: routes.sequence(),
            method: request.method().to_string(),
            target: target.to_string(),
            headers: passed_on(headers, words),
            length: length(headers),
            arrived,
            patience: patience(headers, dialect),
            deadline: arrived + time_left(headers, &route, dialect),
            hops,
            idempotent,
            key,
            route,
        })
    }

    /// Routes the request by a newer table, and returns whether its kind is still the same.
    pub(super) fn reroute(
        &mut self,
        routes: &RouteTable,
        choose: impl FnOnce(&Route) -> ServiceName,
    ) -> bool {
        let Ok(route) = find_route(routes, &self.host, &self.method, &self.target) else {
            return false;
        };
        if is_idempotent(&route, &self.method) != self.idempotent {
            return false;
        }
        if !route.services().any(|service| *service == self.service) {
            self.service = choose(&route);
        }
        self.route = route;
        self.sequence = routes.sequence();
        true
    }

    /// Returns what the request allows.
    pub(super) fn kind(&self) -> RequestKind {
        match (self.idempotent, &self.key) {
            (true, _) => RequestKind::Idempotent,
            (false, Some(_)) => RequestKind::Keyed,
            (false, None) => RequestKind::Plain,
        }
    }

    /// Returns the time that is left until the deadline.
    pub(super) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Why a request is refused before it is routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadError {
    /// No route takes the request.
    NoRoute,
    /// The request breaks a rule.
    Rule(RefusalReason),
}

/// Returns the name under which a caller shares the node with others.
pub(super) fn caller_name(request: &HttpRequest) -> Arc<str> {
    let named = text(request.headers(), "x-caller");
    if let Some(name) = named.filter(|name| !name.is_empty()) {
        return name.into();
    }
    let peer = request.peer_addr().map(|peer| peer.ip().to_string());
    peer.unwrap_or_default().into()
}

thread_local! {
    /// Headers of the request before, for a deliberate fault.
    static BEFORE: RefCell<Vec<(String, Vec<u8>)>> = const { RefCell::new(Vec::new()) };
}

/// Headers of the deployment and what the node tells in them of its own VM.
#[derive(Clone, Copy)]
pub(super) struct Words<'a> {
    /// Names of the headers.
    pub(super) dialect: &'a Dialect,
    /// Service of the VM on which calls begin.
    pub(super) origin: Option<&'a ServiceName>,
}

impl Words<'_> {
    /// Returns whether nodes set a header anew, or its content travels apart.
    fn is_own(self, name: &str) -> bool {
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
        let some = [hops, note, caller_service, target_upstream];
        always.contains(&name) || some.contains(&Some(name))
    }
}

/// Returns the headers that are passed on to the next hop.
pub(super) fn passed_on(headers: &HeaderMap, words: Words<'_>) -> Vec<(String, Vec<u8>)> {
    let named: Vec<String> = connection_options(headers);
    let mut own: Vec<_> = headers
        .iter()
        .filter(|(name, _)| !HOP_HEADERS.contains(&name.as_str()))
        .filter(|(name, _)| !words.is_own(name.as_str()))
        .filter(|(name, _)| !named.iter().any(|option| option == name.as_str()))
        .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
        .collect();
    if let (Some(header), Some(origin)) = (words.dialect.caller_service, words.origin) {
        own.push((header.into(), origin.as_str().into()));
    }
    if mutant::is_on(Mutant::CrossedAnswers) {
        return BEFORE.replace(own);
    }
    own
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
) -> Result<Arc<Route>, ReadError> {
    let method = Method::from_name(method).ok_or(ReadError::NoRoute)?;
    let route = routes.find(host, method, target);
    route.cloned().ok_or(ReadError::NoRoute)
}

fn is_idempotent(route: &Route, method: &str) -> bool {
    let by_method = Method::from_name(method).is_some_and(Method::is_idempotent);
    route.idempotent.unwrap_or(by_method)
}

fn hops(headers: &HeaderMap, dialect: &Dialect) -> Result<u8, ReadError> {
    let Some(hops) = dialect.hops.and_then(|name| text(headers, name)) else {
        return Ok(1);
    };
    match hops.parse::<u8>() {
        Ok(hops) if hops < MAX_HOPS => Ok(hops + 1),
        _ => Err(ReadError::Rule(RefusalReason::TooManyHops)),
    }
}

fn key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, ReadError> {
    let mut keys = headers.get_all("idempotency-key");
    let Some(key) = keys.next() else {
        return Ok(None);
    };
    let bad = ReadError::Rule(RefusalReason::BadKey);
    if keys.next().is_some() {
        return Err(bad);
    }
    let key = key.to_str().map_err(|_| bad)?;
    let key = IdempotencyKey::parse(key).map_err(|_| bad)?;
    Ok(Some(key))
}

fn call_id(headers: &HeaderMap, dialect: &Dialect) -> Arc<str> {
    let given = text(headers, dialect.call_id);
    let given = given.filter(|id| !id.is_empty() && id.len() <= MAX_CALL_ID_BYTES);
    given.map_or_else(|| Uuid::now_v7().to_string().into(), Arc::from)
}

fn length(headers: &HeaderMap) -> Option<u64> {
    if headers.contains_key("transfer-encoding") {
        return None;
    }
    let length = text(headers, "content-length").and_then(|text| text.parse().ok());
    Some(length.unwrap_or(0))
}

/// Returns the time within which the call must be answered. A caller that says how long it waits
/// is answered a little earlier, so that it still has the answer when it gives up.
fn time_left(headers: &HeaderMap, route: &Route, dialect: &Dialect) -> Duration {
    let limit = Duration::from_millis(route.timeout_ms);
    let asked = patience(headers, dialect);
    asked.map_or(limit, |asked| limit.min(asked - way_back(asked)))
}

fn patience(headers: &HeaderMap, dialect: &Dialect) -> Option<Duration> {
    let asked = text(headers, dialect.deadline_ms).and_then(|text| text.parse().ok());
    asked.map(Duration::from_millis)
}

/// Returns the time that is set aside for the way back to a caller.
fn way_back(asked: Duration) -> Duration {
    (asked / WAY_BACK_SHARE).min(MAX_WAY_BACK)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
