//! Handle by which the ingress counts requests against quotas.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use log::info;
use parking_lot::{Mutex, MutexGuard};
use tokio::{sync::Notify, time::timeout_at};
use wagtaillever_coordination::{
    Organisation, OrganisationName, QuotaAnswer, QuotaClient, QuotaStatus,
};

use crate::{kernel::Context, logging::LineBudget};

/// Longest time that a request waits for a grant.
const MAX_WAIT: Duration = Duration::from_millis(150);

/// Handle of the quotas of organisations, usable from all threads.
#[derive(Clone)]
pub(crate) struct QuotaHandle {
    shared: Arc<Shared>,
}

struct Shared {
    client: Mutex<QuotaClient>,
    lines: Mutex<LineBudget>,
    /// Notified when a request waits for a grant.
    demand: Notify,
    /// Notified when a reply has been applied.
    replies: Notify,
}

impl QuotaHandle {
    /// Returns a handle by which no organisation has a quota yet.
    pub(crate) fn new(context: &Context) -> Self {
        let settings = context.settings();
        let vm = settings.vm.clone();
        let client = QuotaClient::new(vm, settings.quota.bounds(), context.incarnation().0);
        Self {
            shared: Arc::new(Shared {
                client: Mutex::new(client),
                lines: Mutex::new(LineBudget::new(Instant::now())),
                demand: Notify::new(),
                replies: Notify::new(),
            }),
        }
    }

    /// Counts a request against the quota of its organisation. Waits a short time for a grant if this
    /// node has none.
    ///
    /// # Errors
    ///
    /// Returns the time after which a new request makes sense if the quota is used up.
    pub(crate) async fn acquire(&self, organisation: &Organisation) -> Result<(), Duration> {
        if organisation.quota.is_none() {
            return Ok(());
        }
        let name = &organisation.name;
        let mut answer = self.client().acquire(name, Instant::now());
        if answer == QuotaAnswer::Wait {
            answer = self.wait(name).await;
        }
        match answer {
            QuotaAnswer::Granted => {
                count("quota_granted_total", name);
                Ok(())
            }
            QuotaAnswer::Wait => Err(MAX_WAIT),
            QuotaAnswer::Refused { after } => {
                count("quota_refused_total", name);
                self.record_refusal(name, after);
                Err(after)
            }
        }
    }

    /// Returns the decisions of this node.
    pub(super) fn client(&self) -> MutexGuard<'_, QuotaClient> {
        self.shared.client.lock()
    }

    /// Waits until a request waits for a grant.
    pub(super) async fn wait_for_demand(&self) {
        self.shared.demand.notified().await;
    }

    /// Lets waiting requests use what a reply has brought.
    pub(super) fn notify_waiting(&self) {
        self.shared.replies.notify_waiters();
    }

    async fn wait(&self, name: &OrganisationName) -> QuotaAnswer {
        let _waiting = Waiting::new(self, name);
        self.shared.demand.notify_one();
        let deadline = tokio::time::Instant::now() + MAX_WAIT;
        loop {
            let replied = self.shared.replies.notified();
            tokio::pin!(replied);
            // From here on a reply is noticed, also between the decision and the wait.
            replied.as_mut().enable();
            let answer = self.client().retry(name, false, Instant::now());
            if answer != QuotaAnswer::Wait {
                return answer;
            }
            if timeout_at(deadline, replied).await.is_err() {
                return self.client().retry(name, true, Instant::now());
            }
        }
    }

    fn record_refusal(&self, name: &OrganisationName, after: Duration) {
        let now = Instant::now();
        let Some(left_out) = self.shared.lines.lock().take(now) else {
            return;
        };
        let status = self
            .client()
            .status(now)
            .find(|status| status.organisation == *name);
        let Some(QuotaStatus {
            limit,
            unspent,
            offline,
            age,
            ..
        }) = status
        else {
            return;
        };
        let note = self.client().sequence();
        info!(
            organisation:% = name, limit = limit.per_second, burst = limit.burst, unspent, offline,
            age_ms:? = age.map(|age| age.as_millis()), used_note:% = note,
            after_ms:? = after.as_millis(), left_out;
            "quota used up"
        );
    }
}

/// Request that waits for a grant, until it is dropped.
struct Waiting<'a> {
    handle: &'a QuotaHandle,
    name: &'a OrganisationName,
}

impl<'a> Waiting<'a> {
    fn new(handle: &'a QuotaHandle, name: &'a OrganisationName) -> Self {
        handle.client().begin_wait(name);
        Self { handle, name }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.handle.client().end_wait(self.name);
    }
}

fn count(counter: &'static str, name: &OrganisationName) {
    metrics::counter!(counter, "organisation" => name.to_string()).increment(1);
}
