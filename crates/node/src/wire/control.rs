//! Frames on the control link between two nodes.

use bincode::{Decode, Encode, serde::Compat};
use wagtaillever_coordination::Message;

use crate::timeline::Timestamp;

/// One message with the sender's time, which orders events over all processes.
#[derive(Encode, Decode)]
pub(crate) struct ControlFrame {
    /// Time stamp of the sender's hybrid logical clock.
    pub(crate) at: Timestamp,
    /// The message.
    pub(crate) message: Compat<Message>,
}
