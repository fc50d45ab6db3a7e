//! Crowd of callers that don't behave.

use std::{convert::Infallible, io, net::SocketAddr, time::Duration};

use actix_rt::task::JoinHandle;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, Interest},
    net::TcpStream,
    time::{sleep, timeout},
};

/// Callers of a crowd, few enough for the machine of the tests.
pub(crate) const CALLERS: usize = 300;

/// Pause of a slow reader.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Bytes that a slow reader takes at once.
const READ_BYTES: usize = 200;
/// Pause before a caller opens a connection in place of one that the node has closed.
const REOPEN_DELAY: Duration = Duration::from_millis(20);

/// What each caller of a crowd does: it writes the first bytes once, then the others.
pub(crate) struct Script {
    pub(crate) start: Vec<u8>,
    pub(crate) repeated: Vec<u8>,
    /// Number of repetitions; `None` repeats until the connection is closed.
    pub(crate) times: Option<usize>,
    pub(crate) reading: Reading,
    pub(crate) closed: Closed,
}

impl Script {
    /// Returns the script of a caller that writes once, reads nothing and comes back when it is closed.
    pub(crate) fn write_once(start: Vec<u8>) -> Self {
        Self {
            start,
            repeated: Vec::new(),
            times: Some(0),
            reading: Reading::Never,
            closed: Closed::Reopens,
        }
    }
}

/// How a caller reads.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reading {
    /// It reads nothing.
    Never,
    /// It takes a few bytes now and then after it has written.
    Slow,
}

/// What a caller does when the node closes its connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Closed {
    /// It leaves.
    Leaves,
    /// It opens another connection and starts from the beginning.
    Reopens,
}

/// Callers with open connections, closed on drop.
pub(crate) struct Crowd {
    callers: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Starts callers that follow a script and then keep their connections open.
    pub(crate) fn start(node: SocketAddr, callers: usize, script: &'static Script) -> Self {
        let callers = (0..callers).map(|_| actix_rt::spawn(run(node, script)));
        Self {
            callers: callers.collect(),
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.callers.iter().for_each(JoinHandle::abort);
    }
}

async fn run(node: SocketAddr, script: &Script) {
    loop {
        let Err(_) = follow(node, script).await;
        if script.closed == Closed::Leaves {
            return;
        }
        sleep(REOPEN_DELAY).await;
    }
}

/// Follows a script on one connection until the node closes it.
async fn follow(node: SocketAddr, script: &Script) -> io::Result<Infallible> {
    let mut stream = TcpStream::connect(node).await?;
    stream.write_all(&script.start).await?;
    let mut times = 0;
    while script.times.is_none_or(|limit| times < limit) {
        stream.write_all(&script.repeated).await?;
        times += 1;
    }
    let mut buffer = [0; READ_BYTES];
    loop {
        sleep(READ_INTERVAL).await;
        if script.reading == Reading::Never {
            check_open(&stream).await?;
        } else if stream.read(&mut buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// Returns an error if the connection is closed, without reading from it.
async fn check_open(stream: &TcpStream) -> io::Result<()> {
    let ready = timeout(Duration::ZERO, stream.ready(Interest::READABLE)).await;
    let is_closed = matches!(ready, Ok(Ok(ready)) if ready.is_read_closed());
    match is_closed {
        true => Err(io::ErrorKind::UnexpectedEof.into()),
        false => Ok(()),
    }
}
