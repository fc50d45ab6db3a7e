//! Request fingerprint that is equal for all resends of a request.

use xxhash_rust::xxh3::Xxh3Default;

use crate::ingress::{
    body::{BodyError, RequestBody},
    request::CallerRequest,
};

/// Headers that distinguish requests of different callers.
const CALLER_HEADERS: [&str; 2] = ["authorization", "x-caller"];

/// Returns the fingerprint of a request; waits for the prefix of its body.
///
/// # Errors
///
/// Returns an error if the body can't be received.
pub(super) async fn fingerprint(
    request: &CallerRequest,
    body: &RequestBody,
) -> Result<u64, BodyError> {
    let mut hash = Xxh3Default::new();
    hash_field(&mut hash, request.method.as_bytes());
    hash_field(&mut hash, request.target.as_bytes());
    hash_field(&mut hash, &request.length.unwrap_or(u64::MAX).to_le_bytes());
    if let Some(key) = &request.key {
        hash_field(&mut hash, key.as_str().as_bytes());
    }
    if let Some(organisation) = &request.organisation {
        hash_field(&mut hash, organisation.name.as_str().as_bytes());
    }
    let headers = request.headers.iter();
    for (name, value) in headers.filter(|(name, _)| CALLER_HEADERS.contains(&name.as_str())) {
        hash_field(&mut hash, name.as_bytes());
        hash_field(&mut hash, value);
    }
    body.read_prefix(|chunk| hash.update(chunk)).await?;
    Ok(hash.digest())
}

/// Hashes a field prefixed by its length, so that the boundaries between fields are unambiguous.
fn hash_field(hash: &mut Xxh3Default, field: &[u8]) {
    hash.update(&(field.len() as u64).to_le_bytes());
    hash.update(field);
}
