use std::{cell::RefCell, path::Path, rc::Rc, time::Duration};

use futures_util::future::LocalBoxFuture;
use tokio::time::{Instant, sleep_until};

use super::*;
use crate::settings::Settings;

/// Time that the settings give the stop, in milliseconds.
const STOP_MS: u64 = 200;

/// A service whose calls in flight never end.
struct Busy {
    ended: Rc<RefCell<Vec<Instant>>>,
}

impl Service for Busy {
    fn name(&self) -> &'static str {
        "busy"
    }

    fn start<'a>(&'a mut self, _: &'a Context) -> LocalBoxFuture<'a, Result<(), StartError>> {
        Box::pin(async { Ok(()) })
    }

    fn stop(&mut self, until: Instant) -> LocalBoxFuture<'_, ()> {
        Box::pin(async move {
            sleep_until(until).await;
            self.ended.borrow_mut().push(until);
        })
    }
}

fn settings() -> Settings {
    let text = format!(
        "{{vm: v, domain: d, region: r, address: 127.0.0.1, callers: '127.0.0.1:1', peers: '127.0.0.1:2', \
         admin: '127.0.0.1:3', seeds: ['127.0.0.1:4'], limits: {{stop_ms: {STOP_MS}}}}}"
    );
    Settings::parse(Path::new("node.yaml"), &text).unwrap()
}

#[actix_rt::test]
async fn services_that_stay_busy_share_the_time_of_one_stop() {
    let ended = Rc::new(RefCell::new(Vec::new()));
    let mut kernel = Kernel::new(Context::new(settings().into()));
    for _ in 0..3 {
        let ended = Rc::clone(&ended);
        kernel.add(Busy { ended });
    }
    kernel.start().await.unwrap();
    let before = Instant::now();
    kernel.stop().await;
    let ended = ended.borrow();
    assert_eq!(ended.len(), 3);
    assert!(ended.iter().all(|until| *until == ended[0]));
    assert!(ended[0] >= before + Duration::from_millis(STOP_MS));
}

/// Returns the end of a stop that starts now, later than any call of a test takes.
pub(crate) fn stop_deadline() -> Instant {
    Instant::now() + Duration::from_secs(30)
}
