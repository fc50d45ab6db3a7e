//! Service that keeps the quotas of organisations together with all other nodes.

mod exchange;
mod handle;
mod handler;

pub(crate) use self::handle::QuotaHandle;

use std::{cell::RefCell, rc::Rc, time::Instant};

use futures_util::future::LocalBoxFuture;
use tokio::time::timeout_at;
use wagtaillever_coordination::QuotaLedger;

use crate::{
    kernel::{Context, Service, StartError, StopDeadlines},
    quota::{exchange::Exchange, handler::QuotaHandler},
};

/// Service that keeps the quotas of organisations together with all other nodes. Without an
/// organisation that has a quota it only waits for configurations.
#[derive(Default)]
pub(crate) struct Quota {
    exchange: Option<Rc<Exchange>>,
}

impl Service for Quota {
    fn name(&self) -> &'static str {
        "quota"
    }

    fn start<'a>(&'a mut self, context: &'a Context) -> LocalBoxFuture<'a, Result<(), StartError>> {
        Box::pin(async move {
            let handle = QuotaHandle::new(context);
            let bounds = context.settings().quota.bounds();
            let ledger = Rc::new(RefCell::new(QuotaLedger::new(bounds, Instant::now())));
            let exchange = Exchange::new(context, handle.clone(), Rc::clone(&ledger));
            let registry = context.registry();
            registry.publish("quota", handle);
            registry.publish_handler("quota", Rc::new(QuotaHandler::new(ledger)));
            let exchange = Rc::new(exchange);
            actix_rt::spawn(Rc::clone(&exchange).run());
            self.exchange = Some(exchange);
            Ok(())
        })
    }

    fn stop(&mut self, deadlines: StopDeadlines) -> LocalBoxFuture<'_, ()> {
        Box::pin(async move {
            if let Some(exchange) = self.exchange.take() {
                // A release that fails costs the organisations some tokens for 12 s.
                let _ = timeout_at(deadlines.end, exchange.release()).await;
            }
        })
    }
}
