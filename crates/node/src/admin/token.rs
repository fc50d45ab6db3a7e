//! Check of the token that guards what changes anything.

use std::{hint::black_box, sync::Arc};

use actix_web::http::header::HeaderMap;

/// Guard of the requests that change anything.
#[derive(Clone)]
pub(crate) struct Guard {
    token: Option<Arc<str>>,
}

/// Why a request is not let through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Denial {
    /// The node's settings hold no token.
    Disabled,
    /// The request carries no token.
    Missing,
    /// The request carries another token.
    Wrong,
}

impl Guard {
    /// Returns a guard that compares with the token of the settings.
    pub(crate) fn new(token: Option<String>) -> Self {
        Self {
            token: token.map(Arc::from),
        }
    }

    /// Checks the token of a request.
    ///
    /// # Errors
    ///
    /// Returns why the request is not let through.
    pub(crate) fn check(&self, headers: &HeaderMap) -> Result<(), Denial> {
        let token = self.token.as_ref().ok_or(Denial::Disabled)?;
        let given = headers.get("authorization").ok_or(Denial::Missing)?;
        let given = given
            .as_bytes()
            .strip_prefix(b"Bearer ")
            .ok_or(Denial::Missing)?;
        if !equal_in_constant_time(token.as_bytes(), given) {
            return Err(Denial::Wrong);
        }
        Ok(())
    }
}

/// Compares without an early return, so that the time tells nothing but the length.
fn equal_in_constant_time(a: &[u8], b: &[u8]) -> bool {
    if a.len() != b.len() {
        return false;
    }
    let difference = a.iter().zip(b).fold(0, |sum, (a, b)| sum | (a ^ b));
    black_box(difference) == 0
}
