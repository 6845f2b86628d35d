//! The state that a new process takes over from the running old one.
//!
//! The new process connects to the old one's socket and sends its format version. The old one responds with
//! one line of JSON. Field names are part of the format, which versions of the program share.

use crate::discovery::server_ids::ServerIds;
use marblecroft_quota_gateway_core::StateSnapshot;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use std::{env, io};
use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::UnixStream;
use tokio::time::timeout;
use tracing::{info, warn};

/// The version of the format. A process does not take over the state of a process with a different version.
const VERSION: u32 = 1;
/// The longest snapshot, in bytes, enough for several thousand customers.
const MAX_SNAPSHOT_BYTES: u64 = 2 << 20;
/// The longest request line of a successor, in bytes.
const MAX_VERSION_BYTES: u64 = 4 << 10;
/// An old process that does not respond within this time is considered to have failed. The new process must
/// be ready within six seconds, and its operators must get a response within one.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);

/// The state of a process.
#[derive(Serialize, Deserialize)]
pub struct HandoverSnapshot {
    version: u32,
    /// The servers' ids and numbers, with the endpoint list in force.
    pub ids: ServerIds,
    /// Whether an operator has drained the gateway.
    #[serde(rename = "draining")]
    pub is_draining: bool,
    /// The clock origin of all instants in `state`. Early versions of the program do not send it.
    #[serde(default, rename = "origin")]
    pub clock_origin: Option<u64>,
    /// The state of the core.
    #[serde(rename = "memory")]
    pub state: StateSnapshot,
}

impl HandoverSnapshot {
    /// Creates a snapshot of the current format version.
    pub fn new(ids: ServerIds, is_draining: bool, clock_origin: u64, state: StateSnapshot) -> Self {
        HandoverSnapshot { version: VERSION, ids, is_draining, clock_origin: Some(clock_origin), state }
    }
}

/// A connection to another process of this gateway, before updates are exchanged on it.
pub struct PeerConnection {
    /// Reads lines from the other process.
    pub reader: BufReader<OwnedReadHalf>,
    /// Writes lines to the other process.
    pub writer: OwnedWriteHalf,
}

impl PeerConnection {
    fn new(stream: UnixStream) -> PeerConnection {
        let (reader, writer) = stream.into_split();
        PeerConnection { reader: BufReader::new(reader), writer }
    }

    /// Accepts a successor that requests the current format version. Returns `None` if it requests another
    /// one or sends no request in time.
    pub async fn accept(stream: UnixStream) -> Option<PeerConnection> {
        let mut peer = PeerConnection::new(stream);
        let version = timeout(RESPONSE_TIMEOUT, read_line(&mut peer.reader, MAX_VERSION_BYTES)).await;
        (version.ok()?.ok()? == VERSION.to_string()).then_some(peer)
    }
}

/// The path of the socket at which the processes of the gateway with this address connect. The name is part
/// of the format, because a process of an earlier version listens there.
pub fn socket_path(listen: SocketAddr) -> PathBuf {
    env::temp_dir().join(format!("mapledeck-{}.sock", listen.port()))
}

/// Takes over the state of the running process of this gateway.
///
/// Returns `None` if there is none. A socket file may remain from a process that has exited, and no part of a
/// snapshot that cannot be read is used.
pub async fn take_over(listen: SocketAddr) -> Option<(HandoverSnapshot, PeerConnection)> {
    let path = socket_path(listen);
    match timeout(RESPONSE_TIMEOUT, request_snapshot(&path)).await {
        Ok(Ok(taken)) => {
            info!(path = %path.display(), "takes over from the process at {}", path.display());
            return Some(taken);
        }
        Ok(Err(e)) if e.kind() == io::ErrorKind::NotFound => {}
        Ok(Err(e)) => warn!(path = %path.display(), error = %e, "no handover: {}: {e}", path.display()),
        Err(_) => warn!(path = %path.display(), "no handover: {}: no response in time", path.display()),
    }
    None
}

async fn request_snapshot(path: &Path) -> io::Result<(HandoverSnapshot, PeerConnection)> {
    let mut peer = PeerConnection::new(UnixStream::connect(path).await?);
    peer.writer.write_all(format!("{VERSION}\n").as_bytes()).await?;
    let line = read_line(&mut peer.reader, MAX_SNAPSHOT_BYTES).await?;
    let snapshot: HandoverSnapshot = serde_json::from_str(&line)?;
    if snapshot.version != VERSION {
        return Err(io::Error::other(format!("version {}", snapshot.version)));
    }
    Ok((snapshot, peer))
}

/// Reads a line and removes its newline. A line that is longer than `max_bytes` or has no newline is an
/// error.
pub async fn read_line(reader: &mut (impl AsyncBufRead + Unpin), max_bytes: u64) -> io::Result<String> {
    let mut line = String::new();
    reader.take(max_bytes).read_line(&mut line).await?;
    if line.pop() != Some('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line)
}
