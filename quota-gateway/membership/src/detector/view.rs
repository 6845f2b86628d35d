//! This member's view of the others, and the effects of updates on it.

use super::dissemination::DisseminationQueue;
use super::members::MemberTable;
use super::probe::ProbeSchedule;
use super::suspicion::Suspicions;
use crate::config::Now;
use crate::output::{Output, StateChange, Stats};
use crate::record::{MemberState, Record};
use crate::wire::Update;
use marblecroft_quota_gateway_core::Random;

/// The members, and the parts that must follow each change of their states: suspicions, dissemination and
/// probe order.
#[derive(Default)]
pub(super) struct View {
    pub(super) members: MemberTable,
    pub(super) suspicions: Suspicions,
    pub(super) dissemination: DisseminationQueue,
    pub(super) probe_schedule: ProbeSchedule,
}

impl View {
    /// Applies an update about another member. An update that changes the view, or confirms a suspicion, is
    /// gossiped.
    pub(super) fn apply(
        &mut self,
        update: Update,
        now: Now,
        random: &mut Random,
        stats: &mut Stats,
        outputs: &mut Vec<Output>,
    ) {
        match self.members.get(&update.record.name).map(|member| &member.record) {
            None => self.apply_to_unknown(update, now, random, stats, outputs),
            Some(current) if update.record.overrides(current) => {
                self.apply_override(update, now, stats, outputs)
            }
            Some(current) => {
                let same_suspicion = update.record.state == MemberState::Suspect
                    && update.record.incarnation == current.incarnation;
                if same_suspicion && self.suspicions.confirm(&update.record.name, update.suspected_by) {
                    self.dissemination.enqueue(update);
                }
            }
        }
    }

    fn apply_to_unknown(
        &mut self,
        update: Update,
        now: Now,
        random: &mut Random,
        stats: &mut Stats,
        outputs: &mut Vec<Output>,
    ) {
        if self.members.is_full() {
            stats.ignored_updates += 1;
            return;
        }
        let Update { record, suspected_by } = &update;
        self.members.insert(record.clone(), now);
        // An absent member that was unknown is not reported as a change. It is inserted nevertheless, since
        // older updates that claim that it is present may still arrive.
        if record.state.is_present() {
            outputs.push(state_change(record, None));
            self.probe_schedule.insert_at_random(record.name.clone(), random);
        }
        if record.state == MemberState::Suspect {
            stats.suspicions += 1;
            self.suspicions.start(&record.name, *suspected_by, now);
        }
        self.dissemination.enqueue(update);
    }

    fn apply_override(&mut self, update: Update, now: Now, stats: &mut Stats, outputs: &mut Vec<Output>) {
        let Update { record, suspected_by } = &update;
        let Some(before) = self.members.replace(record.clone(), now) else { return };
        if before == MemberState::Suspect && record.state == MemberState::Alive {
            stats.peer_refutations += 1;
        }
        if record.state == MemberState::Suspect {
            stats.suspicions += 1;
            self.suspicions.start(&record.name, *suspected_by, now);
        } else {
            self.suspicions.remove(&record.name);
        }
        if before != record.state {
            outputs.push(state_change(record, Some(before)));
        }
        if !before.is_present() && record.state.is_present() {
            self.probe_schedule.push_next(record.name.clone());
        }
        self.dissemination.enqueue(update);
    }
}

fn state_change(record: &Record, from: Option<MemberState>) -> Output {
    Output::StateChanged(StateChange {
        name: record.name.clone(),
        from,
        to: record.state,
        incarnation: record.incarnation,
    })
}
