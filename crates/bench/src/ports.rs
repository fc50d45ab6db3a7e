//! Reserves blocks of ports, so that runs on one machine do not conflict.

use std::net::{Ipv4Addr, TcpListener};

use rand::Rng;

use crate::error::{BenchError, NoPortsSnafu};

/// Number of ports in a block.
const BLOCK_PORTS: u16 = 8;
/// First port of the search range, which lies below the ephemeral ports of the system.
const FIRST_PORT: u16 = 10_000;
/// End of the search range.
const END_PORT: u16 = 32_000;
/// Maximum number of blocks to try.
const MAX_ATTEMPTS: usize = 200;

/// Block of ports, reserved on all loopback addresses until it is dropped.
#[derive(Debug)]
pub(crate) struct PortBlock {
    base: u16,
    /// Bound to the first port so that other runs skip the block.
    _lock: TcpListener,
}

impl PortBlock {
    /// Reserves a free block.
    ///
    /// # Errors
    ///
    /// Returns an error when no free block is found.
    pub(crate) fn reserve() -> Result<Self, BenchError> {
        let mut rng = rand::rng();
        for _ in 0..MAX_ATTEMPTS {
            let block = rng.random_range(FIRST_PORT / BLOCK_PORTS..END_PORT / BLOCK_PORTS);
            if let Some(block) = Self::try_reserve(block * BLOCK_PORTS) {
                return Ok(block);
            }
        }
        NoPortsSnafu.fail()
    }

    /// Returns a port of the block.
    ///
    /// # Panics
    ///
    /// Panics when `offset` is 0 or not smaller than the block size.
    pub(crate) fn port(&self, offset: u16) -> u16 {
        assert!(
            (1..BLOCK_PORTS).contains(&offset),
            "port offset {offset} is outside of 1..{BLOCK_PORTS}"
        );
        self.base + offset
    }

    fn try_reserve(base: u16) -> Option<Self> {
        let bind = |port| TcpListener::bind((Ipv4Addr::UNSPECIFIED, port)).ok();
        for offset in 1..BLOCK_PORTS {
            bind(base + offset)?;
        }
        let lock = TcpListener::bind((Ipv4Addr::LOCALHOST, base)).ok()?;
        Some(Self { base, _lock: lock })
    }
}

#[cfg(test)]
mod tests;
