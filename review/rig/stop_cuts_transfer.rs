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

const CLIENTS: usize = 4;
/// The largest answer of `archivio` in the site file.
const ANSWER_BYTES: usize = 540_000;
const DEADLINE_MS: u64 = 6_000;
/// The client's link: 16 KB each 100 ms, about 1.3 Mbit/s.
const PART_BYTES: usize = 16 << 10;
const PART_PAUSE: Duration = Duration::from_millis(100);
/// Receive window of the client.
const WINDOW_BYTES: i32 = 32 << 10;
/// When the client sends a further safe request, counted from its first one.
const FURTHER_AFTER: Duration = Duration::from_millis(2_900);

struct Outcome {
    id: String,
    received: usize,
    is_right: bool,
    end: String,
    ended: Instant,
    sent: Instant,
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
        &[("safe", "ricevute", 5.0), ("download", "ricevute", 5.0)],
    );
    fleet.start();
    if !fleet.wait_until_served("/download/ricevute/w0/s10") {
        return Verdict::NotRun("the nodes don't serve".into());
    }
    // contact_s of calm before the requests.
    thread::sleep(Duration::from_millis(3_500));
    let node = fleet.vms[0].outbound();
    let begun = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, begun) = (record.clone(), Arc::clone(&begun));
            thread::spawn(move || client(number, node, &record, &begun))
        })
        .collect();
    let end = Instant::now() + Duration::from_secs(4);
    while begun.load(SeqCst) < CLIENTS && Instant::now() < end {
        thread::sleep(Duration::from_millis(5));
    }
    if begun.load(SeqCst) < CLIENTS {
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
        let is_in_time = took < Duration::from_secs(5);
        if !is_whole && run.answered.is_some() && is_in_time {
            lost += 1;
        }
    }
    record.line(&format!(
        "answers that broke off although their server had finished: {lost} of {CLIENTS}"
    ));
    if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn client(
    number: usize,
    node: SocketAddr,
    record: &Record,
    begun: &AtomicUsize,
) -> io::Result<Outcome> {
    let mut stream = TcpStream::connect(node)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    set_window(&stream);
    let id = format!("d0{number:014x}");
    let request = |id: &str, path: &str| {
        format!(
            "GET {path} HTTP/1.1\r\nHost: mesh.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\r\n"
        )
    };
    let sent = Instant::now();
    let path = format!("/download/ricevute/w20/s{ANSWER_BYTES}");
    stream.write_all(request(&id, &path).as_bytes())?;
    record.line(&format!("sent {id} GET {path}"));
    let mut bytes = Vec::new();
    let mut part = [0; PART_BYTES];
    let mut has_begun = false;
    let mut has_sent_further = false;
    let end = loop {
        if !has_sent_further && sent.elapsed() >= FURTHER_AFTER {
            has_sent_further = true;
            let further = format!("d1{number:014x}");
            let result = stream.write_all(request(&further, "/safe/ricevute/w20/s1000").as_bytes());
            record.line(&format!(
                "sent {further} GET /safe/ricevute/w20/s1000 on the same connection: {result:?}"
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
        thread::sleep(PART_PAUSE);
    };
    let start = find(&bytes, b"\r\n\r\n").map_or(bytes.len(), |at| at + 4);
    let head = String::from_utf8_lossy(&bytes[..start]).into_owned();
    let body = &bytes[start..bytes.len().min(start + ANSWER_BYTES)];
    let is_signed = ["i-00000001", "i-00000002"]
        .iter()
        .any(|it| head.contains(&signature(it, &id)));
    Ok(Outcome {
        received: body.len(),
        is_right: is_signed && *body == answer_body(&id, ANSWER_BYTES)[..body.len()],
        id,
        end,
        ended: Instant::now(),
        sent,
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
