//! Asks of cells, each on its way at most once, and what came of them.

use marblecroft_control_messages::frame::{decode, encode, Fleet, Head, HEAD};
use marblecroft_shard_map::cell::{Asked, Said};
use marblecroft_shard_map::moves::Ask;
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
const ASK: Duration = Duration::from_secs(1);
/// Asks that are on their way at once.
const ASKS_MOST: usize = 64;
/// Between two tries of an ask that is not at its end, or that found nobody.
const AGAIN: Duration = Duration::from_millis(20);

/// Connections to cells, one kept for each that is idle.
pub struct Cells {
    fleet: Fleet,
    at: BTreeMap<u32, SocketAddr>,
    links: RefCell<BTreeMap<u32, TcpStream>>,
    out: RefCell<BTreeSet<Ask>>,
    answers: RefCell<Vec<Answer>>,
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
            out: RefCell::default(),
            answers: RefCell::default(),
            answered: Notify::new(),
            failed: Cell::new(0),
            fenced: Cell::new(0),
        })
    }

    /// What has been answered since it was last asked for.
    pub fn answers(&self) -> Vec<Answer> {
        std::mem::take(&mut self.answers.borrow_mut())
    }

    /// Asks, unless the same is on its way.
    pub fn ask(self: &Rc<Self>, token: u64, ask: Ask) {
        let mut out = self.out.borrow_mut();
        if out.len() >= ASKS_MOST || !out.insert(ask) {
            return;
        }
        drop(out);
        let cells = self.clone();
        spawn_local(async move {
            match timeout(ASK, cells.exchange(token, ask)).await {
                Ok(Ok(Said::Done)) => cells.answers.borrow_mut().push(match ask {
                    Ask::Shut { range, epoch, .. } => Answer::Shut(range.0, epoch),
                    Ask::Copy { range, epoch, .. } => Answer::Copied(range.0, epoch),
                    Ask::Open { range, epoch, .. } => Answer::Opened(range.0, epoch),
                }),
                Ok(Ok(Said::NotYet)) => tokio::time::sleep(AGAIN).await,
                Ok(Ok(Said::Fenced { .. })) => {
                    cells.fenced.set(cells.fenced.get() + 1);
                    tokio::time::sleep(ASK).await;
                }
                // Another epoch is due there: the map that is published next says which, or another owner's does.
                Ok(Ok(Said::Higher)) => tokio::time::sleep(ASK).await,
                Ok(Err(_)) | Err(_) => {
                    cells.failed.set(cells.failed.get() + 1);
                    tokio::time::sleep(AGAIN).await;
                }
            }
            cells.out.borrow_mut().remove(&ask);
            cells.answered.notify_one();
        });
    }

    async fn exchange(&self, token: u64, ask: Ask) -> io::Result<Said> {
        let cell = ask.cell();
        let kept = self.links.borrow_mut().remove(&cell);
        let mut link = match kept {
            Some(link) => link,
            None => {
                let addr = self.at.get(&cell).ok_or_else(|| io::Error::other("no such cell"))?;
                TcpStream::connect(addr).await?
            }
        };
        let bytes = encode(self.fleet, &Asked { token, ask }).ok_or_else(|| io::Error::other("too long"))?;
        link.write_all(&bytes).await?;
        let said = read_said(self.fleet, &mut link).await?;
        self.links.borrow_mut().insert(cell, link);
        Ok(said)
    }
}

async fn read_said(fleet: Fleet, link: &mut TcpStream) -> io::Result<Said> {
    let strange = |why| io::Error::other(format!("a cell says what is no answer: {why}"));
    let mut bytes = vec![0; HEAD];
    link.read_exact(&mut bytes).await?;
    let length = Head::read(fleet, &bytes).map_err(strange)?.length;
    bytes.resize(HEAD + length, 0);
    link.read_exact(&mut bytes[HEAD..]).await?;
    decode::<Said>(fleet, &bytes).map_err(strange)
}
