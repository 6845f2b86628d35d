//! The platform's readiness checks.

use crate::state::State;
use marblecroft_rpc::http::{self, Reply};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

const PATH: &str = "/-/ready";

/// Answers the checks on `address`, on threads of their own.
pub fn serve(address: SocketAddr, state: Arc<State>) -> io::Result<()> {
    http::serve(http::listen(address)?, move |request| {
        if request.url != PATH {
            return Reply::status(404);
        }
        Reply::status(if state.is_ready() { 200 } else { 503 })
    })
}
