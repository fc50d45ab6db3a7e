//! Crowd of callers that write and never read.

use std::{net::SocketAddr, time::Duration};

use actix_rt::task::JoinHandle;
use tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep};

/// Callers of a crowd, few enough for the machine of the tests.
const CALLERS: usize = 300;

/// Bytes that each caller of a crowd writes: the first ones once, then the others.
pub(crate) struct Script {
    pub(crate) start: Vec<u8>,
    pub(crate) repeated: Vec<u8>,
    /// Number of repetitions; `None` repeats until the connection is closed.
    pub(crate) times: Option<usize>,
}

/// Callers with open connections, closed on drop.
pub(crate) struct Crowd {
    callers: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Starts callers that write a script and then keep their connections open.
    pub(crate) fn start(node: SocketAddr, script: &'static Script) -> Self {
        let callers = (0..CALLERS).map(|_| actix_rt::spawn(run(node, script)));
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
    let Ok(mut stream) = TcpStream::connect(node).await else {
        return;
    };
    let mut written = stream.write_all(&script.start).await;
    let mut times = 0;
    while written.is_ok() && script.times.is_none_or(|limit| times < limit) {
        written = stream.write_all(&script.repeated).await;
        times += 1;
    }
    if written.is_ok() {
        // Longer than any test holds its crowd.
        sleep(Duration::from_secs(600)).await;
    }
}
