//! The reports of gateways: one persistent connection from each, with a sequence of frames that are not answered.

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

/// How long a connection without a report is kept, as a gateway reports once a second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// How long to wait after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The largest number of reports in the queue of one role. Further ones are dropped, as the next report of their gateways
/// replaces them.
pub const MAX_QUEUED_REPORTS: usize = 8192;

/// Dispatches reports to the roles that are owned here, and counts them.
pub struct Reports {
    fleet: Fleet,
    subscribers: RefCell<BTreeMap<String, mpsc::Sender<Rc<Report>>>>,
    /// The number of open connections.
    pub connections: Cell<u64>,
    /// The number of reports that were received and decoded.
    pub received: Cell<u64>,
    /// The number of reports that found the queue of a role full.
    pub dropped: Cell<u64>,
    /// The number of reports that were rejected, by cause.
    pub rejected: RefCell<BTreeMap<DecodeError, u64>>,
    /// Bytes of all complete frames.
    pub bytes: Cell<u64>,
}

impl Reports {
    /// Creates a dispatcher of one fleet's reports without subscribers.
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

    /// Subscribes a role to all reports from now on, until it drops the receiver or subscribes again.
    pub fn subscribe(&self, role: &str) -> mpsc::Receiver<Rc<Report>> {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_REPORTS);
        self.subscribers.borrow_mut().insert(role.to_owned(), sender);
        receiver
    }

    /// Counts a report that was rejected.
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

    /// Accepts connections until it is dropped; those beyond `max_connections` are closed at once, and their gateways retry.
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

    /// Reads reports until the connection ends, is idle, or has a frame whose end is not known.
    async fn read_all(&self, mut stream: TcpStream) {
        loop {
            let mut bytes = vec![0; HEADER_BYTES];
            // An end between two frames is no error.
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

/// The connection ended or was idle before the buffer was full.
struct ConnectionEnded;

async fn read_exact(stream: &mut TcpStream, buffer: &mut [u8]) -> Result<(), ConnectionEnded> {
    match timeout(IDLE_TIMEOUT, stream.read_exact(buffer)).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(_)) | Err(_) => Err(ConnectionEnded),
    }
}
