//! The owner of the books: plans moves, leads each through its steps, and waits for what each needs.

use crate::map::{Cell, Epoch, Firm, MigrationStep, Shard, ShardMap};
use crate::moves::{cell_operation, CellOperation, MigrationError};
use crate::plan::{under_way, wishes, CellSeen, Limits};
use marblecroft_control_messages::published::Stamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub type Now = Duration;

/// How a move is waited for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waits {
    /// Cells remember epochs and turn lower ones away.
    pub fencing: bool,
    /// Gateways that there are, by the configuration: while fewer are heard, one that is not may hold an older map.
    pub gateways: usize,
    /// How long a map is valid at a reader.
    pub valid: Duration,
    /// The longest that an attempt can be out.
    pub attempt: Duration,
    /// A step that is not answered for this long is given up where that is possible, as its cell may be gone.
    pub patience: Duration,
}

/// Clocks may run apart by this, as the lease of a session allows.
const DRIFT: f64 = 0.1;

/// What a cell has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The range is shut at this epoch, and nothing of before is out.
    Shut(Firm, Epoch),
    Copied(Firm, Epoch),
    Opened(Firm, Epoch),
}

/// A raised epoch that gateways are told of.
#[derive(Clone, Debug)]
struct SentOperation {
    /// Under which stamp and when it was published first.
    stamp: Stamp,
    at: Now,
    /// When each gateway first said that it goes by it, or by a later one. What it has said since says nothing more.
    said: BTreeMap<u32, Now>,
}

pub struct Owner {
    map: ShardMap,
    waits: Waits,
    limits: Limits,
    cells: BTreeMap<Cell, CellSeen>,
    load: Vec<f64>,
    /// Since when each book has stood where it is, and since when each move is in its step; both by first firm, as books may be
    /// cut and joined.
    still: BTreeMap<Firm, Now>,
    in_step: BTreeMap<Firm, (MigrationStep, Now)>,
    /// What each gateway last said to go by.
    gateways: BTreeMap<u32, Stamp>,
    sent_operations: BTreeMap<(Firm, Epoch), SentOperation>,
    begun: Now,
    changed: bool,
    /// Books that stand, by epoch, whose cells have said to this owner that they are open there. A cell that was begun anew knows
    /// nothing of its books.
    open: BTreeSet<(Firm, Epoch)>,
    /// Moves that came to their end.
    pub moves: u64,
}

/// Cells that are asked at once to open what stands there.
const MAX_CONCURRENT_OPENS: usize = 64;

/// The most gateways that are kept account of.
pub const MAX_GATEWAYS: usize = 4096;

impl Owner {
    /// An owner begins with the map that stands. Its own times begin now: a move whose step began under another owner is waited
    /// for as long as if it had begun now.
    pub fn begin(now: Now, map: ShardMap, waits: Waits, limits: Limits) -> Owner {
        let still = map.shards.iter().map(|book| (book.first, now)).collect();
        let in_step =
            map.shards.iter().filter_map(|book| Some((book.first, (book.migration?.step, now)))).collect();
        Owner {
            load: vec![0.0; map.shards.len()],
            map,
            waits,
            limits,
            cells: BTreeMap::new(),
            still,
            in_step,
            gateways: BTreeMap::new(),
            sent_operations: BTreeMap::new(),
            begun: now,
            changed: true,
            open: BTreeSet::new(),
            moves: 0,
        }
    }

    pub fn map(&self) -> &ShardMap {
        &self.map
    }

    /// What is known of cells: of zones by the zones' decision, of servers by the list.
    pub fn cells(&mut self, cells: BTreeMap<Cell, CellSeen>) {
        self.cells = cells;
    }

    /// Units a second written in each book, in the map's order.
    pub fn load(&mut self, load: Vec<f64>) {
        self.load = load;
    }

    /// A gateway says which map it goes by.
    pub fn goes_by(&mut self, now: Now, gateway: u32, stamp: Stamp) {
        if self.gateways.len() < MAX_GATEWAYS || self.gateways.contains_key(&gateway) {
            self.gateways.insert(gateway, stamp);
            for told in self.sent_operations.values_mut().filter(|told| stamp >= told.stamp) {
                told.said.entry(gateway).or_insert(now);
            }
        }
    }

    /// An operator's word.
    pub fn on_operator_command(&mut self, now: Now, firm: Firm, to: Cell) -> Result<(), MigrationError> {
        let at = self.map.find(firm).ok_or(MigrationError::NoSuchShard)?;
        self.map.plan(at, to)?;
        self.step_begun(now, at);
        Ok(())
    }

    /// An operator's word, or a target that is lost: back, as far as there is a way back.
    pub fn abandon(&mut self, now: Now, firm: Firm) -> Result<(), MigrationError> {
        let at = self.map.find(firm).ok_or(MigrationError::NoSuchShard)?;
        self.map.abandon(at)?;
        self.step_begun(now, at);
        Ok(())
    }

    fn step_begun(&mut self, now: Now, at: usize) {
        let book = self.map.shards[at];
        match book.migration {
            Some(moving) => self.in_step.insert(book.first, (moving.step, now)),
            None => {
                self.still.insert(book.first, now);
                self.in_step.remove(&book.first)
            }
        };
        self.changed = true;
    }

    /// A cell has done what was asked. What is of another move or step changes nothing.
    pub fn answered(&mut self, now: Now, answer: Answer) {
        let (Answer::Shut(first, epoch) | Answer::Copied(first, epoch) | Answer::Opened(first, epoch)) =
            answer;
        let Some(at) = self.map.find(first).filter(|&at| self.map.shards[at].first == first) else { return };
        let book = self.map.shards[at];
        if let Answer::Opened(first, epoch) = answer {
            if book.open() && book.epoch == epoch {
                self.open.insert((first, epoch));
                return;
            }
        }
        let done = match answer {
            Answer::Shut(..) if self.waits.fencing => self.map.drained(at, epoch),
            Answer::Shut(..) => Err(MigrationError::NotSo),
            Answer::Copied(..) => self.map.copied(at, epoch),
            Answer::Opened(..) => self.map.serve(at, epoch),
        };
        if done.is_ok() {
            self.moves += u64::from(matches!(answer, Answer::Opened(..)));
            self.step_begun(now, at);
        }
    }

    /// The map was published under this stamp: from now on readers may go by it.
    pub fn published(&mut self, now: Now, stamp: Stamp, map: &ShardMap) {
        for book in
            map.shards.iter().filter(|book| book.migration.is_some_and(|m| m.step == MigrationStep::Fencing))
        {
            let told = || SentOperation { stamp, at: now, said: BTreeMap::new() };
            self.sent_operations.entry((book.first, book.epoch)).or_insert_with(told);
        }
        let epochs: BTreeMap<Firm, Epoch> = map.shards.iter().map(|book| (book.first, book.epoch)).collect();
        self.sent_operations.retain(|(first, epoch), _| epochs.get(first).is_some_and(|now| now <= epoch));
    }

    /// Without fences: whether nobody can write under the old epoch any more.
    fn old_epoch_expired(&self, now: Now, first: Firm, epoch: Epoch) -> bool {
        let Some(told) = self.sent_operations.get(&(first, epoch)) else { return false };
        let lapsed = told.at + self.waits.valid.mul_f64(1.0 + DRIFT);
        // Those that go by it need not be waited for, but for what they sent before they did; one that is not known may hold an
        // older map until it lapses.
        let all = self.gateways.len() >= self.waits.gateways.max(1)
            && self.gateways.keys().all(|gateway| told.said.contains_key(gateway));
        let from = if all { told.said.values().max().copied().unwrap_or(now) } else { lapsed };
        now >= from.min(lapsed) + self.waits.attempt.mul_f64(1.0 + DRIFT)
    }

    /// One moment: what has come of waiting, what may begin, what is wished for. What is to be asked of cells; and whether the
    /// map is to be published.
    pub fn tick(&mut self, now: Now) -> (Vec<CellOperation>, bool) {
        for at in 0..self.map.shards.len() {
            self.go_on(now, at);
        }
        let rested: Vec<Duration> = self
            .map
            .shards
            .iter()
            .map(|book| now.saturating_sub(self.still.get(&book.first).copied().unwrap_or(self.begun)))
            .collect();
        for wish in wishes(&self.map, &self.cells, &self.load, &rested, &self.limits) {
            if self.map.plan(wish.shard, wish.to).is_ok() {
                self.step_begun(now, wish.shard);
            }
        }
        let fencing = self.waits.fencing;
        let stands = self.map.shards.iter().filter(|book| book.open());
        let standing: BTreeSet<(Firm, Epoch)> = stands.map(|book| (book.first, book.epoch)).collect();
        self.open.retain(|book| standing.contains(book));
        let unopened = |at: &usize| {
            let book = &self.map.shards[*at];
            fencing && book.open() && !self.open.contains(&(book.first, book.epoch))
        };
        let opens = (0..self.map.shards.len()).filter(unopened).take(MAX_CONCURRENT_OPENS).map(|at| {
            let Shard { first, cell, epoch, .. } = self.map.shards[at];
            CellOperation::Open { cell, range: (first, self.map.end(at)), epoch }
        });
        let asks =
            (0..self.map.shards.len()).filter_map(|at| cell_operation(&self.map, at, fencing)).chain(opens);
        (asks.collect(), std::mem::take(&mut self.changed))
    }

    fn go_on(&mut self, now: Now, at: usize) {
        let book = self.map.shards[at];
        let Some(moving) = book.migration else { return };
        let since = self.in_step.get(&book.first).map_or(now, |(_, since)| *since);
        let slow = now.saturating_sub(since) > self.waits.patience;
        let target = self.cells.get(&moving.to);
        let target_lost = target.is_some_and(|cell| !cell.takes || cell.leave) && moving.to != book.cell;
        let done = match moving.step {
            // Into a zone that has been lost since: not at all, or back.
            MigrationStep::Planned if target_lost => self.map.abandon(at),
            MigrationStep::Planned if under_way(&self.map) < self.limits.at_once => self.map.raise_epoch(at),
            MigrationStep::Fencing if target_lost => self.map.abandon(at),
            MigrationStep::Fencing
                if !self.waits.fencing && self.old_epoch_expired(now, book.first, book.epoch) =>
            {
                self.map.drained(at, book.epoch)
            }
            MigrationStep::Drained if target_lost || slow => {
                // The old cell may be what is slow: back to it helps only while it takes writes.
                let old_takes = self.cells.get(&book.cell).is_none_or(|cell| cell.takes);
                if old_takes {
                    self.map.abandon(at)
                } else {
                    Err(MigrationError::NotSo)
                }
            }
            MigrationStep::Copied if !self.waits.fencing => {
                self.moves += 1;
                self.map.serve(at, book.epoch)
            }
            _ => Err(MigrationError::NotSo),
        };
        if done.is_ok() {
            self.step_begun(now, at);
        }
    }
}
