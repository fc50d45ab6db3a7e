//! Stand-in of a server of the platform.
//!
//! The path of a request asks for its work: `/TYPE/SERVICE/wMS/sBYTES/...` for milliseconds of work and bytes
//! of the answer, and a segment `pMS` for an answer that is written
//! evenly over so many milliseconds.

use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http::{Conn, Head};

/// Time after which the server closes an idle connection.
const IDLE_CLOSE: Duration = Duration::from_secs(10);
/// Parts of an answer that is written over some time.
const PARTS: usize = 24;

/// A request that a server began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub server: String,
    pub at: Instant,
    /// When the server had written its whole answer.
    pub answered: Option<Instant>,
    /// Whether the server broke its answer off.
    pub is_cut: bool,
}

/// The runs of all servers.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    pub fn of(&self, id: &str) -> Vec<Run> {
        let runs = self.0.lock().unwrap();
        runs.iter().filter(|run| run.id == id).cloned().collect()
    }

    fn begin(&self, id: &str, server: &str) -> usize {
        let mut runs = self.0.lock().unwrap();
        runs.push(Run {
            id: id.to_string(),
            server: server.to_string(),
            at: Instant::now(),
            answered: None,
            is_cut: false,
        });
        runs.len() - 1
    }

    fn update(&self, index: usize, change: impl FnOnce(&mut Run)) {
        change(&mut self.0.lock().unwrap()[index]);
    }
}

pub struct Server {
    name: String,
    runs: Runs,
    /// Each answer of this number breaks off in its body; 0 for none.
    pub cut_each: AtomicU64,
    answers: AtomicU64,
}

impl Server {
    pub fn start(name: &str, address: SocketAddr, runs: &Runs) -> io::Result<Arc<Self>> {
        let server = Arc::new(Self {
            name: name.to_string(),
            runs: runs.clone(),
            cut_each: AtomicU64::new(0),
            answers: AtomicU64::new(0),
        });
        let listener = TcpListener::bind(address)?;
        let own = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = Arc::clone(&own);
                thread::spawn(move || {
                    let _ = own.serve(stream);
                });
            }
        });
        Ok(server)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut conn = Conn::new(stream)?;
        conn.stream.set_read_timeout(Some(IDLE_CLOSE))?;
        while let Some(head) = conn.read_head()? {
            conn.read_body(&head, false)?;
            let target = head.line.split(' ').nth(1).unwrap_or("").to_string();
            let name = &self.name;
            if target == "/health" {
                let text =
                    format!("HTTP/1.1 200 OK\r\nInstance-Id: {name}\r\nContent-Length: 0\r\n\r\n");
                conn.send(text.as_bytes())?;
            } else if head.get("target-instance").is_some_and(|it| it != name) {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {name}\r\nContent-Length: 0\r\n\r\n"
                );
                conn.send(text.as_bytes())?;
            } else if !self.run(&mut conn, &head, &target)? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Runs a request; returns whether the connection stays open.
    fn run(&self, conn: &mut Conn, head: &Head, target: &str) -> io::Result<bool> {
        let id = head.get("request-id").unwrap_or("");
        let number = |letter: char| {
            let mut parts = target.split('/');
            let found = parts.find_map(|part| part.strip_prefix(letter)?.parse::<u64>().ok());
            found.unwrap_or(0)
        };
        let (work, size, spread) = (number('w'), number('s') as usize, number('p'));
        let index = self.runs.begin(id, &self.name);
        thread::sleep(Duration::from_millis(work));
        let signature = signature(&self.name, id);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {signature}\r\n\
             Content-Length: {size}\r\n\r\n"
        );
        let mut text = head.into_bytes();
        let middle = text.len() + size / 2;
        text.extend(answer_body(id, size));
        let cut_each = self.cut_each.load(SeqCst);
        let count = self.answers.fetch_add(1, SeqCst) + 1;
        if cut_each > 0 && count % cut_each == 0 {
            self.runs.update(index, |run| run.is_cut = true);
            conn.send(&text[..middle])?;
            return Ok(false);
        }
        if spread > 0 {
            for part in text.chunks(text.len() / PARTS + 1) {
                conn.send(part)?;
                thread::sleep(Duration::from_millis(spread) / PARTS as u32);
            }
        } else {
            conn.send(&text)?;
        }
        self.runs
            .update(index, |run| run.answered = Some(Instant::now()));
        Ok(true)
    }
}

/// Returns the proof of a server for its answer to a request.
pub fn signature(server: &str, id: &str) -> String {
    format!("{server}.{:016x}", crate::hash(id.as_bytes()))
}

/// Returns the body of the answer to a request, which belongs to this request alone.
pub fn answer_body(id: &str, size: usize) -> Vec<u8> {
    let word = format!("{:016x}", crate::hash(id.as_bytes()));
    word.bytes().cycle().take(size).collect()
}
