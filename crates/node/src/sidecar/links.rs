//! Connections to other sidecars.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    rc::Rc,
};

use crate::transport::{Connection, TransportError, connect};

/// Connections to other sidecars, one for each address, opened when needed.
pub(super) struct Links {
    local: IpAddr,
    open: RefCell<HashMap<SocketAddr, Rc<Connection>>>,
}

impl Links {
    /// Returns an empty set whose connections start from an address.
    pub(super) fn new(local: IpAddr) -> Self {
        Self {
            local,
            open: RefCell::default(),
        }
    }

    /// Returns the connection to an address.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be reached; nothing was sent then.
    pub(super) async fn get(&self, address: SocketAddr) -> Result<Rc<Connection>, TransportError> {
        self.prune();
        let known = self.open.borrow().get(&address).map(Rc::clone);
        if let Some(known) = known {
            return Ok(known);
        }
        let opened = Rc::new(connect(self.local, address).await?);
        self.open.borrow_mut().insert(address, Rc::clone(&opened));
        Ok(opened)
    }

    fn prune(&self) {
        self.open.borrow_mut().retain(|_, link| !link.is_closed());
    }
}
