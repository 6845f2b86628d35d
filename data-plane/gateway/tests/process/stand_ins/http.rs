//! HTTP messages on plain sockets. Unlike with a library, a server can send bytes where no response is due.

use std::fmt::Write as _;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Statuses that promise that a request has not run and will not run.
pub const PROMISES: [u16; 4] = [408, 421, 429, 503];
const TIMEOUT: Duration = Duration::from_secs(10);
/// What follows the bytes of each chunk.
const CHUNK_END: &str = "\r\n";

/// A message with its first line.
struct Message {
    start_line: String,
    headers: Vec<(String, String)>,
}

/// Reads a message, whose body is discarded; `None` if the peer has closed the connection. A body that ends
/// with its connection is not read.
fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut start_line = String::new();
    if reader.read_line(&mut start_line)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => headers.push((name.to_ascii_lowercase(), value.trim().to_owned())),
            None => break,
        }
    }
    let length = header(&headers, "content-length").and_then(|length| length.parse().ok());
    if let Some(length) = length {
        discard(reader, length)?;
    } else if header(&headers, "transfer-encoding") == Some("chunked") {
        discard_chunks(reader)?;
    }
    Ok(Some(Message { start_line: start_line.trim_end().to_owned(), headers }))
}

fn discard(reader: &mut impl BufRead, length: u64) -> io::Result<()> {
    let discarded = io::copy(&mut reader.take(length), &mut io::sink())?;
    if discarded < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(())
}

fn discard_chunks(reader: &mut impl BufRead) -> io::Result<()> {
    loop {
        let mut size = String::new();
        reader.read_line(&mut size)?;
        let size = u64::from_str_radix(size.trim_end(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        discard(reader, size + CHUNK_END.len() as u64)?;
        if size == 0 {
            return Ok(());
        }
    }
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|header| header.0 == name).map(|header| header.1.as_str())
}

/// A request that a model server has received.
pub struct Request(Message);

impl Request {
    /// Reads a request; `None` if the client has closed the connection.
    pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
        Ok(read_message(reader)?.map(Request))
    }

    /// Returns the value of a header; its name is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.0.headers, name)
    }
}

/// A response that a client has received.
pub struct Response(Message);

impl Response {
    /// Sends a request on a new connection and reads the response.
    pub fn fetch(
        address: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> io::Result<Response> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
        for (name, value) in headers {
            let _ = write!(head, "{name}: {value}\r\n");
        }
        let _ = write!(head, "Content-Length: {}\r\n\r\n{body}", body.len());
        stream.write_all(head.as_bytes())?;
        let message = read_message(&mut BufReader::new(stream))?;
        message.map(Response).ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// Returns the status.
    pub fn status(&self) -> u16 {
        let status = self.0.start_line.split(' ').nth(1).and_then(|status| status.parse().ok());
        status.expect("a status line")
    }

    /// Returns the value of a header; its name is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.0.headers, name)
    }
}

/// Returns the bytes of a response with a body.
pub fn response(status: u16, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} status\r\n");
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    let _ = write!(text, "Content-Length: {}\r\n\r\n{body}", body.len());
    text.into_bytes()
}

/// Returns the headers of a server's own response to the request with this id.
pub fn signed_headers(id: &str) -> [(&str, &str); 3] {
    [("Content-Type", "text/event-stream"), ("X-Request-Id", id), ("X-Response-Signature", "signature")]
}

/// Returns a server's complete response to the request with this id: one event with the data `text`.
pub fn completed(id: &str) -> Vec<u8> {
    response(200, &signed_headers(id), "id: 1\ndata: text\n\n")
}
