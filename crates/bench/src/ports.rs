//! Block of ports that no other run on the machine uses.

use std::net::{Ipv4Addr, TcpListener};

use rand::Rng;

use crate::error::{BenchError, NoPortsSnafu};

/// Ports of one block.
const BLOCK: u16 = 8;
/// First port that is tried; below those that the system gives to clients.
const FIRST: u16 = 10_000;
/// End of the ports that are tried.
const END: u16 = 32_000;
/// Blocks that are tried.
const TRIES: usize = 200;

/// Block of ports, taken on all loopback addresses until it is dropped.
#[derive(Debug)]
pub(crate) struct PortBlock {
    base: u16,
    /// Held so that other runs pass the block over.
    _lock: TcpListener,
}

impl PortBlock {
    /// Takes a free block.
    ///
    /// # Errors
    ///
    /// Returns an error when no free block is found.
    pub(crate) fn reserve() -> Result<Self, BenchError> {
        let mut rng = rand::rng();
        for _ in 0..TRIES {
            let block = rng.random_range(FIRST / BLOCK..END / BLOCK);
            if let Some(block) = Self::try_take(block * BLOCK) {
                return Ok(block);
            }
        }
        NoPortsSnafu.fail()
    }

    /// Returns a port of the block.
    ///
    /// # Panics
    ///
    /// Panics when `offset` is 0 or past the block.
    pub(crate) fn port(&self, offset: u16) -> u16 {
        assert!((1..BLOCK).contains(&offset), "the block has no such port");
        self.base + offset
    }

    fn try_take(base: u16) -> Option<Self> {
        let bind = |port| TcpListener::bind((Ipv4Addr::UNSPECIFIED, port)).ok();
        for offset in 1..BLOCK {
            bind(base + offset)?;
        }
        let lock = TcpListener::bind((Ipv4Addr::LOCALHOST, base)).ok()?;
        Some(Self { base, _lock: lock })
    }
}

#[cfg(test)]
mod tests;
