//! Books, judged on a history alone: no write under an older epoch once a range has moved, each write in one cell or in none, and
//! what was acknowledged is where its book is.

use super::Broken;
use crate::deployment::{Nanos, MS, SECOND, UNSAFE};
use crate::history::{At, BookSeen, BookStep, Event, Outcome, Setup, Trace};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Firms are numbers under this.
const FIRM_END: u64 = 1 << 33;
/// A range that moved again within this before the run's end is not judged by where its writes are: their copy is on its way.
const AT_END: Nanos = SECOND;

/// Figures; null where they do not apply.
#[derive(Clone, Copy, Debug, Default)]
pub struct Told {
    pub moves: Option<u64>,
    pub move_pause_ms: Option<u64>,
    pub late_writes_refused: Option<u64>,
}

#[derive(Default)]
pub struct Books {
    applies: bool,
    firms: Vec<u64>,
    servers: Vec<u16>,
    map: Vec<BookSeen>,
    /// The epoch under which each range was shut for good: from when on a lower one must not be admitted.
    drained: BTreeMap<u64, (u64, Nanos)>,
    /// Since when a book takes no pay run.
    shut: HashMap<u64, Nanos>,
    moves: u64,
    longest: Nanos,
    refused: u64,
    /// Of each write that was admitted: its cell, and whose it is.
    writes: HashMap<u64, (u16, u64)>,
    attempts: HashMap<u64, Trace>,
    ran: HashMap<Trace, HashSet<u16>>,
    asks: HashMap<Trace, u32>,
    unsafe_asks: HashSet<u32>,
    served: Vec<(Trace, u64)>,
    holds: HashMap<Trace, Vec<u16>>,
    changed: Nanos,
    end: Nanos,
    wiped: bool,
}

impl Books {
    pub fn begin(&mut self, setup: &Setup) {
        self.applies = setup.books;
        self.firms.clone_from(&setup.firms);
        self.servers.clone_from(&setup.cells);
        self.wiped = setup.faults.iter().any(|fault| fault.kind == crate::scenario::FaultKind::Wipe);
    }

    fn book(&self, firm: u64) -> Option<&BookSeen> {
        self.map.get(self.map.partition_point(|book| book.first <= firm).checked_sub(1)?)
    }

    pub fn take(&mut self, At { at, event }: &At, broken: &mut Broken) {
        let at = *at;
        self.end = at;
        match event {
            Event::BooksDecided { books, .. } => self.decided(at, books),
            Event::Asked { ask, class, .. } if *class == UNSAFE => drop(self.unsafe_asks.insert(*ask)),
            Event::Tried { ask, trace, .. } if self.unsafe_asks.contains(ask) => {
                self.asks.insert(*trace, *ask);
            }
            Event::Arrived { attempt, trace, .. } if self.asks.contains_key(trace) => {
                self.attempts.insert(*attempt, *trace);
            }
            Event::BookWrite { attempt, cell, firm, epoch, admitted } => {
                if !admitted {
                    self.refused += 1;
                    return;
                }
                self.writes.insert(*attempt, (*cell, *firm));
                let range = self.drained.range(..=*firm).next_back();
                if let Some((_, (due, since))) = range.filter(|(_, (due, _))| epoch < due) {
                    let (due, since) = (*due, *since);
                    broken.add("no_write_to_moved_range", || {
                        format!(
                            "attempt {attempt}: firm {firm} was written at cells[{cell}] under epoch {epoch} at {:.3} s, and {due} was due since {:.3} s",
                            seconds(at),
                            seconds(since)
                        )
                    });
                }
            }
            Event::Ran { attempt } => {
                if let Some(((cell, _), trace)) = self.writes.get(attempt).zip(self.attempts.get(attempt)) {
                    self.ran.entry(*trace).or_default().insert(*cell);
                }
            }
            Event::Ended { trace, outcome: Outcome::Served { attempt: Some(attempt) } } => {
                if let Some((_, firm)) = self.writes.get(attempt) {
                    self.served.push((*trace, *firm));
                }
            }
            Event::CellsHold { trace, cells } => drop(self.holds.insert(*trace, cells.clone())),
            _ => {}
        }
    }

    fn decided(&mut self, at: Nanos, books: &[BookSeen]) {
        self.changed = at;
        for (i, book) in books.iter().enumerate() {
            let end = books.get(i + 1).map_or(FIRM_END, |next| next.first);
            let open = book.step <= BookStep::Planned;
            if open {
                if let Some(since) = self.shut.remove(&book.first) {
                    self.longest = self.longest.max(at - since);
                    self.moves += 1;
                }
            } else {
                self.shut.entry(book.first).or_insert(at);
            }
            // From `drained` on nothing under the epoch before may take effect.
            let shut = book.step >= BookStep::Drained || (open && book.epoch > 1);
            let known = self.drained.range(..=book.first).next_back().map_or(0, |(_, (epoch, _))| *epoch);
            if shut && known < book.epoch {
                let after = self.drained.range(..end).next_back().map_or((0, 0), |(_, after)| *after);
                self.drained.retain(|first, _| !(book.first..end).contains(first));
                self.drained.insert(book.first, (book.epoch, at));
                if end < FIRM_END {
                    self.drained.entry(end).or_insert(after);
                }
            }
        }
        self.map = books.to_vec();
    }

    pub fn findings(mut self, broken: &mut Broken) -> Told {
        if !self.applies {
            for name in ["no_write_to_moved_range", "written_once", "nothing_lost_in_moves"] {
                broken.does_not_apply(name, "the fleet has no books");
            }
            return Told::default();
        }
        for (trace, cells) in self.ran.iter().filter(|(_, cells)| cells.len() > 1) {
            broken.add("written_once", || format!("{trace:016x} was written in cells {cells:?}"));
        }
        if self.wiped {
            broken.does_not_apply("nothing_lost_in_moves", "what was kept was wiped");
        } else {
            let served = std::mem::take(&mut self.served);
            for (trace, firm) in served {
                let Some(book) = self.book(firm).copied() else { continue };
                let held = self.holds.get(&trace).cloned().unwrap_or_default();
                // Copied: the new one has it; before, the old one.
                let late = self.changed + AT_END > self.end && book.step != BookStep::Stands;
                let there = if book.step == BookStep::Copied { book.to } else { book.cell };
                if !late && !held.contains(&there) {
                    broken.add("nothing_lost_in_moves", || {
                        format!("{trace:016x} of firm {firm} was acknowledged and is in cells {held:?}, not in {there}")
                    });
                }
            }
        }
        Told {
            moves: Some(self.moves),
            move_pause_ms: (self.moves > 0).then_some(self.longest / MS),
            late_writes_refused: Some(self.refused),
        }
    }
}

fn seconds(at: Nanos) -> f64 {
    at as f64 / SECOND as f64
}
