//! The tasks that call the store's other processes: one polls each peer for its epoch, and one follows the
//! writer.

use crate::role::Role;
use crate::service::{ReplicationError, Service};
use marblecroft_discovery::http::{
    encode_request, parse_response, ReplicationRequest, ReplicationResponse, ResponseError,
};
use serde::de::DeserializeOwned;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::{fmt, io};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};
use tracing::{info, warn};

/// The interval between polls of a peer.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The timeout of a request to another process, in addition to the wait that the request specifies.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a replica's request waits for changes. After the response, the replica is in sync as of the
/// request.
const REPLICATION_WAIT: Duration = Duration::from_millis(500);
/// The delay after a failed request to the writer.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// The maximum length of a response, in bytes. The longest is a snapshot, which contains the list, deleted
/// entries and the history.
const MAX_RESPONSE_BYTES: u64 = 4 << 20;

/// The reason why a request to another process failed.
#[derive(Debug)]
enum PeerError {
    Timeout,
    Connection(io::Error),
    Response(ResponseError),
    Body(serde_json::Error),
    Replication(ReplicationError),
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PeerError::Timeout => write!(f, "no response in time"),
            PeerError::Connection(e) => write!(f, "{e}"),
            PeerError::Response(e) => write!(f, "{e}"),
            PeerError::Body(e) => write!(f, "a response whose body cannot be read: {e}"),
            PeerError::Replication(e) => write!(f, "{e}"),
        }
    }
}

impl Error for PeerError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            PeerError::Timeout => None,
            PeerError::Connection(e) => Some(e),
            PeerError::Response(e) => Some(e),
            PeerError::Body(e) => Some(e),
            PeerError::Replication(e) => Some(e),
        }
    }
}

async fn exchange(addr: SocketAddr, request: &[u8]) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(addr).await?;
    stream.write_all(request).await?;
    let mut response = Vec::new();
    stream.take(MAX_RESPONSE_BYTES).read_to_end(&mut response).await?;
    Ok(response)
}

/// Sends one request to another process and returns the body of its response.
async fn call_peer<T: DeserializeOwned>(
    addr: SocketAddr,
    request: &[u8],
    max_wait: Duration,
) -> Result<T, PeerError> {
    let response = timeout(max_wait, exchange(addr, request)).await.map_err(|_| PeerError::Timeout)?;
    let response = response.map_err(PeerError::Connection)?;
    let body = parse_response(&response).map_err(PeerError::Response)?;
    serde_json::from_slice(body).map_err(PeerError::Body)
}

/// Starts the tasks, which never end. There are none without configured peers or a writer to follow.
pub fn start(service: &Rc<Service>) {
    for (index, peer) in service.config.peers.iter().copied().enumerate() {
        let service = service.clone();
        spawn_local(async move { poll_peer(&service, index, peer).await });
    }
    if service.config.follow.is_some() {
        let service = service.clone();
        spawn_local(async move { follow_writer(&service).await });
    }
}

async fn poll_peer(service: &Service, index: usize, peer: SocketAddr) {
    let request = encode_request("GET", "/discovery/status", b"");
    loop {
        // An error is ignored: the role detects that the peer has not been confirmed for too long.
        if let Ok(status) = call_peer::<serde_json::Value>(peer, &request, REPLY_TIMEOUT).await {
            if let Some(epoch) = status["epoch"].as_u64() {
                service.on_peer_epoch(epoch);
                if epoch <= service.store.borrow().epoch() {
                    service.role.borrow_mut().on_peer_confirmed(index);
                }
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn follow_writer(service: &Service) {
    let mut is_failing = false;
    loop {
        let writer = match *service.role.borrow() {
            Role::Replica { writer, .. } => Some(writer),
            Role::Writer { .. } => None,
        };
        let Some(writer) = writer else {
            // This process is a writer. It becomes a replica again if it is superseded.
            sleep(POLL_INTERVAL).await;
            continue;
        };
        match replicate_once(service, writer).await {
            Ok(()) => {
                if std::mem::replace(&mut is_failing, false) {
                    info!(%writer, "following {writer} again");
                }
            }
            Err(e) => {
                // Logs one line per outage, regardless of its duration.
                if !std::mem::replace(&mut is_failing, true) {
                    warn!(%writer, error = %e, "cannot follow {writer}: {e}");
                }
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Requests changes from the writer and applies them.
async fn replicate_once(service: &Service, writer: SocketAddr) -> Result<(), PeerError> {
    let request = {
        let store = service.store.borrow();
        ReplicationRequest {
            store: store.origin(),
            epoch: store.epoch(),
            version: store.version(),
            wait_ms: u64::try_from(REPLICATION_WAIT.as_millis()).unwrap_or(0),
        }
    };
    let body = serde_json::to_vec(&request).map_err(PeerError::Body)?;
    let request = encode_request("POST", "/discovery/records", &body);
    let requested_at = Instant::now();
    let response: ReplicationResponse = call_peer(writer, &request, REPLICATION_WAIT + REPLY_TIMEOUT).await?;
    service.replicate(response).map_err(PeerError::Replication)?;
    // The response contains all changes that the writer had made before the request.
    service.role.borrow_mut().on_in_sync(requested_at);
    Ok(())
}
