//! Checks of shards, based on the history alone: no write under an older epoch after a shard was migrated,
//! each write in at most one cell, and each acknowledged write at the cell that owns its shard.

use super::Violations;
use crate::deployment::{Nanos, MS, SECOND, UNSAFE};
use crate::history::{Event, Outcome, Setup, ShardRecord, ShardStep, TimedEvent, Trace};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Upper bound of firm ids, exclusive.
const FIRM_END: u64 = 1 << 33;
/// Shards that are being migrated when the run ends are not checked for lost writes if the shard map changed
/// within this time before the end, because the copy may still be in progress.
const END_GRACE: Nanos = SECOND;

/// Figures of shards; `None` where they do not apply.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShardFigures {
    pub moves: Option<u64>,
    pub max_move_downtime_ms: Option<u64>,
    pub late_writes_refused: Option<u64>,
}

#[derive(Default)]
pub struct ShardChecker {
    applies: bool,
    firms: Vec<u64>,
    servers: Vec<u16>,
    map: Vec<ShardRecord>,
    /// By the first firm of a range: the epoch below which writes must be rejected, and since when.
    drained: BTreeMap<u64, (u64, Nanos)>,
    /// By the first firm of a shard: since when it accepts no pay runs.
    closed_since: HashMap<u64, Nanos>,
    moves: u64,
    max_downtime: Nanos,
    refused: u64,
    /// The cell and the firm of each accepted write, by attempt.
    writes: HashMap<u64, (u16, u64)>,
    attempts: HashMap<u64, Trace>,
    ran: HashMap<Trace, HashSet<u16>>,
    requests: HashMap<Trace, u32>,
    unsafe_requests: HashSet<u32>,
    served: Vec<(Trace, u64)>,
    write_locations: HashMap<Trace, Vec<u16>>,
    changed: Nanos,
    end: Nanos,
    wiped: bool,
}

impl ShardChecker {
    pub fn begin(&mut self, setup: &Setup) {
        self.applies = setup.shard_map;
        self.firms.clone_from(&setup.firms);
        self.servers.clone_from(&setup.cells);
        self.wiped = setup.faults.iter().any(|fault| fault.kind == crate::scenario::FaultKind::Wipe);
    }

    fn shard(&self, firm: u64) -> Option<&ShardRecord> {
        self.map.get(self.map.partition_point(|shard| shard.first <= firm).checked_sub(1)?)
    }

    pub fn take(&mut self, TimedEvent { at, event }: &TimedEvent, violations: &mut Violations) {
        let at = *at;
        self.end = at;
        match event {
            Event::ShardMapDecided { shards, .. } => self.decided(at, shards),
            Event::RequestStarted { request, class, .. } if *class == UNSAFE => {
                self.unsafe_requests.insert(*request);
            }
            Event::AttemptStarted { request, trace, .. } if self.unsafe_requests.contains(request) => {
                self.requests.insert(*trace, *request);
            }
            Event::Arrived { attempt, trace, .. } if self.requests.contains_key(trace) => {
                self.attempts.insert(*attempt, *trace);
            }
            Event::ShardWrite { attempt, cell, firm, epoch, admitted } => {
                if !admitted {
                    self.refused += 1;
                    return;
                }
                self.writes.insert(*attempt, (*cell, *firm));
                let range = self.drained.range(..=*firm).next_back();
                if let Some((_, (required, since))) = range.filter(|(_, (required, _))| epoch < required) {
                    let (required, since) = (*required, *since);
                    violations.add("no_write_to_moved_range", || {
                        format!(
                            "attempt {attempt}: firm {firm} was written at cells[{cell}] under epoch {epoch} at {:.3} s, and {required} was required since {:.3} s",
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
            Event::AttemptEnded { trace, outcome: Outcome::Served { attempt: Some(attempt) } } => {
                if let Some((_, firm)) = self.writes.get(attempt) {
                    self.served.push((*trace, *firm));
                }
            }
            Event::WriteLocations { trace, cells } => {
                drop(self.write_locations.insert(*trace, cells.clone()))
            }
            _ => {}
        }
    }

    fn decided(&mut self, at: Nanos, shards: &[ShardRecord]) {
        self.changed = at;
        for (i, shard) in shards.iter().enumerate() {
            let end = shards.get(i + 1).map_or(FIRM_END, |next| next.first);
            let open = shard.step <= ShardStep::Planned;
            if open {
                if let Some(since) = self.closed_since.remove(&shard.first) {
                    self.max_downtime = self.max_downtime.max(at - since);
                    self.moves += 1;
                }
            } else {
                self.closed_since.entry(shard.first).or_insert(at);
            }
            // From the step `Drained` on no write under an earlier epoch may take effect.
            let closed = shard.step >= ShardStep::Drained || (open && shard.epoch > 1);
            let required_epoch =
                self.drained.range(..=shard.first).next_back().map_or(0, |(_, (epoch, _))| *epoch);
            if closed && required_epoch < shard.epoch {
                let after = self.drained.range(..end).next_back().map_or((0, 0), |(_, after)| *after);
                self.drained.retain(|first, _| !(shard.first..end).contains(first));
                self.drained.insert(shard.first, (shard.epoch, at));
                if end < FIRM_END {
                    self.drained.entry(end).or_insert(after);
                }
            }
        }
        self.map = shards.to_vec();
    }

    pub fn findings(mut self, violations: &mut Violations) -> ShardFigures {
        if !self.applies {
            for name in ["no_write_to_moved_range", "written_once", "nothing_lost_in_moves"] {
                violations.does_not_apply(name, "the fleet has no shard map");
            }
            return ShardFigures::default();
        }
        for (trace, cells) in self.ran.iter().filter(|(_, cells)| cells.len() > 1) {
            violations.add("written_once", || format!("{trace:016x} was written in cells {cells:?}"));
        }
        if self.wiped {
            violations.does_not_apply("nothing_lost_in_moves", "a fault deletes the stored writes");
        } else {
            let served = std::mem::take(&mut self.served);
            for (trace, firm) in served {
                let Some(shard) = self.shard(firm).copied() else { continue };
                let locations = self.write_locations.get(&trace).cloned().unwrap_or_default();
                // From the step `Copied` on the new cell has the data; before, the old one does.
                let in_progress = self.changed + END_GRACE > self.end && shard.step != ShardStep::Stable;
                let expected_cell = if shard.step == ShardStep::Copied { shard.to } else { shard.cell };
                if !in_progress && !locations.contains(&expected_cell) {
                    violations.add("nothing_lost_in_moves", || {
                        format!("{trace:016x} of firm {firm} was acknowledged and is in cells {locations:?}, not in {expected_cell}")
                    });
                }
            }
        }
        ShardFigures {
            moves: Some(self.moves),
            max_move_downtime_ms: (self.moves > 0).then_some(self.max_downtime / MS),
            late_writes_refused: Some(self.refused),
        }
    }
}

fn seconds(at: Nanos) -> f64 {
    at as f64 / SECOND as f64
}
