//! The request that a handler receives, and the reply that it returns.

use tiny_http::{Header, Method};

/// A request with its complete body.
pub struct Request {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub url: String,
    pub(super) headers: Vec<Header>,
    /// The body; empty if the request has none.
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of the first header with this name, ignoring case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found =
            self.headers.iter().find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name));
        found.map(|header| header.value.as_str())
    }
}

/// A reply to a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// Names and values of headers, in addition to those that the server sets itself.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Reply {
    /// Creates a reply without a body.
    pub fn status(status: u16) -> Reply {
        Reply { status, ..Reply::default() }
    }

    /// Creates a reply whose body is one line of text; the line feed is added.
    pub fn text(status: u16, text: &str) -> Reply {
        Reply { status, body: format!("{text}\n").into_bytes(), ..Reply::default() }
    }

    /// Creates a reply with a body of bytes.
    pub fn bytes(status: u16, body: Vec<u8>) -> Reply {
        Reply { status, body, ..Reply::default() }
    }

    /// Creates a reply with a JSON body and the matching content type.
    pub fn json(status: u16, body: String) -> Reply {
        let headers = vec![("Content-Type", "application/json".to_owned())];
        Reply { status, headers, body: body.into_bytes() }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: String) -> Reply {
        self.headers.push((name, value));
        self
    }
}
