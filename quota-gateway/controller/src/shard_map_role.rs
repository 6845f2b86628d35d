//! The duty of the books: the core behind the interface of all decisions, what it knows of cells, and what it asks of them.

use crate::cells::Cells;
use crate::config::{ShardMapConfig as BooksConfig, Valid};
use crate::decisions::{read, Decides, Now};
use marblecroft_control_messages::frame::{decode, encode, DecodeError, Fleet};
use marblecroft_control_messages::published::{Decision, Stamp};
use marblecroft_control_messages::report::Report;
use marblecroft_shard_map::map::{Cell, Firm, ShardMap};
use marblecroft_shard_map::moves::CellOperation;
use marblecroft_shard_map::owner::{Owner, Waits};
use marblecroft_shard_map::plan::{CellSeen, Limits};
use marblecroft_singleton_roles::keys::{self, Keys};
use marblecroft_singleton_roles::view::View;
use marblecroft_zone_failover::decision::{ZoneState, ZonesDecision};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// A cell that nothing says what it bears is taken to bear this.
const BEARS: f64 = 1e9;

pub struct ShardMapRole {
    fleet: Fleet,
    names: Keys,
    valid: Valid,
    config: BooksConfig,
    core: Owner,
    cells: Rc<Cells>,
    /// What is asked of cells once the map that wants it is published.
    pending_requests: Vec<CellOperation>,
    /// The map that is on its way to be published.
    publishing: Option<ShardMap>,
    token: u64,
    moves: u64,
}

impl ShardMapRole {
    pub fn begin(
        fleet: Fleet,
        names: Keys,
        valid: Valid,
        config: BooksConfig,
        now: Now,
        standing: Option<&[u8]>,
    ) -> ShardMapRole {
        let before = read::<ShardMap>(fleet, "books", standing);
        let numbers: Vec<Cell> = config.cells.iter().map(|cell| cell.number).collect();
        let map = before.map_or_else(|| ShardMap::even(config.count, &numbers), |before| before.body);
        let waits = Waits {
            fencing: config.fencing,
            gateways: config.gateways,
            valid: Duration::from_millis(valid.books_ms.into()),
            attempt: Duration::from_millis(config.attempt_ms),
            patience: Duration::from_millis(config.patience_ms),
        };
        let at = config.cells.iter().map(|cell| (cell.number, cell.at)).collect();
        ShardMapRole {
            fleet,
            names,
            valid,
            core: Owner::begin(now, map, waits, Limits::default()),
            cells: Cells::new(fleet, at),
            config,
            pending_requests: Vec::new(),
            publishing: None,
            token: 0,
            moves: 0,
        }
    }

    /// What operators say: this firm's book is to be at that cell, for as long as that takes writes.
    fn orders(&mut self, now: Now, view: &View, seen: &BTreeMap<Cell, CellSeen>) {
        let prefix = self.names.shard_override("");
        for (firm, bytes) in view.entries_under(&prefix) {
            let (Ok(firm), Some(to)) = (firm.parse::<Firm>(), keys::decode_value::<Cell>(bytes)) else {
                continue;
            };
            let map = self.core.map();
            let stands = map.find(firm).map(|at| map.shards[at]);
            let wanted = stands.is_some_and(|book| book.migration.is_none() && book.cell != to);
            if wanted && seen.get(&to).is_some_and(|cell| cell.takes && !cell.leave) {
                if let Err(why) = self.core.on_operator_command(now, firm, to) {
                    warn!(firm, to, ?why, "the book of {firm} is not moved to cell {to}: {why:?}");
                }
            }
        }
    }
}

impl Decides for ShardMapRole {
    fn report(&mut self, now: Now, report: &Report) -> Result<(), DecodeError> {
        self.core.goes_by(now, report.gateway, report.applied_decisions.shard_map);
        Ok(())
    }

    fn view(&mut self, now: Now, view: &View) {
        let zones = view.get(&self.names.decision("zones"));
        let zones = zones.and_then(|bytes| decode::<Decision<ZonesDecision>>(self.fleet, bytes).ok());
        let zone = |name: &str| {
            let decided = zones.as_ref()?.body.zones.iter().find(|zone| zone.name == name)?;
            Some((decided.state, decided.capacity))
        };
        let of = |name: &str| self.config.cells.iter().filter(|cell| cell.zone == name).count().max(1);
        let seen = self.config.cells.iter().map(|cell| {
            let (state, bears) = zone(&cell.zone).unwrap_or((ZoneState::Serving, BEARS));
            let seen = CellSeen {
                zone: cell.zone.clone(),
                region: cell.region.clone(),
                // Into one that is about to be out, or only just back, nothing moves.
                takes: state == ZoneState::Serving,
                leave: matches!(state, ZoneState::FailedOver | ZoneState::HeldByOperator),
                bears: bears / of(&cell.zone) as f64,
                load: 0.0,
            };
            (cell.number, seen)
        });
        let seen: BTreeMap<Cell, CellSeen> = seen.collect();
        self.orders(now, view, &seen);
        self.core.cells(seen);
        for answer in self.cells.take_replies() {
            self.core.answered(now, answer);
        }
    }

    fn decide(&mut self, now: Now, stamp: Stamp) -> Option<Vec<u8>> {
        self.token = stamp.token;
        let (asks, changed) = self.core.tick(now);
        self.pending_requests = asks;
        if self.core.moves > self.moves {
            info!(moves = self.core.moves, "{} books have moved under this owner", self.core.moves);
            self.moves = self.core.moves;
        }
        if !(changed || self.publishing.is_some()) {
            return None;
        }
        let map = self.core.map().clone();
        self.publishing = Some(map.clone());
        encode(self.fleet, &Decision { stamp, valid_ms: self.valid.books_ms, body: map })
    }

    fn published(&mut self, now: Now, stamp: Stamp) {
        if let Some(map) = self.publishing.take() {
            self.core.published(now, stamp, &map);
        }
    }

    fn act(&mut self) {
        // What a map wants is asked only once it is known to be written down.
        if self.publishing.is_none() {
            for ask in std::mem::take(&mut self.pending_requests) {
                self.cells.request(self.token, ask);
            }
        }
    }

    fn wakes(&self) -> Option<Rc<Cells>> {
        Some(self.cells.clone())
    }
}
