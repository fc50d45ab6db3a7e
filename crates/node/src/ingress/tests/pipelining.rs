//! Several requests on one connection.

use tokio::{
    sync::Semaphore,
    time::{sleep, timeout},
};

use super::*;

/// Time within which something is seen that should happen at once, on a busy machine.
const SOON: Duration = Duration::from_secs(5);
/// Time for which nothing may happen.
const QUIET: Duration = Duration::from_millis(200);
/// Time within which upstreams must stop after a caller has closed its connection.
const DROP_TIME: Duration = Duration::from_millis(500);

/// Calls that upstreams hold until they are released.
#[derive(Clone)]
struct Gate {
    open: Rc<Semaphore>,
    running: Rc<Cell<usize>>,
    dropped: Rc<Cell<usize>>,
}

impl Gate {
    fn new() -> Self {
        Self {
            open: Rc::new(Semaphore::new(0)),
            running: Rc::default(),
            dropped: Rc::default(),
        }
    }

    /// Returns a sidecar whose calls end once they are released. Calls to `/x/free` end at once.
    fn sidecar(&self) -> FakeSidecar {
        let gate = self.clone();
        FakeSidecar::new(move |call| {
            let gate = gate.clone();
            async move { gate.run(call).await }.boxed_local()
        })
    }

    async fn run(self, mut call: FakeCall) {
        while let Ok(Some(_)) = call.reader.read_bytes().await {}
        let target = call.head.target.clone();
        if target != "/x/free" {
            self.running.set(self.running.get() + 1);
            tokio::select! {
                permit = self.open.acquire() => permit.unwrap().forget(),
                () = call.writer.wait_for_reset() => {
                    self.dropped.set(self.dropped.get() + 1);
                    return;
                }
            }
        }
        let head = answer_head(Some(target.len() as u64));
        call.writer.write_frame(&head).await.unwrap();
        call.writer.write_bytes(Bytes::from(target)).await.unwrap();
        call.writer.finish().unwrap();
    }
}

async fn wait_until(condition: impl Fn() -> bool) {
    let holds = async {
        while !condition() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(SOON, holds).await.expect("condition never held");
}

impl Fixture {
    /// Opens a connection and sends bytes on it.
    async fn connect(&self, bytes: &[u8]) -> TcpStream {
        let mut stream = TcpStream::connect(self.callers).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        stream
    }

    fn targets(&self) -> Vec<String> {
        self.heads().into_iter().map(|head| head.target).collect()
    }
}

fn get(target: &str) -> String {
    format!("GET {target} HTTP/1.1\r\nhost: a\r\n\r\n")
}

fn post(target: &str) -> String {
    format!("POST {target} HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody")
}

/// Reads until the connection closes.
async fn read_all(mut stream: TcpStream) -> String {
    let mut all = Vec::new();
    let read = timeout(SOON, stream.read_to_end(&mut all)).await;
    let _ = read.expect("connection did not close");
    String::from_utf8(all).unwrap()
}

/// Returns the targets that the answers repeat, in their order.
fn answered(text: &str) -> Vec<&str> {
    let parts = text.split("HTTP/1.1 200 OK\r\n").skip(1);
    parts
        .map(|part| part.split("\r\n\r\n").nth(1).unwrap())
        .collect()
}

/// Guards against requests that run one after the other: eight that are sent at once run at the same time, and
/// a ninth waits for room.
#[actix_rt::test]
async fn idempotent_requests_run_at_the_same_time() {
    let gate = Gate::new();
    let fixture = Fixture::start(TWO_UPSTREAMS, |_| gate.sidecar()).await;
    let requests: String = (0..9).map(|i| get(&format!("/x/{i}"))).collect();
    let stream = fixture.connect(requests.as_bytes()).await;
    wait_until(|| gate.running.get() == 8).await;
    sleep(QUIET).await;
    assert_eq!(gate.running.get(), 8);
    gate.open.add_permits(9);
    wait_until(|| gate.running.get() == 9).await;
    drop(stream);
}

/// Guards against responses in the order in which calls end.
#[actix_rt::test]
async fn responses_have_the_order_of_their_requests() {
    let gate = Gate::new();
    let fixture = Fixture::start(TWO_UPSTREAMS, |_| gate.sidecar()).await;
    let requests = get("/x/held") + &get("/x/free") + &get("/nowhere") + &get("/x/free");
    let mut stream = fixture.connect(requests.as_bytes()).await;
    wait_until(|| fixture.heads().len() == 3).await;
    let mut byte = [0];
    assert!(timeout(QUIET, stream.read(&mut byte)).await.is_err());
    gate.open.add_permits(1);
    for (status, body) in [
        (200, "/x/held"),
        (200, "/x/free"),
        (404, ""),
        (200, "/x/free"),
    ] {
        let reply = read_response(&mut stream).await;
        reply.assert_status(status).assert_body(body.as_bytes());
    }
}

/// Reads one response and leaves those behind it.
async fn read_response(stream: &mut TcpStream) -> RawResponse {
    timeout(SOON, RawResponse::read_one(stream)).await.unwrap()
}

/// Guards against a request that may run once and whose response a close ahead of it swallows.
#[actix_rt::test]
async fn a_request_that_may_run_once_waits_for_the_responses_before_it() {
    let gate = Gate::new();
    let fixture = Fixture::start(TWO_UPSTREAMS, |_| gate.sidecar()).await;
    let requests = get("/x/held") + &post("/x/free") + &get("/x/free");
    let mut stream = fixture.connect(requests.as_bytes()).await;
    wait_until(|| gate.running.get() == 1).await;
    sleep(QUIET).await;
    assert_eq!(fixture.targets(), ["/x/held"]);
    gate.open.add_permits(1);
    for body in ["/x/held", "/x/free", "/x/free"] {
        read_response(&mut stream)
            .await
            .assert_body(body.as_bytes());
    }
    let methods: Vec<_> = fixture
        .heads()
        .into_iter()
        .map(|head| head.method)
        .collect();
    assert_eq!(methods, ["GET", "POST", "GET"]);
}

/// Guards against a request that overtakes one that may run only once.
#[actix_rt::test]
async fn requests_behind_one_that_may_run_once_wait() {
    let gate = Gate::new();
    let fixture = Fixture::start(TWO_UPSTREAMS, |_| gate.sidecar()).await;
    let requests = post("/x/held") + &get("/x/free");
    let mut stream = fixture.connect(requests.as_bytes()).await;
    wait_until(|| gate.running.get() == 1).await;
    sleep(QUIET).await;
    assert_eq!(fixture.heads().len(), 1);
    gate.open.add_permits(1);
    for body in ["/x/held", "/x/free"] {
        read_response(&mut stream)
            .await
            .assert_body(body.as_bytes());
    }
}

/// Guards against requests that run behind a response that closes the connection, although their caller takes
/// them for unread.
#[actix_rt::test]
async fn nothing_runs_behind_a_request_that_closes_the_connection() {
    let gate = Gate::new();
    let fixture = Fixture::start(TWO_UPSTREAMS, |_| gate.sidecar()).await;
    let last = "GET /x/free HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let requests = get("/x/free") + last + &post("/x/unread");
    let stream = fixture.connect(requests.as_bytes()).await;
    let text = read_all(stream).await;
    assert_eq!(answered(&text), ["/x/free", "/x/free"]);
    assert_eq!(text.matches("connection: close").count(), 1);
    assert_eq!(fixture.targets(), ["/x/free", "/x/free"]);
}

/// Guards against a last request that is dropped with the response before it instead of being run.
#[actix_rt::test]
async fn a_last_request_that_may_run_once_is_served() {
    let gate = Gate::new();
    let fixture = Fixture::start(TWO_UPSTREAMS, |_| gate.sidecar()).await;
    let last = "POST /x/free HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    let requests = get("/x/held") + last;
    let stream = fixture.connect(requests.as_bytes()).await;
    wait_until(|| gate.running.get() == 1).await;
    sleep(QUIET).await;
    gate.open.add_permits(1);
    assert_eq!(answered(&read_all(stream).await), ["/x/held", "/x/free"]);
}

/// Guards against an answer that breaks off and is followed by another, which would look like its rest, and
/// against calls behind it that keep running.
#[actix_rt::test]
async fn an_answer_that_breaks_off_ends_the_connection_and_the_calls_behind_it() {
    let gate = Gate::new();
    let held = gate.clone();
    let script = move |mut call: FakeCall| {
        let held = held.clone();
        async move {
            if call.head.target != "/x/broken" {
                return held.run(call).await;
            }
            while held.running.get() < 1 {
                sleep(Duration::from_millis(5)).await;
            }
            call.writer.write_frame(&answer_head(None)).await.unwrap();
            let half = Bytes::from_static(b"half");
            call.writer.write_bytes(half).await.unwrap();
            sleep(Duration::from_millis(50)).await;
            call.writer.reset();
        }
        .boxed_local()
    };
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], move |_| {
        FakeSidecar::new(script.clone())
    })
    .await;
    let requests = get("/x/broken") + &get("/x/held") + &post("/x/unread");
    let stream = fixture.connect(requests.as_bytes()).await;
    let text = read_all(stream).await;
    assert!(text.ends_with("4\r\nhalf\r\n"), "{text}");
    wait_until(|| gate.dropped.get() == 1).await;
    assert!(!fixture.targets().contains(&"/x/unread".into()));
}

/// Guards against upstreams that work for a caller that is gone. With more bytes than the node reads ahead,
/// the end of the connection can't be read.
#[actix_rt::test]
async fn the_calls_of_a_caller_that_leaves_are_dropped() {
    let gate = Gate::new();
    let fixture = Fixture::start(TWO_UPSTREAMS, |_| gate.sidecar()).await;
    for (round, unread) in [0, 100 << 10].into_iter().enumerate() {
        let requests: String = (0..8).map(|i| get(&format!("/x/{i}"))).collect();
        let requests = requests + &"x".repeat(unread);
        let stream = fixture.connect(requests.as_bytes()).await;
        wait_until(|| gate.running.get() == 8 * (round + 1)).await;
        sleep(QUIET).await;
        assert_eq!(gate.dropped.get(), 8 * round);
        drop(stream);
        sleep(DROP_TIME).await;
        assert_eq!(gate.dropped.get(), 8 * (round + 1));
    }
}

/// The same while an upstream does not read a body, so that the connection is not read either.
#[actix_rt::test]
async fn the_call_of_a_caller_that_leaves_within_a_body_is_dropped() {
    // More than a call takes whose upstream does not read, and less than that and the socket's buffer:
    // behind more, the end of the connection does not arrive.
    const HELD_BYTES: usize = 180 << 10;
    let (running, dropped) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(false)));
    let (seen, ended) = (Rc::clone(&running), Rc::clone(&dropped));
    let unread = move |mut call: FakeCall| {
        let (running, dropped) = (Rc::clone(&running), Rc::clone(&dropped));
        async move {
            running.set(true);
            call.writer.wait_for_reset().await;
            dropped.set(true);
        }
        .boxed_local()
    };
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], move |_| {
        FakeSidecar::new(unread.clone())
    })
    .await;
    let head = "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 9000000\r\n\r\n";
    let stream = fixture
        .connect(&[head.as_bytes(), &[b'b'; HELD_BYTES]].concat())
        .await;
    wait_until(|| seen.get()).await;
    sleep(QUIET).await;
    assert!(!ended.get());
    drop(stream);
    sleep(DROP_TIME).await;
    assert!(ended.get());
}

/// Guards against a planned stop that loses calls which upstreams run, or takes further ones on the
/// connection.
#[actix_rt::test]
async fn a_stop_answers_what_was_forwarded_and_nothing_behind_it() {
    let gate = Gate::new();
    let fixture = Fixture::start(TWO_UPSTREAMS, |_| gate.sidecar()).await;
    let requests: String = (0..3).map(|i| get(&format!("/x/{i}"))).collect();
    let mut stream = fixture.connect(requests.as_bytes()).await;
    wait_until(|| gate.running.get() == 3).await;
    fixture.context.view().set_phase(Phase::Leaving);
    let late = get("/x/late") + &post("/x/late");
    stream.write_all(late.as_bytes()).await.unwrap();
    sleep(QUIET).await;
    assert_eq!(gate.running.get(), 3);
    gate.open.add_permits(5);
    let text = read_all(stream).await;
    assert_eq!(answered(&text), ["/x/0", "/x/1", "/x/2"]);
    let heads: Vec<&str> = text.split("HTTP/1.1 200").skip(1).collect();
    let closing = heads.iter().map(|head| head.contains("connection: close"));
    assert_eq!(closing.collect::<Vec<_>>(), [false, false, true]);
    assert_eq!(fixture.heads().len(), 3);
}

/// Guards against a deadline that starts when a request that waits for others starts.
#[actix_rt::test]
async fn the_deadline_of_a_waiting_request_counts_from_its_arrival() {
    let gate = Gate::new();
    let fixture = Fixture::start(TWO_UPSTREAMS, |_| gate.sidecar()).await;
    let late = "GET /x/free HTTP/1.1\r\nhost: a\r\nx-deadline-ms: 300\r\n\r\n";
    let requests = post("/x/held") + late;
    let mut stream = fixture.connect(requests.as_bytes()).await;
    wait_until(|| gate.running.get() == 1).await;
    sleep(2 * QUIET).await;
    gate.open.add_permits(1);
    read_response(&mut stream).await.assert_status(200);
    let reply = read_response(&mut stream).await;
    reply
        .assert_status(503)
        .assert_header("x-reason", "deadline");
    assert_eq!(fixture.heads().len(), 1);
}

/// Guards against a response that is buffered whole while it waits for an earlier one.
#[actix_rt::test]
async fn a_waiting_response_is_not_read_ahead() {
    const BODY_BYTES: u64 = 16 << 20;
    let written = Rc::new(Cell::new(0u64));
    let observed = Rc::clone(&written);
    let gate = Gate::new();
    let held = gate.clone();
    let script = move |mut call: FakeCall| {
        let (held, written) = (held.clone(), Rc::clone(&written));
        async move {
            if call.head.target == "/x/held" {
                return held.run(call).await;
            }
            let head = answer_head(Some(BODY_BYTES));
            call.writer.write_frame(&head).await.unwrap();
            let part = Bytes::from(vec![0; 4 << 10]);
            while written.get() < BODY_BYTES && call.writer.write_bytes(part.clone()).await.is_ok()
            {
                written.set(written.get() + part.len() as u64);
            }
        }
        .boxed_local()
    };
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], move |_| {
        FakeSidecar::new(script.clone())
    })
    .await;
    let requests = get("/x/held") + &get("/x/large");
    let mut stream = fixture.connect(requests.as_bytes()).await;
    wait_until(|| observed.get() > 0).await;
    sleep(2 * QUIET).await;
    let mut byte = [0];
    assert!(timeout(QUIET, stream.read(&mut byte)).await.is_err());
    assert!(observed.get() < BODY_BYTES / 16, "{} bytes", observed.get());
}

/// Guards against a request that is admitted while the response before it starts and whose call is then never
/// polled.
#[actix_rt::test]
async fn a_request_behind_a_body_that_its_call_left_is_answered() {
    let fixture = Fixture::start(TWO_UPSTREAMS, |_| hello_sidecar()).await;
    fixture.drain("a1");
    fixture.drain("a2");
    let head = "PUT /x HTTP/1.1\r\nhost: a\r\ncontent-length: 5000\r\n\r\n";
    let requests = head.to_owned() + &"b".repeat(5_000) + &get("/nowhere");
    let mut stream = fixture.connect(requests.as_bytes()).await;
    for status in [503, 404] {
        read_response(&mut stream).await.assert_status(status);
    }
}

/// Guards against a connection that closes without a word at the end of the notice of a stop, under a request
/// behind a response that has stated that the connection may be reused.
#[actix_rt::test]
async fn a_request_behind_a_response_that_keeps_the_connection_is_answered_in_a_stop() {
    let gate = Gate::new();
    let held = gate.clone();
    let script = move |mut call: FakeCall| {
        let held = held.clone();
        async move {
            if call.head.target != "/x/parts" {
                return held.run(call).await;
            }
            call.writer
                .write_frame(&answer_head(Some(8)))
                .await
                .unwrap();
            let half = Bytes::from_static(b"half");
            call.writer.write_bytes(half).await.unwrap();
            held.open.acquire().await.unwrap().forget();
            let rest = Bytes::from_static(b"rest");
            call.writer.write_bytes(rest).await.unwrap();
            call.writer.finish().unwrap();
        }
        .boxed_local()
    };
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], move |_| {
        FakeSidecar::new(script.clone())
    })
    .await;
    let mut stream = fixture.connect(get("/x/parts").as_bytes()).await;
    let mut head = Vec::new();
    while !head.ends_with(b"half") {
        let read = timeout(SOON, stream.read_buf(&mut head)).await;
        assert_ne!(read.unwrap().unwrap(), 0);
    }
    let head = String::from_utf8(head).unwrap();
    assert!(head.contains("keep-alive: timeout="), "{head}");
    fixture.context.view().set_phase(Phase::Leaving);
    stream.write_all(get("/x/free").as_bytes()).await.unwrap();
    sleep(QUIET).await;
    gate.open.add_permits(1);
    let text = read_all(stream).await;
    assert!(text.starts_with("rest"), "{text}");
    assert_eq!(answered(&text), ["/x/free"]);
    assert_eq!(text.matches("connection: close").count(), 1, "{text}");
}

/// Guards against a response that states that the connection may be reused, although the rest of its request
/// has not come and the connection closes.
#[actix_rt::test]
async fn an_answer_ahead_of_its_request_body_announces_the_close() {
    let early = |mut call: FakeCall| {
        async move {
            let head = answer_head(Some(5));
            call.writer.write_frame(&head).await.unwrap();
            let body = Bytes::from_static(b"early");
            call.writer.write_bytes(body).await.unwrap();
            call.writer.finish().unwrap();
            // Keeps the request's stream open, so that its call does not leave the body.
            while let Ok(Some(_)) = call.reader.read_bytes().await {}
        }
        .boxed_local()
    };
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], move |_| FakeSidecar::new(early)).await;
    let head = "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 300000\r\n\r\n";
    let part = "b".repeat(20 << 10);
    let stream = fixture.connect((head.to_owned() + &part).as_bytes()).await;
    let text = read_all(stream).await;
    assert!(text.starts_with("HTTP/1.1 200 "), "{text}");
    assert!(text.ends_with("early"), "{text}");
    assert!(text.contains("connection: close\r\n"), "{text}");
}
