//! Connections to other nodes, opened on demand.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    rc::Rc,
};

use crate::transport::{
    client::{Connection, connect},
    error::TransportError,
};

/// Connections to other nodes, one per address, opened on demand.
pub(crate) struct Links {
    local: IpAddr,
    open: RefCell<HashMap<SocketAddr, Rc<Connection>>>,
}

impl Links {
    /// Returns an empty set whose connections are opened from the local address `local`.
    pub(crate) fn new(local: IpAddr) -> Self {
        Self {
            local,
            open: RefCell::default(),
        }
    }

    /// Returns the connection to an address, opening one if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be reached; nothing was sent in that case.
    pub(crate) async fn get(&self, address: SocketAddr) -> Result<Rc<Connection>, TransportError> {
        self.prune();
        let known = self.open.borrow().get(&address).map(Rc::clone);
        if let Some(known) = known {
            return Ok(known);
        }
        let opened = Rc::new(connect(self.local, address).await?);
        self.open.borrow_mut().insert(address, Rc::clone(&opened));
        Ok(opened)
    }

    /// Closes the connections to all addresses but the given ones.
    pub(crate) fn retain(&self, addresses: &[SocketAddr]) {
        let mut open = self.open.borrow_mut();
        open.retain(|address, _| addresses.contains(address));
    }

    fn prune(&self) {
        self.open.borrow_mut().retain(|_, link| !link.is_closed());
    }
}
