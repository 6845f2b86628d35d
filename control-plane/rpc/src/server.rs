//! The called side: checks that a request is addressed to this process, passes it to the handler and returns
//! the response.

use crate::envelope::{Direction, Envelope, Service};
use crate::frame::{decode, encode, Bytes, Message};
use crate::http::{self, Reply};
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Status of the reply to a call that is addressed to another process.
const MISDIRECTED_REQUEST: u16 = 421;

/// Serves calls to `service` on `listener`, each on its own thread, until the process ends.
///
/// A call whose envelope names another address or service is rejected and not executed. If the handler
/// returns `None`, the outcome is unknown to the caller.
///
/// # Errors
///
/// Returns an error if the listener has no address or the accepting thread cannot be started.
pub fn serve<Q, R, F>(listener: TcpListener, service: Service, handler: F) -> io::Result<()>
where
    Q: Message,
    R: Message,
    F: Fn(Q) -> Option<R> + Send + Sync + 'static,
{
    let local_address = listener.local_addr()?;
    http::serve(listener, move |request| {
        handle_call(&request.body, local_address, service, &handler).unwrap_or_else(|rejection| rejection)
    })
}

/// Executes the call in `body`. Returns the reply with the response, or the reply that rejects the call as
/// the error. A rejected call was not executed, unless the handler was called and returned `None`.
fn handle_call<Q: Message, R: Message>(
    body: &[u8],
    local_address: SocketAddr,
    service: Service,
    handler: &impl Fn(Q) -> Option<R>,
) -> Result<Reply, Reply> {
    let envelope: Envelope = decode(body).map_err(|e| Reply::text(400, &e.to_string()))?;
    let call_id = envelope.call_id;
    let is_request = envelope.direction == Direction::Request;
    if !is_request || call_id.callee != local_address || call_id.service != service {
        return Err(Reply::text(MISDIRECTED_REQUEST, "this call is for another process"));
    }
    let request = decode(&envelope.message.0).map_err(|e| Reply::text(400, &e.to_string()))?;
    let response = handler(request).ok_or_else(|| Reply::text(500, "no answer in time"))?;
    let message = Bytes(encode(&response));
    Ok(Reply::bytes(200, encode(&Envelope { direction: Direction::Response, call_id, message })))
}
