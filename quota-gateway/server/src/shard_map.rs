//! The book map at the gateway: where a firm's pay runs are written, asked at the last moment before each write. Only where the
//! configuration names it; without it nothing of this is there.

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use marblecroft_control_messages::published::{Acceptance, Decision, DecisionReader, Stamp};
use marblecroft_quota_gateway_core::{Lifecycle, Placement, Scope, ServerId, ServerInfo};
use marblecroft_shard_map::map::{Epoch, Firm, ShardMap};
use marblecroft_shard_map::ticket::{NotNow, Ticket};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::timeout;

/// What a pay run is written under; pay servers that know nothing of books pass it over.
pub const EPOCH: HeaderName = HeaderName::from_static("x-book-epoch");
/// With `X-Never-Ran`: written under another epoch than the cell's, and which one is due there (0: none of this range).
const DUE: HeaderName = HeaderName::from_static("x-book-due");
/// A newer map is waited for this long before its attempt is told to have ended: a move's pause, as cells that fence have it. What
/// is left of the request's time bounds it further.
pub const MAX_MAP_UPDATE_WAIT: Duration = Duration::from_millis(300);

/// What is known of books here.
pub struct ShardRouting {
    map: RefCell<DecisionReader<ShardMap>>,
    cells: RefCell<BTreeMap<ServerId, u32>>,
    started_at: Instant,
    changed: Notify,
    /// Writes that a cell turned away as they were under another epoch, and writes that found no ticket.
    pub rejected_by_cell: Cell<u64>,
    pub held_back: Cell<u64>,
}

impl ShardRouting {
    pub fn new(begun: Instant) -> Rc<ShardRouting> {
        Rc::new(ShardRouting {
            map: RefCell::default(),
            cells: RefCell::default(),
            started_at: begun,
            changed: Notify::new(),
            rejected_by_cell: Cell::new(0),
            held_back: Cell::new(0),
        })
    }

    /// A map was read; `asked`: an instant, since `begun`, before the question left.
    pub fn install(&self, asked: Duration, decision: Decision<ShardMap>) -> Acceptance {
        let taken = self.map.borrow_mut().accept(asked, decision);
        if taken == Acceptance::New {
            self.changed.notify_waiters();
        }
        taken
    }

    pub fn stamp(&self) -> Option<Stamp> {
        self.map.borrow().stamp()
    }

    /// Follows the list: which cell each server is of.
    pub fn on_server_list(&self, scope: Scope, servers: &[ServerInfo]) {
        let mut cells = self.cells.borrow_mut();
        if scope == Scope::Full {
            cells.clear();
        }
        for server in servers {
            match server.lifecycle {
                Lifecycle::Gone => drop(cells.remove(&server.id)),
                _ => drop(cells.insert(server.id, server.cell)),
            }
        }
    }

    fn ticket(&self, firm: Firm) -> Result<Ticket, NotNow> {
        Ticket::acquire(self.started_at.elapsed(), &self.map.borrow(), firm)
    }

    /// Where a firm's pay run goes, as far as can be said when it arrives.
    pub fn placement(&self, firm: Firm) -> Placement {
        match self.ticket(firm) {
            Ok(ticket) => Placement::Cell(ticket.cell()),
            Err(why) => {
                self.held_back.set(self.held_back.get() + 1);
                Placement::Unavailable { retry_after: why.retry_after() }
            }
        }
    }

    /// The epoch to write under at a server, at this moment; none where nothing may be written there now.
    pub fn epoch(&self, firm: Firm, server: ServerId) -> Option<HeaderValue> {
        let ticket = self.ticket(firm).ok()?;
        let (cell, epoch) = ticket.write(self.started_at.elapsed())?;
        let there = self.cells.borrow().get(&server) == Some(&cell);
        there.then(|| HeaderValue::from(epoch)).or_else(|| {
            self.held_back.set(self.held_back.get() + 1);
            None
        })
    }

    /// Whether a cell turned a write away as it was under another epoch; the one that is due there.
    pub fn epoch_due(&self, headers: &HeaderMap) -> Option<Epoch> {
        let due = headers.get(DUE)?.to_str().ok()?.parse().ok()?;
        self.rejected_by_cell.set(self.rejected_by_cell.get() + 1);
        Some(due)
    }

    /// The cell of a firm's book, once this gateway goes by a map by which it may be written there: a map that is newer than the
    /// one by which a write has just been turned away is on its way here.
    pub async fn wait_for_move(&self, firm: Firm, most: Duration) -> Option<u32> {
        let before = self.stamp();
        let newer = async {
            loop {
                let changed = self.changed.notified();
                match self.ticket(firm) {
                    Ok(ticket) if self.stamp() > before => return ticket.cell(),
                    _ => changed.await,
                }
            }
        };
        timeout(most, newer).await.ok()
    }
}
