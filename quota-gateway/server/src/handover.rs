//! While one process of the gateway replaces another: the listening socket that both were started with, what the
//! new process takes over from the living old one, and what each tells the other from then on.

use crate::discovery::ServerIds;
use crate::engine::Engine;
use crate::operations::{Change, Operations};
use marblecroft_quota_gateway_core::{Event, Gateway, PeerProcessEvent, StateSnapshot};
use serde::{Deserialize, Serialize};
use socket2::Socket;
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::os::fd::{FromRawFd, RawFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use std::{env, fs, io, process};
use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

/// Form of what is handed over. Processes of other forms start afresh beside each other.
const VERSION: u32 = 1;
/// Bound of what is handed over, in bytes: some thousand customers.
const MAX_SNAPSHOT_BYTES: u64 = 2 << 20;
/// Bound of one piece of news.
const MAX_UPDATE_BYTES: u64 = 4 << 10;
/// Pieces of news that may wait to be read. A process that reads none is no other half of this gateway.
const UPDATES_BUFFERED: usize = 4096;
/// The old process answers within this time or is taken for dead: the new one must be ready in six seconds, and its
/// operators have an answer within one.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause after an accept that failed.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// The clients' listening socket, where whoever started this process holds it and names its descriptor. To be
/// called before anything else is opened, which could otherwise have that number.
#[allow(unsafe_code)]
pub fn inherited(listen: SocketAddr) -> Result<Option<std::net::TcpListener>, String> {
    let Ok(text) = env::var("RELAY_FD") else { return Ok(None) };
    let wrong = |why: String| format!("RELAY_FD: {text:?}: {why}");
    let fd: RawFd = text.parse().map_err(|e| wrong(format!("{e}")))?;
    // Below are the standard streams. What is not open, or no socket, is not taken, nor closed.
    let link = fs::read_link(format!("/proc/self/fd/{fd}")).map_err(|e| wrong(e.to_string()))?;
    if fd < 3 || !link.to_string_lossy().starts_with("socket:") {
        return Err(wrong("no socket".to_owned()));
    }
    // SAFETY: it is open, as just seen, by nobody's hand here: nothing was opened before and the starter names it
    // for this process to own.
    let socket = unsafe { Socket::from_raw_fd(fd) };
    let checked = || -> io::Result<bool> {
        let addr = socket.local_addr()?.as_socket();
        socket.set_cloexec(true)?;
        socket.set_nonblocking(true)?;
        Ok(socket.is_listener()? && addr.is_some_and(|addr| listen.port() == 0 || addr == listen))
    };
    match checked() {
        Ok(true) => Ok(Some(socket.into())),
        Ok(false) => Err(wrong(format!("does not listen on {listen}"))),
        Err(e) => Err(wrong(e.to_string())),
    }
}

/// What the new process takes over.
#[derive(Serialize, Deserialize)]
pub struct HandoverSnapshot {
    version: u32,
    pub ids: ServerIds,
    pub draining: bool,
    /// That of the clock that the memory's instants are on; none told by a process from before it was.
    #[serde(default)]
    pub origin: Option<u64>,
    pub memory: StateSnapshot,
}

/// What the two tell each other.
#[derive(Debug, Serialize, Deserialize)]
enum PeerUpdate {
    Change(Change),
    Elsewhere(PeerProcessEvent),
}

/// The ways to the other processes of this gateway; there is none but during an upgrade.
#[derive(Default)]
pub struct PeerLinks(RefCell<Vec<mpsc::Sender<String>>>);

impl PeerLinks {
    pub fn any(&self) -> bool {
        !self.0.borrow().is_empty()
    }

    pub fn sent(&self, news: impl FnOnce() -> PeerProcessEvent) {
        if self.any() {
            self.broadcast(&PeerUpdate::Elsewhere(news()));
        }
    }

    pub fn changed(&self, change: &Change) {
        if self.any() {
            self.broadcast(&PeerUpdate::Change(change.clone()));
        }
    }

    fn broadcast(&self, news: &PeerUpdate) {
        if let Ok(line) = serde_json::to_string(news) {
            self.0.borrow_mut().retain(|link| link.try_send(line.clone() + "\n").is_ok());
        }
    }
}

/// A way to another process that has not begun to be used.
pub struct Peer(BufReader<OwnedReadHalf>, OwnedWriteHalf);

/// Where the processes of the gateway at this address meet. The name is part of the hand-over between versions: a process
/// of an earlier version listens there.
fn socket_path(listen: SocketAddr) -> PathBuf {
    env::temp_dir().join(format!("mapledeck-{}.sock", listen.port()))
}

/// Asks the living process of this gateway for what it knows. `None` where there is none: a socket in the file system
/// may be a dead one's, and what cannot be read is not half taken.
pub async fn take_over(listen: SocketAddr) -> Option<(HandoverSnapshot, Peer)> {
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

async fn request_snapshot(path: &Path) -> io::Result<(HandoverSnapshot, Peer)> {
    let (reader, mut writer) = UnixStream::connect(path).await?.into_split();
    let mut reader = BufReader::new(reader);
    writer.write_all(format!("{VERSION}\n").as_bytes()).await?;
    let line = read_line(&mut reader, MAX_SNAPSHOT_BYTES).await?;
    let estate: HandoverSnapshot = serde_json::from_str(&line)?;
    if estate.version != VERSION {
        return Err(io::Error::other(format!("version {}", estate.version)));
    }
    Ok((estate, Peer(reader, writer)))
}

/// A whole line; the end before its end, and one that is too long, are errors.
async fn read_line(reader: &mut (impl AsyncBufRead + Unpin), most: u64) -> io::Result<String> {
    let mut line = String::new();
    reader.take(most).read_line(&mut line).await?;
    if line.pop() != Some('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line)
}

/// This process's side of an upgrade.
pub struct Handover {
    pub operations: Rc<Operations>,
    pub gateway: Rc<RefCell<Gateway>>,
    pub engine: Rc<Engine>,
    /// Called when a process comes beside this one, and when it is alone again: the two share all limits.
    pub shared: Box<dyn Fn(bool)>,
}

impl Handover {
    /// Keeps in step with the process that this one took over from.
    pub fn join(self: &Rc<Self>, peer: Peer) {
        let (sender, receiver) = mpsc::channel(UPDATES_BUFFERED);
        spawn_local(self.clone().exchange(peer, sender, receiver));
    }

    /// Offers what this process knows to whichever comes next, for good.
    pub fn offer(self: Rc<Self>, listen: SocketAddr) -> io::Result<impl Future<Output = ()>> {
        // Put in place whole, over that of the process before.
        let (place, new) =
            (socket_path(listen), socket_path(listen).with_extension(process::id().to_string()));
        drop(fs::remove_file(&new));
        let listener = UnixListener::bind(&new)?;
        fs::rename(&new, &place)?;
        Ok(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => drop(spawn_local(self.clone().hand_over(stream))),
                    Err(_) => sleep(ACCEPT_BACKOFF).await,
                }
            }
        })
    }

    async fn hand_over(self: Rc<Self>, stream: UnixStream) {
        let (reader, writer) = stream.into_split();
        let mut peer = Peer(BufReader::new(reader), writer);
        match timeout(ANSWER_TIMEOUT, read_line(&mut peer.0, MAX_UPDATE_BYTES)).await {
            Ok(Ok(version)) if version == VERSION.to_string() => {}
            _ => return,
        }
        let estate = HandoverSnapshot {
            version: VERSION,
            ids: self.operations.ids.borrow().clone(),
            draining: self.operations.server.draining(),
            origin: Some(self.engine.clock.origin()),
            memory: self.gateway.borrow().snapshot(),
        };
        let Ok(estate) = serde_json::to_string(&estate) else { return };
        let (sender, receiver) = mpsc::channel(UPDATES_BUFFERED);
        // First in line, so that the news that follows is of what came after it.
        drop(sender.try_send(estate + "\n"));
        info!("hands over to a new process");
        self.exchange(peer, sender, receiver).await;
    }

    /// Tells and hears news until the other process is gone.
    async fn exchange(
        self: Rc<Self>,
        peer: Peer,
        sender: mpsc::Sender<String>,
        mut receiver: mpsc::Receiver<String>,
    ) {
        let links = &self.engine.links;
        links.0.borrow_mut().push(sender.clone());
        (self.shared)(true);
        let Peer(mut reader, mut writer) = peer;
        let telling = async {
            while let Some(line) = receiver.recv().await {
                if writer.write_all(line.as_bytes()).await.is_err() {
                    return;
                }
            }
        };
        let hearing = async {
            while let Ok(line) = read_line(&mut reader, MAX_UPDATE_BYTES).await {
                match serde_json::from_str(&line) {
                    Ok(PeerUpdate::Elsewhere(news)) => self.engine.post(Event::PeerProcess(news)),
                    Ok(PeerUpdate::Change(change)) => drop(self.operations.apply(&change)),
                    Err(_) => return,
                }
            }
        };
        tokio::select! {
            () = telling => {}
            () = hearing => {}
        }
        links.0.borrow_mut().retain(|link| !link.same_channel(&sender));
        if !links.any() {
            self.engine.post(Event::PeerProcess(PeerProcessEvent::Gone));
            (self.shared)(false);
        }
        info!("the other process is gone");
    }
}
