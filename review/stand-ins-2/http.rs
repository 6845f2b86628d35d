//! As much of HTTP/1.1 as the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The head of a request or a response, and what has been read of its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|h| h.0.eq_ignore_ascii_case(name)).map(|h| h.1.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, buffer: Vec::new() }
    }

    pub fn connect(to: SocketAddr, wait: Duration) -> io::Result<Wire> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(wait))?;
        Ok(Wire::new(stream))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16384];
        let n = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..n]);
        Ok(n)
    }

    fn take(&mut self, n: usize) -> Vec<u8> {
        let rest = self.buffer.split_off(n);
        std::mem::replace(&mut self.buffer, rest)
    }

    fn broken() -> io::Error {
        io::Error::new(io::ErrorKind::UnexpectedEof, "the connection ended early")
    }

    /// Reads a head. `None`: the connection was closed before one began.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() { Ok(None) } else { Err(Wire::broken()) };
            }
        };
        let head = String::from_utf8_lossy(&self.take(end)).into_owned();
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|l| l.split_once(':'));
        let headers = headers.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned())).collect();
        Ok(Some(Message { first, headers, body: Vec::new() }))
    }

    /// Reads a whole request.
    pub fn read_request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        self.read_body(&mut message, false)?;
        Ok(Some(message))
    }

    /// Reads a whole response.
    pub fn read_response(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?.ok_or_else(Wire::broken)?;
        self.read_body(&mut message, true)?;
        Ok(message)
    }

    fn read_body(&mut self, message: &mut Message, is_response: bool) -> io::Result<()> {
        if message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
            loop {
                let at = loop {
                    if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                        break at;
                    }
                    if self.fill()? == 0 {
                        return Err(Wire::broken());
                    }
                };
                let line = self.take(at + 2);
                let size = String::from_utf8_lossy(&line).trim().to_owned();
                let size = usize::from_str_radix(&size, 16).map_err(|_| Wire::broken())?;
                while self.buffer.len() < size + 2 {
                    if self.fill()? == 0 {
                        return Err(Wire::broken());
                    }
                }
                let chunk = self.take(size + 2);
                if size == 0 {
                    return Ok(());
                }
                message.body.extend_from_slice(&chunk[..size]);
            }
        }
        let length = message.header("content-length").and_then(|v| v.parse::<usize>().ok());
        match length {
            Some(length) => {
                while self.buffer.len() < length {
                    if self.fill()? == 0 {
                        return Err(Wire::broken());
                    }
                }
                message.body = self.take(length);
            }
            None if is_response => {
                while self.fill()? > 0 {}
                message.body = std::mem::take(&mut self.buffer);
            }
            None => {}
        }
        Ok(())
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Sends one request on a new connection and reads the whole response.
pub fn call(
    to: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    wait: Duration,
) -> io::Result<Message> {
    let mut wire = Wire::connect(to, wait)?;
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    wire.write(&bytes)?;
    wire.read_response()
}
