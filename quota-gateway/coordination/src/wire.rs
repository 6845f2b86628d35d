//! Frames between processes, and between them and clients (`docs/coordination.md`).
//!
//! A frame is a head of 22 bytes (magic, version, cluster, length and CRC-32 of the payload) and a message in `postcard`.
//! Frames of another version or cluster, that are too long, or whose checksum is wrong end their connection and are counted.

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
/// Bound of a payload in bytes: a full batch of the largest values, and room.
pub const MAX_PAYLOAD_BYTES: usize = 8 << 20;
const HEAD_BYTES: usize = 22;
/// Bound of the requests on one connection that have no response yet.
pub const IN_FLIGHT: usize = 1024;

/// A request to a process.
#[derive(Debug, Serialize, Deserialize)]
pub enum Request {
    /// The consensus: append entries.
    Append(AppendEntriesRequest<Types>),
    /// The consensus: vote for a candidate.
    Vote(VoteRequest<NodeId>),
    /// The consensus: install a part of a snapshot.
    Install(InstallSnapshotRequest<Types>),
    /// Tells the identity of the process; answered to any cluster.
    Identity,
    /// Makes a process that belongs to no cluster belong to one.
    Join {
        /// The cluster.
        cluster: u64,
    },
    /// Begins the cluster.
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
    /// Has an operation carried out, once.
    Call {
        /// The client.
        client: ClientId,
        /// The client's number of the call, from 1.
        number: u64,
        /// The client has the responses to all numbers up to this one.
        done: u64,
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
        /// Whether as this process has them, instead of as of now.
        stale: bool,
    },
    /// Waits for changes.
    Watch {
        /// The prefix of the keys and locks.
        prefix: String,
        /// The revision behind which changes are reported.
        since: Revision,
        /// The time after which the response says that there are none, in milliseconds.
        wait_ms: u32,
    },
    /// Tells the status of the process.
    Status,
    /// Lists the locks that are held.
    Locks,
    /// Lists the open sessions.
    Sessions,
    /// Reads a part of a snapshot of the state.
    Snapshot {
        /// The offset of the part in bytes; 0 makes a new snapshot.
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
        /// Its cluster; 0 for none.
        cluster: u64,
    },
    /// The request was carried out.
    Done,
    /// The result of an operation.
    Outcome(Outcome),
    /// The sessions that were renewed; the others are over.
    Renewed(Vec<SessionId>),
    /// Values.
    Values {
        /// The revision to watch on from.
        revision: Revision,
        /// Key, value and revision of each.
        values: Vec<(String, Vec<u8>, Revision)>,
        /// How old they may be in milliseconds, where a stale read was requested.
        age_ms: Option<u64>,
    },
    /// Changes behind a revision.
    Changes(Changes),
    /// The status of the process.
    Status(Status),
    /// The locks that are held.
    Locks(Vec<LockStatus>),
    /// The open sessions.
    Sessions(Vec<SessionStatus>),
    /// A part of a snapshot.
    SnapshotChunk {
        /// Bytes of the complete snapshot.
        total: u64,
        /// The part.
        bytes: Vec<u8>,
    },
    /// Another process leads. Nothing was done.
    NotLeader {
        /// Its address, if it is known.
        leader: Option<String>,
    },
    /// A bound is reached, or the process has just become the leader. Nothing was done.
    Busy {
        /// The time after which to try again, in milliseconds.
        after_ms: u32,
    },
    /// The request was rejected, for this reason in one line. Nothing was done.
    No(String),
    /// The request may have been carried out; the reason in one line.
    Unknown(String),
}

/// What a process knows of itself and of its cluster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The process.
    pub node: NodeId,
    /// Its cluster; 0 for none.
    pub cluster: u64,
    /// Whether it leads.
    pub leads: bool,
    /// The leader's address, if it is known.
    pub leader: Option<String>,
    /// The consensus' term.
    pub term: u64,
    /// Index of the last entry of the log.
    pub last_log: Option<u64>,
    /// Index of the last entry that was applied.
    pub applied: Option<u64>,
    /// The members with their addresses, and whether they vote.
    pub members: Vec<(NodeId, String, bool)>,
    /// The state's revision.
    pub revision: Revision,
    /// Later tokens are above this one.
    pub token: Token,
    /// Number of open sessions.
    pub sessions: u64,
    /// Number of locks that are held.
    pub locks: u64,
    /// Writes of the log since the start.
    pub writes: u64,
    /// Syncs of the log since the start.
    pub syncs: u64,
    /// Frames of another cluster or version, or damaged ones.
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
    pub who: String,
    /// The token that it is held under.
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
    pub who: String,
    /// Its time to live in milliseconds.
    pub ttl_ms: u32,
    /// Number of locks that it holds or waits for.
    pub locks: u32,
}

/// A message, with the number that a response shares with its request.
#[derive(Debug, Serialize, Deserialize)]
pub enum Message {
    /// A request.
    Request(u64, Request),
    /// The response to it.
    Response(u64, Response),
}

/// Why no frame was read.
#[derive(Debug)]
pub enum Broken {
    /// The connection has ended, or failed.
    Ended(io::Error),
    /// The bytes are no frame of this version, for this reason.
    Strange(&'static str),
}

/// Encodes a frame.
///
/// # Errors
///
/// The message is longer than [`MAX_PAYLOAD_BYTES`].
pub fn encode(cluster: u64, message: &Message) -> io::Result<Vec<u8>> {
    let mut frame = vec![0; HEAD_BYTES];
    frame = postcard::to_extend(message, frame).map_err(io::Error::other)?;
    let payload = &frame[HEAD_BYTES..];
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "a message is too long"));
    }
    let (length, sum) = (payload.len() as u32, crc32fast::hash(payload));
    frame[..4].copy_from_slice(&MAGIC);
    frame[4..6].copy_from_slice(&VERSION.to_le_bytes());
    frame[6..14].copy_from_slice(&cluster.to_le_bytes());
    frame[14..18].copy_from_slice(&length.to_le_bytes());
    frame[18..22].copy_from_slice(&sum.to_le_bytes());
    Ok(frame)
}

/// Reads one frame; returns the cluster that it names, and its message. Whatever a peer sends, this allocates no more than
/// [`MAX_PAYLOAD_BYTES`].
///
/// # Errors
///
/// The connection has ended, or the bytes are no frame.
pub async fn read(from: &mut (impl AsyncRead + Unpin)) -> Result<(u64, Message), Broken> {
    let mut head = [0; HEAD_BYTES];
    from.read_exact(&mut head).await.map_err(Broken::Ended)?;
    let word = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    if head[..4] != MAGIC {
        return Err(Broken::Strange("no frame begins like this"));
    }
    if head[4..6] != VERSION.to_le_bytes() {
        return Err(Broken::Strange("another version"));
    }
    let length = word(14) as usize;
    if length > MAX_PAYLOAD_BYTES {
        return Err(Broken::Strange("too long"));
    }
    let mut payload = vec![0; length];
    from.read_exact(&mut payload).await.map_err(Broken::Ended)?;
    if crc32fast::hash(&payload) != word(18) {
        return Err(Broken::Strange("its checksum is wrong"));
    }
    let cluster = u64::from(word(6)) | u64::from(word(10)) << 32;
    match postcard::take_from_bytes(&payload) {
        Ok((message, [])) => Ok((cluster, message)),
        _ => Err(Broken::Strange("no message")),
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

/// Responses that were read and not yet given to their callers, at most.
const MAX_QUEUED_RESPONSES: usize = 64;

type PendingRequest = (Request, oneshot::Sender<Response>);

/// A connection on which many requests may be pending at once; clones share it.
#[derive(Clone)]
pub struct Channel {
    requests: mpsc::Sender<PendingRequest>,
}

impl Channel {
    /// Connects over a socket; the caller bounds how long that may take.
    ///
    /// # Errors
    ///
    /// There is no connection.
    pub async fn connect(addr: &str, cluster: u64) -> io::Result<Channel> {
        Channel::connect_in(&Env::default(), addr, cluster).await
    }

    /// Connects in this environment; the caller bounds how long that may take.
    ///
    /// # Errors
    ///
    /// There is no connection.
    pub async fn connect_in(env: &Env, addr: &str, cluster: u64) -> io::Result<Channel> {
        let ends = env.network.connect(addr).await?;
        let (requests, queued_requests) = mpsc::channel(IN_FLIGHT);
        spawn_local(run_channel(ends, cluster, queued_requests));
        Ok(Channel { requests })
    }

    /// Sends a request, and waits for its response.
    ///
    /// # Errors
    ///
    /// The connection has ended. The request may have been carried out.
    pub async fn call(&self, request: Request) -> io::Result<Response> {
        let (response_sender, response) = oneshot::channel();
        let ended = || io::Error::new(io::ErrorKind::ConnectionReset, "the connection has ended");
        self.requests.send((request, response_sender)).await.map_err(|_| ended())?;
        response.await.map_err(|_| ended())
    }
}

/// Sends the requests of a channel, and distributes the responses, until the connection ends or the channel is dropped.
async fn run_channel(ends: ConnectionHalves, cluster: u64, mut requests: mpsc::Receiver<PendingRequest>) {
    let (read_half, mut write_half) = (ends.read, ends.write);
    // Frames are read by a task of their own: a read that is cancelled halfway would lose what it has.
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
            // The order is fixed, so that a simulation can be replayed from its seed.
            biased;
            request = requests.recv(), if pending.len() < IN_FLIGHT => {
                let Some((request, response_sender)) = request else { break };
                // Callers that gave up need no room any more.
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
                // Its caller may have gone, or it is a response to nothing.
                if let Some(response_sender) = pending.remove(&number) {
                    drop(response_sender.send(response));
                }
            }
        }
    }
    reader.abort();
}
