//! Frames on the control link between two nodes.

use bincode::{Decode, Encode, serde::Compat};
use wagtaillever_coordination::Message;

use crate::timeline::Timestamp;

/// Message with a timestamp that orders events across all processes.
#[derive(Encode, Decode)]
pub(crate) struct ControlFrame {
    /// Timestamp from the sender's hybrid logical clock.
    pub(crate) at: Timestamp,
    pub(crate) message: Compat<Message>,
}
