//! A connection that serves requests.

mod input;
mod response;

use std::{
    collections::VecDeque,
    future::Future,
    mem,
    net::SocketAddr,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use actix_http::{Response, ServiceConfig, StatusCode};
use tokio::{io::Interest, net::TcpStream, time::Instant};
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};
use wagtaillever_coordination::CallerActivity;

use self::input::BodyInput;
use crate::{
    ingress::{
        connection::{
            close_cause::CloseCause,
            limits::ConnectionLimits,
            output::Output,
            pipeline::{Pipeline, Repeat},
            reader::Reader,
            slot::Slot,
            table::TableEntry,
            timer::Timer,
        },
        worker::Worker,
    },
    view::Phase,
};

/// Interval at which a connection that is not read, because its calls are slower than its caller, is
/// checked for a close. Upstreams must stop within half a second after the close.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// A connection that serves requests.
pub(super) struct OpenConnection {
    stream: TcpStream,
    peer: SocketAddr,
    worker: Rc<Worker>,
    limits: ConnectionLimits,
    reader: Reader,
    output: Output,
    pipeline: Pipeline,
    /// The requests of the pipeline, in the same order.
    slots: VecDeque<Slot>,
    /// Body of the last request, until its end is decoded.
    body: Option<BodyInput>,
    /// Whether decoding waits until a call takes more of its body.
    is_held: bool,
    /// Set once the connection closes as soon as all encoded bytes are written.
    closing: Option<CloseCause>,
    timer: Timer,
    entry: TableEntry,
    opened_at: Instant,
    /// Whether a whole head has arrived.
    is_used: bool,
    /// Time for which the caller may send another request, by the latest response.
    reuse_time: Duration,
    /// When the last response was complete, or the connection was opened.
    idle_since: Instant,
    /// When the head that is being received began.
    head_since: Option<Instant>,
    /// When the caller last took a part of a response.
    written_at: Instant,
    /// When responses are read ahead next, unless an upstream sends more of one before.
    ahead_at: Option<Instant>,
    /// When the connection was last read until as much as allowed waits to be decoded.
    held_since: Option<Instant>,
    /// When the connection was last read, or checked for a close.
    read_at: Instant,
    /// Whether a call starts that was held back.
    has_started: bool,
    /// Completes when idle connections are to be closed.
    stopped: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl OpenConnection {
    pub(super) fn new(
        stream: TcpStream,
        peer: SocketAddr,
        worker: Rc<Worker>,
        entry: TableEntry,
        config: &ServiceConfig,
        stop: &CancellationToken,
    ) -> Self {
        let limits = ConnectionLimits::current(&worker);
        let now = Instant::now();
        let reader = Reader::new(config.clone(), &worker.ahead_budget);
        Self {
            stream,
            peer,
            worker,
            limits,
            reader,
            output: Output::new(config.clone()),
            pipeline: Pipeline::new(limits.capacity),
            slots: VecDeque::new(),
            body: None,
            is_held: false,
            closing: None,
            timer: Timer::new(),
            entry,
            opened_at: now,
            is_used: false,
            reuse_time: Duration::ZERO,
            idle_since: now,
            head_since: None,
            written_at: now,
            ahead_at: None,
            held_since: None,
            read_at: now,
            has_started: false,
            stopped: Box::pin(stop.clone().cancelled_owned()),
        }
    }

    /// Drops the calls and returns what is left for the close.
    pub(super) fn into_parts(self) -> (TcpStream, TableEntry) {
        (self.stream, self.entry)
    }

    /// Serves requests and returns the cause once the connection is to be closed. All calls that are
    /// left then are dropped with the connection.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<CloseCause> {
        if let Err(cause) = self.advance(cx) {
            return Poll::Ready(cause);
        }
        self.read_ahead(cx);
        if let Poll::Ready(cause) = self.poll_timers(cx) {
            return Poll::Ready(cause);
        }
        self.held_since = self
            .is_unread()
            .then(|| self.held_since.unwrap_or_else(Instant::now));
        let activity = self.activity();
        self.entry.poll_evicted(activity, cx).map(|activity| {
            let is_stalled = matches!(activity, CallerActivity::Stalled { .. });
            if is_stalled {
                CloseCause::Stalled
            } else {
                CloseCause::NoRoom
            }
        })
    }

    /// Returns what the connection does, as far as its place among others depends on it.
    fn activity(&self) -> CallerActivity {
        let waits_for_body = self.body.is_some() && !self.is_held;
        if !self.output.is_empty() {
            let since = self.written_at.into_std();
            CallerActivity::Stalled { since }
        } else if self.slots.is_empty() && !self.is_used {
            let since = self.opened_at.into_std();
            CallerActivity::Unused { since }
        } else if self.slots.is_empty() {
            let reusable_until = (self.idle_since + self.reuse_time).into_std();
            CallerActivity::Idle { reusable_until }
        } else if waits_for_body {
            let since = self.read_at.into_std();
            CallerActivity::Stalled { since }
        } else if let Some(since) = self.held_since {
            let since = since.into_std();
            CallerActivity::Held { since }
        } else {
            CallerActivity::Active
        }
    }

    /// Reads, decodes, runs and writes until nothing can go on.
    fn advance(&mut self, cx: &mut Context<'_>) -> Result<(), CloseCause> {
        let mut must_run = true;
        loop {
            let is_read = self.read(cx)?;
            must_run |= self.decode(cx);
            if must_run {
                let budget = &self.worker.ahead_budget;
                self.slots
                    .iter_mut()
                    .for_each(|slot| slot.poll_call(cx, budget));
            }
            let is_written = self.write(cx)?;
            if self.output.is_empty()
                && let Some(cause) = self.closing
            {
                return Err(cause);
            }
            let is_released = self.is_held && self.body.as_ref().is_some_and(|b| b.has_room(cx));
            if !(is_read || is_written || is_released) {
                return Ok(());
            }
            // Further polls of the calls would find nothing new.
            must_run = mem::take(&mut self.has_started);
        }
    }

    /// Reads from the connection, unless as much as allowed waits to be decoded.
    fn read(&mut self, cx: &mut Context<'_>) -> Result<bool, CloseCause> {
        self.is_held = self.body.as_ref().is_some_and(|body| !body.has_room(cx));
        if !self.is_held {
            self.reader.end_extension();
        }
        let max_bytes = self.max_buffered();
        if self.closing.is_some() || !self.reader.has_room(max_bytes) {
            return Ok(false);
        }
        match self.reader.poll_fill(&mut self.stream, max_bytes, cx) {
            Poll::Pending => Ok(false),
            Poll::Ready(Ok(count)) if count > 0 => {
                self.read_at = Instant::now();
                self.limits = ConnectionLimits::current(&self.worker);
                Ok(true)
            }
            Poll::Ready(_) => Err(CloseCause::Caller),
        }
    }

    fn poll_timers(&mut self, cx: &mut Context<'_>) -> Poll<CloseCause> {
        if self.is_idle() {
            self.reader.release();
            self.output.release();
            if self.stopped.as_mut().poll(cx).is_ready() {
                return Poll::Ready(CloseCause::Stop);
            }
        }
        while let Some((deadline, event)) = self.next_event() {
            if self.timer.poll(deadline, cx).is_pending() {
                return Poll::Pending;
            }
            match event {
                Event::Close(CloseCause::Idle) if self.extend_idle_time() => {}
                Event::Close(cause) => return Poll::Ready(cause),
                Event::HeadTimeout => {
                    self.refuse_input(StatusCode::REQUEST_TIMEOUT, CloseCause::HeadTimeout);
                    if let Err(cause) = self.advance(cx) {
                        return Poll::Ready(cause);
                    }
                }
                Event::ReadAhead => self.read_ahead(cx),
                Event::CloseCheck if self.is_closed_by_caller() => {
                    return Poll::Ready(CloseCause::Caller);
                }
                Event::CloseCheck => {
                    self.read_at = Instant::now();
                    self.reader.extend();
                    if let Err(cause) = self.advance(cx) {
                        return Poll::Ready(cause);
                    }
                }
            }
        }
        Poll::Pending
    }

    /// Takes a longer idle time from the configuration and returns whether the connection may stay open.
    /// A shorter one applies from the next read, as callers rely on the reuse time that they were told.
    fn extend_idle_time(&mut self) -> bool {
        let current = ConnectionLimits::current(&self.worker);
        let is_extended = self.idle_since + current.idle_timeout > Instant::now();
        if is_extended {
            self.limits = current;
        }
        is_extended
    }

    /// Returns what happens next if nothing else does.
    fn next_event(&self) -> Option<(Instant, Event)> {
        let limits = &self.limits;
        let stalled = (!self.output.is_empty()).then(|| {
            let deadline = self.written_at + limits.idle_timeout;
            (deadline, Event::Close(CloseCause::Stalled))
        });
        let head = self.head_since.map(|since| since + limits.head_timeout);
        let head = head.map(|deadline| (deadline, Event::HeadTimeout));
        let idle = (self.is_idle() && head.is_none()).then(|| {
            let deadline = self.idle_since + limits.idle_timeout;
            (deadline, Event::Close(CloseCause::Idle))
        });
        let check = self.is_unread().then(|| {
            let deadline = self.read_at + CLOSE_CHECK_INTERVAL;
            (deadline, Event::CloseCheck)
        });
        let ahead = self.ahead_at.map(|at| (at, Event::ReadAhead));
        let events = [stalled, head, idle, check, ahead].into_iter().flatten();
        events.min_by_key(|(deadline, _)| *deadline)
    }

    /// Returns whether requests run while as much as allowed waits to be decoded.
    fn is_unread(&self) -> bool {
        !self.slots.is_empty() && !self.reader.has_room(self.max_buffered())
    }

    /// Returns whether no request is without a complete response. A part of a head may have arrived.
    fn is_idle(&self) -> bool {
        self.slots.is_empty() && self.output.is_empty()
    }

    /// Returns whether the caller closed the connection, without reading what it sent before.
    fn is_closed_by_caller(&self) -> bool {
        let mut cx = Context::from_waker(std::task::Waker::noop());
        let ready = pin!(self.stream.ready(Interest::READABLE)).poll(&mut cx);
        match ready {
            Poll::Ready(Ok(ready)) => ready.is_read_closed(),
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        }
    }

    /// Returns whether connections stay open after the responses that are due.
    fn is_serving(&self) -> bool {
        self.worker.routing().view.phase == Phase::Serving
    }

    /// Adds the last response of the connection, to a request that can't be read.
    fn refuse_input(&mut self, status: StatusCode, cause: CloseCause) {
        self.reader.end();
        self.head_since = None;
        let response = Response::new(status);
        self.pipeline.push(Repeat::Allowed);
        self.pipeline.end();
        let budget = &self.worker.ahead_budget;
        self.slots.push_back(Slot::last(response, cause, budget));
    }
}

/// What happens to a connection at a time.
#[derive(Clone, Copy)]
enum Event {
    /// It is closed.
    Close(CloseCause),
    /// A head is not complete in time.
    HeadTimeout,
    /// It is checked whether the caller closed it.
    CloseCheck,
    /// Responses are read ahead.
    ReadAhead,
}
