use std::{cell::RefCell, path::Path, rc::Rc, time::Duration};

use futures_util::future::LocalBoxFuture;
use tokio::time::{Instant, sleep_until};

use super::*;
use crate::settings::Settings;

/// Grace period of the test settings.
const GRACE: Duration = Duration::from_millis(250);

/// Service whose calls in flight never end.
struct BusyService {
    deadlines: Rc<RefCell<Vec<StopDeadlines>>>,
}

impl Service for BusyService {
    fn name(&self) -> &'static str {
        "busy"
    }

    fn start<'a>(&'a mut self, _: &'a Context) -> LocalBoxFuture<'a, Result<(), StartError>> {
        Box::pin(async { Ok(()) })
    }

    fn stop(&mut self, deadlines: StopDeadlines) -> LocalBoxFuture<'_, ()> {
        Box::pin(async move {
            sleep_until(deadlines.calls).await;
            self.deadlines.borrow_mut().push(deadlines);
        })
    }
}

fn settings() -> Settings {
    let grace_s = GRACE.as_secs_f64();
    let text = format!(
        "{{vm: v, domain: d, region: r, address: 127.0.0.1, callers: '127.0.0.1:1', peers: '127.0.0.1:2', \
         admin: '127.0.0.1:3', seeds: ['127.0.0.1:4'], limits: {{grace_s: {grace_s}}}}}"
    );
    Settings::parse(Path::new("node.yaml"), &text).unwrap()
}

#[actix_rt::test]
async fn busy_services_share_the_deadlines_of_a_stop() {
    let deadlines = Rc::new(RefCell::new(Vec::new()));
    let mut kernel = Kernel::new(Context::new(settings().into()));
    for _ in 0..3 {
        let deadlines = Rc::clone(&deadlines);
        kernel.add(BusyService { deadlines });
    }
    kernel.start().await.unwrap();
    let requested_at = Instant::now();
    kernel.stop(requested_at).await;
    let deadlines = deadlines.borrow();
    assert_eq!(deadlines.len(), 3);
    assert!(deadlines.iter().all(|other| *other == deadlines[0]));
    let StopDeadlines {
        calls,
        answers,
        end,
    } = deadlines[0];
    assert!(calls >= requested_at + GRACE.mul_f64(5.0 / 6.0));
    assert!(
        answers >= calls + GRACE.mul_f64(0.03),
        "no time to answer callers"
    );
    assert!(
        end >= answers + GRACE.mul_f64(0.05),
        "no time to close connections"
    );
    assert!(end < requested_at + GRACE);
}

/// A call that is passed on late in a stop is broken off while an upstream works on it.
#[actix_rt::test]
async fn the_gate_of_a_stop_refuses_calls_that_may_outlast_it() {
    let gate = StopGate::default();
    let calls = Instant::now() + GRACE;
    let covered = calls.into_std();
    let late = covered + Duration::from_millis(1);
    assert!(!gate.refuses(late), "refused in the notice period");
    let refused = actix_rt::spawn({
        let gate = gate.clone();
        async move { gate.wait_until_refused(late).await }
    });
    gate.close(calls);
    refused.await.unwrap();
    assert!(gate.refuses(late));
    assert!(!gate.refuses(covered));
    let waited = tokio::time::timeout(GRACE, gate.wait_until_refused(covered)).await;
    assert!(waited.is_err(), "a call is refused that has its whole time");
}

/// Returns stop deadlines that are later than the end of any call in a test.
pub(crate) fn stop_deadlines() -> StopDeadlines {
    let calls = Instant::now() + Duration::from_secs(30);
    StopDeadlines {
        calls,
        answers: calls + Duration::from_secs(2),
        end: calls + Duration::from_secs(5),
    }
}
