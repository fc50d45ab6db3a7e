//! Files that the subcommands of `note` read.

use std::{fs, path::Path};

use snafu::ResultExt;
use wagtaillever_coordination::{Base, BaseIndex, Config, ReleaseNote, Sequence};

use crate::error::{CliError, NoteSnafu, ReadSnafu};

/// Reads a file.
pub(crate) fn read(path: &Path) -> Result<Vec<u8>, CliError> {
    fs::read(path).context(ReadSnafu { path })
}

/// Reads a base, or returns the empty one at sequence 0.
pub(crate) fn read_base(path: Option<&Path>) -> Result<Config, CliError> {
    let Some(path) = path else {
        return Ok(Config::default());
    };
    let text = read(path)?;
    match Base::parse(&text).context(NoteSnafu { path })? {
        Base::Whole(config) => Ok(config),
        Base::Split(index) => read_parts(path, &index),
    }
}

/// Reads the parts of a base from files beside it, as `note fold` writes them.
fn read_parts(path: &Path, index: &BaseIndex) -> Result<Config, CliError> {
    let folder = path.parent().unwrap_or(path);
    let parts = index.parts.iter().map(|key| {
        let path = folder.join(key).with_extension("json");
        let text = read(&path)?;
        Config::parse_part(&text).context(NoteSnafu { path })
    });
    let parts: Vec<_> = parts.collect::<Result<_, _>>()?;
    index.join(parts).context(NoteSnafu { path })
}

/// Reads a note and the sequence number under which it stands: the number that
/// is its file name, or else the one that the note names.
pub(crate) fn read_numbered(path: &Path) -> Result<(Sequence, Vec<u8>), CliError> {
    let text = read(path)?;
    let stem = path.file_stem().and_then(|stem| stem.to_str());
    if let Some(number) = stem.and_then(|stem| stem.parse().ok()) {
        return Ok((Sequence(number), text));
    }
    let note = ReleaseNote::parse(&text).context(NoteSnafu { path })?;
    Ok((note.note, text))
}
