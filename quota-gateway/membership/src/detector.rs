//! The failure detector of one member, without I/O.
//!
//! Each protocol period runs through the modules as follows:
//!
//! 1. The probe schedule provides the next target, and a ping is sent to it (`probe`). Without an ack in
//!    time, helpers probe the target as well, since the loss may be limited to the path between these two
//!    members.
//! 2. A target that has not acknowledged any probe by the end of the period becomes suspect. The local health
//!    score, which lengthens periods and timeouts, estimates whether this process itself is slow
//!    (`local_health`).
//! 3. A suspect that does not refute the suspicion in time is declared failed (`suspicion`).
//! 4. Each change enters the view (`view`, `members`) and is gossiped on the messages of all these steps
//!    (`dissemination`).
//!
//! In addition, full states are synchronized periodically, since gossip reaches only known members, and a
//! member that joins or returns from a network partition has few in its view.

mod dissemination;
mod local_health;
mod members;
mod probe;
mod suspicion;
mod view;

pub use members::{PeerView, MAX_MEMBERS};

use crate::config::{Config, Now};
use crate::output::{Output, Stats};
use crate::record::{MemberState, Name, Record, MAX_INCARNATION};
use crate::wire::{Kind, Message, Update};
use local_health::LocalHealth;
use marblecroft_quota_gateway_core::Random;
use probe::{Probe, RelayedProbe, RelayedProbes};
use std::net::SocketAddrV4;
use std::time::Duration;
use suspicion::SuspicionTimeout;
use view::View;

/// The number of helpers that are asked to probe a member that does not acknowledge (SWIM: k).
const INDIRECT_PROBES: usize = 3;
/// The fraction of a protocol period for the direct probe. The rest is for the indirect probes.
const DIRECT_PROBE_SHARE: f64 = 0.4;
/// The fraction of the direct probe's timeout after which a helper responds with a nack (Lifeguard).
const NACK_SHARE: f64 = 0.8;
/// How long absent members are kept in the table, so that old updates do not mark them as present again. This
/// is longer than an update is gossiped: more than twice the longest suspicion among a thousand members.
const ABSENT_RETENTION_PERIODS: f64 = 200.0;
/// The mean interval between synchronizations with a random member.
const SYNC_INTERVAL_PERIODS: f64 = 30.0;
/// The mean delay until the next synchronization if the last one provided updates.
const FOLLOW_UP_SYNC_DELAY_PERIODS: f64 = 2.0;
/// The mean interval between synchronizations while no other member is present.
const JOIN_SYNC_INTERVAL_PERIODS: f64 = 1.0;
/// The fraction of synchronizations that are made with a seed, whether or not the seed counts as present.
const SEED_SYNC_SHARE: f64 = 0.2;
/// The delay of a tick beyond which this process is assumed to have been paused.
const PAUSE_THRESHOLD_PERIODS: f64 = 0.5;
/// The number of members to which a leaving member announces its departure.
const LEAVE_FANOUT: usize = 8;

/// The failure detector of one member.
///
/// The caller passes in received messages and states, calls [`on_tick`](Self::on_tick) at
/// [`wake_at`](Self::wake_at), and executes the [`Output`]s in order. A detector that has left or was
/// displaced ignores all input.
pub struct FailureDetector {
    config: Config,
    random: Random,
    incarnation: u64,
    view: View,
    /// The probe of this protocol period; `None` if there was no target.
    probe: Option<Probe>,
    relayed_probes: RelayedProbes,
    /// The sequence number of the latest ping.
    seq: u32,
    period_ends_at: Now,
    next_sync_at: Now,
    local_health: LocalHealth,
    leaving: bool,
    displaced: bool,
    wake_at: Now,
    stats: Stats,
}

impl FailureDetector {
    /// Returns the detector of a starting member.
    ///
    /// The incarnation should exceed that of the member's former processes. The wall-clock time in
    /// milliseconds is suitable. If the incarnation is too low, the member refutes the others' claims about
    /// its former process by raising its incarnation.
    pub fn new(config: Config, incarnation: u64, seed: u64, now: Now) -> FailureDetector {
        let mut random = Random(seed);
        // The random offset spreads the periods of members that start together.
        let period_ends_at = now + config.period.mul_f64(random.uniform());
        FailureDetector {
            incarnation: incarnation.min(MAX_INCARNATION),
            view: View::default(),
            probe: None,
            relayed_probes: RelayedProbes::default(),
            seq: 0,
            period_ends_at,
            next_sync_at: now,
            local_health: LocalHealth::default(),
            leaving: false,
            displaced: false,
            wake_at: now,
            stats: Stats::default(),
            random,
            config,
        }
    }

    /// Returns when [`on_tick`](Self::on_tick) must be called next. Each input may change this time.
    pub fn wake_at(&self) -> Now {
        self.wake_at
    }

    /// Returns this member's current incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns whether another process with this member's name took precedence.
    pub fn is_displaced(&self) -> bool {
        self.displaced
    }

    /// Returns the local health score, from 0 (healthy) to 8 (Lifeguard).
    pub fn local_health(&self) -> u32 {
        self.local_health.score()
    }

    /// Returns the counters since the start.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Returns the claims about all known members, this member's own claim first unless it is displaced.
    pub fn full_state(&self) -> Vec<Record> {
        let local = (!self.displaced).then(|| self.local_record());
        local.into_iter().chain(self.view.members.records().cloned()).collect()
    }

    /// Returns the other known members, present or not, in the order of their names.
    pub fn peers(&self, now: Now) -> impl Iterator<Item = PeerView<'_>> {
        self.view.members.views(now)
    }

    /// Returns the number of present members, including this one.
    pub fn present_count(&self) -> usize {
        self.view.members.count_present() + usize::from(!self.is_stopped())
    }

    /// Returns whether the present members reach [`Config::min_share`] of the expected ones.
    pub fn is_view_sufficient(&self) -> bool {
        self.present_count() as f64 >= self.config.min_share * f64::from(self.config.expected)
    }

    /// Returns a hash of the names and incarnations of the present members. Equal views have equal hashes.
    pub fn digest(&self) -> u64 {
        let state = self.full_state();
        let present = state.iter().filter(|record| record.state.is_present());
        present.fold(0, |sum: u64, record| {
            let bytes = record.name.as_str().bytes().chain(record.incarnation.to_le_bytes());
            // 64-bit FNV-1a.
            let hash = bytes
                .fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
            sum.wrapping_add(hash ^ (hash >> 29))
        })
    }

    /// Handles a message whose datagram has been authenticated.
    pub fn handle_message(&mut self, now: Now, message: Message, outputs: &mut Vec<Output>) {
        if self.is_stopped() {
            return;
        }
        let Message { from, from_addr, kind, updates } = message;
        self.view.members.on_message_from(&from, now);
        for update in updates {
            self.apply_update(update, now, outputs);
        }
        match kind {
            Kind::Ping { seq, target } => self.handle_ping(&from, from_addr, seq, &target, outputs),
            Kind::Ack { seq } => {
                if let Some(relayed) = self.relayed_probes.take(seq) {
                    // The wake time does not change. It may now be earlier than needed, which does no harm.
                    return self.send(
                        relayed.requester,
                        Kind::Ack { seq: relayed.requester_seq },
                        None,
                        outputs,
                    );
                }
                self.handle_ack(seq);
            }
            Kind::PingReq { seq, target, addr } => {
                self.handle_ping_req(now, from_addr, seq, target, addr, outputs);
            }
            Kind::Nack { seq } => {
                if let Some(probe) = &mut self.probe {
                    probe.handle_nack(seq);
                }
            }
            Kind::Gossip => {}
        }
        self.update_wake_at();
    }

    fn handle_ping(
        &mut self,
        from: &Name,
        from_addr: SocketAddrV4,
        seq: u32,
        target: &Name,
        outputs: &mut Vec<Output>,
    ) {
        // A ping to another member that had this address before must fail.
        if *target == self.config.name {
            self.send(from_addr, Kind::Ack { seq }, Some(from), outputs);
        }
    }

    fn handle_ack(&mut self, seq: u32) {
        if self.probe.as_mut().is_some_and(|probe| probe.handle_ack(seq)) {
            self.stats.acknowledged += 1;
            self.local_health.improve();
        }
    }

    fn handle_ping_req(
        &mut self,
        now: Now,
        requester: SocketAddrV4,
        requester_seq: u32,
        target: Name,
        target_addr: SocketAddrV4,
        outputs: &mut Vec<Output>,
    ) {
        if self.relayed_probes.is_full() || target == self.config.name {
            return;
        }
        let seq = self.next_seq();
        let nack_at = now + self.periods(DIRECT_PROBE_SHARE * NACK_SHARE);
        self.relayed_probes.insert(seq, RelayedProbe { requester, requester_seq, nack_at });
        self.send(target_addr, Kind::Ping { seq, target: target.clone() }, Some(&target), outputs);
    }

    /// Handles another member's full state, received as a result of [`Output::Synchronize`].
    pub fn handle_full_state(&mut self, now: Now, records: Vec<Record>, outputs: &mut Vec<Output>) {
        if self.is_stopped() {
            return;
        }
        let suspected_by = self.config.name.fingerprint();
        let enqueued_before = self.view.dissemination.enqueued();
        for record in records {
            self.apply_update(Update { record, suspected_by }, now, outputs);
        }
        if self.view.dissemination.enqueued() != enqueued_before {
            let follow_up_at = now + self.jittered_periods(FOLLOW_UP_SYNC_DELAY_PERIODS);
            self.next_sync_at = self.next_sync_at.min(follow_up_at);
        }
        self.update_wake_at();
    }

    /// Leaves the cluster: announces the departure to some members, which gossip it, and stops.
    pub fn leave(&mut self, outputs: &mut Vec<Output>) {
        if std::mem::replace(&mut self.leaving, true) || self.displaced {
            return;
        }
        let update = Update { record: self.local_record(), suspected_by: 0 };
        for name in self.view.members.sample_present(LEAVE_FANOUT, &mut self.random) {
            let Some(to) = self.addr_of(&name) else { continue };
            let message = Message { updates: vec![update.clone()], ..self.empty_message(Kind::Gossip) };
            outputs.push(Output::Send { to, message });
        }
    }

    /// Executes the actions that are due: nacks for relayed probes, indirect probes, the end of the period,
    /// expired suspicions and synchronization.
    pub fn on_tick(&mut self, now: Now, outputs: &mut Vec<Output>) {
        if self.is_stopped() {
            self.wake_at = now + self.config.period;
            return;
        }
        let delay = now.saturating_sub(self.wake_at);
        if delay > self.periods(PAUSE_THRESHOLD_PERIODS) {
            self.on_pause(delay, now);
        }
        while let Some(relayed) = self.relayed_probes.take_expired(now) {
            self.send(relayed.requester, Kind::Nack { seq: relayed.requester_seq }, None, outputs);
        }
        if self.probe.as_ref().and_then(Probe::indirect_probes_at).is_some_and(|at| now >= at) {
            self.request_indirect_probes(outputs);
        }
        if now >= self.period_ends_at {
            self.on_period_end(now, outputs);
        }
        self.fail_expired_suspects(now, outputs);
        if now >= self.next_sync_at {
            self.synchronize(now, outputs);
        }
        self.update_wake_at();
    }

    /// Discards the probes that were running during a pause of this process, and extends all suspicions by
    /// it. Messages that this process missed are no evidence against other members.
    fn on_pause(&mut self, pause: Duration, now: Now) {
        self.local_health.saturate();
        self.probe = None;
        self.relayed_probes.clear();
        self.view.suspicions.extend_all(pause);
        self.period_ends_at = now + self.config.period;
    }

    fn request_indirect_probes(&mut self, outputs: &mut Vec<Output>) {
        let Some(probe) = &mut self.probe else { return };
        let (seq, target) = (probe.seq, probe.target.clone());
        // Suspects are not asked, since they may be slow themselves.
        let helpers = self.view.members.sample(INDIRECT_PROBES, &mut self.random, |record| {
            record.state == MemberState::Alive && record.name != target
        });
        let Some(target_addr) = self.view.members.get(&target).map(|member| member.record.addr) else {
            return;
        };
        probe.on_helpers_requested(helpers.len());
        for helper in helpers {
            if let Some(to) = self.addr_of(&helper) {
                let kind = Kind::PingReq { seq, target: target.clone(), addr: target_addr };
                self.send(to, kind, Some(&helper), outputs);
            }
        }
    }

    /// Ends the protocol period: evaluates its probe, and starts the next period.
    fn on_period_end(&mut self, now: Now, outputs: &mut Vec<Output>) {
        if let Some(probe) = self.probe.take().filter(|probe| !probe.is_acknowledged()) {
            self.local_health.worsen(probe.missed_messages());
            self.suspect(&probe.target, now, outputs);
        }
        let multiplier = self.local_health.multiplier();
        self.period_ends_at = now + self.periods(multiplier);
        let retention = self.periods(ABSENT_RETENTION_PERIODS);
        self.view.members.remove_absent_for(retention, now);
        let View { members, probe_schedule, .. } = &mut self.view;
        let Some(target) = probe_schedule.next_target(members, &mut self.random) else { return };
        let Some(addr) = self.addr_of(&target) else { return };
        let seq = self.next_seq();
        self.stats.probes += 1;
        let direct_deadline = now + self.periods(DIRECT_PROBE_SHARE * multiplier);
        self.probe = Some(Probe::new(target.clone(), seq, direct_deadline));
        self.send(addr, Kind::Ping { seq, target: target.clone() }, Some(&target), outputs);
    }

    fn suspect(&mut self, name: &Name, now: Now, outputs: &mut Vec<Output>) {
        let Some(member) = self.view.members.get(name).filter(|member| member.record.state.is_present())
        else {
            return;
        };
        let record = Record { state: MemberState::Suspect, ..member.record.clone() };
        let suspected_by = self.config.name.fingerprint();
        self.apply_update(Update { record, suspected_by }, now, outputs);
    }

    fn fail_expired_suspects(&mut self, now: Now, outputs: &mut Vec<Output>) {
        // All use the timeout for the current member count, although each failure lowers the count.
        for name in self.view.suspicions.expired(now, &self.suspicion_timeout()) {
            if let Some(member) = self.view.members.get(&name) {
                let record = Record { state: MemberState::Failed, ..member.record.clone() };
                self.apply_update(Update { record, suspected_by: 0 }, now, outputs);
            }
            self.view.suspicions.remove(&name);
        }
    }

    /// Synchronizes with a random member or a seed.
    fn synchronize(&mut self, now: Now, outputs: &mut Vec<Output>) {
        let peer = self.view.members.sample_present(1, &mut self.random).pop();
        let mut with = peer.and_then(|name| self.addr_of(&name));
        let is_alone = with.is_none();
        // Seeds are also used when other members are present. The two sides of a partition each consider the
        // other side failed, and find each other again through a seed.
        if is_alone || self.random.uniform() < SEED_SYNC_SHARE {
            let seeds = &self.config.seeds;
            let seed = (self.random.uniform() * seeds.len() as f64) as usize;
            with = seeds.get(seed).copied().or(with);
        }
        if let Some(with) = with.filter(|with| *with != self.config.addr) {
            outputs.push(Output::Synchronize { with });
        }
        let interval = if is_alone { JOIN_SYNC_INTERVAL_PERIODS } else { SYNC_INTERVAL_PERIODS };
        self.next_sync_at = now + self.jittered_periods(interval);
    }

    fn apply_update(&mut self, update: Update, now: Now, outputs: &mut Vec<Output>) {
        if update.record.incarnation > MAX_INCARNATION {
            return;
        }
        if update.record.name == self.config.name {
            return self.handle_claim_about_self(update.record, outputs);
        }
        self.view.apply(update, now, &mut self.random, &mut self.stats, outputs);
    }

    /// Refutes a claim of others about this member, unless it agrees with this member's own claim. The
    /// refutation has a higher incarnation, which overrides their claim (SWIM, section 4.2).
    fn handle_claim_about_self(&mut self, claim: Record, outputs: &mut Vec<Output>) {
        if claim.incarnation < self.incarnation {
            return;
        }
        let other_process = claim.addr != self.config.addr;
        if other_process && claim.state == MemberState::Alive {
            // Two processes have this name. The one that was started later has the higher incarnation and
            // takes precedence, since it reflects the operators' latest action. At equal incarnations, the
            // higher address takes precedence, an arbitrary choice that is the same for all members.
            if (claim.incarnation, claim.addr) > (self.incarnation, self.config.addr) {
                self.displaced = true;
                outputs.push(Output::Displaced { by: claim.addr });
                return;
            }
        } else if claim.state == MemberState::Alive && claim.incarnation == self.incarnation {
            return;
        }
        if claim.state == MemberState::Suspect {
            // A suspected member may be too slow to respond in time (Lifeguard).
            self.stats.local_refutations += 1;
            self.local_health.worsen(1);
        }
        self.incarnation = (claim.incarnation + 1).min(MAX_INCARNATION);
        let refutation = Update { record: self.local_record(), suspected_by: 0 };
        self.view.dissemination.enqueue(refutation);
    }

    /// Sends a message with as many updates as fit. If the recipient is suspected, the suspicion is the first
    /// update, so that the recipient can refute it at once (Lifeguard's buddy system).
    fn send(&mut self, to: SocketAddrV4, kind: Kind, recipient: Option<&Name>, outputs: &mut Vec<Output>) {
        let mut message = self.empty_message(kind);
        let suspect = recipient
            .and_then(|name| self.view.members.get(name))
            .filter(|member| member.record.state == MemberState::Suspect);
        if let Some(member) = suspect {
            let record = member.record.clone();
            let suspected_by = self.view.suspicions.first_suspector(&record.name).unwrap_or(0);
            message.updates.push(Update { record, suspected_by });
        }
        let decades = self.decades();
        self.view.dissemination.piggyback(&mut message, decades);
        outputs.push(Output::Send { to, message });
    }

    fn empty_message(&self, kind: Kind) -> Message {
        Message { from: self.config.name.clone(), from_addr: self.config.addr, kind, updates: Vec::new() }
    }

    fn local_record(&self) -> Record {
        Record {
            name: self.config.name.clone(),
            addr: self.config.addr,
            zone: self.config.zone.clone(),
            incarnation: self.incarnation,
            state: if self.leaving { MemberState::Left } else { MemberState::Alive },
        }
    }

    fn is_stopped(&self) -> bool {
        self.displaced || self.leaving
    }

    fn addr_of(&self, name: &Name) -> Option<SocketAddrV4> {
        self.view.members.get(name).map(|member| member.record.addr)
    }

    fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    fn periods(&self, count: f64) -> Duration {
        self.config.period.mul_f64(count)
    }

    /// Returns a random duration from 0.5 to 1.5 times the mean in periods, so that members do not act
    /// simultaneously.
    fn jittered_periods(&mut self, mean: f64) -> Duration {
        let jitter = 0.5 + self.random.uniform();
        self.periods(mean * jitter)
    }

    /// Returns the decimal logarithm of the member count, at least 1.
    fn decades(&self) -> f64 {
        (self.present_count() as f64).log10().max(1.0)
    }

    fn suspicion_timeout(&self) -> SuspicionTimeout {
        SuspicionTimeout::new(self.config.period, self.present_count(), self.decades())
    }

    fn update_wake_at(&mut self) {
        let indirect_probes_at = self.probe.as_ref().and_then(Probe::indirect_probes_at);
        let nack_at = self.relayed_probes.next_nack_at();
        // Without suspicions, the timeout is not computed, since counting the present members for each
        // message is expensive.
        let has_suspects = !self.view.suspicions.is_empty();
        let expiry =
            has_suspects.then(|| self.view.suspicions.next_expiry(&self.suspicion_timeout())).flatten();
        let due = [indirect_probes_at, nack_at, expiry].into_iter().flatten();
        self.wake_at = due.fold(self.period_ends_at.min(self.next_sync_at), Now::min);
    }
}
