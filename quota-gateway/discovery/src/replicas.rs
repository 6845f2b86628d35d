//! Several processes of one store: one that writes, others that follow it, and who is which.
//!
//! There is no vote: operators say who writes, by a promotion with an epoch higher than all before. What is seen to here is
//! that one of a lower epoch writes no more, and that nobody tells a list that is older than stated.

use crate::config::Config;
use crate::service::Service;
use marblecroft_discovery::http::{self, No, Replica, Replicated};
use marblecroft_discovery::store::Store;
use serde::de::DeserializeOwned;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};
use tracing::{info, warn};

/// Peers are asked so often ...
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// ... and have this long to answer; a replica's call that waits has as much beside its wait.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// A replica's call waits for changes for so long, and is in step as of its answer.
const WAIT: Duration = Duration::from_millis(500);
/// Pause after a call that failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// The longest answer: an image, which holds the list, those gone and the history.
const ANSWER_LONGEST: u64 = 4 << 20;

/// What this process does.
pub enum Role {
    Writes {
        /// Another one does, under this epoch.
        superseded: Option<u64>,
        /// All peers have said that none of them is at a higher epoch, or operators have promoted this one.
        confirmed: bool,
        /// When each peer was last heard of.
        heard: Vec<Option<Instant>>,
    },
    Follows {
        writer: SocketAddr,
        /// When it last had all that the one that writes had.
        in_step: Option<Instant>,
    },
}

impl Role {
    pub fn at_start(config: &Config, store: &Store) -> Role {
        match config.follow {
            Some(writer) if !store.promoted() => Role::Follows { writer, in_step: None },
            _ => Role::Writes {
                superseded: None,
                confirmed: config.peers.is_empty(),
                heard: vec![None; config.peers.len()],
            },
        }
    }

    /// Operators have just made it the one that writes. Its peers count as heard of: they are given their time.
    pub fn promoted(config: &Config) -> Role {
        let heard = vec![Some(Instant::now()); config.peers.len()];
        Role::Writes { superseded: None, confirmed: true, heard }
    }

    pub fn writes(&self) -> bool {
        matches!(self, Role::Writes { .. })
    }

    pub fn name(&self) -> &'static str {
        match self {
            Role::Writes { superseded: Some(_), .. } => "superseded",
            Role::Writes { confirmed: false, .. } => "unconfirmed",
            Role::Writes { .. } => "writes",
            Role::Follows { .. } => "follows",
        }
    }

    /// How far behind a replica may be.
    pub fn lag(&self) -> Option<Duration> {
        match self {
            Role::Writes { .. } => None,
            Role::Follows { in_step, .. } => Some(in_step.map_or(Duration::MAX, |at| at.elapsed())),
        }
    }

    /// Whether lists are told.
    pub fn serves(&self, config: &Config, store: &Store) -> Result<(), No> {
        let why = match self {
            Role::Writes { superseded: Some(_), .. } => "another process writes this store",
            Role::Writes { confirmed: false, .. } => "not every peer has said that none of them writes",
            Role::Writes { .. } => return Ok(()),
            Role::Follows { .. } if store.origin() == 0 => "nothing was taken over yet",
            Role::Follows { .. } if self.lag() > Some(Duration::from_millis(config.stale_ms)) => {
                "too far behind the process that writes"
            }
            Role::Follows { .. } => return Ok(()),
        };
        Err(No::busy(why))
    }

    /// Whether changes are made.
    pub fn may_write(&self, config: &Config) -> Result<(), No> {
        let Role::Writes { superseded, confirmed, heard } = self else {
            return Err(No::busy("this process follows another, which writes"));
        };
        if let Some(epoch) = superseded {
            return Err(No::busy(&format!("another process writes this store, under epoch {epoch}")));
        }
        if !confirmed {
            return Err(No::busy("not every peer has said that none of them writes"));
        }
        let within = Duration::from_millis(config.stale_ms);
        let near = heard.iter().filter(|at| at.is_some_and(|at| at.elapsed() <= within)).count();
        if near * 2 < heard.len() {
            return Err(No::busy("fewer than half of the peers are heard of, and another process may write"));
        }
        Ok(())
    }

    /// Another process is at a higher epoch.
    pub fn superseded(&mut self, config: &Config, epoch: u64) {
        if let Role::Writes { superseded, .. } = self {
            if superseded.replace(epoch) != Some(epoch) {
                warn!(epoch, "superseded: another process writes under epoch {epoch}");
            }
            if let Some(writer) = config.follow {
                *self = Role::Follows { writer, in_step: None };
            }
        }
    }

    /// A peer was heard of, at no higher epoch.
    fn heard(&mut self, peer: usize) {
        if let Role::Writes { confirmed, heard, .. } = self {
            heard[peer] = Some(Instant::now());
            if !*confirmed && heard.iter().all(Option::is_some) {
                *confirmed = true;
                info!("confirmed: no peer is at a higher epoch");
            }
        }
    }
}

/// One call to another process.
async fn call_peer<T: DeserializeOwned>(
    addr: SocketAddr,
    call: &[u8],
    within: Duration,
) -> Result<T, String> {
    let asking = async {
        let mut stream = TcpStream::connect(addr).await?;
        stream.write_all(call).await?;
        let mut answer = Vec::new();
        stream.take(ANSWER_LONGEST).read_to_end(&mut answer).await?;
        io::Result::Ok(answer)
    };
    let answer = timeout(within, asking).await.map_err(|_| "no answer".to_owned())?;
    let answer = answer.map_err(|e| e.to_string())?;
    serde_json::from_slice(http::answered(&answer)?)
        .map_err(|e| format!("an answer that cannot be read: {e}"))
}

/// Asks peers and follows the one that writes, for good; nothing where there are no others.
pub fn begin(service: &Rc<Service>) {
    for (number, peer) in service.config.peers.iter().copied().enumerate() {
        let service = service.clone();
        spawn_local(async move { watch(&service, number, peer).await });
    }
    if service.config.follow.is_some() {
        let service = service.clone();
        spawn_local(async move { follow(&service).await });
    }
}

/// Asks a peer for its epoch.
async fn watch(service: &Service, number: usize, peer: SocketAddr) {
    let call = http::call("GET", "/discovery/status", b"");
    loop {
        if let Ok(status) = call_peer::<serde_json::Value>(peer, &call, REPLY_TIMEOUT).await {
            if let Some(epoch) = status["epoch"].as_u64() {
                service.heard_of(epoch);
                if epoch <= service.store.borrow().epoch() {
                    service.role.borrow_mut().heard(number);
                }
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Takes over what the one that writes has, while this one follows.
async fn follow(service: &Service) {
    let mut quiet = false;
    loop {
        let writer = match *service.role.borrow() {
            Role::Follows { writer, .. } => Some(writer),
            Role::Writes { .. } => None,
        };
        let Some(writer) = writer else {
            // Promoted; it may be superseded again.
            sleep(POLL_INTERVAL).await;
            continue;
        };
        let replica = {
            let store = service.store.borrow();
            let wait_ms = u64::try_from(WAIT.as_millis()).unwrap_or(0);
            Replica { store: store.origin(), epoch: store.epoch(), version: store.version(), wait_ms }
        };
        let body = serde_json::to_vec(&replica).unwrap_or_default();
        let call = http::call("POST", "/discovery/records", &body);
        let asked = Instant::now();
        let told = call_peer::<Replicated>(writer, &call, WAIT + REPLY_TIMEOUT).await;
        match told.and_then(|told| service.replicate(told)) {
            Ok(()) => {
                if std::mem::replace(&mut quiet, false) {
                    info!(%writer, "follows {writer} again");
                }
                if let Role::Follows { in_step, .. } = &mut *service.role.borrow_mut() {
                    // What is told was so at the time of the call at the earliest.
                    *in_step = Some(asked);
                }
            }
            Err(e) => {
                // One line for a whole outage.
                if !std::mem::replace(&mut quiet, true) {
                    warn!(%writer, error = %e, "cannot follow {writer}: {e}");
                }
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
}
