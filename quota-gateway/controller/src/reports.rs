//! Gateways' reports: one kept connection from each, frames one behind another, nothing is answered.

use marblecroft_control_messages::frame::{decode, DecodeError, Fleet, Header, HEADER_BYTES};
use marblecroft_control_messages::report::Report;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// A gateway reports once a second; one that says nothing for this long has gone without a word, and its place is wanted.
const GATEWAY_TTL: Duration = Duration::from_secs(30);
/// Reports that wait for one duty's turn; what comes beyond is dropped, as the next one of its gateway says the same or newer.
pub const WAITING: usize = 8192;

/// Takes reports for whichever duties are owned here.
pub struct Reports {
    fleet: Fleet,
    to: RefCell<BTreeMap<String, mpsc::Sender<Rc<Report>>>>,
    pub connections: Cell<u64>,
    pub come: Cell<u64>,
    pub dropped: Cell<u64>,
    pub refused: RefCell<BTreeMap<DecodeError, u64>>,
    pub bytes: Cell<u64>,
}

impl Reports {
    pub fn new(fleet: Fleet) -> Rc<Reports> {
        Rc::new(Reports {
            fleet,
            to: RefCell::default(),
            connections: Cell::new(0),
            come: Cell::new(0),
            dropped: Cell::new(0),
            refused: RefCell::default(),
            bytes: Cell::new(0),
        })
    }

    /// From now on reports go to this duty's work as well.
    pub fn subscribe(&self, duty: &str) -> mpsc::Receiver<Rc<Report>> {
        let (to, reports) = mpsc::channel(WAITING);
        self.to.borrow_mut().insert(duty.to_owned(), to);
        reports
    }

    pub fn refuse(&self, why: DecodeError) {
        *self.refused.borrow_mut().entry(why).or_default() += 1;
    }

    fn take(&self, report: Report) {
        self.come.set(self.come.get() + 1);
        let report = Rc::new(report);
        self.to.borrow_mut().retain(|_, to| match to.try_send(report.clone()) {
            Ok(()) => true,
            Err(mpsc::error::TrySendError::Full(_)) => {
                self.dropped.set(self.dropped.get() + 1);
                true
            }
            // Its work has ended.
            Err(mpsc::error::TrySendError::Closed(_)) => false,
        });
    }

    /// Accepts until dropped.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, most: usize) {
        let places = std::sync::Arc::new(Semaphore::new(most));
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            // With no place left the connection ends, and its gateway comes again.
            let Ok(place) = places.clone().try_acquire_owned() else { continue };
            let reports = self.clone();
            spawn_local(async move {
                reports.connections.set(reports.connections.get() + 1);
                reports.hear(stream).await;
                reports.connections.set(reports.connections.get() - 1);
                drop(place);
            });
        }
    }

    /// Reads until the connection ends, falls silent, or says something that cannot be read on from.
    async fn hear(&self, mut stream: TcpStream) {
        loop {
            let mut bytes = vec![0; HEADER_BYTES];
            match timeout(GATEWAY_TTL, stream.read_exact(&mut bytes)).await {
                Ok(Ok(_)) => {}
                _ => return,
            }
            let length = match Header::read(self.fleet, &bytes) {
                Ok(head) => head.payload_bytes,
                Err(why) => return self.refuse(why),
            };
            bytes.resize(HEADER_BYTES + length, 0);
            match timeout(GATEWAY_TTL, stream.read_exact(&mut bytes[HEADER_BYTES..])).await {
                Ok(Ok(_)) => {}
                _ => return self.refuse(DecodeError::Truncated),
            }
            self.bytes.set(self.bytes.get() + bytes.len() as u64);
            match decode::<Report>(self.fleet, &bytes) {
                Ok(report) => self.take(report),
                // Its end is known, so what comes next can be read.
                Err(why) => self.refuse(why),
            }
        }
    }
}
