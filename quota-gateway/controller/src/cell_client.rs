//! Client for requests to cells. Each operation has at most one request in flight.

use marblecroft_control_messages::frame::{decode, encode, Fleet, Header, HEADER_BYTES};
use marblecroft_shard_map::cell::{CellReply, CellRequest};
use marblecroft_shard_map::map::Cell;
use marblecroft_shard_map::migration::CellOperation;
use marblecroft_shard_map::owner::CellAcknowledgement;
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

/// Timeout of one request. The role repeats the request as long as the shard map needs the operation.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of requests in flight.
const MAX_CONCURRENT_REQUESTS: usize = 64;
/// Delay before an operation is requested again if it is still in progress at the cell, or the request
/// failed.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Delay before an operation is requested again if the cell rejected it. By then there may be a newer shard
/// map, possibly from another owner, that does not need the operation.
const REJECTED_DELAY: Duration = Duration::from_secs(1);

/// A client of all cells, with at most one idle connection per cell.
pub struct CellClient {
    fleet: Fleet,
    addresses: BTreeMap<Cell, SocketAddr>,
    idle: RefCell<BTreeMap<Cell, TcpStream>>,
    in_flight: RefCell<BTreeSet<CellOperation>>,
    acknowledgements: RefCell<Vec<CellAcknowledgement>>,
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
            acknowledgements: RefCell::default(),
            replied: Notify::new(),
        })
    }

    /// Returns the acknowledgements received since the last call.
    pub fn take_acknowledgements(&self) -> Vec<CellAcknowledgement> {
        std::mem::take(&mut self.acknowledgements.borrow_mut())
    }

    /// Waits until a request has ended, with or without a reply.
    pub async fn replied(&self) {
        self.replied.notified().await;
    }

    /// Requests an operation under the owner's fencing token, unless the operation is already in flight or
    /// the maximum number of requests is reached.
    pub fn request(self: &Rc<Self>, token: u64, operation: CellOperation) {
        {
            let mut in_flight = self.in_flight.borrow_mut();
            if in_flight.len() >= MAX_CONCURRENT_REQUESTS || !in_flight.insert(operation) {
                return;
            }
        }
        let client = self.clone();
        spawn_local(async move {
            client.execute(token, operation).await;
            client.in_flight.borrow_mut().remove(&operation);
            client.replied.notify_one();
        });
    }

    /// Sends a request and stores the acknowledgement. If there is none, returns only after the delay before
    /// the next attempt.
    async fn execute(&self, token: u64, operation: CellOperation) {
        match timeout(REQUEST_TIMEOUT, self.exchange(token, operation)).await {
            Ok(Ok(CellReply::Done)) => self.acknowledgements.borrow_mut().push(acknowledgement(operation)),
            Ok(Ok(CellReply::Fenced { .. } | CellReply::Higher)) => sleep(REJECTED_DELAY).await,
            Ok(Ok(CellReply::InProgress) | Err(_)) | Err(_) => sleep(RETRY_DELAY).await,
        }
    }

    /// Sends a request and reads its reply. The caller does not distinguish causes of failure, because it
    /// retries after each of them.
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
        let address = self
            .addresses
            .get(&cell)
            .ok_or_else(|| io::Error::other("the cell has no configured address"))?;
        TcpStream::connect(address).await
    }
}

/// Returns the acknowledgement of an operation.
fn acknowledgement(operation: CellOperation) -> CellAcknowledgement {
    let ((first, _), epoch) = (operation.range(), operation.epoch());
    match operation {
        CellOperation::Close { .. } => CellAcknowledgement::Closed(first, epoch),
        CellOperation::Copy { .. } => CellAcknowledgement::Copied(first, epoch),
        CellOperation::Open { .. } => CellAcknowledgement::Opened(first, epoch),
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
