//! API keys that callers present.

use std::sync::Arc;

use wagtaillever_coordination::{Dialect, KeyDigest, KeyTable, Organisation};

use crate::wire::RefusalReason;

/// Scheme of the header that carries an API key.
const SCHEME: &[u8] = b"bearer";

/// API key of a request, of which only the digest is kept.
#[derive(Default)]
pub(super) struct Credential {
    digest: Option<KeyDigest>,
}

impl Credential {
    /// Returns the organisation of a request, or `None` if there are no organisations or the route
    /// is public.
    ///
    /// If there are organisations, the key and any organisation that the caller stated are removed
    /// from the headers, which are forwarded.
    ///
    /// # Errors
    ///
    /// Returns the reason to refuse the request if it needs a key and has no known one.
    pub(super) fn check(
        &mut self,
        headers: &mut Vec<(String, Vec<u8>)>,
        keys: &KeyTable,
        is_public: bool,
        dialect: &Dialect,
    ) -> Result<Option<Arc<Organisation>>, RefusalReason> {
        if !keys.has_organisations() {
            return Ok(None);
        }
        self.take(headers, dialect);
        if is_public {
            return Ok(None);
        }
        let reason = match self.digest.map(|digest| keys.find(digest)) {
            Some(Some(organisation)) => return Ok(Some(Arc::clone(organisation))),
            Some(None) => RefusalReason::UnknownApiKey,
            None => RefusalReason::NoApiKey,
        };
        let cause = if reason == RefusalReason::NoApiKey {
            "missing"
        } else {
            "unknown"
        };
        metrics::counter!("api_keys_rejected_total", "cause" => cause).increment(1);
        Err(reason)
    }

    /// Removes the headers that are not forwarded and keeps the digest of the key in them.
    fn take(&mut self, headers: &mut Vec<(String, Vec<u8>)>, dialect: &Dialect) {
        let is_key = |name: &str| dialect.api_key == Some(name);
        let mut values = headers.iter().filter(|(name, _)| is_key(name));
        if let (Some((_, value)), None) = (values.next(), values.next()) {
            self.digest = bearer_key(value).map(KeyDigest::of);
        }
        headers.retain(|(name, _)| !is_key(name) && dialect.organisation != Some(name));
    }
}

/// Returns the key in the value of a header, or `None` if the value has another scheme or no key.
fn bearer_key(value: &[u8]) -> Option<&[u8]> {
    let (scheme, key) = value.trim_ascii().split_at_checked(SCHEME.len())?;
    let is_separated = key.first() == Some(&b' ');
    let key = key.trim_ascii();
    let is_bearer = scheme.eq_ignore_ascii_case(SCHEME) && is_separated;
    (is_bearer && !key.is_empty()).then_some(key)
}
