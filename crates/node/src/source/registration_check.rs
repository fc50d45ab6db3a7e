//! Check with the platform whether an upstream is registered.

use std::time::Duration;

use log::info;
use tokio::time::timeout;
use wagtaillever_coordination::{ConfigStore, RegistrationAnswer, UpstreamName};
use wagtaillever_platform::StoreClient;

/// Timeout of a check, about a hundred times the answer time stated in the documentation of the
/// platform.
const CHECK_TIMEOUT: Duration = Duration::from_millis(700);

/// Handle by which other services check registrations.
#[derive(Clone)]
pub(crate) struct RegistrationCheck {
    store: StoreClient,
}

impl RegistrationCheck {
    /// Returns a check that reads a store.
    pub(super) fn new(store: StoreClient) -> Self {
        Self { store }
    }

    /// Queries the platform whether an upstream is registered, and returns the answer with the era of
    /// the platform.
    pub(crate) async fn query(&self, name: &UpstreamName) -> (RegistrationAnswer, u64) {
        let mut store = self.store.clone();
        let answer = match timeout(CHECK_TIMEOUT, store.is_registered(name)).await {
            Ok(Ok(true)) => RegistrationAnswer::Registered,
            Ok(Ok(false)) => RegistrationAnswer::Missing,
            Ok(Err(err)) => {
                info!(upstream:% = name; "registration check failed: {err}");
                RegistrationAnswer::Silent
            }
            Err(_) => RegistrationAnswer::Silent,
        };
        let era = store.era();
        info!(upstream:% = name, answer:? = answer, era; "checked the registration of the upstream");
        (answer, era)
    }
}
