//! Registry of service handles.

use std::{any::Any, cell::RefCell, collections::BTreeMap, rc::Rc};

use snafu::Snafu;

use crate::transport::StreamHandler;

/// Service handles by name, shared by all services on the main thread.
#[derive(Clone, Default)]
pub(crate) struct Registry {
    handles: Rc<RefCell<BTreeMap<&'static str, Box<dyn Any>>>>,
    handlers: Rc<RefCell<BTreeMap<&'static str, Rc<dyn StreamHandler>>>>,
}

/// Error of a handle lookup.
#[derive(Debug, Snafu)]
pub enum RegistryError {
    /// No handle is published under the name.
    #[snafu(display("no handle is published for service {name}"))]
    Missing {
        /// Requested name.
        name: &'static str,
    },
    /// The handle has a different type.
    #[snafu(display("handle of service {name} has a different type"))]
    WrongType {
        /// Requested name.
        name: &'static str,
    },
}

impl Registry {
    /// Publishes a handle under a name, replacing any earlier handle.
    pub(crate) fn publish<H: Any>(&self, name: &'static str, handle: H) {
        self.handles.borrow_mut().insert(name, Box::new(handle));
    }

    /// Returns a clone of the handle published under a name.
    ///
    /// # Errors
    ///
    /// Returns an error if no handle is published or it has a different type.
    pub(crate) fn find<H: Any + Clone>(&self, name: &'static str) -> Result<H, RegistryError> {
        let handles = self.handles.borrow();
        let handle = handles.get(name).ok_or(RegistryError::Missing { name })?;
        let handle = handle.downcast_ref::<H>();
        handle.cloned().ok_or(RegistryError::WrongType { name })
    }

    /// Publishes the handler for streams addressed to a service.
    pub(crate) fn publish_handler(&self, name: &'static str, handler: Rc<dyn StreamHandler>) {
        self.handlers.borrow_mut().insert(name, handler);
    }

    /// Returns the handler for streams addressed to a service.
    pub(crate) fn stream_handler(&self, name: &str) -> Option<Rc<dyn StreamHandler>> {
        self.handlers.borrow().get(name).cloned()
    }
}
