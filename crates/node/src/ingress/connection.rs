//! Connections of callers: reading of requests, their order, and writing of responses.
//!
//! One task serves a connection and polls all of its calls, so a request costs no task of its own.

mod answer_body;
mod chunk_scan;
mod close_cause;
mod closing;
mod head_scan;
mod limits;
mod open;
mod output;
mod payload;
mod pipeline;
mod reader;
mod slot;
mod table;
mod timer;

use std::{cell::RefCell, future::poll_fn, net::SocketAddr, rc::Rc, time::Instant};

use actix_http::ServiceConfig;
use log::info;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use self::{close_cause::CloseCause, closing::Closing, open::OpenConnection};
pub(super) use self::{
    payload::Payload,
    pipeline::Repeat,
    table::{ConnectionTable, TableEntry},
};
use crate::{ingress::worker::Worker, logging::LineBudget};

/// Serves the connections of callers.
pub(super) struct Connections {
    worker: Rc<Worker>,
    /// Shared because each configuration keeps a task that updates the date of responses.
    config: ServiceConfig,
    /// Cancelled when idle connections are to be closed.
    stop: CancellationToken,
    line_budget: RefCell<LineBudget>,
}

impl Connections {
    pub(super) fn new(worker: Rc<Worker>, stop: CancellationToken) -> Self {
        Self {
            worker,
            config: ServiceConfig::default(),
            stop,
            line_budget: RefCell::new(LineBudget::new(Instant::now())),
        }
    }

    /// Takes a place for a connection that was accepted.
    pub(super) fn open(&self) -> TableEntry {
        self.worker.connections.open(Instant::now())
    }

    /// Serves a connection until it is closed.
    pub(super) async fn serve(&self, stream: TcpStream, peer: SocketAddr, entry: TableEntry) {
        metrics::gauge!("caller_connections").increment(1);
        let worker = Rc::clone(&self.worker);
        let mut open = OpenConnection::new(stream, peer, worker, entry, &self.config, &self.stop);
        let cause = poll_fn(|cx| open.poll(cx)).await;
        self.record_close(peer, cause);
        let (stream, entry) = open.into_parts();
        Closing::new(stream, cause, entry).finish().await;
        metrics::gauge!("caller_connections").decrement(1);
    }

    fn record_close(&self, peer: SocketAddr, cause: CloseCause) {
        let text = cause.as_str();
        metrics::counter!("caller_connections_closed_total", "cause" => text).increment(1);
        if !cause.is_fault() {
            return;
        }
        if let Some(left_out) = self.line_budget.borrow_mut().take(Instant::now()) {
            info!(peer:% = peer, cause = text, left_out; "connection of a caller closed");
        }
    }
}
