//! One HTTP call to a discovery agent.

use crate::body::read_buffered;
use hyper::{Request, StatusCode};
use marblecroft_discovery::format::{HostList, ListRequest};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// A connection to an agent.
pub type Connection =
    marblecroft_transport::connection::ClientConnection<crate::body::request_body::OutgoingBody>;

/// A watch for changes since a version.
#[derive(Clone, Copy)]
pub struct WatchFrom {
    /// The version of the list that is in force.
    pub version: u64,
    /// How long the agent waits for a change before it responds.
    pub wait: Duration,
}

/// The parameters of a call.
#[derive(Clone, Copy)]
pub struct FetchRequest {
    /// The watch, or `None` to fetch the full list.
    pub watch_from: Option<WatchFrom>,
    /// How long the response may take in addition to the watch's wait.
    pub timeout: Duration,
}

impl FetchRequest {
    /// How long the agent may wait before it responds.
    pub fn wait(&self) -> Duration {
        self.watch_from.map_or(Duration::ZERO, |watch| watch.wait)
    }
}

/// The response to a call, and its connection for the next one.
pub struct Fetched {
    /// The list that the agent sent.
    pub list: HostList,
    /// The connection, still open.
    pub connection: Connection,
}

/// The reason why a call returned no list.
pub enum FetchError {
    /// The agent rejected the call because it has too many. The list in force is still valid, and the full
    /// list would cost the agent far more than the changes.
    Busy(Connection),
    /// The call failed, for this reason.
    Failed(String),
}

impl<E: std::fmt::Display> From<E> for FetchError {
    fn from(cause: E) -> FetchError {
        FetchError::Failed(cause.to_string())
    }
}

/// Makes a call, on `connection` if it is still open.
///
/// # Errors
/// Fails if the agent is busy, cannot be reached, does not respond in time, or sends no valid list.
pub async fn call(
    agent: SocketAddr,
    request: FetchRequest,
    connection: Option<Connection>,
) -> Result<Fetched, FetchError> {
    let response = timeout(request.wait() + request.timeout, exchange(agent, request, connection)).await;
    response.unwrap_or_else(|_| Err("no response in time".into()))
}

async fn exchange(
    agent: SocketAddr,
    request: FetchRequest,
    mut connection: Option<Connection>,
) -> Result<Fetched, FetchError> {
    // A new connection is used if the agent has closed this one in the meantime or announced its close.
    if let Some(kept) = &mut connection {
        if !kept.ready().await || !kept.is_reusable() {
            connection = None;
        }
    }
    let mut connection = match connection {
        Some(kept) => kept,
        None => Connection::connect(agent, request.timeout, None).await?,
    };
    let list_request = request
        .watch_from
        .map_or(ListRequest::Full, |WatchFrom { version, wait }| ListRequest::Watch { since: version, wait });
    let message =
        Request::get(list_request.target()).header("host", agent.to_string()).body(Default::default())?;
    let response = connection.send(message).await?;
    let status = response.status();
    let body = read_buffered(response.into_body()).await.ok_or("response truncated or too long")?;
    match status {
        StatusCode::OK => {
            let list = serde_json::from_slice(&body).map_err(|e| format!("malformed list: {e}"))?;
            Ok(Fetched { list, connection })
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Err(FetchError::Busy(connection)),
        _ => Err(format!("responded with {status}").into()),
    }
}
