//! The failure detector, without I/O: messages and time in; messages, exchanges and changes out.

use crate::record::{Name, Record, State, MAX_INCARNATION};
use crate::wire::{self, Kind, Message, Update};
use marblecroft_quota_gateway_core::Random;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

/// A caller's clock that is never set, from any origin.
pub type Now = Duration;

/// Others who are asked to probe a member that does not answer (SWIM: k).
const HELPERS: usize = 3;
/// A direct probe has this part of a protocol period; what is left is the helpers'.
const DIRECT_PROBE_SHARE: f64 = 0.4;
/// Part of the direct probe's time after which a helper says that it has no answer either (Lifeguard).
const NACK_SHARE: f64 = 0.8;
/// The worst that a member holds its own health for (Lifeguard: S).
const HEALTH_WORST: u32 = 8;
/// A suspicion lasts this many periods for each tenfold of members, once enough others confirm it (Lifeguard: alpha) ...
const SUSPICION_ALPHA: f64 = 4.0;
/// ... and this many times as long while nobody does (beta) ...
const SUSPICION_BETA: f64 = 6.0;
/// ... and so many others are enough (K).
const CONFIRMERS: usize = 3;
/// News is passed on so many times for each tenfold of members (SWIM: lambda).
const SPREAD: f64 = 4.0;
/// Those gone are remembered for this many periods, so that old news does not bring them back. Longer than any news
/// travels: a suspicion's longest time for a thousand members, and as much again.
const REMEMBERED: f64 = 200.0;
/// Whole states are exchanged every so many periods, with a member by chance ...
const EXCHANGE_EVERY: f64 = 30.0;
/// ... and after so many while they still bring news: what a probe carries reaches those who are known, and whoever joins, or
/// comes back from behind a cut, knows few.
const EXCHANGE_SOON: f64 = 2.0;
/// Part of the exchanges that are with a seed, whether it is held for present or not.
const SEED_EXCHANGE_SHARE: f64 = 0.2;
/// A wake that comes later than this part of a period was this process's own standing still.
const STOOD_STILL: f64 = 0.5;
/// Members there may be, present or remembered. What is told beyond is passed over and counted.
pub const MAX_MEMBERS: usize = 2048;
/// Probes on behalf of others at once; further ones are left to other helpers.
const MAX_RELAYS: usize = 64;
/// Members who are told of a leave at once.
const FAREWELLS: usize = 8;

#[derive(Clone, Debug)]
pub struct Settings {
    pub name: Name,
    pub addr: SocketAddrV4,
    pub zone: Name,
    /// Whom to ask for the others, any of which may be down.
    pub seeds: Vec<SocketAddrV4>,
    /// A protocol period.
    pub period: Duration,
    /// Members that there should be, this one included.
    pub expected: u32,
    /// The view is enough for users of shared state if it holds this share of them.
    pub least_share: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send {
        to: SocketAddrV4,
        message: Message,
    },
    /// Exchange whole states: tell [`Core::state`], and have what comes back [`Core::exchanged`].
    Exchange {
        with: SocketAddrV4,
    },
    Changed(Change),
    /// Another process lives under this name, and started later: this one takes no part any more.
    Displaced {
        by: SocketAddrV4,
    },
}

/// A member's state has changed, in the order in which it became known here.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub name: Name,
    pub from: Option<State>,
    pub to: State,
    pub incarnation: u64,
}

/// Figures for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    pub probes: u64,
    pub acknowledged: u64,
    pub suspicions: u64,
    /// Suspicions of this member that it refuted, and of others that were.
    pub refuted_own: u64,
    pub refuted: u64,
    /// What was told of members beyond the most that are kept.
    pub passed_over: u64,
}

struct Member {
    record: Record,
    /// When something came from it, or was first told of it.
    heard: Now,
    /// When it was held for gone.
    gone: Option<Now>,
}

/// A member of the view.
#[derive(Clone, Debug)]
pub struct Seen<'a> {
    pub record: &'a Record,
    /// Time since it was last heard of directly.
    pub silent: Duration,
}

struct Suspicion {
    since: Now,
    /// Who suspects it, as far as that counts.
    by: BTreeSet<u32>,
    /// What the suspicion's time is lengthened by: this process did not listen.
    deaf: Duration,
}

struct Probe {
    target: Name,
    seq: u32,
    /// When helpers are asked, and whether they were.
    direct_until: Now,
    helpers: u32,
    helpers_asked: bool,
    nacks: u32,
    answered: bool,
}

/// A probe on another's behalf.
struct Relay {
    origin: SocketAddrV4,
    origin_seq: u32,
    nack_at: Now,
}

struct PendingUpdate {
    update: Update,
    sent: u32,
}

pub struct Core {
    settings: Settings,
    random: Random,
    incarnation: u64,
    /// The others.
    members: BTreeMap<Name, Member>,
    suspicions: BTreeMap<Name, Suspicion>,
    news: BTreeMap<Name, PendingUpdate>,
    /// Whom to probe next, the next one last: each is probed once in a round.
    round: Vec<Name>,
    probe: Option<Probe>,
    relays: BTreeMap<u32, Relay>,
    seq: u32,
    /// When the protocol period that runs ends.
    period_end: Now,
    next_exchange: Now,
    /// Own health, 0 for good (Lifeguard: local health multiplier).
    health: u32,
    /// How often something was news here.
    news_heard: u64,
    leaving: bool,
    displaced: bool,
    /// When the caller is to call again.
    wake_at: Now,
    pub figures: Figures,
}

/// Who suspects, in four bytes (FNV-1a).
fn short(name: &Name) -> u32 {
    name.as_str().bytes().fold(0x811c_9dc5, |h: u32, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193))
}

impl Core {
    /// A member that starts. Its incarnation must be higher than that of its former lives: the time in milliseconds will
    /// do, and where it does not the others say so, and it goes beyond.
    pub fn new(settings: Settings, incarnation: u64, seed: u64, now: Now) -> Core {
        let mut random = Random(seed);
        // All that start together begin their periods apart.
        let period_end = now + settings.period.mul_f64(random.uniform());
        Core {
            incarnation: incarnation.min(MAX_INCARNATION),
            members: BTreeMap::new(),
            suspicions: BTreeMap::new(),
            news: BTreeMap::new(),
            round: Vec::new(),
            probe: None,
            relays: BTreeMap::new(),
            seq: 0,
            period_end,
            next_exchange: now,
            health: 0,
            news_heard: 0,
            leaving: false,
            displaced: false,
            wake_at: now,
            figures: Figures::default(),
            random,
            settings,
        }
    }

    /// When to call [`Core::wake`] next.
    pub fn wake_at(&self) -> Now {
        self.wake_at
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    pub fn displaced(&self) -> bool {
        self.displaced
    }

    /// How badly this process holds itself to be served, from 0 to 8.
    pub fn health(&self) -> u32 {
        self.health
    }

    fn local_record(&self) -> Record {
        Record {
            name: self.settings.name.clone(),
            addr: self.settings.addr,
            zone: self.settings.zone.clone(),
            incarnation: self.incarnation,
            state: if self.leaving { State::Left } else { State::Alive },
        }
    }

    /// All that is known, this member included.
    pub fn state(&self) -> Vec<Record> {
        let own = (!self.displaced).then(|| self.local_record());
        own.into_iter().chain(self.members.values().map(|member| member.record.clone())).collect()
    }

    /// The others, present or not.
    pub fn others(&self, now: Now) -> impl Iterator<Item = Seen<'_>> {
        self.members
            .values()
            .map(move |member| Seen { record: &member.record, silent: now.saturating_sub(member.heard) })
    }

    /// Members that count as present, this one included.
    pub fn present(&self) -> usize {
        let others = self.members.values().filter(|member| member.record.state.present()).count();
        others + usize::from(!self.leaving && !self.displaced)
    }

    /// Whether the view holds enough of the members that there should be, for users of what they share.
    pub fn enough(&self) -> bool {
        self.present() as f64 >= self.settings.least_share * f64::from(self.settings.expected)
    }

    /// One number for who is present and in which incarnation; two members with the same view have the same.
    pub fn digest(&self) -> u64 {
        self.state().iter().filter(|record| record.state.present()).fold(0, |sum: u64, record| {
            let bytes = record.name.as_str().bytes().chain(record.incarnation.to_le_bytes());
            let hash = bytes
                .fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
            sum.wrapping_add(hash ^ (hash >> 29))
        })
    }

    fn scaled(&self, times: f64) -> Duration {
        self.settings.period.mul_f64(times)
    }

    /// Tenfolds of members, one at least.
    fn tenfolds(&self) -> f64 {
        (self.present() as f64).log10().max(1.0)
    }

    /// When suspicions are over: the sooner, the more others suspect the same (Lifeguard).
    fn suspicion_ends(&self) -> impl Fn(&Suspicion) -> Now {
        let least = SUSPICION_ALPHA * self.tenfolds();
        // With few members there are few to confirm it.
        let enough = CONFIRMERS.min(self.present().saturating_sub(2));
        let period = self.settings.period;
        move |suspicion| {
            let others = suspicion.by.len().saturating_sub(1).min(enough);
            let left =
                if enough == 0 { 0.0 } else { 1.0 - ((others + 1) as f64).ln() / ((enough + 1) as f64).ln() };
            let periods = least * (1.0 + (SUSPICION_BETA - 1.0) * left);
            suspicion.since + period.mul_f64(periods) + suspicion.deaf
        }
    }

    /// Takes a message in.
    pub fn receive(&mut self, now: Now, message: Message, out: &mut Vec<Action>) {
        if self.displaced || self.leaving {
            return;
        }
        let Message { from, from_addr, kind, updates } = message;
        if let Some(member) = self.members.get_mut(&from) {
            member.heard = now;
        }
        for update in updates {
            self.on_update(update, now, out);
        }
        match kind {
            Kind::Ping { seq, target } => {
                // One that was meant for another, who had this address before, has no answer.
                if target == self.settings.name {
                    self.send(from_addr, Kind::Ack { seq }, Some(&from), out);
                }
            }
            Kind::Ack { seq } => {
                if let Some(relay) = self.relays.remove(&seq) {
                    return self.send(relay.origin, Kind::Ack { seq: relay.origin_seq }, None, out);
                }
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq && !probe.answered) {
                    probe.answered = true;
                    self.figures.acknowledged += 1;
                    self.health = self.health.saturating_sub(1);
                }
            }
            Kind::PingReq { seq, target, addr } => {
                if self.relays.len() < MAX_RELAYS && target != self.settings.name {
                    let own = self.next_seq();
                    let nack_at = now + self.scaled(DIRECT_PROBE_SHARE * NACK_SHARE);
                    self.relays.insert(own, Relay { origin: from_addr, origin_seq: seq, nack_at });
                    self.send(addr, Kind::Ping { seq: own, target: target.clone() }, Some(&target), out);
                }
            }
            Kind::Nack { seq } => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq) {
                    probe.nacks += 1;
                }
            }
            Kind::News => {}
        }
        self.set_wake();
    }

    /// What another member holds, whole.
    pub fn exchanged(&mut self, now: Now, records: Vec<Record>, out: &mut Vec<Action>) {
        if self.displaced || self.leaving {
            return;
        }
        let (by, before) = (short(&self.settings.name), self.news_heard);
        for record in records {
            self.on_update(Update { record, by }, now, out);
        }
        if self.news_heard != before {
            let apart = 0.5 + self.random.uniform();
            let soon = now + self.scaled(EXCHANGE_SOON * apart);
            self.next_exchange = self.next_exchange.min(soon);
        }
        self.set_wake();
    }

    /// Leaves in good order: tells some of the others, who pass it on.
    pub fn leave(&mut self, out: &mut Vec<Action>) {
        if std::mem::replace(&mut self.leaving, true) || self.displaced {
            return;
        }
        let update = Update { record: self.local_record(), by: 0 };
        for name in self.some(FAREWELLS, None) {
            let Some(member) = self.members.get(&name) else { continue };
            let message = Message {
                from: self.settings.name.clone(),
                from_addr: self.settings.addr,
                kind: Kind::News,
                updates: vec![update.clone()],
            };
            out.push(Action::Send { to: member.record.addr, message });
        }
    }

    /// Something is said of a member.
    fn on_update(&mut self, update: Update, now: Now, out: &mut Vec<Action>) {
        let Update { record, by } = update;
        if record.incarnation > MAX_INCARNATION {
            return;
        }
        if record.name == self.settings.name {
            return self.on_update_of_self(record, out);
        }
        let Some(member) = self.members.get_mut(&record.name) else {
            if self.members.len() >= MAX_MEMBERS {
                self.figures.passed_over += 1;
                return;
            }
            let state = record.state;
            let gone = (!state.present()).then_some(now);
            self.members.insert(record.name.clone(), Member { record: record.clone(), heard: now, gone });
            // One that is gone and was never here is no change, but is remembered.
            if state.present() {
                self.changed(&record, None, out);
                let at = (self.random.uniform() * (self.round.len() + 1) as f64) as usize;
                self.round.insert(at, record.name.clone());
            }
            if state == State::Suspect {
                self.suspected(&record.name, by, now);
            }
            return self.spread(Update { record, by });
        };
        if !record.overrides(&member.record) {
            // A further one who suspects it shortens its time, and is news as long as that counts.
            let again = record.state == State::Suspect && record.incarnation == member.record.incarnation;
            if let Some(suspicion) = self.suspicions.get_mut(&record.name).filter(|_| again) {
                if suspicion.by.len() <= CONFIRMERS && suspicion.by.insert(by) {
                    self.spread(Update { record, by });
                }
            }
            return;
        }
        let before = std::mem::replace(&mut member.record, record.clone()).state;
        member.gone = if record.state.present() { None } else { member.gone.or(Some(now)) };
        if before == State::Suspect && record.state == State::Alive {
            self.figures.refuted += 1;
        }
        if record.state == State::Suspect {
            self.suspicions.remove(&record.name);
            self.suspected(&record.name, by, now);
        } else {
            self.suspicions.remove(&record.name);
        }
        if before != record.state {
            self.changed(&record, Some(before), out);
        }
        if !before.present() && record.state.present() {
            self.round.push(record.name.clone());
        }
        self.spread(Update { record, by });
    }

    /// What others hold of this member must be what it says itself.
    fn on_update_of_self(&mut self, record: Record, out: &mut Vec<Action>) {
        if record.incarnation < self.incarnation {
            return;
        }
        let elsewhere = record.addr != self.settings.addr;
        if elsewhere && record.state == State::Alive {
            // Two processes have this name. The one that started later keeps it, which is the operators' last word; with
            // one incarnation, the one at the higher address, as good as any.
            if (record.incarnation, record.addr) > (self.incarnation, self.settings.addr) {
                self.displaced = true;
                out.push(Action::Displaced { by: record.addr });
                return;
            }
        } else if record.state == State::Alive && record.incarnation == self.incarnation {
            return;
        }
        if record.state == State::Suspect {
            // Lifeguard: whoever is suspected may be too slow.
            self.figures.refuted_own += 1;
            self.health = (self.health + 1).min(HEALTH_WORST);
        }
        self.incarnation = (record.incarnation + 1).min(MAX_INCARNATION);
        self.spread(Update { record: self.local_record(), by: 0 });
    }

    fn suspected(&mut self, name: &Name, by: u32, now: Now) {
        self.figures.suspicions += 1;
        let suspicion = Suspicion { since: now, by: BTreeSet::from([by]), deaf: Duration::ZERO };
        self.suspicions.insert(name.clone(), suspicion);
    }

    fn changed(&self, record: &Record, from: Option<State>, out: &mut Vec<Action>) {
        let (name, to, incarnation) = (record.name.clone(), record.state, record.incarnation);
        out.push(Action::Changed(Change { name, from, to, incarnation }));
    }

    /// Has something passed on.
    fn spread(&mut self, update: Update) {
        self.news_heard += 1;
        self.news.insert(update.record.name.clone(), PendingUpdate { update, sent: 0 });
    }

    fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    /// Some present others by chance; to help with a probe, none that is itself suspected.
    fn some(&mut self, most: usize, but: Option<&Name>) -> Vec<Name> {
        let helps = |state: State| if but.is_some() { state == State::Alive } else { state.present() };
        let present = |member: &&Member| helps(member.record.state);
        let mut names: Vec<Name> =
            self.members.values().filter(present).map(|member| member.record.name.clone()).collect();
        names.retain(|name| Some(name) != but);
        for at in 0..most.min(names.len()) {
            let other = at + (self.random.uniform() * (names.len() - at) as f64) as usize;
            names.swap(at, other);
        }
        names.truncate(most);
        names
    }

    /// Sends a message with as much news as fits, what was sent least first; to a suspect that it is one (Lifeguard).
    fn send(&mut self, to: SocketAddrV4, kind: Kind, whom: Option<&Name>, out: &mut Vec<Action>) {
        let mut message = Message {
            from: self.settings.name.clone(),
            from_addr: self.settings.addr,
            kind,
            updates: Vec::new(),
        };
        let mut room = wire::remaining_bytes(&message);
        let suspect =
            whom.and_then(|name| self.members.get(name)).filter(|m| m.record.state == State::Suspect);
        if let Some(member) = suspect {
            let by =
                self.suspicions.get(&member.record.name).and_then(|s| s.by.first().copied()).unwrap_or(0);
            let update = Update { record: member.record.clone(), by };
            room = room.saturating_sub(wire::length(&update));
            message.updates.push(update);
        }
        let most = (SPREAD * self.tenfolds()).ceil() as u32;
        let mut order: Vec<(u32, &Name)> = self.news.iter().map(|(name, news)| (news.sent, name)).collect();
        if order.len() > wire::MAX_UPDATES {
            order.select_nth_unstable(wire::MAX_UPDATES);
            order.truncate(wire::MAX_UPDATES);
        }
        order.sort_unstable();
        let names: Vec<Name> = order.into_iter().map(|(_, name)| name.clone()).collect();
        for name in names {
            let Some(news) = self.news.get_mut(&name) else { continue };
            let length = wire::length(&news.update);
            if length > room || message.updates.len() >= wire::MAX_UPDATES {
                break;
            }
            room -= length;
            if suspect_is(&message, &name) {
                continue;
            }
            message.updates.push(news.update.clone());
            news.sent += 1;
            if news.sent >= most {
                self.news.remove(&name);
            }
        }
        out.push(Action::Send { to, message });
    }

    /// Does what is due.
    pub fn wake(&mut self, now: Now, out: &mut Vec<Action>) {
        if self.displaced || self.leaving {
            self.wake_at = now + self.settings.period;
            return;
        }
        let late = now.saturating_sub(self.wake_at);
        if late > self.scaled(STOOD_STILL) {
            self.stood_still(late, now);
        }
        self.end_relays(now, out);
        if let Some(probe) =
            self.probe.as_ref().filter(|p| !p.answered && !p.helpers_asked && now >= p.direct_until)
        {
            let (target, seq) = (probe.target.clone(), probe.seq);
            self.request_indirect_probes(&target, seq, out);
        }
        if now >= self.period_end {
            self.end_period(now, out);
        }
        self.end_suspicions(now, out);
        if now >= self.next_exchange {
            self.exchange(now, out);
        }
        self.set_wake();
    }

    /// This process did not run: what it did not hear proves nothing against the others.
    fn stood_still(&mut self, late: Duration, now: Now) {
        self.health = HEALTH_WORST;
        self.probe = None;
        self.relays.clear();
        self.suspicions.values_mut().for_each(|suspicion| suspicion.deaf += late);
        self.period_end = now + self.settings.period;
    }

    fn end_relays(&mut self, now: Now, out: &mut Vec<Action>) {
        while let Some(seq) = self.relays.iter().find(|(_, relay)| now >= relay.nack_at).map(|(seq, _)| *seq)
        {
            if let Some(relay) = self.relays.remove(&seq) {
                self.send(relay.origin, Kind::Nack { seq: relay.origin_seq }, None, out);
            }
        }
    }

    fn request_indirect_probes(&mut self, target: &Name, seq: u32, out: &mut Vec<Action>) {
        let helpers = self.some(HELPERS, Some(target));
        let Some(addr) = self.members.get(target).map(|member| member.record.addr) else { return };
        if let Some(probe) = &mut self.probe {
            (probe.helpers_asked, probe.helpers) = (true, helpers.len() as u32);
        }
        for helper in helpers {
            if let Some(to) = self.members.get(&helper).map(|member| member.record.addr) {
                let kind = Kind::PingReq { seq, target: target.clone(), addr };
                self.send(to, kind, Some(&helper), out);
            }
        }
    }

    /// Judges the probe of the period that ends, and begins the next.
    fn end_period(&mut self, now: Now, out: &mut Vec<Action>) {
        if let Some(probe) = self.probe.take().filter(|probe| !probe.answered) {
            // Helpers who do not even say that they have no answer: it is this process that hears nothing (Lifeguard).
            let missed = if probe.helpers > 0 { probe.helpers.saturating_sub(probe.nacks) } else { 1 };
            self.health = (self.health + missed).min(HEALTH_WORST);
            self.suspect(&probe.target, now, out);
        }
        let health = f64::from(self.health + 1);
        self.period_end = now + self.scaled(health);
        self.members.retain(|_, member| {
            member.gone.is_none_or(|gone| now.saturating_sub(gone) < self.settings.period.mul_f64(REMEMBERED))
        });
        let Some(target) = self.next_target() else { return };
        let Some(addr) = self.members.get(&target).map(|member| member.record.addr) else { return };
        let seq = self.next_seq();
        self.figures.probes += 1;
        self.probe = Some(Probe {
            target: target.clone(),
            seq,
            direct_until: now + self.scaled(DIRECT_PROBE_SHARE * health),
            helpers: 0,
            helpers_asked: false,
            nacks: 0,
            answered: false,
        });
        self.send(addr, Kind::Ping { seq, target: target.clone() }, Some(&target), out);
    }

    /// Each present member once in a round, in an order by chance.
    fn next_target(&mut self) -> Option<Name> {
        for fresh in [false, true] {
            if fresh {
                self.round = self.some(MAX_MEMBERS, None);
            }
            while let Some(name) = self.round.pop() {
                if self.members.get(&name).is_some_and(|member| member.record.state.present()) {
                    return Some(name);
                }
            }
        }
        None
    }

    fn suspect(&mut self, name: &Name, now: Now, out: &mut Vec<Action>) {
        let Some(member) = self.members.get(name).filter(|member| member.record.state.present()) else {
            return;
        };
        let record = Record { state: State::Suspect, ..member.record.clone() };
        self.on_update(Update { record, by: short(&self.settings.name) }, now, out);
    }

    fn end_suspicions(&mut self, now: Now, out: &mut Vec<Action>) {
        let ends = self.suspicion_ends();
        let over = |(name, suspicion): (&Name, &Suspicion)| (now >= ends(suspicion)).then(|| name.clone());
        let ended: Vec<Name> = self.suspicions.iter().filter_map(over).collect();
        for name in ended {
            if let Some(member) = self.members.get(&name) {
                let record = Record { state: State::Failed, ..member.record.clone() };
                self.on_update(Update { record, by: 0 }, now, out);
            }
            self.suspicions.remove(&name);
        }
    }

    /// Exchanges whole states now and then, and with a seed as long as nobody is known.
    fn exchange(&mut self, now: Now, out: &mut Vec<Action>) {
        let mut with =
            self.some(1, None).pop().and_then(|name| self.members.get(&name)).map(|m| m.record.addr);
        let alone = with.is_none();
        // Also later now and then: two halves that have held each other for failed meet again at a seed.
        if alone || self.random.uniform() < SEED_EXCHANGE_SHARE {
            let seeds = &self.settings.seeds;
            let seed = (self.random.uniform() * seeds.len() as f64) as usize;
            with = seeds.get(seed).copied().or(with);
        }
        if let Some(with) = with.filter(|with| *with != self.settings.addr) {
            out.push(Action::Exchange { with });
        }
        let periods = if alone { 1.0 } else { EXCHANGE_EVERY };
        let apart = 0.5 + self.random.uniform();
        self.next_exchange = now + self.scaled(periods * apart);
    }

    fn set_wake(&mut self) {
        let probe = self.probe.as_ref().filter(|p| !p.answered && !p.helpers_asked).map(|p| p.direct_until);
        let relay = self.relays.values().map(|relay| relay.nack_at).min();
        let suspicion = if self.suspicions.is_empty() {
            None
        } else {
            self.suspicions.values().map(self.suspicion_ends()).min()
        };
        let due = [probe, relay, suspicion].into_iter().flatten().min();
        self.wake_at =
            due.into_iter().chain([self.period_end, self.next_exchange]).min().unwrap_or(self.period_end);
    }
}

/// Whether a message says already of a member that it is a suspect.
fn suspect_is(message: &Message, name: &Name) -> bool {
    message.updates.first().is_some_and(|update| update.record.name == *name)
}
