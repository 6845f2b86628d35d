//! The effect of the active faults on the links between endpoints, without I/O.

use crate::deployment::{DrawnFault, Nanos, MS};
use crate::endpoint::Endpoint;
use crate::scenario::FaultKind;
use rand::Rng;
use std::collections::BTreeSet;

/// Approximate time after which the operating system retransmits a lost segment of a stream.
const RETRANSMISSION: Nanos = 200 * MS;

/// State of a link in one direction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkState {
    /// Whether data arrives.
    pub open: bool,
    /// Whether new connections can be established; for a suspended process its operating system accepts them.
    pub connects: bool,
    /// Whether connections are reset.
    pub reset: bool,
    /// Delay in this direction, in nanoseconds.
    pub delay: Nanos,
    /// Maximum random delay on top of `delay`, in nanoseconds.
    pub jitter: Nanos,
    /// Share of the datagrams that are lost.
    pub loss: f64,
    /// Share of the datagrams that are duplicated.
    pub duplicates: f64,
}

impl LinkState {
    /// A link without a fault.
    pub const CLEAR: LinkState = LinkState {
        open: true,
        connects: true,
        reset: false,
        delay: 0,
        jitter: 0,
        loss: 0.0,
        duplicates: 0.0,
    };

    /// Returns the delay of a segment of a stream, including the retransmission if it is lost.
    pub fn stream_delay(&self, rng: &mut impl Rng) -> Nanos {
        let lost = self.loss > 0.0 && rng.random::<f64>() < self.loss;
        self.delay_with_jitter(rng) + if lost { RETRANSMISSION } else { 0 }
    }

    /// Returns the delays of a datagram's copies: none, one or two. Each has a delay of its own, so datagrams
    /// may be reordered.
    pub fn datagram(&self, rng: &mut impl Rng) -> Vec<Nanos> {
        let lost = !self.open || (self.loss > 0.0 && rng.random::<f64>() < self.loss);
        let twice = self.duplicates > 0.0 && rng.random::<f64>() < self.duplicates;
        let copies = if lost { 0 } else { 1 + usize::from(twice) };
        (0..copies).map(|_| self.delay_with_jitter(rng)).collect()
    }

    fn delay_with_jitter(&self, rng: &mut impl Rng) -> Nanos {
        self.delay + if self.jitter > 0 { rng.random_range(0..=self.jitter) } else { 0 }
    }
}

/// The active faults of links, and the suspended processes and stand-ins.
#[derive(Default)]
pub struct LinkFaults {
    active: Vec<(usize, Rule)>,
    suspended: BTreeSet<Endpoint>,
}

struct Rule {
    kind: FaultKind,
    target: BTreeSet<Endpoint>,
    /// The other side of the links; empty for all endpoints that are not in `target`.
    from: BTreeSet<Endpoint>,
    one_way: bool,
    reset: bool,
    delay: Nanos,
    jitter: Nanos,
    probability: f64,
}

impl Rule {
    fn applies(&self, from: Endpoint, to: Endpoint) -> bool {
        let other = |endpoint: Endpoint| match self.from.is_empty() {
            true => !self.target.contains(&endpoint),
            false => self.from.contains(&endpoint),
        };
        (self.target.contains(&to) && other(from))
            || (!self.one_way && self.target.contains(&from) && other(to))
    }
}

impl LinkFaults {
    /// Starts a fault of links, which has this number.
    pub fn begin(&mut self, number: usize, fault: &DrawnFault) {
        let rule = Rule {
            kind: fault.kind,
            target: fault.victims.iter().copied().collect(),
            from: fault.from.iter().copied().collect(),
            one_way: fault.one_way,
            reset: fault.reset,
            delay: fault.delay,
            jitter: fault.jitter,
            probability: fault.probability,
        };
        self.active.push((number, rule));
    }

    /// Ends a fault.
    pub fn end(&mut self, number: usize) {
        self.active.retain(|(of, _)| *of != number);
    }

    /// Suspends or resumes a process or a stand-in.
    pub fn set_suspended(&mut self, endpoint: Endpoint, suspended: bool) {
        if suspended {
            self.suspended.insert(endpoint);
        } else {
            self.suspended.remove(&endpoint);
        }
    }

    /// Returns the state of the link from one endpoint to another. Concurrent faults are combined.
    pub fn link_state(&self, from: Endpoint, to: Endpoint) -> LinkState {
        let mut path = LinkState::CLEAR;
        if self.suspended.contains(&to) || self.suspended.contains(&from) {
            path.open = false;
        }
        for (_, rule) in &self.active {
            if !rule.applies(from, to) {
                continue;
            }
            match rule.kind {
                FaultKind::Cut => {
                    path.open = false;
                    path.connects = false;
                    path.reset |= rule.reset;
                }
                FaultKind::Delay => {
                    path.delay += rule.delay;
                    path.jitter += rule.jitter;
                }
                FaultKind::Lose => path.loss = 1.0 - (1.0 - path.loss) * (1.0 - rule.probability),
                FaultKind::Duplicate => path.duplicates = path.duplicates.max(rule.probability),
                _ => {}
            }
        }
        path
    }

    /// Whether a connection between two endpoints can be established, which needs both directions.
    pub fn can_connect(&self, from: Endpoint, to: Endpoint) -> bool {
        self.link_state(from, to).connects && self.link_state(to, from).connects
    }

    /// Whether a process or a stand-in is suspended.
    pub fn is_suspended(&self, endpoint: Endpoint) -> bool {
        self.suspended.contains(&endpoint)
    }

    /// Whether connections between two endpoints are reset.
    pub fn is_reset(&self, from: Endpoint, to: Endpoint) -> bool {
        self.link_state(from, to).reset || self.link_state(to, from).reset
    }

    /// Whether there is no active fault.
    pub fn is_empty(&self) -> bool {
        self.active.is_empty() && self.suspended.is_empty()
    }
}
