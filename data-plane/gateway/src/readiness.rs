//! The platform's readiness checks, answered on threads of their own, so that load on the gateway's thread does not make it
//! look unready.

use crate::state::State;
use marblecroft_rpc::http::{self, Reply};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

const READINESS_PATH: &str = "/-/ready";

/// Answers checks on `address` until the process ends: 200 while clients can be served, else 503.
///
/// # Errors
///
/// Where the address cannot be bound.
pub fn serve(address: SocketAddr, state: Arc<State>) -> io::Result<()> {
    http::serve(http::listen(address)?, move |request| {
        if request.url != READINESS_PATH {
            return Reply::status(404);
        }
        Reply::status(if state.is_ready() { 200 } else { 503 })
    })
}
