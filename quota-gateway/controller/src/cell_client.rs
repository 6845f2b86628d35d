//! Requests to cells, each in flight at most once, and their answers.

use marblecroft_control_messages::frame::{decode, encode, Fleet, Header, HEADER_BYTES};
use marblecroft_shard_map::cell::{CellReply, CellRequest};
use marblecroft_shard_map::map::Cell;
use marblecroft_shard_map::migration::CellOperation;
use marblecroft_shard_map::owner::CellAnswer;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// How long one request may take. The role repeats it while the map needs it.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// The largest number of requests in flight.
const MAX_CONCURRENT_REQUESTS: usize = 64;
/// How long a request is not repeated after one that is in progress, or that failed.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// How long a request is not repeated after one that was rejected: the next map, or another owner's, decides.
const REJECTED_DELAY: Duration = Duration::from_secs(1);

/// A client of all cells, with one idle connection for each.
pub struct CellClient {
    fleet: Fleet,
    addresses: BTreeMap<Cell, SocketAddr>,
    idle: RefCell<BTreeMap<Cell, TcpStream>>,
    in_flight: RefCell<BTreeSet<CellOperation>>,
    answers: RefCell<Vec<CellAnswer>>,
    replied: Notify,
}

impl CellClient {
    /// Creates a client without connections.
    pub fn new(fleet: Fleet, addresses: BTreeMap<Cell, SocketAddr>) -> Rc<CellClient> {
        Rc::new(CellClient {
            fleet,
            addresses,
            idle: RefCell::default(),
            in_flight: RefCell::default(),
            answers: RefCell::default(),
            replied: Notify::new(),
        })
    }

    /// Returns the answers since the last call.
    pub fn take_answers(&self) -> Vec<CellAnswer> {
        std::mem::take(&mut self.answers.borrow_mut())
    }

    /// Waits until a request has ended, with or without an answer.
    pub async fn replied(&self) {
        self.replied.notified().await;
    }

    /// Requests an operation under the owner's token, unless it is in flight or too many are.
    pub fn request(self: &Rc<Self>, token: u64, operation: CellOperation) {
        {
            let mut in_flight = self.in_flight.borrow_mut();
            if in_flight.len() >= MAX_CONCURRENT_REQUESTS || !in_flight.insert(operation) {
                return;
            }
        }
        let client = self.clone();
        spawn_local(async move {
            client.carry_out(token, operation).await;
            client.in_flight.borrow_mut().remove(&operation);
            client.replied.notify_one();
        });
    }

    /// Sends a request and stores its answer; without one it returns only after the delay before the next attempt.
    async fn carry_out(&self, token: u64, operation: CellOperation) {
        match timeout(REQUEST_TIMEOUT, self.exchange(token, operation)).await {
            Ok(Ok(CellReply::Done)) => self.answers.borrow_mut().push(answer(operation)),
            Ok(Ok(CellReply::Fenced { .. } | CellReply::Higher)) => sleep(REJECTED_DELAY).await,
            Ok(Ok(CellReply::InProgress) | Err(_)) | Err(_) => sleep(RETRY_DELAY).await,
        }
    }

    /// Sends a request and reads its reply. The cause of a failure does not matter to the caller, who repeats the request.
    async fn exchange(&self, token: u64, operation: CellOperation) -> io::Result<CellReply> {
        let cell = operation.cell();
        let idle = self.idle.borrow_mut().remove(&cell);
        let mut stream = match idle {
            Some(stream) => stream,
            None => self.connect(cell).await?,
        };
        let request = encode(self.fleet, &CellRequest { token, operation });
        let request = request.ok_or_else(|| io::Error::other("the request is too long for a frame"))?;
        stream.write_all(&request).await?;
        let reply = read_reply(self.fleet, &mut stream).await?;
        self.idle.borrow_mut().insert(cell, stream);
        Ok(reply)
    }

    async fn connect(&self, cell: Cell) -> io::Result<TcpStream> {
        let address = self.addresses.get(&cell).ok_or_else(|| io::Error::other("no address of the cell"))?;
        TcpStream::connect(address).await
    }
}

/// The acknowledgement of an operation.
fn answer(operation: CellOperation) -> CellAnswer {
    let ((first, _), epoch) = (operation.range(), operation.epoch());
    match operation {
        CellOperation::Close { .. } => CellAnswer::Closed(first, epoch),
        CellOperation::Copy { .. } => CellAnswer::Copied(first, epoch),
        CellOperation::Open { .. } => CellAnswer::Opened(first, epoch),
    }
}

async fn read_reply(fleet: Fleet, stream: &mut TcpStream) -> io::Result<CellReply> {
    let mut bytes = vec![0; HEADER_BYTES];
    stream.read_exact(&mut bytes).await?;
    let payload_bytes = Header::read(fleet, &bytes).map_err(io::Error::other)?.payload_bytes;
    bytes.resize(HEADER_BYTES + payload_bytes, 0);
    stream.read_exact(&mut bytes[HEADER_BYTES..]).await?;
    decode::<CellReply>(fleet, &bytes).map_err(io::Error::other)
}
