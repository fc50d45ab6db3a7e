//! Limits alias expansion in a YAML document and rejects duplicate keys.

use std::{cell::Cell, collections::BTreeSet, fmt};

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};

use crate::{border::parse::yaml_error, error::NoteError, locator};

/// Maximum ratio of a document's size with aliases expanded to its source size.
const MAX_EXPANSION_RATIO: usize = 2;
/// Smallest source size that the expansion limit assumes, in bytes and values.
const MIN_SOURCE_SIZE: usize = 1024;
/// Error message for exceeding the expansion limit; `yaml_error` recognises the error by it.
pub(super) const EXPANSION_MESSAGE: &str = "aliases enlarge the text beyond twice its size";

/// End of the error message for a duplicate key; `locate_duplicate_key` recognises the error by it.
const DUPLICATE_KEY_SUFFIX: &str = "is repeated";

/// Checks the expanded size and the map keys of a document without building it.
///
/// # Errors
///
/// Returns an error if the text is not YAML, a key is repeated, or alias expansion exceeds the
/// limit.
pub(crate) fn check(text: &str) -> Result<(), NoteError> {
    let remaining = Cell::new(text.len().max(MIN_SOURCE_SIZE) * MAX_EXPANSION_RATIO);
    let visitor = SizeVisitor {
        remaining: &remaining,
    };
    let deserializer = serde_yaml_ng::Deserializer::from_str(text);
    visitor
        .deserialize(deserializer)
        .map_err(|err| locate_duplicate_key(text, yaml_error(&err)))
}

/// Moves the line of a duplicate-key error from the start of the map to the second key.
fn locate_duplicate_key(text: &str, err: NoteError) -> NoteError {
    let key = err.reason().split('`').nth(1);
    let is_duplicate = err.reason().ends_with(DUPLICATE_KEY_SUFFIX);
    let line = key
        .filter(|_| is_duplicate)
        .and_then(|key| locator::find_duplicate_key(text, err.line().unwrap_or(1), key));
    match line {
        Some(line) => err.with_line(line),
        None => err,
    }
}

/// Visitor that deducts the bytes and values it visits from a shared budget.
#[derive(Clone, Copy)]
struct SizeVisitor<'a> {
    remaining: &'a Cell<usize>,
}

impl SizeVisitor<'_> {
    fn consume<E: Error>(self, bytes: usize) -> Result<(), E> {
        let remaining = self.remaining.get().checked_sub(bytes + 1);
        self.remaining
            .set(remaining.ok_or_else(|| E::custom(EXPANSION_MESSAGE))?);
        Ok(())
    }
}

impl<'de> DeserializeSeed<'de> for SizeVisitor<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for SizeVisitor<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a release note")
    }

    fn visit_bool<E: Error>(self, _: bool) -> Result<(), E> {
        self.consume(0)
    }

    fn visit_i64<E: Error>(self, _: i64) -> Result<(), E> {
        self.consume(0)
    }

    fn visit_i128<E: Error>(self, _: i128) -> Result<(), E> {
        self.consume(0)
    }

    fn visit_u64<E: Error>(self, _: u64) -> Result<(), E> {
        self.consume(0)
    }

    fn visit_u128<E: Error>(self, _: u128) -> Result<(), E> {
        self.consume(0)
    }

    fn visit_f64<E: Error>(self, _: f64) -> Result<(), E> {
        self.consume(0)
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<(), E> {
        self.consume(text.len())
    }

    fn visit_unit<E: Error>(self) -> Result<(), E> {
        self.consume(0)
    }

    fn visit_none<E: Error>(self) -> Result<(), E> {
        self.consume(0)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<(), A::Error> {
        self.consume(0)?;
        while items.next_element_seed(self)?.is_some() {}
        Ok(())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<(), A::Error> {
        self.consume(0)?;
        let mut keys = BTreeSet::new();
        while let Some(key) = entries.next_key::<String>()? {
            self.consume(key.len())?;
            if keys.contains(&key) {
                return Err(A::Error::custom(format!(
                    "the key `{key}` {DUPLICATE_KEY_SUFFIX}"
                )));
            }
            keys.insert(key);
            entries.next_value_seed(self)?;
        }
        Ok(())
    }
}
