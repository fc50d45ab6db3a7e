//! Asks the platform whether an upstream is registered.

use std::time::Duration;

use log::info;
use tokio::time::timeout;
use wagtaillever_coordination::{ConfigStore, RegistrationAnswer, UpstreamName};
use wagtaillever_platform::StoreClient;

/// Longest time for the answer; some hundred times what the platform's pages state for one.
const TIMEOUT: Duration = Duration::from_millis(700);

/// Handle by which other services ask for registrations.
#[derive(Clone)]
pub(crate) struct RegistrationCheck {
    store: StoreClient,
}

impl RegistrationCheck {
    /// Returns a check by a client of the store.
    pub(super) fn new(store: StoreClient) -> Self {
        Self { store }
    }

    /// Asks whether an upstream is registered.
    pub(crate) async fn ask(&self, name: &UpstreamName) -> RegistrationAnswer {
        let mut store = self.store.clone();
        let answer = match timeout(TIMEOUT, store.is_registered(name)).await {
            Ok(Ok(true)) => RegistrationAnswer::Registered,
            Ok(Ok(false)) => RegistrationAnswer::Missing,
            Ok(Err(err)) => {
                info!(upstream:% = name; "the store does not tell whether the upstream is registered: {err}");
                RegistrationAnswer::Silent
            }
            Err(_) => RegistrationAnswer::Silent,
        };
        info!(upstream:% = name, answer:? = answer; "asked whether the upstream is registered");
        answer
    }
}
