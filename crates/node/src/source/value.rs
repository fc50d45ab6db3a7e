//! Values of the platform's keys.

use std::sync::Arc;

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
        "vms" => VmList::parse(text)
            .map(|list| Some(PlatformValue::Vms(list)))
            .map_err(|err| bad(key, &err)),
        "drains" => {
            let orders = DrainOrder::parse_list(text);
            orders
                .map(|orders| Some(PlatformValue::Drains(orders)))
                .map_err(|err| bad(key, &err))
        }
        _ => Ok(None),
    }
}

/// Returns the error for a value that is not of the expected shape.
pub(super) fn bad(key: &str, reason: &impl ToString) -> SourceError {
    SourceError::BadValue {
        key: key.into(),
        reason: reason.to_string(),
    }
}
