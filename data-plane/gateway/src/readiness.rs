//! Readiness checks of the platform. They are served on separate threads, so that load on the
//! gateway's thread does not make it appear unready.

use crate::state::State;
use marblecroft_rpc::http::{self, Reply};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

const READINESS_PATH: &str = "/-/ready";

/// Serves readiness checks on `address` until the process ends: status 200 if clients can be
/// served, otherwise 503.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn serve(address: SocketAddr, state: Arc<State>) -> io::Result<()> {
    http::serve(http::listen(address)?, move |request| {
        if request.url != READINESS_PATH {
            return Reply::status(404);
        }
        Reply::status(if state.is_ready() { 200 } else { 503 })
    })
}
