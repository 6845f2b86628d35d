//! The upgrade of a gateway: a new process replaces an old one, which keeps running until its requests are
//! answered.
//!
//! Both processes are started with the same listening socket ([`inherited_socket`]). The new one requests the
//! state of the old one ([`snapshot`]), so that no attempt is counted twice and no learned state is lost.
//! From then on the two exchange updates ([`crate::peer_links`]) until one of them exits. Each process offers
//! its state to its successor in the same way.

pub mod inherited_socket;
pub mod snapshot;

use crate::engine::Engine;
use crate::operations::Operations;
use crate::peer_links::{PeerLinks, PeerSender, PeerUpdate};
use marblecroft_quota_gateway_core::{Event, Gateway, PeerProcessEvent};
use snapshot::{read_line, socket_path, HandoverSnapshot, PeerConnection};
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::{fs, io, process};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tracing::info;

/// The longest line of an update, in bytes.
const MAX_UPDATE_BYTES: u64 = 4 << 10;
/// The delay after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// This process's side of an upgrade.
pub struct Handover {
    /// Applies the operators' changes that the other process passes on.
    pub operations: Rc<Operations>,
    /// The core whose state is sent to a successor.
    pub gateway: Rc<RefCell<Gateway>>,
    /// Handles the events of the other process.
    pub engine: Rc<Engine>,
    /// Called with `true` when another process of the gateway is connected, and with `false` when this one is
    /// alone again. The two processes share the limits on connections.
    pub on_shared: Box<dyn Fn(bool)>,
}

impl Handover {
    /// Starts to exchange updates with the process that this one took over from.
    pub fn join(self: &Rc<Self>, peer: PeerConnection) {
        let (sender, receiver) = PeerLinks::channel();
        spawn_local(self.clone().exchange(peer, sender, receiver));
    }

    /// Returns a task that offers this process's state to its successor, forever.
    ///
    /// # Errors
    /// Fails if the socket to which the successor connects cannot be created.
    pub fn offer(self: Rc<Self>, listen: SocketAddr) -> io::Result<impl Future<Output = ()>> {
        let path = socket_path(listen);
        let new_path = path.with_extension(process::id().to_string());
        // Usually there is no such file. If it exists and cannot be removed, the bind fails.
        let _ = fs::remove_file(&new_path);
        let listener = UnixListener::bind(&new_path)?;
        // Atomically replaces the socket of the previous process.
        fs::rename(&new_path, &path)?;
        Ok(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        spawn_local(self.clone().hand_over(stream));
                    }
                    Err(_) => sleep(ACCEPT_BACKOFF).await,
                }
            }
        })
    }

    /// Sends the state to a successor that uses the same format version, and then exchanges updates with it.
    async fn hand_over(self: Rc<Self>, stream: UnixStream) {
        let Some(peer) = PeerConnection::accept(stream).await else { return };
        let snapshot = HandoverSnapshot::new(
            self.operations.ids.borrow().clone(),
            self.operations.server.is_draining(),
            self.engine.clock.origin(),
            self.gateway.borrow().snapshot(),
        );
        let Ok(line) = serde_json::to_string(&snapshot) else { return };
        let (sender, receiver) = PeerLinks::channel();
        // Queued before the link is added, so that only updates of later events follow. The queue is new and
        // not full.
        let _ = sender.try_send(line + "\n");
        info!("sending the state to a new process of this gateway");
        self.exchange(peer, sender, receiver).await;
    }

    /// Exchanges updates until the other process exits or the connection fails.
    async fn exchange(
        self: Rc<Self>,
        peer: PeerConnection,
        sender: PeerSender,
        receiver: mpsc::Receiver<String>,
    ) {
        let links = &self.engine.peer_links;
        links.add(sender.clone());
        (self.on_shared)(true);
        tokio::select! {
            () = write_updates(peer.writer, receiver) => {}
            () = self.read_updates(peer.reader) => {}
        }
        links.remove(&sender);
        if !links.has_peers() {
            self.engine.post(Event::PeerProcess(PeerProcessEvent::Exited));
            (self.on_shared)(false);
        }
        info!("the other process is gone");
    }

    /// Applies the other process's updates until its connection ends or an update cannot be parsed.
    async fn read_updates(&self, mut reader: BufReader<OwnedReadHalf>) {
        while let Ok(line) = read_line(&mut reader, MAX_UPDATE_BYTES).await {
            match serde_json::from_str(&line) {
                Ok(PeerUpdate::Process(event)) => self.engine.post(Event::PeerProcess(event)),
                Ok(PeerUpdate::Change(change)) => {
                    // Only one of the two processes may have listed the server. The one that received the
                    // command reports an unknown server.
                    let _ = self.operations.apply(&change);
                }
                Err(_) => return,
            }
        }
    }
}

/// Writes queued lines until the connection fails.
async fn write_updates(mut writer: OwnedWriteHalf, mut lines: mpsc::Receiver<String>) {
    while let Some(line) = lines.recv().await {
        if writer.write_all(line.as_bytes()).await.is_err() {
            return;
        }
    }
}
