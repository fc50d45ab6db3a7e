//! Callers that keep one connection to a node each and use it until it is closed.

use std::{
    cell::RefCell,
    convert::Infallible,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::{future::join_all, stream};
use http::{HeaderMap, Request, header::CONTENT_LENGTH};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    body::Frame,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

/// Number of threads on which the callers run.
const THREADS: usize = 3;
/// Time that a caller waits for an answer: the longest time budget of the users' large deployment.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(6);
/// Mean pause of a caller between two requests.
const MEAN_PAUSE: Duration = Duration::from_millis(400);
/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a connection could not be opened.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Length of an answer in bytes.
const ANSWER_BYTES: u64 = 512;
/// Body of a request that may run once.
const BODY: &[u8] = b"{\"amount\": 12000}";
/// Longest time between the first byte of a slow body and the rest, in seconds.
const MAX_BODY_PAUSE_S: f64 = 4.0;

/// Node to which callers connect.
#[derive(Clone, Debug)]
pub(super) struct CalledNode {
    /// Index of the VM.
    pub(super) vm: usize,
    pub(super) address: SocketAddr,
}

/// Distribution of the time that upstreams work on a request. Mean, spread, tail and maximum
/// are those of the requests that may run once in the users' large deployment.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkTimes {
    mean_ms: f64,
    /// Standard deviation of the logarithm.
    spread: f64,
    /// Share of requests that take `tail_factor` times as long.
    tail: f64,
    tail_factor: f64,
    max_ms: f64,
    /// Largest factor by which an upstream is slower than others of its service.
    slowest: f64,
}

impl WorkTimes {
    /// Returns the distribution for upstreams that are up to `slowest` times slower than others.
    pub(super) fn new(slowest: f64) -> Self {
        Self {
            mean_ms: 300.0,
            spread: 0.3,
            tail: 0.01,
            tail_factor: 5.0,
            max_ms: 2_200.0,
            slowest,
        }
    }

    /// Draws the time of one request.
    pub(super) fn draw(self, rng: &mut impl Rng) -> Duration {
        // The sum of twelve uniform values approximates a normal distribution.
        let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
        let factor = (self.spread * normal - self.spread * self.spread / 2.0).exp();
        let tail = if rng.random_bool(self.tail) {
            self.tail_factor
        } else {
            1.0
        };
        let work_ms = (self.mean_ms * factor * tail).min(self.max_ms);
        Duration::from_secs_f64(work_ms * rng.random_range(1.0..=self.slowest) / 1e3)
    }
}

/// What callers ask for.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallerLoad {
    pub(super) times: WorkTimes,
    /// Share of the bodies that pause after their first byte.
    pub(super) slow_bodies: f64,
}

/// One request on a kept connection.
#[derive(Clone, Debug)]
pub(super) struct Exchange {
    pub(super) id: String,
    /// Index of the VM whose node got the request.
    pub(super) vm: usize,
    /// Time at which the head was sent.
    pub(super) sent: Instant,
    /// Time at which the rest of the body was sent, if it was.
    pub(super) whole: Option<Instant>,
    pub(super) ended: Instant,
    /// Time that the upstream works on the request.
    pub(super) work: Duration,
    pub(super) end: ExchangeEnd,
}

/// How an exchange ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExchangeEnd {
    /// The upstream's whole answer arrived.
    Answered,
    /// The node stated that the request did not run.
    Refused,
    /// The node stated that the request may have run.
    Unknown,
    /// The connection ended before a whole answer arrived.
    Closed,
    /// The connection was closed before the request was written.
    Unsent,
    /// The caller gave up, or the timeout of the route was reached.
    TimedOut,
}

/// Running callers.
pub(super) struct Callers {
    token: CancellationToken,
    threads: Vec<thread::JoinHandle<Vec<Exchange>>>,
}

impl Callers {
    /// Starts `count` callers for each node.
    pub(super) fn start(nodes: &[CalledNode], count: usize, load: CallerLoad, seed: u64) -> Self {
        let token = CancellationToken::new();
        let all = nodes
            .iter()
            .flat_map(|node| (0..count).map(move |caller| (node.clone(), caller)));
        let all: Vec<_> = all.collect();
        let threads = (0..THREADS).map(|thread| {
            let own = all.iter().skip(thread).step_by(THREADS).cloned();
            let own: Vec<_> = own.collect();
            let token = token.clone();
            thread::spawn(move || run_thread(own, load, &token, seed))
        });
        Self {
            threads: threads.collect(),
            token,
        }
    }

    /// Starts no further requests, waits for those under way and returns all exchanges.
    ///
    /// # Panics
    ///
    /// Panics when a thread of callers panicked.
    pub(super) async fn finish(self) -> Vec<Exchange> {
        self.token.cancel();
        let joined = tokio::task::spawn_blocking(move || {
            let join = |thread: thread::JoinHandle<_>| thread.join().expect("callers panicked");
            self.threads.into_iter().flat_map(join).collect()
        });
        joined.await.expect("joining the callers panicked")
    }
}

fn run_thread(
    own: Vec<(CalledNode, usize)>,
    load: CallerLoad,
    token: &CancellationToken,
    seed: u64,
) -> Vec<Exchange> {
    let exchanges = Rc::default();
    let callers = own.into_iter().map(|(node, number)| Caller {
        rng: SmallRng::seed_from_u64(seed ^ (node.vm as u64) << 16 ^ (number as u64) << 48),
        name: format!("{}-{number}", node.vm),
        node,
        load,
        requests: 0,
        token: token.clone(),
        exchanges: Rc::clone(&exchanges),
    });
    let callers = callers.map(Caller::run);
    actix_rt::System::new().block_on(join_all(callers));
    exchanges.take()
}

struct Caller {
    name: String,
    node: CalledNode,
    load: CallerLoad,
    requests: u64,
    rng: SmallRng,
    token: CancellationToken,
    exchanges: Rc<RefCell<Vec<Exchange>>>,
}

type Sender = SendRequest<RequestBody>;

type RequestBody = UnsyncBoxBody<Bytes, Infallible>;

impl Caller {
    async fn run(mut self) {
        while !self.token.is_cancelled() {
            match connect(self.node.address).await {
                Some(sender) => self.use_connection(sender).await,
                None => sleep(RECONNECT_PAUSE).await,
            }
        }
    }

    /// Sends requests on a connection until it is closed or the node announces its end.
    async fn use_connection(&mut self, mut sender: Sender) {
        loop {
            let draw = 1.0 - self.rng.random::<f64>();
            let pause = MEAN_PAUSE.mul_f64(-draw.ln());
            tokio::select! {
                () = self.token.cancelled() => return,
                () = sleep(pause) => {}
            }
            if sender.is_closed() || !self.exchange(&mut sender).await {
                return;
            }
        }
    }

    /// Makes one request and returns whether the connection can be used again.
    async fn exchange(&mut self, sender: &mut Sender) -> bool {
        self.requests += 1;
        let id = format!("{}-{}", self.name, self.requests);
        let work = self.load.times.draw(&mut self.rng);
        let is_safe = self.rng.random_bool(0.5);
        let is_slow = !is_safe && self.rng.random_bool(self.load.slow_bodies);
        let pause = match is_slow {
            true => Duration::from_secs_f64(self.rng.random_range(0.0..MAX_BODY_PAUSE_S)),
            false => Duration::ZERO,
        };
        let sent = Instant::now();
        let whole = Arc::new(Mutex::new(None));
        let body = if is_safe { &[] } else { BODY };
        let body = paused_body(body, pause, Arc::clone(&whole));
        let request = request(&id, self.node.address, work, is_safe, body);
        let answer = timeout(CALL_TIMEOUT, send(sender, request)).await;
        let (end, is_usable) = answer.unwrap_or((ExchangeEnd::TimedOut, false));
        self.exchanges.borrow_mut().push(Exchange {
            id,
            vm: self.node.vm,
            sent,
            whole: *whole.lock(),
            ended: Instant::now(),
            work,
            end,
        });
        is_usable
    }
}

async fn connect(address: SocketAddr) -> Option<Sender> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    actix_rt::spawn(connection);
    Some(sender)
}

/// Returns a body that pauses after its first byte and records when the rest is sent.
fn paused_body(
    bytes: &'static [u8],
    pause: Duration,
    whole: Arc<Mutex<Option<Instant>>>,
) -> RequestBody {
    let (first, rest) = bytes.split_at(bytes.len().min(1));
    if pause.is_zero() {
        *whole.lock() = Some(Instant::now());
        return Full::new(Bytes::from_static(bytes)).boxed_unsync();
    }
    let parts = stream::unfold(0, move |part| {
        let whole = Arc::clone(&whole);
        async move {
            let bytes = match part {
                0 => first,
                1 => {
                    sleep(pause).await;
                    *whole.lock() = Some(Instant::now());
                    rest
                }
                _ => return None,
            };
            Some((Ok(Frame::data(Bytes::from_static(bytes))), part + 1))
        }
    });
    StreamBody::new(parts).boxed_unsync()
}

/// # Panics
///
/// Does not panic: the address and the identifiers are valid in a URI and in headers.
fn request(
    id: &str,
    node: SocketAddr,
    work: Duration,
    is_safe: bool,
    body: RequestBody,
) -> Request<RequestBody> {
    let (method, length) = if is_safe {
        ("GET", 0)
    } else {
        ("POST", BODY.len())
    };
    let path = format!("/service-0?size={ANSWER_BYTES}&ms={}", work.as_millis());
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", node.to_string())
        .header("x-request-id", id)
        .header("x-sending", id)
        .header("x-deadline-ms", CALL_TIMEOUT.as_millis().to_string())
        .header(CONTENT_LENGTH, length);
    request.body(body).expect("URI and headers are valid")
}

/// Sends a request and reads the whole answer. Returns how it ended and whether the connection can
/// be used again.
async fn send(sender: &mut Sender, request: Request<RequestBody>) -> (ExchangeEnd, bool) {
    if sender.ready().await.is_err() {
        return (ExchangeEnd::Unsent, false);
    }
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut err) => {
            let is_unsent = err.take_message().is_some();
            let end = if is_unsent {
                ExchangeEnd::Unsent
            } else {
                ExchangeEnd::Closed
            };
            return (end, false);
        }
    };
    let is_last = header(response.headers(), "connection") == "close";
    let end = if response.status().is_success() {
        ExchangeEnd::Answered
    } else if header(response.headers(), "x-outcome") == "did-not-run" {
        ExchangeEnd::Refused
    } else if header(response.headers(), "x-reason") == "deadline" {
        ExchangeEnd::TimedOut
    } else {
        ExchangeEnd::Unknown
    };
    match response.into_body().collect().await {
        Ok(_) => (end, !is_last),
        Err(_) => (ExchangeEnd::Closed, false),
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}
