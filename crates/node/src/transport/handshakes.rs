//! Connections of other nodes that have not completed their handshake.

use std::{cell::RefCell, collections::VecDeque, rc::Rc};

use tokio_util::sync::CancellationToken;

/// Connections that have not completed their handshake, the oldest first.
///
/// A node that connects sends its part at once, so a connection without it is the first that makes room.
#[derive(Clone, Default)]
pub(super) struct Handshakes {
    pending: Rc<RefCell<VecDeque<CancellationToken>>>,
}

impl Handshakes {
    /// Adds a connection. Its token is cancelled when it has to make room.
    pub(super) fn begin(&self) -> CancellationToken {
        let token = CancellationToken::new();
        self.pending.borrow_mut().push_back(token.clone());
        token
    }

    /// Removes a connection whose handshake has ended.
    pub(super) fn end(&self, token: &CancellationToken) {
        // Tokens can't be compared, so this one is marked.
        token.cancel();
        self.pending
            .borrow_mut()
            .retain(|pending| !pending.is_cancelled());
    }

    /// Closes the oldest connection and returns whether there was one.
    pub(super) fn evict_oldest(&self) -> bool {
        let oldest = self.pending.borrow_mut().pop_front();
        oldest.inspect(CancellationToken::cancel).is_some()
    }
}
