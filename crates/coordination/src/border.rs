//! Values of the platform at the border: types generated from `schema/` and
//! their conversion to and from the internal ones.

mod config;
mod drains;
#[allow(
    clippy::all,
    clippy::unwrap_used,
    dead_code,
    missing_docs,
    private_interfaces,
    rustdoc::all,
    unreachable_pub
)]
#[rustfmt::skip]
mod generated;
mod nesting;
mod note;
mod parse;
mod shape;
mod unique_map;
mod vms;

pub(crate) use self::{
    generated::{Base, BaseIndex, Method, ReleaseNote, Route, Service, Upstream},
    parse::from_json,
};

pub use self::parse::parse_yaml;

use crate::{
    error::{Kind, NoteError},
    name::{MAX_NAME_BYTES, is_name},
    rule::Rule,
};

/// Highest size of a value in bytes, as the platform holds values up to a megabyte.
pub(crate) const MAX_VALUE_BYTES: usize = 1_000_000;
/// Longest path in bytes.
const MAX_PATH_BYTES: usize = 2048;

/// Checks a name of `kind` and converts it to its internal type.
fn name<N: for<'a> From<&'a str>>(kind: &str, name: &generated::Name) -> Result<N, NoteError> {
    if is_name(name) {
        return Ok(N::from(name.as_str()));
    }
    let reason = format!(
        "{kind} {:?}: a name has 1 to {MAX_NAME_BYTES} lower-case letters, digits, dashes, dots or underscores",
        name.as_str()
    );
    Err(NoteError::new(Rule::Name, reason))
}

/// Names the thing that holds a bad value.
fn about(kind: Kind, name: &generated::Name) -> impl Fn(NoteError) -> NoteError {
    move |err| err.about(kind, name.as_str())
}
