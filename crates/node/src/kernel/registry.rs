//! Handles of services by name.

use std::{any::Any, cell::RefCell, collections::BTreeMap, rc::Rc};

use snafu::Snafu;

use crate::transport::StreamHandler;

/// Handles of services by name, shared by all services of the main thread.
#[derive(Clone, Default)]
pub(crate) struct Registry {
    handles: Rc<RefCell<BTreeMap<&'static str, Box<dyn Any>>>>,
    handlers: Rc<RefCell<BTreeMap<&'static str, Rc<dyn StreamHandler>>>>,
}

/// Why a handle is not found.
#[derive(Debug, Snafu)]
pub enum RegistryError {
    /// No service published a handle under the name.
    #[snafu(display("no service is named {name}"))]
    Missing {
        /// Name that was looked up.
        name: &'static str,
    },
    /// The service's handle has another type.
    #[snafu(display("service {name} has a handle of another type"))]
    WrongType {
        /// Name that was looked up.
        name: &'static str,
    },
}

impl Registry {
    /// Publishes a handle under a name and replaces an earlier one.
    pub(crate) fn publish<H: Any>(&self, name: &'static str, handle: H) {
        self.handles.borrow_mut().insert(name, Box::new(handle));
    }

    /// Returns a clone of the handle that is published under a name.
    ///
    /// # Errors
    ///
    /// Returns an error when there is none, or one of another type.
    pub(crate) fn find<H: Any + Clone>(&self, name: &'static str) -> Result<H, RegistryError> {
        let handles = self.handles.borrow();
        let handle = handles.get(name).ok_or(RegistryError::Missing { name })?;
        let handle = handle.downcast_ref::<H>();
        handle.cloned().ok_or(RegistryError::WrongType { name })
    }

    /// Publishes the handler of the streams that name a service.
    pub(crate) fn publish_handler(&self, name: &'static str, handler: Rc<dyn StreamHandler>) {
        self.handlers.borrow_mut().insert(name, handler);
    }

    /// Returns the handler of the streams that name a service.
    pub(crate) fn stream_handler(&self, name: &str) -> Option<Rc<dyn StreamHandler>> {
        self.handlers.borrow().get(name).cloned()
    }
}
