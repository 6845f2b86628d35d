//! Linearizability of the calls on a register: whether some sequential order explains their results, with
//! each call taking effect at an instant between its start and its end. Uses the checker of `stateright` with
//! a sequential specification of the coordination service's registers.

use crate::deployment::Nanos;
use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};
use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// An operation on a register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    /// Reads the register.
    Read,
    /// Writes a value.
    Put {
        /// The value.
        value: u64,
        /// The revision that the register must have, 0 if it has no value yet; `None` for any.
        expect: Option<u64>,
    },
}

/// The result of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ret {
    /// The value and revision were read.
    Value {
        /// The value; `None` where there is none yet.
        value: Option<u64>,
        /// The revision.
        revision: u64,
    },
    /// The value was written at this revision.
    Written(u64),
    /// The value was not written, because the register is at this revision.
    Conflict(u64),
}

/// A call. Without a response it may have taken effect at any time after its start, or never.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// Number of the client.
    pub client: u16,
    /// Start of the call.
    pub from: Nanos,
    /// The operation.
    pub op: Op,
    /// Time of the return, and the result.
    pub response: Option<(Nanos, Ret)>,
}

/// Whether a history is linearizable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The history is linearizable.
    Linearizable,
    /// No order of the calls explains the results.
    NotLinearizable,
    /// The search found no such order within its limit of steps, or the history is malformed.
    Undecided,
}

/// Maximum number of steps of a search; a linearizable history needs a few for each call.
const MAX_SEARCH_STEPS: u64 = 50_000;
/// Stack size of the search in bytes; the recursion is as deep as the number of calls.
const STACK: usize = 256 << 20;

#[derive(Clone, Debug)]
struct Register {
    value: Option<u64>,
    /// The revision if `exact` is set; otherwise the revision is higher than this.
    revision: u64,
    /// Whether the revision is known exactly.
    exact: bool,
    steps: Rc<Cell<u64>>,
}

impl Register {
    fn may_have_revision(&self, revision: u64) -> bool {
        match self.exact {
            true => revision == self.revision,
            false => revision > self.revision,
        }
    }

    /// Counts one step; returns false once there are too many.
    fn step(&self) -> bool {
        self.steps.set(self.steps.get() + 1);
        self.steps.get() <= MAX_SEARCH_STEPS
    }
}

impl SequentialSpec for Register {
    type Op = Op;
    type Ret = Ret;

    /// Applies a call without a response; its revision is unknown.
    fn invoke(&mut self, op: &Op) -> Ret {
        self.step();
        if let Op::Put { value, expect } = *op {
            if expect.is_none_or(|expect| self.may_have_revision(expect)) {
                self.value = Some(value);
                self.revision = expect.unwrap_or(0).max(self.revision);
                self.exact = false;
            }
        }
        Ret::Written(self.revision)
    }

    fn is_valid_step(&mut self, op: &Op, ret: &Ret) -> bool {
        if !self.step() {
            return false;
        }
        match (*op, *ret) {
            (Op::Put { value, expect }, Ret::Written(at)) => {
                let fits = expect.is_none_or(|expect| self.may_have_revision(expect))
                    && at > self.revision.max(expect.unwrap_or(0));
                (self.value, self.revision, self.exact) = (Some(value), at, true);
                fits
            }
            (Op::Put { expect: Some(expect), .. }, Ret::Conflict(at)) => {
                let fits = at != expect && self.may_have_revision(at);
                (self.revision, self.exact) = (at, true);
                fits
            }
            (Op::Read, Ret::Value { value, revision }) => {
                let fits = value == self.value && self.may_have_revision(revision);
                (self.revision, self.exact) = (revision, true);
                fits
            }
            _ => false,
        }
    }
}

/// Checks the calls on one register that initially has no value.
pub fn check_linearizability(calls: &[Call]) -> Verdict {
    // The search recurses once for each call; the default stack of a thread is too small for long histories.
    let calls = calls.to_vec();
    let search = std::thread::Builder::new().stack_size(STACK).spawn(move || search(&calls));
    let found = search.map(std::thread::JoinHandle::join);
    match found {
        Ok(Ok(verdict)) => verdict,
        _ => Verdict::Undecided,
    }
}

fn search(calls: &[Call]) -> Verdict {
    // The tester takes starts and ends in time order. At the same instant starts come before ends, so that
    // calls that may have overlapped count as overlapping.
    let mut edges: Vec<(Nanos, bool, usize)> = Vec::new();
    for (i, call) in calls.iter().enumerate() {
        edges.push((call.from, false, i));
        edges.extend(call.response.map(|(to, _)| (to, true, i)));
    }
    edges.sort_unstable();
    let steps = Rc::new(Cell::new(0));
    let register = Register { value: None, revision: 0, exact: true, steps: steps.clone() };
    let mut tester = LinearizabilityTester::new(register);
    // A client continues after a call without a response; the tester then needs another thread for the
    // client.
    let mut thread_of: HashMap<u16, u32> = HashMap::new();
    let mut open: BTreeMap<usize, u32> = BTreeMap::new();
    let mut next = 0;
    for (_, ends, i) in edges {
        let call = &calls[i];
        let taken = if ends {
            let Some((thread, (_, ret))) = open.remove(&i).zip(call.response) else {
                return Verdict::Undecided;
            };
            tester.on_return(thread, ret).is_ok()
        } else {
            let thread = *thread_of.entry(call.client).or_insert_with(|| {
                next += 1;
                next
            });
            if call.response.is_none() {
                thread_of.remove(&call.client);
            }
            open.insert(i, thread);
            tester.on_invoke(thread, call.op).is_ok()
        };
        if !taken {
            // A client with two concurrent calls makes the history malformed.
            return Verdict::Undecided;
        }
    }
    match tester.is_consistent() {
        true => Verdict::Linearizable,
        false if steps.get() > MAX_SEARCH_STEPS => Verdict::Undecided,
        false => Verdict::NotLinearizable,
    }
}
