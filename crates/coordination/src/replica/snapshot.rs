//! Snapshots of the configuration, which nodes exchange as compressed JSON.

#[cfg(test)]
mod tests;

use std::{
    io::{Read, Write},
    sync::Arc,
};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};

use crate::{config::Config, sequence::Sequence};

/// Size limit of the decompressed JSON; several times the platform's limit of one megabyte.
const MAX_TEXT_BYTES: u64 = 8 << 20;

/// Cache of the newest compressed snapshot, so that it is compressed once for all neighbours.
#[derive(Clone, Debug, Default)]
pub(super) struct SnapshotCache {
    cached: Option<(Sequence, Arc<[u8]>)>,
}

impl SnapshotCache {
    /// Returns the compressed JSON of a configuration.
    pub(super) fn compressed(&mut self, config: &Config) -> Arc<[u8]> {
        if let Some((sequence, text)) = &self.cached
            && *sequence == config.sequence
        {
            return Arc::clone(text);
        }
        let text = Arc::from(compress(config));
        self.cached = Some((config.sequence, Arc::clone(&text)));
        text
    }
}

/// # Panics
///
/// Does not panic: a configuration always serializes, and writing to a `Vec` does not fail.
fn compress(config: &Config) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let text = serde_json::to_vec(config).expect("a configuration serializes to JSON");
    encoder
        .write_all(&text)
        .expect("writing to a Vec does not fail");
    encoder.finish().expect("writing to a Vec does not fail")
}

/// Returns the configuration of a compressed snapshot.
///
/// # Errors
///
/// Returns a description of the error if the bytes are not a valid snapshot.
pub(super) fn decompress(bytes: &[u8]) -> Result<Config, String> {
    let mut text = Vec::new();
    let mut decoder = DeflateDecoder::new(bytes).take(MAX_TEXT_BYTES);
    decoder
        .read_to_end(&mut text)
        .map_err(|err| err.to_string())?;
    serde_json::from_slice(&text).map_err(|err| err.to_string())
}
