//! Stand-in of a server of the platform, run as a process of its own.

use std::{
    collections::BTreeMap,
    fs::OpenOptions,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::Duration,
};

use crate::{http, record::now_ms};

/// Requests that a server queues beside those that it runs.
const QUEUE: usize = 48;

/// Bytes of a garbling server after a complete answer. The archive that it hands out holds stored
/// messages, and it announces a length that is too short.
const ADDITIONAL_BYTES: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 22\r\n\r\nreceipt of March, 2025";
/// Time until the additional bytes follow.
const ADDITIONAL_DELAY: Duration = Duration::from_millis(8);

struct Options {
    address: SocketAddr,
    store: SocketAddr,
    id: String,
    service: String,
    zone: String,
    log: String,
    slots: usize,
    work_ms: f64,
    /// Cold time after the start; 0 for a start before traffic.
    cold_ms: f64,
    cold_per_s: f64,
    /// Factor by which requests take longer while the server is cold.
    cold_factor: f64,
    /// Time from the start to the first write to the store.
    register_ms: u64,
    heartbeat_ms: u64,
    /// Share of the answers after which additional bytes follow.
    garble: f64,
    /// Share of the answers after which a second copy follows.
    extra: f64,
    /// Share of the requests that are rejected although there is room.
    shed: f64,
    /// Time from the start to the first trouble, length of a trouble, and time between two of them, in
    /// milliseconds; a length of 0 is one without end. Holds for `extra` and `shed`.
    calm_ms: f64,
    trouble_ms: f64,
    pause_ms: f64,
}

#[derive(Default)]
struct State {
    running: usize,
    waiting: usize,
    /// Arrivals of the last second.
    arrivals: Vec<f64>,
    /// When the server stops being cold.
    cold_until: f64,
    sequence: u64,
    is_leaving: bool,
    asked: u64,
    answered: u64,
}

struct Server {
    options: Options,
    born: f64,
    state: Mutex<State>,
    freed: Condvar,
    log: Mutex<std::fs::File>,
}

/// Runs a server until it is killed. Its log has a line for each request that arrives and for each
/// one that ends, with the time in milliseconds since the Unix epoch.
pub fn run(arguments: &[String]) -> i32 {
    let values: BTreeMap<&str, &str> = arguments
        .iter()
        .filter_map(|text| text.split_once('='))
        .collect();
    let text = |name: &str| values.get(name).copied().unwrap_or("").to_string();
    let number = |name: &str| text(name).parse::<f64>().unwrap_or(0.0);
    let options = Options {
        address: text("address").parse().expect("address"),
        store: text("store").parse().expect("store"),
        id: text("id"),
        service: text("service"),
        zone: text("zone"),
        log: text("log"),
        slots: number("slots") as usize,
        work_ms: number("work_ms"),
        cold_ms: number("cold_ms"),
        cold_per_s: number("cold_per_s"),
        cold_factor: number("cold_factor").max(1.0),
        register_ms: number("register_ms") as u64,
        heartbeat_ms: number("heartbeat_ms") as u64,
        garble: number("garble"),
        extra: number("extra"),
        shed: number("shed"),
        calm_ms: number("calm_ms"),
        trouble_ms: number("trouble_ms"),
        pause_ms: number("pause_ms"),
    };
    let log = OpenOptions::new()
        .create(true)
        .append(true)
        .open(&options.log);
    let listener = TcpListener::bind(options.address).expect("bind the server's address");
    let born = now_ms();
    let state = State {
        cold_until: born + options.cold_ms,
        ..State::default()
    };
    let server = Arc::new(Server {
        born,
        state: Mutex::new(state),
        freed: Condvar::new(),
        log: Mutex::new(log.expect("open the log")),
        options,
    });
    server.note(&format!("started {}", server.options.id));
    let beating = Arc::clone(&server);
    thread::spawn(move || beating.beat());
    for stream in listener.incoming().flatten() {
        let server = Arc::clone(&server);
        thread::spawn(move || server.serve(stream));
    }
    0
}

impl Server {
    fn note(&self, text: &str) {
        let line = format!("{:.3} {text}\n", now_ms());
        let _ = self.log.lock().unwrap().write_all(line.as_bytes());
    }

    fn is_in_trouble(&self) -> bool {
        let options = &self.options;
        let since = now_ms() - self.born - options.calm_ms;
        let cycle = options.trouble_ms + options.pause_ms;
        since >= 0.0 && (options.trouble_ms == 0.0 || since % cycle < options.trouble_ms)
    }

    fn cold_left_ms(&self) -> f64 {
        (self.state.lock().unwrap().cold_until - now_ms()).max(0.0)
    }

    /// Leaves without a word: the entry is removed, and the server goes on serving for a while.
    fn leave(&self) -> Vec<u8> {
        self.state.lock().unwrap().is_leaving = true;
        let _ = post(
            self.options.store,
            &format!("/stand-in/remove?key=servers/{}", self.options.id),
            "",
        );
        self.note("unregistered");
        reply("200 OK", "", "", b"")
    }

    /// Writes the entry of the server to the store, once a heartbeat.
    fn beat(&self) {
        thread::sleep(Duration::from_millis(self.options.register_ms));
        self.write_entry();
        self.note(&format!("registered {}", self.options.id));
        loop {
            thread::sleep(Duration::from_millis(self.options.heartbeat_ms));
            self.write_entry();
        }
    }

    fn write_entry(&self) {
        let options = &self.options;
        let mut state = self.state.lock().unwrap();
        if state.is_leaving {
            return;
        }
        state.sequence += 1;
        let sequence = state.sequence;
        drop(state);
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"max_concurrency\":{},\"state\":\"ready\",\"cold_remaining_s\":{:.3},\
             \"sequence\":{sequence},\"born\":{:.0}}}",
            options.service,
            options.address,
            options.zone,
            options.slots,
            self.cold_left_ms() / 1000.0,
            self.born.floor()
        );
        let path = format!("/stand-in/put?key=servers/{}", options.id);
        let _ = post(options.store, &path, &entry);
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            if http::read_body(&mut reader, &head).is_err() {
                return;
            }
            let id = head.get("request-id").unwrap_or("").to_string();
            let answer = if head.word(1) == "/health" {
                self.health()
            } else if head.word(1) == "/stand-in/leave" {
                self.leave()
            } else if head
                .get("target-instance")
                .is_some_and(|target| target != self.options.id)
            {
                self.note(&format!("misdirected {id}"));
                reply("421 Misdirected Request", &id, "", b"")
            } else {
                self.request(&head, &id)
            };
            if writer.write_all(&answer).is_err() {
                return;
            }
            if id.is_empty() {
                continue;
            }
            let number = {
                let mut state = self.state.lock().unwrap();
                state.answered += 1;
                state.answered
            };
            let additional = if is_chosen(number, self.options.garble) {
                ADDITIONAL_BYTES
            } else if is_chosen(number, self.options.extra) && self.is_in_trouble() {
                &answer
            } else {
                continue;
            };
            thread::sleep(ADDITIONAL_DELAY);
            self.note(&format!("additional bytes after the answer to {id}"));
            if writer.write_all(additional).is_err() {
                return;
            }
        }
    }

    fn health(&self) -> Vec<u8> {
        let left = self.cold_left_ms();
        let mut headers = format!("Instance-Id: {}\r\n", self.options.id);
        if self.state.lock().unwrap().is_leaving {
            return reply("503 Service Unavailable", "", &headers, b"");
        }
        if left > 0.0 {
            headers.push_str(&format!("Cold-Ms: {left:.0}\r\n"));
        }
        reply("200 OK", "", &headers, b"")
    }

    fn request(&self, head: &http::Head, id: &str) -> Vec<u8> {
        let is_cold = self.cold_left_ms() > 0.0;
        self.note(&format!(
            "arrives {id}{}",
            if is_cold { " cold" } else { "" }
        ));
        let mut state = self.state.lock().unwrap();
        if is_cold && self.options.cold_per_s > 0.0 {
            let now = now_ms();
            state.arrivals.retain(|at| now - at < 1000.0);
            state.arrivals.push(now);
            // The pages: it crashes at a rate well above the one that it tolerates.
            if state.arrivals.len() as f64 > 2.0 * self.options.cold_per_s {
                self.note(&format!("crashes {} running", state.running));
                std::process::exit(1);
            }
        }
        state.asked += 1;
        if is_chosen(state.asked, self.options.shed) && self.is_in_trouble() {
            // As the page of messages prints it, without `Request-Id`.
            drop(state);
            self.note(&format!("sheds {id}"));
            return reply("503 Service Unavailable", "", "Not-Executed: 1\r\n", b"");
        }
        if state.running >= self.options.slots && state.waiting >= QUEUE {
            return reply("503 Service Unavailable", id, "Not-Executed: 1\r\n", b"");
        }
        state.waiting += 1;
        while state.running >= self.options.slots {
            state = self.freed.wait(state).unwrap();
        }
        state.waiting -= 1;
        state.running += 1;
        drop(state);
        self.note(&format!("runs {id}"));
        // A path that ends in `w` and a number asks for so many milliseconds of work.
        let last = head.word(1).rsplit('/').next().unwrap_or("");
        let work = last.strip_prefix('w').and_then(|text| text.parse().ok());
        let factor = if is_cold {
            self.options.cold_factor
        } else {
            1.0
        };
        let work_ms: f64 = work.unwrap_or(self.options.work_ms) * factor;
        thread::sleep(Duration::from_secs_f64(work_ms / 1000.0));
        self.state.lock().unwrap().running -= 1;
        self.freed.notify_one();
        self.note(&format!("ran {id}"));
        let body = format!("answer to {id}");
        let headers = format!("Response-Signature: {}.{id}\r\n", self.options.id);
        reply("200 OK", id, &headers, body.as_bytes())
    }
}

/// Returns whether an item is one of a share of all, spread evenly.
fn is_chosen(number: u64, share: f64) -> bool {
    let count = |number: u64| (number as f64 * share) as u64;
    count(number) > count(number - 1)
}

fn reply(status: &str, id: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let id = match id {
        "" => String::new(),
        id => format!("Request-Id: {id}\r\n"),
    };
    let head = format!(
        "HTTP/1.1 {status}\r\n{id}{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

fn post(address: SocketAddr, path: &str, body: &str) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address)?;
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: store\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())?;
    http::read_head(&mut BufReader::new(stream)).map(drop)
}
