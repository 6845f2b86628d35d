//! The error responses of the service.

use crate::store::Rejection;
use std::error::Error;
use std::fmt;

/// An error response, with the reason why the request was not executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpError {
    /// The status code.
    pub status: u16,
    /// The reason in one line. If a field is invalid, the line begins with the name of the field.
    pub reason: String,
    /// The number of seconds after which a retry may succeed.
    pub retry_after: Option<u32>,
}

impl HttpError {
    /// Returns an error that a retry cannot resolve.
    pub fn new(status: u16, reason: impl Into<String>) -> HttpError {
        HttpError { status, reason: reason.into(), retry_after: None }
    }

    /// Returns a temporary error: 503 with a retry after 1 second. A list that the caller already has stays
    /// valid.
    pub fn busy(reason: &str) -> HttpError {
        HttpError { retry_after: Some(1), ..HttpError::new(503, reason) }
    }
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.status, self.reason)
    }
}

impl Error for HttpError {}

impl From<Rejection> for HttpError {
    fn from(rejection: Rejection) -> HttpError {
        match rejection {
            Rejection::Unknown => HttpError::new(404, "id: no such server, or its lease has ended"),
            Rejection::Conflict { revision } => {
                HttpError::new(409, format!("revision: the entry is at {revision}"))
            }
            Rejection::ListTooLong => {
                HttpError::new(413, "id: with it the list would be longer than gateways read")
            }
        }
    }
}

/// Returns the first 200 characters of a text, with control characters replaced by spaces. A caller could
/// otherwise use them to forge lines.
pub(super) fn single_line(text: &str) -> String {
    text.chars().map(|c| if c.is_control() { ' ' } else { c }).take(200).collect()
}
