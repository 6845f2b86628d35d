//! Whether calls on a register could have been made one after the other, each at some instant between its begin and its end: the
//! check for linearizability of `stateright`, and what a register of the coordination service may answer.

use crate::deployment::Nanos;
use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};
use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// What was asked of a register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    /// Reads it.
    Read,
    /// `expect`: only at this revision, 0 where there is no value yet.
    Put {
        /// The value.
        value: u64,
        /// The revision at which it must be.
        expect: Option<u64>,
    },
}

/// What was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ret {
    /// Its value and revision.
    Value {
        /// The value; `None` where there is none yet.
        value: Option<u64>,
        /// The revision.
        revision: u64,
    },
    /// Written at this revision.
    Written(u64),
    /// Not written, as this is the revision.
    Conflict(u64),
}

/// A call; without an answer it may have taken effect at any time since its begin, or never.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// Who called.
    pub client: u16,
    /// When the call began.
    pub from: Nanos,
    /// The operation.
    pub op: Op,
    /// When it returned, and the result.
    pub answer: Option<(Nanos, Ret)>,
}

/// Whether a history is linearizable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is.
    Linear,
    /// No order of the calls explains the answers.
    Not,
    /// Nor is one known within the steps that a search may take.
    Undecided,
}

/// Steps of a search at the most; a history that is linearizable needs a few for each call.
const MAX_SEARCH_STEPS: u64 = 50_000;
/// The search goes as deep as there are calls.
const STACK: usize = 256 << 20;

#[derive(Clone, Debug)]
struct Register {
    value: Option<u64>,
    /// The least that its revision can be, and whether it is known to be that.
    revision: u64,
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

    /// One more step; false once there were too many.
    fn step(&self) -> bool {
        self.steps.set(self.steps.get() + 1);
        self.steps.get() <= MAX_SEARCH_STEPS
    }
}

impl SequentialSpec for Register {
    type Op = Op;
    type Ret = Ret;

    /// A call without an answer takes effect, at a revision that nobody was told.
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

/// Judges the calls on one register that has no value at first.
pub fn judge(calls: &[Call]) -> Verdict {
    // The search recurses once for each call; the usual stack of a thread is too small for long histories.
    let calls = calls.to_vec();
    let search = std::thread::Builder::new().stack_size(STACK).spawn(move || search(&calls));
    let found = search.map(std::thread::JoinHandle::join);
    match found {
        Ok(Ok(verdict)) => verdict,
        _ => Verdict::Undecided,
    }
}

fn search(calls: &[Call]) -> Verdict {
    // What is known of it is judged in the order of time; at one instant begins come before ends, so that calls that may have
    // met have met.
    let mut edges: Vec<(Nanos, bool, usize)> = Vec::new();
    for (i, call) in calls.iter().enumerate() {
        edges.push((call.from, false, i));
        edges.extend(call.answer.map(|(to, _)| (to, true, i)));
    }
    edges.sort_unstable();
    let steps = Rc::new(Cell::new(0));
    let register = Register { value: None, revision: 0, exact: true, steps: steps.clone() };
    let mut tester = LinearizabilityTester::new(register);
    // A client goes on after a call that was never answered; that call then is of somebody who asks nothing more.
    let mut thread_of: HashMap<u16, u32> = HashMap::new();
    let mut open: BTreeMap<usize, u32> = BTreeMap::new();
    let mut next = 0;
    for (_, ends, i) in edges {
        let call = &calls[i];
        let taken = if ends {
            let Some((thread, (_, ret))) = open.remove(&i).zip(call.answer) else {
                return Verdict::Undecided;
            };
            tester.on_return(thread, ret).is_ok()
        } else {
            let thread = *thread_of.entry(call.client).or_insert_with(|| {
                next += 1;
                next
            });
            if call.answer.is_none() {
                thread_of.remove(&call.client);
            }
            open.insert(i, thread);
            tester.on_invoke(thread, call.op).is_ok()
        };
        if !taken {
            // A client that asks two things at once has no place in such a history.
            return Verdict::Undecided;
        }
    }
    match tester.is_consistent() {
        true => Verdict::Linear,
        false if steps.get() > MAX_SEARCH_STEPS => Verdict::Undecided,
        false => Verdict::Not,
    }
}
