//! Wire format of platform values: types generated from `schema/` and their conversion to the
//! internal types.

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
mod organisation;
mod parse;
mod shape;
mod unique_map;
mod vms;

pub(crate) use self::{
    generated::{
        Base, BaseIndex, CallerLimits, Method, Organisation, ReleaseNote, Route, Service, Upstream,
    },
    parse::from_json,
};

pub use self::parse::parse_yaml;

use crate::{
    error::{Kind, NoteError},
    name::{MAX_NAME_BYTES, is_name},
    rule::Rule,
};

/// Largest value accepted from the platform, which stores values of up to a megabyte.
pub(crate) const MAX_VALUE_BYTES: usize = 1_000_000;
/// Longest accepted route path.
const MAX_PATH_BYTES: usize = 2048;

/// Validates the name of a resource of `kind` and converts it to its internal type.
fn convert_name<N: for<'a> From<&'a str>>(
    kind: &str,
    name: &generated::Name,
) -> Result<N, NoteError> {
    if is_name(name) {
        return Ok(N::from(name.as_str()));
    }
    let reason = format!(
        "{kind} {:?}: a name has 1 to {MAX_NAME_BYTES} lower-case letters, digits, dashes, dots or underscores",
        name.as_str()
    );
    Err(NoteError::new(Rule::Name, reason))
}

/// Validates a name that may hold any visible ASCII characters and converts it to its internal type.
fn convert_label<N: for<'a> From<&'a str>>(
    kind: Kind,
    label: &generated::Label,
) -> Result<N, NoteError> {
    if label.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Ok(N::from(label.as_str()));
    }
    let reason = format!(
        "{} {:?}: the name may hold only visible ASCII characters",
        kind.as_str(),
        label.as_str()
    );
    Err(NoteError::new(Rule::Name, reason).with_subject(kind, label.as_str()))
}

/// Returns a function that adds the enclosing resource to an error as its subject.
fn with_subject(kind: Kind, name: &generated::Name) -> impl Fn(NoteError) -> NoteError {
    move |err| err.with_subject(kind, name.as_str())
}
