//! Checks the bearer token of requests that change state.

use std::{hint::black_box, sync::Arc};

use actix_web::http::header::HeaderMap;

/// Guard of the requests that change state.
#[derive(Clone)]
pub(crate) struct Guard {
    token: Option<Arc<str>>,
}

/// Reason why a request is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Denial {
    /// The node's settings contain no token.
    Disabled,
    /// The request contains no bearer token.
    Missing,
    /// The token of the request does not match.
    Wrong,
}

impl Guard {
    /// Creates a guard for the token of the settings.
    pub(crate) fn new(token: Option<String>) -> Self {
        Self {
            token: token.map(Arc::from),
        }
    }

    /// Checks the bearer token of a request.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is denied.
    pub(crate) fn check(&self, headers: &HeaderMap) -> Result<(), Denial> {
        let token = self.token.as_ref().ok_or(Denial::Disabled)?;
        let given = headers.get("authorization").ok_or(Denial::Missing)?;
        let given = given
            .as_bytes()
            .strip_prefix(b"Bearer ")
            .ok_or(Denial::Missing)?;
        if !is_equal_in_constant_time(token.as_bytes(), given) {
            return Err(Denial::Wrong);
        }
        Ok(())
    }
}

/// Compares without an early return, so that the duration reveals nothing but the length.
fn is_equal_in_constant_time(a: &[u8], b: &[u8]) -> bool {
    if a.len() != b.len() {
        return false;
    }
    let difference = a.iter().zip(b).fold(0, |sum, (a, b)| sum | (a ^ b));
    black_box(difference) == 0
}
