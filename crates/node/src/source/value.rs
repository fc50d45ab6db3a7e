//! Parser of the values that the platform stores.

use std::sync::Arc;

use wagtaillever_coordination::{DrainOrder, PlatformValue, Sequence, VmList};

use super::error::SourceError;

/// Parses the value of a key other than `base`. Returns `None` for keys that nodes don't use.
///
/// # Errors
///
/// Returns an error if the value does not have the expected format.
pub(super) fn parse_value(key: &str, text: &[u8]) -> Result<Option<PlatformValue>, SourceError> {
    if let Some(number) = key.strip_prefix("notes/") {
        let Ok(number) = number.parse() else {
            return Err(bad_value(key, &"the sequence is not a number"));
        };
        let text = Arc::from(text);
        return Ok(Some(PlatformValue::Note(Sequence(number), text)));
    }
    match key {
        "vms" => VmList::parse(text)
            .map(|list| Some(PlatformValue::Vms(list)))
            .map_err(|err| bad_value(key, &err)),
        "drains" => {
            let orders = DrainOrder::parse_list(text);
            orders
                .map(|orders| Some(PlatformValue::Drains(orders)))
                .map_err(|err| bad_value(key, &err))
        }
        _ => Ok(None),
    }
}

/// Returns the error for a value that does not have the expected format.
pub(super) fn bad_value(key: &str, reason: &impl ToString) -> SourceError {
    SourceError::BadValue {
        key: key.into(),
        reason: reason.to_string(),
    }
}
