//! Receives the reports of gateways. Each gateway has one persistent connection, on which it sends a sequence
//! of frames without replies.

use marblecroft_control_messages::frame::{decode, DecodeError, Fleet, Header, HEADER_BYTES};
use marblecroft_control_messages::report::Report;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{self, error::TrySendError};
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Time after which a connection without a report is closed. A gateway reports once per second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of reports in the queue of one role. Further reports are dropped, because the next report
/// of the same gateway replaces them.
pub const MAX_QUEUED_REPORTS: usize = 8192;

/// Dispatches reports to the roles that this process owns, and counts them.
pub struct Reports {
    fleet: Fleet,
    subscribers: RefCell<BTreeMap<String, mpsc::Sender<Rc<Report>>>>,
    /// The number of open connections.
    pub connections: Cell<u64>,
    /// The number of reports that were received and decoded.
    pub received: Cell<u64>,
    /// The number of reports that were dropped because the queue of a role was full.
    pub dropped: Cell<u64>,
    /// The number of rejected reports, by cause.
    pub rejected: RefCell<BTreeMap<DecodeError, u64>>,
    /// Total size of all complete frames, in bytes.
    pub bytes: Cell<u64>,
}

impl Reports {
    /// Creates a dispatcher for the reports of one fleet, without subscribers.
    pub fn new(fleet: Fleet) -> Rc<Reports> {
        Rc::new(Reports {
            fleet,
            subscribers: RefCell::default(),
            connections: Cell::new(0),
            received: Cell::new(0),
            dropped: Cell::new(0),
            rejected: RefCell::default(),
            bytes: Cell::new(0),
        })
    }

    /// Subscribes a role to all reports received from now on, until it drops the receiver or subscribes
    /// again.
    pub fn subscribe(&self, role: &str) -> mpsc::Receiver<Rc<Report>> {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_REPORTS);
        self.subscribers.borrow_mut().insert(role.to_owned(), sender);
        receiver
    }

    /// Counts a rejected report.
    pub fn reject(&self, cause: DecodeError) {
        *self.rejected.borrow_mut().entry(cause).or_default() += 1;
    }

    fn dispatch(&self, report: Report) {
        self.received.set(self.received.get() + 1);
        let report = Rc::new(report);
        self.subscribers.borrow_mut().retain(|_, subscriber| match subscriber.try_send(report.clone()) {
            Ok(()) => true,
            Err(TrySendError::Full(_)) => {
                self.dropped.set(self.dropped.get() + 1);
                true
            }
            Err(TrySendError::Closed(_)) => false,
        });
    }

    /// Accepts connections until the future is dropped. Connections beyond `max_connections` are closed
    /// immediately, and the gateways retry.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, max_connections: usize) {
        let permits = Arc::new(Semaphore::new(max_connections));
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let Ok(permit) = permits.clone().try_acquire_owned() else { continue };
            let reports = self.clone();
            spawn_local(async move {
                reports.connections.set(reports.connections.get() + 1);
                reports.read_all(stream).await;
                reports.connections.set(reports.connections.get() - 1);
                drop(permit);
            });
        }
    }

    /// Reads reports until the connection is closed or idle, or a frame has an invalid header, so that its
    /// end is unknown.
    async fn read_all(&self, mut stream: TcpStream) {
        loop {
            let mut bytes = vec![0; HEADER_BYTES];
            // Closing the connection between two frames is not an error.
            let Ok(()) = read_exact(&mut stream, &mut bytes).await else { return };
            let payload_bytes = match Header::read(self.fleet, &bytes) {
                Ok(header) => header.payload_bytes,
                Err(cause) => return self.reject(cause),
            };
            bytes.resize(HEADER_BYTES + payload_bytes, 0);
            let Ok(()) = read_exact(&mut stream, &mut bytes[HEADER_BYTES..]).await else {
                return self.reject(DecodeError::Truncated);
            };
            self.bytes.set(self.bytes.get() + bytes.len() as u64);
            match decode::<Report>(self.fleet, &bytes) {
                Ok(report) => self.dispatch(report),
                // The end of the frame is known, so the next one can be read.
                Err(cause) => self.reject(cause),
            }
        }
    }
}

/// The connection was closed or idle before the buffer was full.
struct ConnectionEnded;

async fn read_exact(stream: &mut TcpStream, buffer: &mut [u8]) -> Result<(), ConnectionEnded> {
    match timeout(IDLE_TIMEOUT, stream.read_exact(buffer)).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(_)) | Err(_) => Err(ConnectionEnded),
    }
}
