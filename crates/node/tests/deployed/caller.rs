//! Caller that keeps a connection.

use std::{io, net::SocketAddr};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Connection of a caller.
pub(crate) struct Connection {
    stream: TcpStream,
}

/// Complete answer.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: String,
    /// Value of `Retry-After`.
    pub(crate) retry_after: Option<String>,
    /// Whether the node closes the connection after the answer.
    pub(crate) is_last: bool,
}

impl Connection {
    pub(crate) async fn open(node: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(node).await?;
        stream.set_nodelay(true)?;
        Ok(Self { stream })
    }

    /// Sends a request that may run once and reads the whole answer.
    pub(crate) async fn post(&mut self, id: &str, path: &str) -> io::Result<Answer> {
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: 20000\r\nContent-Length: 4\r\n\r\nbody"
        );
        self.exchange(&request).await
    }

    /// Sends the bytes of a request and reads the whole answer.
    pub(crate) async fn exchange(&mut self, request: &str) -> io::Result<Answer> {
        self.send(request).await?;
        self.read_answer().await
    }

    /// Sends bytes.
    pub(crate) async fn send(&mut self, bytes: &str) -> io::Result<()> {
        self.stream.write_all(bytes.as_bytes()).await
    }

    /// Reads a whole answer.
    pub(crate) async fn read_answer(&mut self) -> io::Result<Answer> {
        let mut bytes = Vec::new();
        let head_end = loop {
            if let Some(at) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            self.read_some(&mut bytes).await?;
        };
        let head = String::from_utf8_lossy(&bytes[..head_end]).to_ascii_lowercase();
        let field = |name: &str| {
            let mut lines = head.lines();
            lines
                .find_map(|line| line.strip_prefix(name))
                .map(str::trim)
        };
        let length = field("content-length:").and_then(|text| text.parse().ok());
        let is_chunked = field("transfer-encoding:") == Some("chunked");
        let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
        let retry_after = field("retry-after:").map(str::to_string);
        let is_last = field("connection:") == Some("close");
        let body_end = if is_chunked {
            while !bytes.ends_with(b"\r\n0\r\n\r\n") {
                self.read_some(&mut bytes).await?;
            }
            bytes.len()
        } else {
            head_end + length.unwrap_or(0)
        };
        while bytes.len() < body_end {
            self.read_some(&mut bytes).await?;
        }
        Ok(Answer {
            status: status.unwrap_or(0),
            body: String::from_utf8_lossy(&bytes[head_end..body_end]).into_owned(),
            retry_after,
            is_last,
        })
    }

    async fn read_some(&mut self, bytes: &mut Vec<u8>) -> io::Result<()> {
        match self.stream.read_buf(bytes).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }
}
