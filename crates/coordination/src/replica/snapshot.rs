//! Whole configurations as they travel between nodes: compressed JSON.

#[cfg(test)]
mod tests;

use std::{
    io::{Read, Write},
    sync::Arc,
};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};

use crate::{config::Config, sequence::Sequence};

/// Largest JSON text of a configuration in bytes, some times the platform's megabyte.
const MAX_TEXT_BYTES: u64 = 8 << 20;

/// The compressed text of one configuration, made once for all neighbours.
#[derive(Clone, Debug, Default)]
pub(super) struct SnapshotText {
    made: Option<(Sequence, Arc<[u8]>)>,
}

impl SnapshotText {
    /// Returns the compressed text of a configuration.
    pub(super) fn of(&mut self, config: &Config) -> Arc<[u8]> {
        if let Some((sequence, text)) = &self.made
            && *sequence == config.sequence
        {
            return Arc::clone(text);
        }
        let text = Arc::from(compress(config));
        self.made = Some((config.sequence, Arc::clone(&text)));
        text
    }
}

/// # Panics
///
/// Does not panic: a configuration always serialises, and memory takes all that is written.
fn compress(config: &Config) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let text = serde_json::to_vec(config).expect("a configuration serialises");
    encoder.write_all(&text).expect("memory takes all bytes");
    encoder.finish().expect("memory takes all bytes")
}

/// Returns the configuration of a compressed text.
///
/// # Errors
///
/// Returns what is wrong with the text.
pub(super) fn expand(bytes: &[u8]) -> Result<Config, String> {
    let mut text = Vec::new();
    let mut decoder = DeflateDecoder::new(bytes).take(MAX_TEXT_BYTES);
    decoder
        .read_to_end(&mut text)
        .map_err(|err| err.to_string())?;
    serde_json::from_slice(&text).map_err(|err| err.to_string())
}
