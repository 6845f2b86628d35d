//! The table of the other members: those that are present and, for a retention time, those that are not.

use crate::config::Now;
use crate::record::{MemberState, Name, Record};
use marblecroft_quota_gateway_core::Random;
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum number of other members in the table, present or not. Updates about further ones are ignored
/// and counted.
pub const MAX_MEMBERS: usize = 2048;

/// An entry for another member.
pub(super) struct Member {
    pub(super) record: Record,
    /// When the last message from it arrived, or when it became known.
    last_message_at: Now,
    /// When it became absent; `None` while it is present.
    absent_since: Option<Now>,
}

/// Another member in the view that callers get.
#[derive(Clone, Debug)]
pub struct PeerView<'a> {
    /// The current claim about it.
    pub record: &'a Record,
    /// The time since the last message from it arrived, or since it became known.
    pub since_last_message: Duration,
}

/// The other members by name.
#[derive(Default)]
pub(super) struct MemberTable {
    by_name: BTreeMap<Name, Member>,
}

impl MemberTable {
    pub(super) fn get(&self, name: &Name) -> Option<&Member> {
        self.by_name.get(name)
    }

    pub(super) fn is_full(&self) -> bool {
        self.by_name.len() >= MAX_MEMBERS
    }

    /// Returns whether the member is known and counts as present.
    pub(super) fn is_present(&self, name: &Name) -> bool {
        self.get(name).is_some_and(|member| member.record.state.is_present())
    }

    /// Adds a member that was unknown.
    pub(super) fn insert(&mut self, record: Record, now: Now) {
        let absent_since = (!record.state.is_present()).then_some(now);
        self.by_name.insert(record.name.clone(), Member { record, last_message_at: now, absent_since });
    }

    /// Replaces the claim about a member. Returns its former state, or `None` without effect if it is
    /// unknown.
    pub(super) fn replace(&mut self, record: Record, now: Now) -> Option<MemberState> {
        let member = self.by_name.get_mut(&record.name)?;
        member.absent_since =
            if record.state.is_present() { None } else { member.absent_since.or(Some(now)) };
        Some(std::mem::replace(&mut member.record, record).state)
    }

    /// Records that a message from a member arrived.
    pub(super) fn on_message_from(&mut self, name: &Name, now: Now) {
        if let Some(member) = self.by_name.get_mut(name) {
            member.last_message_at = now;
        }
    }

    /// Removes the members that have been absent for the retention time.
    pub(super) fn remove_absent_for(&mut self, retention: Duration, now: Now) {
        self.by_name.retain(|_, member| {
            member.absent_since.is_none_or(|since| now.saturating_sub(since) < retention)
        });
    }

    pub(super) fn count_present(&self) -> usize {
        self.by_name.values().filter(|member| member.record.state.is_present()).count()
    }

    /// Returns all members in the order of their names.
    pub(super) fn records(&self) -> impl Iterator<Item = &Record> {
        self.by_name.values().map(|member| &member.record)
    }

    /// Returns all members in the order of their names, with the time since the last message from each.
    pub(super) fn views(&self, now: Now) -> impl Iterator<Item = PeerView<'_>> {
        self.by_name.values().map(move |member| PeerView {
            record: &member.record,
            since_last_message: now.saturating_sub(member.last_message_at),
        })
    }

    /// Returns up to `max` eligible members, uniformly at random and in random order: a Fisher-Yates shuffle
    /// that stops after `max` draws.
    pub(super) fn sample(
        &self,
        max: usize,
        random: &mut Random,
        is_eligible: impl Fn(&Record) -> bool,
    ) -> Vec<Name> {
        let mut names: Vec<Name> =
            self.records().filter(|record| is_eligible(record)).map(|record| record.name.clone()).collect();
        for at in 0..max.min(names.len()) {
            let other = at + (random.uniform() * (names.len() - at) as f64) as usize;
            names.swap(at, other);
        }
        names.truncate(max);
        names
    }

    /// Returns up to `max` present members at random.
    pub(super) fn sample_present(&self, max: usize, random: &mut Random) -> Vec<Name> {
        self.sample(max, random, |record| record.state.is_present())
    }
}
