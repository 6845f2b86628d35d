//! SWIM's failure detection: the probe of each protocol period, the probes for others, and the order of the targets.

use super::members::{MemberTable, MAX_MEMBERS};
use crate::config::Now;
use crate::record::Name;
use marblecroft_quota_gateway_core::Random;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Probes for other members that run at once. Requests beyond are ignored; the requester has further helpers.
const MAX_RELAYED_PROBES: usize = 64;

/// The probe of this protocol period.
pub(super) struct Probe {
    pub(super) target: Name,
    pub(super) seq: u32,
    /// When the direct probe has failed, and helpers are asked for indirect probes.
    direct_deadline: Now,
    /// How many helpers were asked; `None` before that.
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

    /// Takes an acknowledgement. Returns whether it is the first one of this probe.
    pub(super) fn handle_ack(&mut self, seq: u32) -> bool {
        let first = self.seq == seq && !self.acknowledged;
        self.acknowledged |= first;
        first
    }

    /// Takes a helper's notice that it has no acknowledgement either.
    pub(super) fn handle_nack(&mut self, seq: u32) {
        if self.seq == seq {
            self.nacks += 1;
        }
    }

    /// Notes that helpers were asked.
    pub(super) fn on_helpers_requested(&mut self, helpers: usize) {
        self.helpers = Some(helpers as u32);
    }

    /// Returns when helpers are to be asked; `None` if that is done or no longer needed.
    pub(super) fn indirect_probes_at(&self) -> Option<Now> {
        (!self.acknowledged && self.helpers.is_none()).then_some(self.direct_deadline)
    }

    /// Returns the events in this failed probe that speak against the local health: the helpers that sent neither an
    /// acknowledgement nor a nack, since that many losses point to this process. One if no helper was asked.
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
    /// The requester's sequence number, which its answer carries.
    pub(super) requester_seq: u32,
    /// When the requester is told that no acknowledgement has come.
    pub(super) nack_at: Now,
}

/// The probes that run for other members, by this member's sequence number.
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

    /// Removes the probe that an acknowledgement belongs to.
    pub(super) fn take(&mut self, seq: u32) -> Option<RelayedProbe> {
        self.by_seq.remove(&seq)
    }

    /// Removes a probe whose time is over, the lowest sequence number first.
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

/// The order of probe targets: a shuffled round-robin (SWIM, section 4.3), which bounds the time until a failure is first
/// detected by two rounds.
#[derive(Default)]
pub(super) struct ProbeSchedule {
    /// Targets that this round has not probed, the next one last.
    remaining: Vec<Name>,
}

impl ProbeSchedule {
    /// Adds a new member at a random position of the round.
    pub(super) fn insert_at_random(&mut self, name: Name, random: &mut Random) {
        let position = (random.uniform() * (self.remaining.len() + 1) as f64) as usize;
        self.remaining.insert(position, name);
    }

    /// Adds a member that has come back, as the next target.
    pub(super) fn push_next(&mut self, name: Name) {
        self.remaining.push(name);
    }

    /// Returns the next target, and begins a round when one has ended. `None` if no other member is present.
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
