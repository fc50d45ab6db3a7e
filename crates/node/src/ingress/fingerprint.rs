//! Fingerprint that is equal for resends of one request.

use xxhash_rust::xxh3::Xxh3Default;

use crate::ingress::{
    body::{CallerGone, RequestBody},
    request::CallerRequest,
};

/// Headers whose values tell requests of different callers apart.
const HEADERS: [&str; 2] = ["authorization", "x-caller"];

/// Returns the fingerprint of a request, which waits for the first bytes of its body.
///
/// # Errors
///
/// Returns an error when the caller breaks off.
pub(super) async fn fingerprint(
    request: &CallerRequest,
    body: &RequestBody,
) -> Result<u64, CallerGone> {
    let mut hash = Xxh3Default::new();
    add(&mut hash, request.method.as_bytes());
    add(&mut hash, request.target.as_bytes());
    add(&mut hash, &request.length.unwrap_or(u64::MAX).to_le_bytes());
    if let Some(key) = &request.key {
        add(&mut hash, key.as_str().as_bytes());
    }
    let headers = request.headers.iter();
    for (name, value) in headers.filter(|(name, _)| HEADERS.contains(&name.as_str())) {
        add(&mut hash, name.as_bytes());
        add(&mut hash, value);
    }
    body.prefix(|part| hash.update(part)).await?;
    Ok(hash.digest())
}

/// Adds a field with its length, so that bytes can't move from one field to the next.
fn add(hash: &mut Xxh3Default, field: &[u8]) {
    hash.update(&(field.len() as u64).to_le_bytes());
    hash.update(field);
}
