//! Subcommands.

pub(crate) mod completions;
pub(crate) mod drain;
pub(crate) mod note;
pub(crate) mod order;
pub(crate) mod restore;
pub(crate) mod status;
pub(crate) mod timeline;
