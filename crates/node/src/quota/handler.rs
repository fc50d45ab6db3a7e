//! Streams of nodes that request grants from this shard owner.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Instant};

use bincode::serde::Compat;
use futures_util::future::LocalBoxFuture;
use log::debug;
use tokio::time::timeout;
use wagtaillever_coordination::QuotaLedger;

use crate::{
    quota::exchange::EXCHANGE_TIMEOUT,
    transport::{FrameReader, FrameWriter, StreamHandler, TransportError},
    wire::QuotaRequestFrame,
};

/// Handler of `/quota` streams.
pub(super) struct QuotaHandler {
    ledger: Rc<RefCell<QuotaLedger>>,
}

impl QuotaHandler {
    pub(super) fn new(ledger: Rc<RefCell<QuotaLedger>>) -> Self {
        Self { ledger }
    }

    async fn serve(
        &self,
        mut reader: FrameReader,
        mut writer: FrameWriter,
    ) -> Result<(), TransportError> {
        let Some(Compat(request)) = reader.read_frame::<QuotaRequestFrame>().await? else {
            return Ok(());
        };
        let reply = self.ledger.borrow_mut().handle(&request, Instant::now());
        if let Some(reply) = reply {
            writer.write_frame(&Compat(reply)).await?;
        }
        writer.finish()
    }
}

impl StreamHandler for QuotaHandler {
    fn handle(
        self: Rc<Self>,
        peer: SocketAddr,
        reader: FrameReader,
        writer: FrameWriter,
    ) -> LocalBoxFuture<'static, ()> {
        Box::pin(async move {
            metrics::counter!("quota_requests_received_total").increment(1);
            match timeout(EXCHANGE_TIMEOUT, self.serve(reader, writer)).await {
                Ok(Ok(())) => {}
                Ok(Err(err)) => debug!(peer:% = peer; "quota request failed: {err}"),
                Err(_) => debug!(peer:% = peer; "quota request timed out"),
            }
        })
    }
}
