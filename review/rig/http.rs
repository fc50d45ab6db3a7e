//! HTTP/1.1 over blocking sockets, as much as the stand-ins need.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
    time::{Duration, Instant},
};

/// Connection with a read buffer.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// Head of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Returns the first value of a field, whose name is given in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut same = self.fields.iter().filter(|(other, _)| other == name);
        same.next().map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|it| it.parse().ok())
            .unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.get("connection")
            .is_some_and(|it| it.eq_ignore_ascii_case("close"))
    }

    fn length(&self) -> Option<usize> {
        self.get("content-length").and_then(|it| it.parse().ok())
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding")
            .is_some_and(|it| it.eq_ignore_ascii_case("chunked"))
    }
}

fn bad(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_string())
}

impl Conn {
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            buffer: Vec::new(),
        })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads more bytes; an error of the kind `UnexpectedEof` at the end of the connection.
    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16 << 10];
        match self.stream.read(&mut bytes)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Ok(())
            }
        }
    }

    pub fn set_deadline(&self, end: Instant) -> io::Result<()> {
        let left = end.saturating_duration_since(Instant::now());
        self.stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))
    }

    /// Reads a head; `None` if the connection ends before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at;
            }
            if self.buffer.len() > 64 << 10 {
                return Err(bad("head too long"));
            }
            match self.fill() {
                Err(err)
                    if err.kind() == io::ErrorKind::UnexpectedEof && self.buffer.is_empty() =>
                {
                    return Ok(None);
                }
                result => result?,
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or_default().to_string();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields =
            fields.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()));
        Ok(Some(Head {
            line,
            fields: fields.collect(),
        }))
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = find(&self.buffer, b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads the body of a request, or of an answer to a request other than HEAD.
    pub fn read_body(&mut self, head: &Head, is_answer: bool) -> io::Result<Vec<u8>> {
        if head.is_chunked() {
            let mut body = Vec::new();
            loop {
                let line = self.take_line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
                let size = size.map_err(|_| bad("chunk size"))?;
                if size == 0 {
                    while !self.take_line()?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.take(size)?);
                self.take(2)?;
            }
        }
        match head.length() {
            Some(length) => self.take(length),
            None if is_answer && !matches!(head.status(), 204 | 304) => {
                let mut body = std::mem::take(&mut self.buffer);
                self.stream.read_to_end(&mut body)?;
                Ok(body)
            }
            None => Ok(Vec::new()),
        }
    }

    /// Reads a final answer with its body.
    pub fn read_answer(&mut self) -> io::Result<Option<(Head, Vec<u8>)>> {
        let Some(head) = self.read_head()? else {
            return Ok(None);
        };
        if head.status() == 0 {
            return Err(bad("no status"));
        }
        let body = self.read_body(&head, true)?;
        Ok(Some((head, body)))
    }
}

pub fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}
