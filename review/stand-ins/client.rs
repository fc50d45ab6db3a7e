//! Stand-in of the clients of a machine.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use crate::{
    http,
    record::{Record, now_ms},
};

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// One attempt of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub host: String,
    pub path: String,
    pub body: Vec<u8>,
    pub deadline_ms: u64,
}

/// What became of an attempt.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub path: String,
    pub sent_ms: f64,
    pub ended_ms: f64,
    /// Status of the answer; `None` if the connection ended without a complete one.
    pub status: Option<u16>,
    pub has_signature: bool,
    pub body: Vec<u8>,
    /// Why there is no complete answer.
    pub reason: String,
}

/// Connection of a client, kept for several requests.
pub struct Connection {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Connection {
    pub fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let writer = stream.try_clone()?;
        let reader = BufReader::new(stream);
        Ok(Self { reader, writer })
    }

    /// Sends a request and waits for its answer, as long as the client has time.
    pub fn send(&mut self, request: &Request, record: &Record) -> Outcome {
        let number = LAST_ID.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:08x}{number:08x}", std::process::id());
        let sent_ms = now_ms();
        let answer = self.exchange(request, &id);
        let mut outcome = Outcome {
            id,
            path: request.path.clone(),
            sent_ms,
            ended_ms: now_ms(),
            status: None,
            has_signature: false,
            body: Vec::new(),
            reason: String::new(),
        };
        match answer {
            Ok((head, body)) => {
                outcome.status = head.word(1).parse().ok();
                outcome.has_signature = head.get("response-signature").is_some();
                outcome.body = body;
            }
            Err(err) => outcome.reason = err.to_string(),
        }
        let status = match outcome.status {
            Some(status) => status.to_string(),
            None => format!("no complete answer: {}", outcome.reason),
        };
        record.line_at(
            sent_ms,
            &format!(
                "client sends {} {} {}; after {:.0} ms: {status}{}",
                outcome.id,
                request.method,
                request.path,
                outcome.ended_ms - sent_ms,
                if outcome.has_signature {
                    ", signed by a server"
                } else {
                    ""
                }
            ),
        );
        outcome
    }

    fn exchange(&mut self, request: &Request, id: &str) -> std::io::Result<(http::Head, Vec<u8>)> {
        let length = match request.method {
            "GET" => String::new(),
            _ => format!("Content-Length: {}\r\n", request.body.len()),
        };
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n{length}\r\n",
            request.method, request.path, request.host, request.deadline_ms
        );
        let timeout = Duration::from_millis(request.deadline_ms + 50);
        self.writer.set_read_timeout(Some(timeout))?;
        self.writer
            .write_all(&[head.as_bytes(), &request.body].concat())?;
        let head = http::read_head(&mut self.reader)?;
        let head = head.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        let body = http::read_body(&mut self.reader, &head)?;
        Ok((head, body))
    }
}

/// Sends a request on a new connection.
pub fn send(address: SocketAddr, request: &Request, record: &Record) -> Option<Outcome> {
    match Connection::open(address) {
        Ok(mut connection) => Some(connection.send(request, record)),
        Err(err) => {
            record.line(&format!("client can't connect to {address}: {err}"));
            None
        }
    }
}

/// Calls a stand-in and waits for its answer.
pub fn call(address: SocketAddr, path: &str) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: stand-in\r\n\r\n").as_bytes())?;
    http::read_head(&mut BufReader::new(stream)).map(drop)
}
