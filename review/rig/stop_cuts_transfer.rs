//! A planned stop closes a connection on which an answer is still under way to a client with a slow link.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    os::fd::AsRawFd,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::{Fleet, SIGTERM},
    has_trouble,
    http::find,
    record::Record,
    server::{Runs, Server, answer_body, signature},
};

/// The largest answer of `archivio` in the site file.
const ANSWER_BYTES: usize = 540_000;
/// What the client's link carries at once.
const PART_BYTES: usize = 16 << 10;
/// Receive window of the client.
const WINDOW_BYTES: i32 = 32 << 10;

/// What a client does.
#[derive(Clone, Copy)]
struct Plan {
    service: &'static str,
    deadline_ms: u64,
    /// Time-out of the route.
    timeout: Duration,
    /// Time that the link needs for each part.
    part_time: Duration,
    /// When the client sends further safe requests, counted from its first one.
    further: &'static [u64],
}

/// The time budget of `archivio` in the site file, and a link of 2.4 Mbit/s.
const SHORT: Plan = Plan {
    service: "conti",
    deadline_ms: 2_000,
    timeout: Duration::from_secs(2),
    part_time: Duration::from_millis(55),
    further: &[350, 1_550],
};
/// That of the large site, and a link of 1.3 Mbit/s.
const LONG: Plan = Plan {
    service: "ricevute",
    deadline_ms: 6_000,
    timeout: Duration::from_secs(5),
    part_time: Duration::from_millis(100),
    further: &[2_900],
};
const PLANS: [Plan; 4] = [SHORT, SHORT, LONG, LONG];

struct Outcome {
    id: String,
    received: usize,
    is_right: bool,
    end: String,
    ended: Instant,
    sent: Instant,
    plan: Plan,
}

pub fn run(record: &Record) -> Verdict {
    let mut fleet = Fleet::new(&[
        ("conti", "ragusa"),
        ("ricevute", "modica"),
        ("ricevute", "vittoria"),
    ]);
    let runs = Runs::default();
    for vm in &fleet.vms {
        if let Err(err) = Server::start(&vm.server, vm.app(), &runs) {
            return Verdict::NotRun(err.to_string());
        }
    }
    fleet.configure(
        7,
        &[
            ("safe", "conti", 2.0),
            ("safe", "ricevute", 2.0),
            ("download", SHORT.service, SHORT.timeout.as_secs_f64()),
            ("download", LONG.service, LONG.timeout.as_secs_f64()),
        ],
    );
    fleet.start();
    if !fleet.wait_until_served("/download/ricevute/w0/s10")
        || !fleet.wait_until_served("/download/conti/w0/s10")
    {
        return Verdict::NotRun("the nodes don't serve".into());
    }
    // contact_s of calm before the requests.
    thread::sleep(Duration::from_millis(3_500));
    let node = fleet.vms[0].outbound();
    let begun = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = PLANS
        .into_iter()
        .enumerate()
        .map(|(number, plan)| {
            let (record, begun) = (record.clone(), Arc::clone(&begun));
            thread::spawn(move || client(number, plan, node, &record, &begun))
        })
        .collect();
    let end = Instant::now() + Duration::from_secs(4);
    while begun.load(SeqCst) < PLANS.len() && Instant::now() < end {
        thread::sleep(Duration::from_millis(5));
    }
    if begun.load(SeqCst) < PLANS.len() {
        return Verdict::NotRun("an answer did not begin".into());
    }
    if has_trouble() {
        record.line("SIGTERM to the node that took the requests");
        fleet.signal(0, SIGTERM);
    }
    let mut lost = 0;
    for client in clients {
        let outcome = match client.join() {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(err)) => return Verdict::NotRun(err.to_string()),
            Err(_) => return Verdict::NotRun("a client panicked".into()),
        };
        let run = runs.of(&outcome.id).first().cloned();
        let Some(run) = run else {
            return Verdict::NotRun(format!("{} was not run", outcome.id));
        };
        let (id, received) = (&outcome.id, outcome.received);
        record.line_at(run.at, &format!("run {id} by {}", run.server));
        if let Some(at) = run.answered {
            record.line_at(at, &format!("answered {id} by {}, whole", run.server));
        }
        let took = outcome.ended.saturating_duration_since(outcome.sent);
        let is_whole = received == ANSWER_BYTES && outcome.is_right;
        let end = &outcome.end;
        let text =
            format!("client {id}: {received} of {ANSWER_BYTES} bytes after {took:.3?}, {end}");
        record.line_at(outcome.ended, &text);
        // Not counted: the time budget or the time-out of the route was reached.
        let is_in_time = took < outcome.plan.timeout;
        if !is_whole && run.answered.is_some() && is_in_time {
            lost += 1;
        }
    }
    record.line(&format!(
        "answers that broke off although their server had finished: {lost} of {}",
        PLANS.len()
    ));
    if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn client(
    number: usize,
    plan: Plan,
    node: SocketAddr,
    record: &Record,
    begun: &AtomicUsize,
) -> io::Result<Outcome> {
    let mut stream = TcpStream::connect(node)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    set_window(&stream);
    let id = format!("d0{number:014x}");
    let deadline_ms = plan.deadline_ms;
    let request = |id: &str, path: &str| {
        format!(
            "GET {path} HTTP/1.1\r\nHost: mesh.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\r\n"
        )
    };
    let sent = Instant::now();
    let path = format!("/download/{}/w20/s{ANSWER_BYTES}", plan.service);
    stream.write_all(request(&id, &path).as_bytes())?;
    record.line(&format!("sent {id} GET {path}"));
    let mut bytes = Vec::new();
    let mut part = [0; PART_BYTES];
    let mut has_begun = false;
    let mut further = plan.further.iter().peekable();
    let mut count = 0;
    let end = loop {
        if let Some(after) = further.peek()
            && sent.elapsed() >= Duration::from_millis(**after)
        {
            further.next();
            count += 1;
            let id = format!("d{count}{number:014x}");
            let path = format!("/safe/{}/w20/s1000", plan.service);
            let result = stream.write_all(request(&id, &path).as_bytes());
            record.line(&format!(
                "sent {id} GET {path} on the connection of client {number}: {result:?}"
            ));
        }
        match stream.read(&mut part) {
            Ok(0) => break "the connection ended".to_string(),
            Ok(count) => bytes.extend_from_slice(&part[..count]),
            Err(err) => break format!("the connection broke: {err}"),
        }
        let head = find(&bytes, b"\r\n\r\n").map(|at| at + 4);
        if !has_begun && let Some(head) = head {
            has_begun = true;
            let text = String::from_utf8_lossy(&bytes[..head]).replace("\r\n", " | ");
            record.line(&format!("client {id}: head {text}"));
            begun.fetch_add(1, SeqCst);
        }
        if head.is_some_and(|head| bytes.len() >= head + ANSWER_BYTES) {
            break "complete".to_string();
        }
        thread::sleep(plan.part_time);
    };
    let start = find(&bytes, b"\r\n\r\n").map_or(bytes.len(), |at| at + 4);
    let head = String::from_utf8_lossy(&bytes[..start]).into_owned();
    let body = &bytes[start..bytes.len().min(start + ANSWER_BYTES)];
    let is_signed = ["i-00000000", "i-00000001", "i-00000002"]
        .iter()
        .any(|it| head.contains(&signature(it, &id)));
    Ok(Outcome {
        received: body.len(),
        is_right: is_signed && *body == answer_body(&id, ANSWER_BYTES)[..body.len()],
        id,
        end,
        ended: Instant::now(),
        sent,
        plan,
    })
}

/// Bounds the receive window, as that of a link with a small bandwidth is.
fn set_window(stream: &TcpStream) {
    unsafe extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, size: u32) -> i32;
    }
    // SOL_SOCKET is 1 and SO_RCVBUF 8 on Linux, on x86-64 and arm64.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 8, &WINDOW_BYTES, 4) };
}
