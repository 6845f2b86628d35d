//! Asks of cells, each on its way at most once, and what came of them.

use marblecroft_control_messages::frame::{decode, encode, Fleet, Header, HEADER_BYTES};
use marblecroft_shard_map::cell::{CellReply, CellRequest};
use marblecroft_shard_map::moves::CellOperation;
use marblecroft_shard_map::owner::Answer;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// One ask is waited for this long; it is asked again as long as the map wants it.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Asks that are on their way at once.
const MAX_CONCURRENT_REQUESTS: usize = 64;
/// Between two tries of an ask that is not at its end, or that found nobody.
const AGAIN: Duration = Duration::from_millis(20);

/// Connections to cells, one kept for each that is idle.
pub struct Cells {
    fleet: Fleet,
    at: BTreeMap<u32, SocketAddr>,
    links: RefCell<BTreeMap<u32, TcpStream>>,
    in_flight: RefCell<BTreeSet<CellOperation>>,
    replies: RefCell<Vec<Answer>>,
    /// Something was answered.
    pub answered: Notify,
    pub failed: Cell<u64>,
    /// Asks that a cell refused, as a higher token had asked it.
    pub fenced: Cell<u64>,
}

impl Cells {
    pub fn new(fleet: Fleet, at: BTreeMap<u32, SocketAddr>) -> Rc<Cells> {
        Rc::new(Cells {
            fleet,
            at,
            links: RefCell::default(),
            in_flight: RefCell::default(),
            replies: RefCell::default(),
            answered: Notify::new(),
            failed: Cell::new(0),
            fenced: Cell::new(0),
        })
    }

    /// What has been answered since it was last asked for.
    pub fn take_replies(&self) -> Vec<Answer> {
        std::mem::take(&mut self.replies.borrow_mut())
    }

    /// Asks, unless the same is on its way.
    pub fn request(self: &Rc<Self>, token: u64, ask: CellOperation) {
        let mut out = self.in_flight.borrow_mut();
        if out.len() >= MAX_CONCURRENT_REQUESTS || !out.insert(ask) {
            return;
        }
        drop(out);
        let cells = self.clone();
        spawn_local(async move {
            match timeout(REQUEST_TIMEOUT, cells.exchange(token, ask)).await {
                Ok(Ok(CellReply::Done)) => cells.replies.borrow_mut().push(match ask {
                    CellOperation::Close { range, epoch, .. } => Answer::Shut(range.0, epoch),
                    CellOperation::Copy { range, epoch, .. } => Answer::Copied(range.0, epoch),
                    CellOperation::Open { range, epoch, .. } => Answer::Opened(range.0, epoch),
                }),
                Ok(Ok(CellReply::InProgress)) => tokio::time::sleep(AGAIN).await,
                Ok(Ok(CellReply::Fenced { .. })) => {
                    cells.fenced.set(cells.fenced.get() + 1);
                    tokio::time::sleep(REQUEST_TIMEOUT).await;
                }
                // Another epoch is due there: the map that is published next says which, or another owner's does.
                Ok(Ok(CellReply::Higher)) => tokio::time::sleep(REQUEST_TIMEOUT).await,
                Ok(Err(_)) | Err(_) => {
                    cells.failed.set(cells.failed.get() + 1);
                    tokio::time::sleep(AGAIN).await;
                }
            }
            cells.in_flight.borrow_mut().remove(&ask);
            cells.answered.notify_one();
        });
    }

    async fn exchange(&self, token: u64, ask: CellOperation) -> io::Result<CellReply> {
        let cell = ask.cell();
        let kept = self.links.borrow_mut().remove(&cell);
        let mut link = match kept {
            Some(link) => link,
            None => {
                let addr = self.at.get(&cell).ok_or_else(|| io::Error::other("no such cell"))?;
                TcpStream::connect(addr).await?
            }
        };
        let bytes = encode(self.fleet, &CellRequest { token, operation: ask })
            .ok_or_else(|| io::Error::other("too long"))?;
        link.write_all(&bytes).await?;
        let said = read_said(self.fleet, &mut link).await?;
        self.links.borrow_mut().insert(cell, link);
        Ok(said)
    }
}

async fn read_said(fleet: Fleet, link: &mut TcpStream) -> io::Result<CellReply> {
    let strange = |why| io::Error::other(format!("a cell says what is no answer: {why}"));
    let mut bytes = vec![0; HEADER_BYTES];
    link.read_exact(&mut bytes).await?;
    let length = Header::read(fleet, &bytes).map_err(strange)?.payload_bytes;
    bytes.resize(HEADER_BYTES + length, 0);
    link.read_exact(&mut bytes[HEADER_BYTES..]).await?;
    decode::<CellReply>(fleet, &bytes).map_err(strange)
}
