//! Input files of the `note` subcommands.

use std::{fs, path::Path};

use snafu::ResultExt;
use wagtaillever_coordination::{Base, BaseIndex, Config, ReleaseNote, Sequence};

use crate::error::{CliError, NoteSnafu, ReadSnafu};

pub(crate) fn read_file(path: &Path) -> Result<Vec<u8>, CliError> {
    fs::read(path).context(ReadSnafu { path })
}

/// Reads a base, or returns the empty configuration at sequence 0 if no path is given.
pub(crate) fn read_base(path: Option<&Path>) -> Result<Config, CliError> {
    let Some(path) = path else {
        return Ok(Config::default());
    };
    let text = read_file(path)?;
    match Base::parse(&text).context(NoteSnafu { path })? {
        Base::Whole(config) => Ok(config),
        Base::Split(index) => read_parts(path, &index),
    }
}

/// Reads the parts of a split base from the directory of its index, as written by `note fold`.
fn read_parts(path: &Path, index: &BaseIndex) -> Result<Config, CliError> {
    let directory = path.parent().unwrap_or(path);
    let parts = index.parts.iter().map(|key| {
        let path = directory.join(key).with_extension("json");
        let text = read_file(&path)?;
        Config::parse_part(&text).context(NoteSnafu { path })
    });
    let parts: Vec<_> = parts.collect::<Result<_, _>>()?;
    index.join(parts).context(NoteSnafu { path })
}

/// Reads a note and its sequence number, which is taken from a numeric file name or else from the
/// text of the note.
pub(crate) fn read_numbered(path: &Path) -> Result<(Sequence, Vec<u8>), CliError> {
    let text = read_file(path)?;
    let stem = path.file_stem().and_then(|stem| stem.to_str());
    if let Some(number) = stem.and_then(|stem| stem.parse().ok()) {
        return Ok((Sequence(number), text));
    }
    let note = ReleaseNote::parse(&text).context(NoteSnafu { path })?;
    Ok((note.note, text))
}
