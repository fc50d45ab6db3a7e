//! Headers forwarded between callers and upstreams.

use awc::http::header::{HeaderMap, HeaderName, HeaderValue};
use wagtaillever_coordination::Dialect;

/// Headers that apply to a single connection or are set by the node itself.
const NOT_FORWARDED: &[&str] = &[
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns the headers of a request that are forwarded to an upstream.
pub(super) fn for_upstream<'a>(
    headers: &'a [(String, Vec<u8>)],
    dialect: &Dialect,
) -> impl Iterator<Item = (HeaderName, HeaderValue)> + use<'a> {
    let required = [dialect.call_id, dialect.deadline_ms];
    let optional = [dialect.hops, dialect.note, dialect.target_upstream];
    let optional = optional.into_iter().flatten();
    let set_by_node: Vec<&'static str> = required.into_iter().chain(optional).collect();
    headers
        .iter()
        .filter(move |(name, _)| is_forwarded(name) && !is_one_of(name, &set_by_node))
        .filter_map(|(name, value)| {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            let value = HeaderValue::from_bytes(value).ok()?;
            Some((name, value))
        })
}

/// Returns the headers of an answer that are forwarded to the caller.
pub(super) fn for_caller(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    headers
        .iter()
        .filter(|(name, _)| is_forwarded(name.as_str()))
        .map(|(name, value)| (name.as_str().to_string(), value.as_bytes().to_vec()))
        .collect()
}

fn is_forwarded(name: &str) -> bool {
    !is_one_of(name, NOT_FORWARDED)
}

fn is_one_of(name: &str, names: &[&str]) -> bool {
    names.iter().any(|other| name.eq_ignore_ascii_case(other))
}
