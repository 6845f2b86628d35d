//! The state that a new process takes over from a living old one.
//!
//! The new process connects to the old one's socket and sends its format version; the old one answers with one line of
//! JSON. Names of fields are part of the format between versions of the program.

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

/// The version of the format. Processes of different versions start afresh beside each other.
const VERSION: u32 = 1;
/// The longest snapshot, in bytes: some thousand customers.
const MAX_SNAPSHOT_BYTES: u64 = 2 << 20;
/// The longest line with which a successor asks, in bytes.
const MAX_VERSION_BYTES: u64 = 4 << 10;
/// An old process that does not answer within this time is considered dead: the new one must be ready within six seconds,
/// and its operators have an answer within one.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// The state of a process.
#[derive(Serialize, Deserialize)]
pub struct HandoverSnapshot {
    version: u32,
    /// The servers' ids and numbers, with the endpoint list in force.
    pub ids: ServerIds,
    /// Whether the operators have drained the gateway.
    #[serde(rename = "draining")]
    pub is_draining: bool,
    /// The origin of the clock of all instants in `state`; processes of an early version did not send it.
    #[serde(default, rename = "origin")]
    pub clock_origin: Option<u64>,
    /// The state of the decisions.
    #[serde(rename = "memory")]
    pub state: StateSnapshot,
}

impl HandoverSnapshot {
    /// Creates a snapshot of the current format version.
    pub fn new(ids: ServerIds, is_draining: bool, clock_origin: u64, state: StateSnapshot) -> Self {
        HandoverSnapshot { version: VERSION, ids, is_draining, clock_origin: Some(clock_origin), state }
    }
}

/// A connection to another process of this gateway, on which no updates have been exchanged yet.
pub struct PeerConnection {
    /// Where the other process's lines arrive.
    pub reader: BufReader<OwnedReadHalf>,
    /// Where lines to the other process are written.
    pub writer: OwnedWriteHalf,
}

impl PeerConnection {
    fn new(stream: UnixStream) -> PeerConnection {
        let (reader, writer) = stream.into_split();
        PeerConnection { reader: BufReader::new(reader), writer }
    }

    /// Accepts a successor that asks for the current format version; `None` if it asks for another one, or not at all.
    pub async fn accept(stream: UnixStream) -> Option<PeerConnection> {
        let mut peer = PeerConnection::new(stream);
        let version = timeout(ANSWER_TIMEOUT, read_line(&mut peer.reader, MAX_VERSION_BYTES)).await;
        (version.ok()?.ok()? == VERSION.to_string()).then_some(peer)
    }
}

/// The path of the socket at which the processes of the gateway at this address meet. The name is part of the format: a
/// process of an earlier version listens there.
pub fn socket_path(listen: SocketAddr) -> PathBuf {
    env::temp_dir().join(format!("mapledeck-{}.sock", listen.port()))
}

/// Takes over the state of the living process of this gateway.
///
/// Returns `None` where there is none. A socket in the file system may be that of a dead process, and a snapshot that cannot
/// be read is not used in part.
pub async fn take_over(listen: SocketAddr) -> Option<(HandoverSnapshot, PeerConnection)> {
    let path = socket_path(listen);
    match timeout(ANSWER_TIMEOUT, request_snapshot(&path)).await {
        Ok(Ok(taken)) => {
            info!(path = %path.display(), "takes over from the process at {}", path.display());
            return Some(taken);
        }
        Ok(Err(e)) if e.kind() == io::ErrorKind::NotFound => {}
        Ok(Err(e)) => warn!(path = %path.display(), error = %e, "starts afresh: {}: {e}", path.display()),
        Err(_) => warn!(path = %path.display(), "starts afresh: {}: no answer", path.display()),
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

/// Reads a line without its end. A line that is longer than `max_bytes` or has no end is an error.
pub async fn read_line(reader: &mut (impl AsyncBufRead + Unpin), max_bytes: u64) -> io::Result<String> {
    let mut line = String::new();
    reader.take(max_bytes).read_line(&mut line).await?;
    if line.pop() != Some('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line)
}
