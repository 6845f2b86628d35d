//! SWIM's failure detection: the probe of each protocol period, the probes for other members, and the order
//! of probe targets.

use super::members::{MemberTable, MAX_MEMBERS};
use crate::config::Now;
use crate::record::Name;
use marblecroft_quota_gateway_core::Random;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// The maximum number of concurrent probes for other members. Further requests are ignored, since the
/// requester has other helpers.
const MAX_RELAYED_PROBES: usize = 64;

/// The probe of this protocol period.
pub(super) struct Probe {
    pub(super) target: Name,
    pub(super) seq: u32,
    /// The time at which the direct probe counts as failed, and helpers are asked for indirect probes.
    direct_deadline: Now,
    /// The number of helpers that were asked; `None` before that.
    helpers: Option<u32>,
    nacks: u32,
    acknowledged: bool,
}

impl Probe {
    pub(super) fn new(target: Name, seq: u32, direct_deadline: Now) -> Probe {
        Probe { target, seq, direct_deadline, helpers: None, nacks: 0, acknowledged: false }
    }

    pub(super) fn is_acknowledged(&self) -> bool {
        self.acknowledged
    }

    /// Handles an acknowledgement. Returns whether it is the first one of this probe.
    pub(super) fn handle_ack(&mut self, seq: u32) -> bool {
        let first = self.seq == seq && !self.acknowledged;
        self.acknowledged |= first;
        first
    }

    /// Handles a helper's notice that it has not received an acknowledgement either.
    pub(super) fn handle_nack(&mut self, seq: u32) {
        if self.seq == seq {
            self.nacks += 1;
        }
    }

    /// Records that helpers were asked.
    pub(super) fn on_helpers_requested(&mut self, helpers: usize) {
        self.helpers = Some(helpers as u32);
    }

    /// Returns when helpers are to be asked; `None` if that is done or no longer needed.
    pub(super) fn indirect_probes_at(&self) -> Option<Now> {
        (!self.acknowledged && self.helpers.is_none()).then_some(self.direct_deadline)
    }

    /// Returns the number of events in this failed probe that count against the local health. Each helper
    /// that did not send a nack counts, since several missing responses suggest that this process is the
    /// cause. If no helper was asked, the number is 1.
    pub(super) fn missed_messages(&self) -> u32 {
        match self.helpers {
            Some(helpers) if helpers > 0 => helpers.saturating_sub(self.nacks),
            _ => 1,
        }
    }
}

/// A probe that another member requested.
pub(super) struct RelayedProbe {
    pub(super) requester: SocketAddrV4,
    /// The requester's sequence number, which the response to it repeats.
    pub(super) requester_seq: u32,
    /// When a nack is sent to the requester if no acknowledgement has arrived.
    pub(super) nack_at: Now,
}

/// The running probes for other members, by this member's sequence number.
#[derive(Default)]
pub(super) struct RelayedProbes {
    by_seq: BTreeMap<u32, RelayedProbe>,
}

impl RelayedProbes {
    pub(super) fn is_full(&self) -> bool {
        self.by_seq.len() >= MAX_RELAYED_PROBES
    }

    pub(super) fn insert(&mut self, seq: u32, relayed: RelayedProbe) {
        self.by_seq.insert(seq, relayed);
    }

    /// Removes the probe to which an acknowledgement belongs.
    pub(super) fn take(&mut self, seq: u32) -> Option<RelayedProbe> {
        self.by_seq.remove(&seq)
    }

    /// Removes an expired probe, the one with the lowest sequence number first.
    pub(super) fn take_expired(&mut self, now: Now) -> Option<RelayedProbe> {
        let seq = *self.by_seq.iter().find(|(_, relayed)| now >= relayed.nack_at)?.0;
        self.by_seq.remove(&seq)
    }

    pub(super) fn next_nack_at(&self) -> Option<Now> {
        self.by_seq.values().map(|relayed| relayed.nack_at).min()
    }

    pub(super) fn clear(&mut self) {
        self.by_seq.clear();
    }
}

/// The order of probe targets: a shuffled round-robin (SWIM, section 4.3). It bounds the time until the first
/// detection of a failure to two rounds.
#[derive(Default)]
pub(super) struct ProbeSchedule {
    /// The targets that have not been probed in this round, the next one last.
    remaining: Vec<Name>,
}

impl ProbeSchedule {
    /// Adds a new member at a random position of the round.
    pub(super) fn insert_at_random(&mut self, name: Name, random: &mut Random) {
        let position = (random.uniform() * (self.remaining.len() + 1) as f64) as usize;
        self.remaining.insert(position, name);
    }

    /// Adds a member that has returned, as the next target.
    pub(super) fn push_next(&mut self, name: Name) {
        self.remaining.push(name);
    }

    /// Returns the next target, and starts a new round at the end of one. Returns `None` if no other member
    /// is present.
    pub(super) fn next_target(&mut self, members: &MemberTable, random: &mut Random) -> Option<Name> {
        self.pop_present(members).or_else(|| {
            self.remaining = members.sample_present(MAX_MEMBERS, random);
            self.pop_present(members)
        })
    }

    fn pop_present(&mut self, members: &MemberTable) -> Option<Name> {
        while let Some(name) = self.remaining.pop() {
            if members.is_present(&name) {
                return Some(name);
            }
        }
        None
    }
}
