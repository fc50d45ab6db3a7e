//! Bound on what the aliases of a YAML text expand to, and check for repeated keys.

use std::{cell::Cell, collections::BTreeSet, fmt};

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};

use crate::{border::parse::yaml_error, error::NoteError, locator};

/// Factor by which aliases may enlarge a text.
const MAX_GROWTH: usize = 2;
/// Size up to which any text may expand, in bytes and values.
const MIN_BOUND: usize = 1024;
/// Message by which an exceeded bound is told from other errors.
pub(super) const EXPANDED: &str = "aliases enlarge the text beyond twice its size";

/// End of the message about a repeated key.
const REPEATED: &str = "is repeated";

/// Walks over a text without keeping it.
///
/// # Errors
///
/// Returns an error when the text is not YAML, a key is repeated, or aliases blow it up.
pub(crate) fn check(text: &str) -> Result<(), NoteError> {
    let left = Cell::new(text.len().max(MIN_BOUND) * MAX_GROWTH);
    let walk = Walk { left: &left };
    let deserializer = serde_yaml_ng::Deserializer::from_str(text);
    walk.deserialize(deserializer)
        .map_err(|err| repeated(text, yaml_error(&err)))
}

/// Moves the error for a repeated key from the start of the map to the key.
fn repeated(text: &str, err: NoteError) -> NoteError {
    let key = err.reason().split('`').nth(1);
    let is_repeated = err.reason().ends_with(REPEATED);
    let line = key
        .filter(|_| is_repeated)
        .and_then(|key| locator::find_duplicate_key(text, err.line().unwrap_or(1), key));
    match line {
        Some(line) => err.at_line(line),
        None => err,
    }
}

/// Visitor that counts bytes and values.
#[derive(Clone, Copy)]
struct Walk<'a> {
    left: &'a Cell<usize>,
}

impl Walk<'_> {
    fn spend<E: Error>(self, bytes: usize) -> Result<(), E> {
        let left = self.left.get().checked_sub(bytes + 1);
        self.left.set(left.ok_or_else(|| E::custom(EXPANDED))?);
        Ok(())
    }
}

impl<'de> DeserializeSeed<'de> for Walk<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Walk<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a release note")
    }

    fn visit_bool<E: Error>(self, _: bool) -> Result<(), E> {
        self.spend(0)
    }

    fn visit_i64<E: Error>(self, _: i64) -> Result<(), E> {
        self.spend(0)
    }

    fn visit_i128<E: Error>(self, _: i128) -> Result<(), E> {
        self.spend(0)
    }

    fn visit_u64<E: Error>(self, _: u64) -> Result<(), E> {
        self.spend(0)
    }

    fn visit_u128<E: Error>(self, _: u128) -> Result<(), E> {
        self.spend(0)
    }

    fn visit_f64<E: Error>(self, _: f64) -> Result<(), E> {
        self.spend(0)
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<(), E> {
        self.spend(text.len())
    }

    fn visit_unit<E: Error>(self) -> Result<(), E> {
        self.spend(0)
    }

    fn visit_none<E: Error>(self) -> Result<(), E> {
        self.spend(0)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<(), A::Error> {
        self.spend(0)?;
        while items.next_element_seed(self)?.is_some() {}
        Ok(())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<(), A::Error> {
        self.spend(0)?;
        let mut keys = BTreeSet::new();
        while let Some(key) = entries.next_key::<String>()? {
            self.spend(key.len())?;
            if keys.contains(&key) {
                return Err(A::Error::custom(format!("the key `{key}` {REPEATED}")));
            }
            keys.insert(key);
            entries.next_value_seed(self)?;
        }
        Ok(())
    }
}
