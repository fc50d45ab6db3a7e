//! Values of the platform's keys.

use std::sync::Arc;

use serde::de::DeserializeOwned;
use wagtaillever_coordination::{DrainOrder, PlatformValue, Sequence, VmList};

use super::error::SourceError;

/// Parses the value of a key other than `base`; `None` for keys that are not used.
///
/// # Errors
///
/// Returns an error when the value is not of the expected shape.
pub(super) fn parse(key: &str, text: &[u8]) -> Result<Option<PlatformValue>, SourceError> {
    if let Some(number) = key.strip_prefix("notes/") {
        let Ok(number) = number.parse() else {
            return Err(bad(key, &"the sequence is not a number"));
        };
        let text = Arc::from(text);
        return Ok(Some(PlatformValue::Note(Sequence(number), text)));
    }
    match key {
        "vms" => json::<VmList>(key, text).map(|list| Some(PlatformValue::Vms(list))),
        "drains" => {
            let orders = json::<Vec<DrainOrder>>(key, text);
            orders.map(|orders| Some(PlatformValue::Drains(orders)))
        }
        _ => Ok(None),
    }
}

/// Parses JSON.
///
/// # Errors
///
/// Returns an error when the text is not of the expected shape.
pub(super) fn json<T: DeserializeOwned>(key: &str, text: &[u8]) -> Result<T, SourceError> {
    serde_json::from_slice(text).map_err(|err| bad(key, &err))
}

/// Returns the error for a value that is not of the expected shape.
pub(super) fn bad(key: &str, reason: &impl ToString) -> SourceError {
    SourceError::BadValue {
        key: key.into(),
        reason: reason.to_string(),
    }
}
