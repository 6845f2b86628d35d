//! The shard map at the gateway: the cell that may write a firm's shard is checked immediately before each
//! write.
//!
//! A write carries the epoch of its shard, and a cell rejects a write with another epoch, so that a shard is
//! never written at two cells. Used only if the configuration enables it.

use crate::metric::Metric;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use marblecroft_control_messages::published::{Acceptance, Decision, DecisionReader, Stamp};
use marblecroft_quota_gateway_core::{Lifecycle, Placement, Scope, ServerId, ServerInfo};
use marblecroft_shard_map::map::{Epoch, Firm, ShardMap};
use marblecroft_shard_map::ticket::{Ticket, TicketError};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::timeout;

/// The header with the epoch of a write. Servers that do not use shards ignore it.
pub const EPOCH: HeaderName = HeaderName::from_static("x-book-epoch");
/// The header of a response to a write with another epoch than the cell requires: the required epoch. Set
/// together with `X-Never-Ran`. 0 means that the cell does not own the range.
const EPOCH_DUE: HeaderName = HeaderName::from_static("x-book-due");
/// How long an attempt waits for a newer map before it ends: the pause in writes during a migration, the same
/// as in cells that enforce fencing. The request's budget limits it further.
pub const MAX_MAP_UPDATE_WAIT: Duration = Duration::from_millis(300);

/// The shard map, and the cell of each server.
pub struct ShardRouting {
    map: RefCell<DecisionReader<ShardMap>>,
    cells: RefCell<BTreeMap<ServerId, u32>>,
    started_at: Instant,
    changed: Notify,
    /// The number of writes that a cell rejected because they had another epoch.
    rejected_by_cell: Cell<u64>,
    /// The number of writes that were not sent because their shard was not open at any cell, or not at the
    /// server's cell.
    withheld: Cell<u64>,
}

impl ShardRouting {
    /// Creates a routing without a map. Instants of [`ShardRouting::install`] are relative to `started_at`.
    pub fn new(started_at: Instant) -> Rc<ShardRouting> {
        Rc::new(ShardRouting {
            map: RefCell::default(),
            cells: RefCell::default(),
            started_at,
            changed: Notify::new(),
            rejected_by_cell: Cell::new(0),
            withheld: Cell::new(0),
        })
    }

    /// Installs a map that was read; `queried_at` is an instant before the query was sent, relative to the
    /// start.
    pub fn install(&self, queried_at: Duration, decision: Decision<ShardMap>) -> Acceptance {
        let acceptance = self.map.borrow_mut().accept(queried_at, decision);
        if acceptance == Acceptance::New {
            self.changed.notify_waiters();
        }
        acceptance
    }

    /// Returns the stamp of the installed map.
    pub fn stamp(&self) -> Option<Stamp> {
        self.map.borrow().stamp()
    }

    /// Applies an endpoint list, which states the cell of each server.
    pub fn on_endpoint_list(&self, scope: Scope, servers: &[ServerInfo]) {
        let mut cells = self.cells.borrow_mut();
        if scope == Scope::Full {
            cells.clear();
        }
        for server in servers {
            match server.lifecycle {
                Lifecycle::Unlisted => {
                    cells.remove(&server.id);
                }
                _ => {
                    cells.insert(server.id, server.cell);
                }
            }
        }
    }

    /// Returns a ticket to write a firm's shard, if the map currently allows it.
    fn ticket(&self, firm: Firm) -> Result<Ticket, TicketError> {
        Ticket::acquire(self.started_at.elapsed(), &self.map.borrow(), firm)
    }

    /// Returns the placement of a firm's write when its request arrives.
    pub fn placement(&self, firm: Firm) -> Placement {
        match self.ticket(firm) {
            Ok(ticket) => Placement::Cell(ticket.cell()),
            Err(cause) => {
                self.count_withheld();
                Placement::Unavailable { retry_after: cause.retry_after() }
            }
        }
    }

    /// Returns the current epoch of a write at a server, or `None` if the shard may not currently be written
    /// there.
    pub fn epoch(&self, firm: Firm, server: ServerId) -> Option<HeaderValue> {
        let ticket = self.ticket(firm).ok()?;
        let (cell, epoch) = ticket.destination(self.started_at.elapsed())?;
        if self.cells.borrow().get(&server) != Some(&cell) {
            self.count_withheld();
            return None;
        }
        Some(HeaderValue::from(epoch))
    }

    /// Returns the epoch that a cell requires, if it rejected a write because of another epoch.
    pub fn epoch_due(&self, headers: &HeaderMap) -> Option<Epoch> {
        let due = headers.get(EPOCH_DUE)?.to_str().ok()?.parse().ok()?;
        self.rejected_by_cell.set(self.rejected_by_cell.get() + 1);
        Some(due)
    }

    fn count_withheld(&self) {
        self.withheld.set(self.withheld.get() + 1);
    }

    /// The counters of writes that were rejected by a cell or not sent.
    pub fn metrics(&self) -> [Metric; 2] {
        [
            Metric {
                name: "marblecroft_book_turned_away",
                help: "Writes that a cell turned away, as they were under another epoch.",
                value: self.rejected_by_cell.get() as f64,
            },
            Metric {
                name: "marblecroft_book_held_back",
                help: "Writes that were held back, as their book was open nowhere.",
                value: self.withheld.get() as f64,
            },
        ]
    }

    /// Waits for a map that is newer than the one with which a write was just rejected, and returns the cell
    /// at which the firm's shard may be written according to it.
    pub async fn wait_for_move(&self, firm: Firm, max_wait: Duration) -> Option<u32> {
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
        timeout(max_wait, newer).await.ok()
    }
}
