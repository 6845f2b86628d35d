//! The error that a request is answered with.

use crate::store::Rejection;
use std::error::Error;
use std::fmt;

/// Why a request is not carried out, as it is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpError {
    /// The status code.
    pub status: u16,
    /// The reason in one line, which begins with the field that is wrong, if it is one.
    pub reason: String,
    /// Seconds after which a retry may succeed.
    pub retry_after: Option<u32>,
}

impl HttpError {
    /// Returns an error that a retry does not change.
    pub fn new(status: u16, reason: impl Into<String>) -> HttpError {
        HttpError { status, reason: reason.into(), retry_after: None }
    }

    /// Returns the error for a lack of capacity at the moment; what the caller has stays valid.
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

/// Returns the beginning of a text without control characters, which a caller may have put there to forge lines.
pub(super) fn single_line(text: &str) -> String {
    text.chars().map(|c| if c.is_control() { ' ' } else { c }).take(200).collect()
}
