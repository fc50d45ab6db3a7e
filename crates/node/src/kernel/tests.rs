use std::{cell::RefCell, path::Path, rc::Rc, time::Duration};

use futures_util::future::LocalBoxFuture;
use tokio::time::{Instant, sleep_until};

use super::*;
use crate::settings::Settings;

/// Grace period of the test settings.
const GRACE: Duration = Duration::from_millis(250);

/// Service whose calls in flight never end.
struct BusyService {
    deadlines: Rc<RefCell<Vec<Instant>>>,
}

impl Service for BusyService {
    fn name(&self) -> &'static str {
        "busy"
    }

    fn start<'a>(&'a mut self, _: &'a Context) -> LocalBoxFuture<'a, Result<(), StartError>> {
        Box::pin(async { Ok(()) })
    }

    fn stop(&mut self, deadline: Instant) -> LocalBoxFuture<'_, ()> {
        Box::pin(async move {
            sleep_until(deadline).await;
            self.deadlines.borrow_mut().push(deadline);
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
async fn busy_services_share_one_stop_deadline() {
    let deadlines = Rc::new(RefCell::new(Vec::new()));
    let mut kernel = Kernel::new(Context::new(settings().into()));
    for _ in 0..3 {
        let deadlines = Rc::clone(&deadlines);
        kernel.add(BusyService { deadlines });
    }
    kernel.start().await.unwrap();
    let before = Instant::now();
    kernel.stop(before).await;
    let deadlines = deadlines.borrow();
    assert_eq!(deadlines.len(), 3);
    assert!(deadlines.iter().all(|deadline| *deadline == deadlines[0]));
    assert!(deadlines[0] >= before + GRACE.mul_f64(5.0 / 6.0));
}

/// Returns a stop deadline that is later than the end of any call in a test.
pub(crate) fn stop_deadline() -> Instant {
    Instant::now() + Duration::from_secs(30)
}
