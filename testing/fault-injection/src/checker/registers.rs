//! Checks of the coordination service's registers: they are linearizable, and watchers miss no acknowledged
//! write.

use super::{seconds, Checker};
use crate::deployment::Nanos;
use crate::history::CallResult;
use crate::linear::{self, Call, Op, Ret};
use std::collections::BTreeMap;

/// The changes that a watcher has received from one watch.
#[derive(Default)]
pub(super) struct Watched {
    pub(super) from: u64,
    pub(super) upto: u64,
    pub(super) changes: BTreeMap<u64, (u16, u64)>,
}

impl Checker {
    /// Records the result of a call on a register. A call without effect is dropped, as if it had never been
    /// made. A call with an unknown result is kept without a response.
    pub(super) fn returned(&mut self, at: Nanos, call: u64, returned: CallResult) {
        let ret = match returned {
            CallResult::Value { value, revision } => Ret::Value { value, revision },
            CallResult::Written { revision } => Ret::Written(revision),
            CallResult::Conflict { revision } => Ret::Conflict(revision),
            CallResult::NoEffect => {
                self.calls.remove(&call);
                return;
            }
            CallResult::Unknown => return,
        };
        if let Some((_, call)) = self.calls.get_mut(&call) {
            call.response = Some((at, ret));
        }
    }

    pub(super) fn watched(
        &mut self,
        at: Nanos,
        watcher: u16,
        since: Option<u64>,
        upto: u64,
        changes: &[(u64, u16, u64)],
    ) {
        let watches = self.watches.entry(watcher).or_default();
        let Some(since) = since else {
            return watches.push(Watched { from: upto, upto, changes: BTreeMap::new() });
        };
        let Some(watch) = watches.last_mut() else { return };
        let in_order = changes.windows(2).all(|pair| pair[0].0 < pair[1].0);
        let in_range = changes.iter().all(|(revision, ..)| *revision > since && *revision <= upto);
        if since != watch.upto || upto < since || !in_order || !in_range {
            self.add_violation("nothing_acknowledged_lost", || {
                format!(
                    "candidates[{watcher}] watches from {since} and received changes up to {upto} out of order at {}",
                    seconds(at)
                )
            });
            return;
        }
        watch.upto = upto;
        watch
            .changes
            .extend(changes.iter().map(|(revision, register, value)| (*revision, (*register, *value))));
    }

    /// Checks that registers are linearizable, and that no watcher misses an acknowledged write.
    pub(super) fn check_registers(&mut self) {
        let mut by_register: BTreeMap<u16, Vec<Call>> = BTreeMap::new();
        for (register, call) in std::mem::take(&mut self.calls).into_values() {
            // A read without a response has no effect and proves nothing.
            if call.response.is_some() || call.op != Op::Read {
                by_register.entry(register).or_default().push(call);
            }
        }
        for (register, calls) in &by_register {
            match linear::check_linearizability(calls) {
                linear::Verdict::Linearizable => {}
                linear::Verdict::NotLinearizable => self.add_violation("nothing_acknowledged_lost", || {
                    format!("register-{register}: no order of its {} calls explains their results", calls.len())
                }),
                linear::Verdict::Undecided => self.add_violation("nothing_acknowledged_lost", || {
                    format!("register-{register}: the search for an order of its calls that explains their results is undecided")
                }),
            }
        }
        for (watcher, watches) in std::mem::take(&mut self.watches) {
            for watch in watches {
                for (register, call) in by_register
                    .iter()
                    .flat_map(|(register, calls)| calls.iter().map(move |call| (*register, call)))
                {
                    let (Op::Put { value, .. }, Some((at, Ret::Written(revision)))) =
                        (call.op, call.response)
                    else {
                        continue;
                    };
                    if revision <= watch.from || revision > watch.upto {
                        continue;
                    }
                    if watch.changes.get(&revision) != Some(&(register, value)) {
                        self.add_violation("nothing_acknowledged_lost", || {
                            format!(
                                "candidates[{watcher}] did not receive revision {revision} of register-{register}, acknowledged at {}",
                                seconds(at)
                            )
                        });
                    }
                }
            }
        }
    }
}
