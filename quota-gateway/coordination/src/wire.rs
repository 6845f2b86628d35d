//! Wire format between processes, and between processes and clients (`docs/coordination.md`).
//!
//! A frame is a header of 22 bytes (magic, version, cluster, length and CRC-32 of the payload) and a message
//! in `postcard`. A frame that has another version or cluster, is too long or has a wrong checksum closes its
//! connection and is counted.

use crate::env::{ConnectionHalves, Env};
use crate::raft_types::{NodeId, Types};
use crate::state::{Changes, ClientId, Op, Outcome, Revision, SessionId, Token};
use openraft::error::{InstallSnapshotError, RaftError};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, BufReader};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

/// The first bytes of a frame.
pub const MAGIC: [u8; 4] = *b"MDCO";
/// The version of frames and messages.
pub const VERSION: u16 = 2;
/// Maximum size of a payload in bytes. It exceeds the size of the largest batch.
pub const MAX_PAYLOAD_BYTES: usize = 8 << 20;
const HEADER_BYTES: usize = 22;
/// Maximum number of requests in flight on one connection.
pub const MAX_IN_FLIGHT_REQUESTS: usize = 1024;

/// A request to a process.
#[derive(Debug, Serialize, Deserialize)]
pub enum Request {
    /// Consensus: appends entries.
    Append(AppendEntriesRequest<Types>),
    /// Consensus: requests a vote for a candidate.
    Vote(VoteRequest<NodeId>),
    /// Consensus: installs a chunk of a snapshot.
    Install(InstallSnapshotRequest<Types>),
    /// Returns the identity of the process. It is served for any cluster in the frame.
    Identity,
    /// Assigns a process that belongs to no cluster to one.
    Join {
        /// The cluster.
        cluster: u64,
    },
    /// Initializes the cluster.
    Begin {
        /// The members and their addresses.
        members: BTreeMap<NodeId, String>,
    },
    /// Adds a member.
    Add {
        /// The process.
        node: NodeId,
        /// Its address.
        addr: String,
    },
    /// Removes a member.
    Remove {
        /// The process.
        node: NodeId,
    },
    /// Applies an operation once.
    Call {
        /// The client.
        client: ClientId,
        /// The client's sequence number of the call, starting at 1.
        number: u64,
        /// The client has received the responses to all numbers up to and including this one.
        acknowledged: u64,
        /// The operation.
        op: Op,
    },
    /// Renews sessions.
    Renew {
        /// The sessions.
        sessions: Vec<SessionId>,
    },
    /// Reads values.
    Read {
        /// The prefix of their keys.
        prefix: String,
        /// Whether to read the local state of the process, which may be stale, instead of the current values.
        stale: bool,
    },
    /// Waits for changes.
    Watch {
        /// The prefix of the keys and locks.
        prefix: String,
        /// Changes after this revision are reported.
        since: Revision,
        /// The time in milliseconds after which the response is sent even if there are no changes.
        wait_ms: u32,
    },
    /// Returns the status of the process.
    Status,
    /// Lists the locks that are held.
    Locks,
    /// Lists the open sessions.
    Sessions,
    /// Reads a chunk of a snapshot of the state.
    Snapshot {
        /// The offset of the chunk in bytes. Offset 0 takes a new snapshot.
        from: u64,
    },
}

/// A response to a request.
#[derive(Debug, Serialize, Deserialize)]
pub enum Response {
    /// To [`Request::Append`].
    Append(Result<AppendEntriesResponse<NodeId>, RaftError<NodeId>>),
    /// To [`Request::Vote`].
    Vote(Result<VoteResponse<NodeId>, RaftError<NodeId>>),
    /// To [`Request::Install`].
    Install(Result<InstallSnapshotResponse<NodeId>, RaftError<NodeId, InstallSnapshotError>>),
    /// The identity of the process.
    Identity {
        /// The process.
        node: NodeId,
        /// Its cluster, or 0 for none.
        cluster: u64,
    },
    /// The request was executed.
    Done,
    /// The result of an operation.
    Outcome(Outcome),
    /// The sessions that were renewed. The others of the request have ended.
    Renewed(Vec<SessionId>),
    /// Values.
    Values {
        /// The revision from which to watch.
        revision: Revision,
        /// The key, the value and the revision of each.
        values: Vec<(String, Vec<u8>, Revision)>,
        /// The possible age of the values in milliseconds, if a stale read was requested.
        age_ms: Option<u64>,
    },
    /// Changes after a revision.
    Changes(Changes),
    /// The status of the process.
    Status(Status),
    /// The locks that are held.
    Locks(Vec<LockStatus>),
    /// The open sessions.
    Sessions(Vec<SessionStatus>),
    /// A chunk of a snapshot.
    SnapshotChunk {
        /// Size of the complete snapshot in bytes.
        total: u64,
        /// The chunk.
        bytes: Vec<u8>,
    },
    /// The process is not the leader. The request was not executed.
    NotLeader {
        /// The address of the leader, if it is known.
        leader: Option<String>,
    },
    /// A limit is reached, or the process has not yet taken over as the leader. The request was not executed.
    Busy {
        /// The delay before a retry, in milliseconds.
        after_ms: u32,
    },
    /// The request was rejected and not executed, for this reason in one line.
    Rejected(String),
    /// It is unknown whether the request was executed, for this reason in one line.
    Unknown(String),
}

/// The status of a process, with its view of the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The process.
    pub node: NodeId,
    /// Its cluster, or 0 for none.
    pub cluster: u64,
    /// Whether the process is the leader.
    pub leads: bool,
    /// The leader's address, if it is known.
    pub leader: Option<String>,
    /// The current term of the consensus.
    pub term: u64,
    /// Index of the last entry of the log.
    pub last_log: Option<u64>,
    /// Index of the last entry that was applied.
    pub applied: Option<u64>,
    /// The members with their addresses, and whether they vote.
    pub members: Vec<(NodeId, String, bool)>,
    /// The state's revision.
    pub revision: Revision,
    /// Tokens that are granted later are higher than this one.
    pub token: Token,
    /// Number of open sessions.
    pub sessions: u64,
    /// Number of locks that are held.
    pub locks: u64,
    /// Number of writes of the log since the start.
    pub writes: u64,
    /// Number of syncs of the log since the start.
    pub syncs: u64,
    /// Number of invalid frames: of another cluster or version, or damaged.
    pub dropped_frames: u64,
}

/// A lock that is held.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LockStatus {
    /// The lock.
    pub name: String,
    /// The session that holds it.
    pub holder: SessionId,
    /// The name of the session's owner.
    pub owner_name: String,
    /// The token under which it is held.
    pub token: Token,
    /// Number of sessions that wait for it.
    pub waiting: u32,
}

/// An open session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionStatus {
    /// The session.
    pub id: SessionId,
    /// The name of its owner.
    pub owner_name: String,
    /// Its time to live in milliseconds.
    pub ttl_ms: u32,
    /// Number of locks that it holds or waits for.
    pub locks: u32,
}

/// A message and its number. A response has the same number as its request.
#[derive(Debug, Serialize, Deserialize)]
pub enum Message {
    /// A request.
    Request(u64, Request),
    /// The response to it.
    Response(u64, Response),
}

/// The reason why no frame was read.
#[derive(Debug)]
pub enum ReadError {
    /// The connection was closed or has failed.
    Closed(io::Error),
    /// The bytes are not a valid frame of this version, for this reason.
    Invalid(&'static str),
}

/// Encodes a frame.
///
/// # Errors
///
/// The message is longer than [`MAX_PAYLOAD_BYTES`].
pub fn encode(cluster: u64, message: &Message) -> io::Result<Vec<u8>> {
    let mut frame = vec![0; HEADER_BYTES];
    frame = postcard::to_extend(message, frame).map_err(io::Error::other)?;
    let payload = &frame[HEADER_BYTES..];
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "a message is too long"));
    }
    let (length, checksum) = (payload.len() as u32, crc32fast::hash(payload));
    frame[..4].copy_from_slice(&MAGIC);
    frame[4..6].copy_from_slice(&VERSION.to_le_bytes());
    frame[6..14].copy_from_slice(&cluster.to_le_bytes());
    frame[14..18].copy_from_slice(&length.to_le_bytes());
    frame[18..22].copy_from_slice(&checksum.to_le_bytes());
    Ok(frame)
}

/// Reads one frame. Returns the cluster that it names, and its message. For any input, this allocates at most
/// [`MAX_PAYLOAD_BYTES`] for the payload.
///
/// # Errors
///
/// The connection was closed, or the bytes are not a valid frame.
pub async fn read(from: &mut (impl AsyncRead + Unpin)) -> Result<(u64, Message), ReadError> {
    let mut header = [0; HEADER_BYTES];
    from.read_exact(&mut header).await.map_err(ReadError::Closed)?;
    let u32_at = |at: usize| u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]);
    if header[..4] != MAGIC {
        return Err(ReadError::Invalid("wrong magic bytes"));
    }
    if header[4..6] != VERSION.to_le_bytes() {
        return Err(ReadError::Invalid("unsupported version"));
    }
    let length = u32_at(14) as usize;
    if length > MAX_PAYLOAD_BYTES {
        return Err(ReadError::Invalid("payload exceeds the size limit"));
    }
    let mut payload = vec![0; length];
    from.read_exact(&mut payload).await.map_err(ReadError::Closed)?;
    if crc32fast::hash(&payload) != u32_at(18) {
        return Err(ReadError::Invalid("wrong checksum"));
    }
    let cluster = u64::from(u32_at(6)) | u64::from(u32_at(10)) << 32;
    match postcard::take_from_bytes(&payload) {
        Ok((message, [])) => Ok((cluster, message)),
        _ => Err(ReadError::Invalid("payload is not a valid message")),
    }
}

/// Writes one frame.
///
/// # Errors
///
/// The message is too long, or the connection fails.
pub async fn write(to: &mut (impl AsyncWrite + Unpin), cluster: u64, message: &Message) -> io::Result<()> {
    to.write_all(&encode(cluster, message)?).await
}

/// Maximum number of responses that were read but not passed to their callers yet.
const MAX_QUEUED_RESPONSES: usize = 64;

type PendingRequest = (Request, oneshot::Sender<Response>);

/// A connection on which many requests may be in flight. Clones share the connection.
#[derive(Clone)]
pub struct Channel {
    requests: mpsc::Sender<PendingRequest>,
}

impl Channel {
    /// Connects over a socket. There is no timeout; the caller must set one.
    ///
    /// # Errors
    ///
    /// The connection cannot be established.
    pub async fn connect(addr: &str, cluster: u64) -> io::Result<Channel> {
        Channel::connect_in(&Env::default(), addr, cluster).await
    }

    /// Connects in this environment. There is no timeout; the caller must set one.
    ///
    /// # Errors
    ///
    /// The connection cannot be established.
    pub async fn connect_in(env: &Env, addr: &str, cluster: u64) -> io::Result<Channel> {
        let connection = env.network.connect(addr).await?;
        let (requests, queued_requests) = mpsc::channel(MAX_IN_FLIGHT_REQUESTS);
        spawn_local(run_channel(connection, cluster, queued_requests));
        Ok(Channel { requests })
    }

    /// Sends a request, and waits for its response.
    ///
    /// # Errors
    ///
    /// The connection has ended. The request may have been executed.
    pub async fn call(&self, request: Request) -> io::Result<Response> {
        let (response_sender, response) = oneshot::channel();
        let ended = || io::Error::new(io::ErrorKind::ConnectionReset, "the connection has ended");
        self.requests.send((request, response_sender)).await.map_err(|_| ended())?;
        response.await.map_err(|_| ended())
    }
}

/// Sends the requests of a channel, and passes the responses to their callers, until the connection ends or
/// the channel is dropped.
async fn run_channel(
    connection: ConnectionHalves,
    cluster: u64,
    mut requests: mpsc::Receiver<PendingRequest>,
) {
    let (read_half, mut write_half) = (connection.read, connection.write);
    // Frames are read by a separate task, because cancelling a read halfway would lose the bytes read so far.
    let (received, mut responses) = mpsc::channel(MAX_QUEUED_RESPONSES);
    let reader = spawn_local(async move {
        let mut stream = BufReader::new(read_half);
        while let Ok((_, Message::Response(number, response))) = read(&mut stream).await {
            if received.send((number, response)).await.is_err() {
                return;
            }
        }
    });
    let mut pending: HashMap<u64, oneshot::Sender<Response>> = HashMap::new();
    let mut last_number = 0;
    loop {
        tokio::select! {
            // Branches are polled in a fixed order, so that a simulation can be replayed from its seed.
            biased;
            request = requests.recv(), if pending.len() < MAX_IN_FLIGHT_REQUESTS => {
                let Some((request, response_sender)) = request else { break };
                // Requests whose callers have given up no longer count as in flight.
                pending.retain(|_, response_sender| !response_sender.is_closed());
                last_number += 1;
                pending.insert(last_number, response_sender);
                let message = Message::Request(last_number, request);
                if write(&mut write_half, cluster, &message).await.is_err() {
                    break;
                }
            }
            response = responses.recv() => {
                let Some((number, response)) = response else { break };
                // The caller may have given up, or there is no request with this number.
                if let Some(response_sender) = pending.remove(&number) {
                    drop(response_sender.send(response));
                }
            }
        }
    }
    reader.abort();
}
