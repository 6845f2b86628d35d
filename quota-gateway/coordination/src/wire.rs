//! Frames between processes, and between them and clients: one definition for both ends (`docs/coordination.md`).
//!
//! A frame is a head of 22 bytes (magic, version, cluster, length and CRC-32 of the payload) and a message in `postcard`.
//! Frames of another version or cluster, that are too long, or whose checksum is wrong end their connection and are counted.

use crate::env::{Ends, Env};
use crate::raft::{NodeId, Types};
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

pub const MAGIC: [u8; 4] = *b"MDCO";
pub const VERSION: u16 = 2;
/// The longest payload: a full batch of the largest values, and room.
pub const MAX_PAYLOAD_BYTES: usize = 8 << 20;
const HEAD: usize = 22;
/// Calls on one connection that have no answer yet.
pub const IN_FLIGHT: usize = 1024;

/// What is asked of a process.
#[derive(Debug, Serialize, Deserialize)]
pub enum Request {
    Append(AppendEntriesRequest<Types>),
    Vote(VoteRequest<NodeId>),
    Install(InstallSnapshotRequest<Types>),
    /// Who this process is; answered to any cluster.
    Identity,
    /// This process is of the cluster from now on; only one that is of none yet.
    Join {
        cluster: u64,
    },
    /// The cluster begins with these members.
    Begin {
        members: BTreeMap<NodeId, String>,
    },
    Add {
        node: NodeId,
        addr: String,
    },
    Remove {
        node: NodeId,
    },
    Call {
        client: ClientId,
        number: u64,
        done: u64,
        op: Op,
    },
    /// These sessions live on.
    Renew {
        sessions: Vec<SessionId>,
    },
    /// Values by prefix, as of now; or as this process has them.
    Read {
        prefix: String,
        stale: bool,
    },
    /// Changes behind a revision, as soon as there are some, or none after this long.
    Watch {
        prefix: String,
        since: Revision,
        wait_ms: u32,
    },
    Status,
    Locks,
    Sessions,
    /// A part of a snapshot of the state; from 0 a new one is made.
    Snapshot {
        from: u64,
    },
}

/// What a process answers.
#[derive(Debug, Serialize, Deserialize)]
pub enum Response {
    Append(Result<AppendEntriesResponse<NodeId>, RaftError<NodeId>>),
    Vote(Result<VoteResponse<NodeId>, RaftError<NodeId>>),
    Install(Result<InstallSnapshotResponse<NodeId>, RaftError<NodeId, InstallSnapshotError>>),
    Identity {
        node: NodeId,
        cluster: u64,
    },
    Done,
    Outcome(Outcome),
    /// Which of them live on.
    Renewed(Vec<SessionId>),
    /// Values, the revision to watch on from, and how old that may be in ms where a stale answer was asked for.
    Values {
        revision: Revision,
        values: Vec<(String, Vec<u8>, Revision)>,
        age_ms: Option<u64>,
    },
    Changes(Changes),
    Status(Status),
    Locks(Vec<LockStatus>),
    Sessions(Vec<SessionStatus>),
    SnapshotChunk {
        total: u64,
        bytes: Vec<u8>,
    },
    /// Ask there, if it is known; nothing was done.
    NotLeader {
        leader: Option<String>,
    },
    /// Come back after so many ms; nothing was done.
    Busy {
        after_ms: u32,
    },
    /// One line; nothing was done.
    No(String),
    /// It may have been done.
    Unknown(String),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    pub node: NodeId,
    pub cluster: u64,
    pub leads: bool,
    pub leader: Option<String>,
    pub term: u64,
    pub last_log: Option<u64>,
    pub applied: Option<u64>,
    pub members: Vec<(NodeId, String, bool)>,
    pub revision: Revision,
    pub token: Token,
    pub sessions: u64,
    pub locks: u64,
    pub writes: u64,
    pub syncs: u64,
    pub dropped_frames: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LockStatus {
    pub name: String,
    pub holder: SessionId,
    pub who: String,
    pub token: Token,
    pub waiting: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionStatus {
    pub id: SessionId,
    pub who: String,
    pub ttl_ms: u32,
    pub locks: u32,
}

/// A message, with the number that an answer shares with its question.
#[derive(Debug, Serialize, Deserialize)]
pub enum Message {
    Request(u64, Request),
    Response(u64, Response),
}

/// Why a frame is none.
#[derive(Debug)]
pub enum Broken {
    /// The connection has ended, or failed.
    Ended(io::Error),
    /// What came is no frame of this cluster and version.
    Strange(&'static str),
}

/// The bytes of a frame; the error is a message that is too long.
pub fn encode(cluster: u64, message: &Message) -> io::Result<Vec<u8>> {
    let mut frame = vec![0; HEAD];
    frame = postcard::to_extend(message, frame).map_err(io::Error::other)?;
    let payload = &frame[HEAD..];
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

/// Reads one frame; which cluster it names. No byte that a peer sends makes this allocate more than [`MAX_PAYLOAD_BYTES`].
pub async fn read(from: &mut (impl AsyncRead + Unpin)) -> Result<(u64, Message), Broken> {
    let mut head = [0; HEAD];
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

pub async fn write(to: &mut (impl AsyncWrite + Unpin), cluster: u64, message: &Message) -> io::Result<()> {
    to.write_all(&encode(cluster, message)?).await
}

type PendingRequest = (Request, oneshot::Sender<Response>);

/// A connection on which many may ask at once.
#[derive(Clone)]
pub struct Channel {
    requests: mpsc::Sender<PendingRequest>,
}

impl Channel {
    /// Connects over a socket; the caller bounds how long that may take.
    pub async fn connect(addr: &str, cluster: u64) -> io::Result<Channel> {
        Channel::connect_in(&Env::default(), addr, cluster).await
    }

    pub async fn connect_in(env: &Env, addr: &str, cluster: u64) -> io::Result<Channel> {
        let ends = env.network.connect(addr).await?;
        let (asks, asked) = mpsc::channel(IN_FLIGHT);
        spawn_local(converse(ends, cluster, asked));
        Ok(Channel { requests: asks })
    }

    /// Asks, and waits for the answer; an error: the connection has ended, and it may have been done.
    pub async fn call(&self, request: Request) -> io::Result<Response> {
        let (answer, answered) = oneshot::channel();
        let ended = || io::Error::new(io::ErrorKind::ConnectionReset, "the connection has ended");
        self.requests.send((request, answer)).await.map_err(|_| ended())?;
        answered.await.map_err(|_| ended())
    }
}

/// Serves a channel until its connection ends or nobody can ask any more.
async fn converse(ends: Ends, cluster: u64, mut asked: mpsc::Receiver<PendingRequest>) {
    let (read_half, mut write_half) = (ends.read, ends.write);
    // Frames are read on a task of their own: a read that is given up halfway would lose what it has.
    let (come, mut answers) = mpsc::channel(64);
    let reader = spawn_local(async move {
        let mut from = BufReader::new(read_half);
        while let Ok((_, Message::Response(number, response))) = read(&mut from).await {
            if come.send((number, response)).await.is_err() {
                return;
            }
        }
    });
    let mut waiting: HashMap<u64, oneshot::Sender<Response>> = HashMap::new();
    let mut next = 0;
    loop {
        tokio::select! {
            // Played again from a seed, the same is chosen.
            biased;
            asked = asked.recv(), if waiting.len() < IN_FLIGHT => {
                let Some((request, answer)) = asked else { break };
                // Whoever gave up needs no room any more.
                waiting.retain(|_, answer| !answer.is_closed());
                next += 1;
                waiting.insert(next, answer);
                if write(&mut write_half, cluster, &Message::Request(next, request)).await.is_err() {
                    break;
                }
            }
            answer = answers.recv() => {
                let Some((number, response)) = answer else { break };
                // Nobody waits for it any more, or it is no answer to anything.
                if let Some(waiting) = waiting.remove(&number) {
                    drop(waiting.send(response));
                }
            }
        }
    }
    reader.abort();
}
