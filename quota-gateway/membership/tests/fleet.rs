//! Many cores on a virtual network and clock, with loss, delay, cuts and pauses from a seed.

use marblecroft_membership::config::*;
use marblecroft_membership::detector::*;
use marblecroft_membership::output::*;
use marblecroft_membership::record::*;
use marblecroft_membership::wire::{self, Message};
use marblecroft_quota_gateway_core::Random;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// A protocol period; all figures below are in these.
const PERIOD: Duration = Duration::from_secs(1);
const SEEDS: u64 = 20;

fn periods(n: f64) -> Duration {
    PERIOD.mul_f64(n)
}

fn addr(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, (n / 250) as u8, (n % 250 + 1) as u8), 7000)
}

fn name(n: usize) -> Name {
    Name::new(&format!("n{n}")).expect("short")
}

enum Due {
    Datagram { to: usize, message: Message },
    Exchange { from: usize, with: usize },
    Wake { node: usize },
}

/// What came of a change, and when.
#[derive(Clone, Debug)]
struct Told {
    at: Now,
    node: usize,
    change: StateChange,
}

struct Net {
    now: Now,
    random: Random,
    nodes: Vec<Option<FailureDetector>>,
    /// Processes that stand still until then.
    paused: BTreeMap<usize, Now>,
    loss: f64,
    /// Part of the datagrams that come twice, and late.
    doubled: f64,
    /// Whether nothing passes from one to another.
    cut: Box<dyn Fn(usize, usize) -> bool>,
    due: BinaryHeap<Reverse<(Now, u64)>>,
    what: BTreeMap<u64, Due>,
    number: u64,
    told: Vec<Told>,
    datagrams: u64,
    bytes: u64,
    displaced: Vec<usize>,
}

impl Net {
    fn new(count: usize, seed: u64) -> Net {
        let mut net = Net {
            now: Duration::ZERO,
            random: Random(seed),
            nodes: Vec::new(),
            paused: BTreeMap::new(),
            loss: 0.0,
            doubled: 0.0,
            cut: Box::new(|_, _| false),
            due: BinaryHeap::new(),
            what: BTreeMap::new(),
            number: 0,
            told: Vec::new(),
            datagrams: 0,
            bytes: 0,
            displaced: Vec::new(),
        };
        for node in 0..count {
            net.nodes.push(None);
            net.start(node, count, 1000);
        }
        net
    }

    fn settings(node: usize, count: usize) -> Config {
        Config {
            name: name(node),
            addr: addr(node),
            zone: Name::new("a").expect("short"),
            seeds: vec![addr(0), addr(1), addr(2)],
            period: PERIOD,
            expected: count as u32,
            min_share: 0.5,
        }
    }

    fn start(&mut self, node: usize, count: usize, incarnation: u64) {
        let seed = (self.random.uniform() * 1e15) as u64;
        let core = FailureDetector::new(Net::settings(node, count), incarnation, seed, self.now);
        self.put(self.now, Due::Wake { node });
        self.nodes[node] = Some(core);
    }

    /// All members know all others, as after a while.
    fn acquainted(count: usize, seed: u64) -> Net {
        let mut net = Net::new(count, seed);
        let all: Vec<Record> = net.nodes.iter().flatten().map(|core| core.full_state()[0].clone()).collect();
        for core in net.nodes.iter_mut().flatten() {
            core.handle_full_state(Duration::ZERO, all.clone(), &mut Vec::new());
        }
        net
    }

    fn put(&mut self, at: Now, due: Due) {
        self.number += 1;
        self.due.push(Reverse((at, self.number)));
        self.what.insert(self.number, due);
    }

    fn node_at(&self, addr: SocketAddrV4) -> Option<usize> {
        let [_, _, high, low] = addr.ip().octets();
        let node = usize::from(high) * 250 + usize::from(low).checked_sub(1)?;
        (node < self.nodes.len()).then_some(node)
    }

    fn obey(&mut self, node: usize, actions: Vec<Output>) {
        for action in actions {
            match action {
                Output::Send { to, message } => {
                    self.datagrams += 1;
                    let length = wire::MAX_DATAGRAM_BYTES - wire::remaining_bytes(&message);
                    assert!(length <= wire::MAX_DATAGRAM_BYTES);
                    self.bytes += length as u64;
                    let Some(to) = self.node_at(to) else { continue };
                    if (self.cut)(node, to) || self.random.uniform() < self.loss {
                        continue;
                    }
                    let late = Duration::from_secs_f64(0.001 + 0.02 * self.random.uniform());
                    if self.random.uniform() < self.doubled {
                        // An old one comes again, behind many that were sent later.
                        let later = self.now + periods(5.0 * self.random.uniform());
                        self.put(later, Due::Datagram { to, message: message.clone() });
                    }
                    self.put(self.now + late, Due::Datagram { to, message });
                }
                Output::Synchronize { with } => {
                    let Some(with) = self.node_at(with) else { continue };
                    // Both ways must be open for a connection.
                    if !(self.cut)(node, with) && !(self.cut)(with, node) {
                        self.put(self.now + Duration::from_millis(5), Due::Exchange { from: node, with });
                    }
                }
                Output::StateChanged(change) => self.told.push(Told { at: self.now, node, change }),
                Output::Displaced { .. } => self.displaced.push(node),
            }
        }
        if let Some(at) = self.nodes[node].as_ref().map(FailureDetector::wake_at) {
            self.put(at.max(self.now), Due::Wake { node });
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(&Reverse((at, number))) = self.due.peek().filter(|Reverse((at, _))| *at <= end) {
            self.due.pop();
            self.now = self.now.max(at);
            let due = self.what.remove(&number).expect("put");
            let node = match &due {
                Due::Datagram { to, .. } => *to,
                Due::Exchange { from, .. } => *from,
                Due::Wake { node } => *node,
            };
            if let Some(until) = self.paused.get(&node).copied().filter(|until| *until > self.now) {
                // What comes meanwhile lies there, and what is due is late.
                self.put(until, due);
                continue;
            }
            let Some(core) = &mut self.nodes[node] else { continue };
            let mut actions = Vec::new();
            match due {
                Due::Datagram { message, .. } => core.handle_message(self.now, message, &mut actions),
                Due::Wake { .. } if core.wake_at() > self.now => continue,
                Due::Wake { .. } => core.on_tick(self.now, &mut actions),
                Due::Exchange { with, .. } => {
                    let own = core.full_state();
                    let paused = self.paused.get(&with).is_some_and(|until| *until > self.now);
                    let Some(other) = self.nodes[with].as_mut().filter(|_| !paused) else { continue };
                    let (theirs, mut answers) = (other.full_state(), Vec::new());
                    other.handle_full_state(self.now, own, &mut answers);
                    self.obey(with, answers);
                    if let Some(core) = &mut self.nodes[node] {
                        core.handle_full_state(self.now, theirs, &mut actions);
                    }
                }
            }
            self.obey(node, actions);
        }
        self.now = end;
    }

    fn live(&self) -> impl Iterator<Item = (usize, &FailureDetector)> {
        self.nodes.iter().enumerate().filter_map(|(n, core)| Some((n, core.as_ref()?)))
    }

    /// Whether all that live have one view, of so many.
    fn agreed(&self, present: usize) -> bool {
        let mut digests = self.live().map(|(_, core)| (core.digest(), core.present_count()));
        let first = digests.next();
        first.is_some_and(|(_, count)| count == present) && digests.all(|other| Some(other) == first)
    }

    /// Runs until they have, for so many periods at most; how many it took.
    fn until_agreed(&mut self, present: usize, most: f64) -> Option<f64> {
        let begun = self.now;
        while !self.agreed(present) {
            if self.now - begun > periods(most) {
                return None;
            }
            self.run(periods(0.5));
        }
        Some((self.now - begun).as_secs_f64() / PERIOD.as_secs_f64())
    }

    fn state_of(&self, node: usize, of: usize) -> Option<MemberState> {
        let core = self.nodes[node].as_ref()?;
        let of = name(of);
        let state = core.peers(self.now).find(|seen| seen.record.name == of).map(|seen| seen.record.state);
        state
    }
}

/// Median, 99th percentile and the most.
fn figures(what: &str, mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    let at = |part: f64| all[((all.len() as f64 * part) as usize).min(all.len() - 1)];
    let most = all[all.len() - 1];
    println!("{what}: median {:.1}, 99th percentile {:.1}, most {most:.1} periods", at(0.5), at(0.99));
    most
}

/// Seeds for a size: all of them where they are quick.
fn plays(count: usize) -> u64 {
    if count > 100 {
        SEEDS
    } else {
        2 * SEEDS
    }
}

#[test]
fn every_failure_is_known_to_all_in_a_bounded_time_and_nothing_else_is() {
    // A tenfold more of members adds a tenfold's suspicion: four periods with those who confirm it, and few members have
    // few who can.
    for (count, bound) in [(3, 40.0), (30, 30.0), (300, 30.0)] {
        let mut took = Vec::new();
        for seed in 0..plays(count) {
            let mut net = Net::acquainted(count, seed + 1);
            net.run(periods(3.0));
            assert!(net.agreed(count));
            let victim = (seed as usize * 7 + 1) % count;
            net.nodes[victim] = None;
            net.told.clear();
            let begun = net.now;
            let most = net.until_agreed(count - 1, bound);
            assert!(most.is_some(), "{count} members, seed {seed}: not within {bound} periods");
            let tellers: BTreeSet<usize> =
                net.told.iter().filter(|t| t.change.to == MemberState::Failed).map(|t| t.node).collect();
            assert_eq!(tellers.len(), count - 1, "all the living, {count}, seed {seed}");
            for told in &net.told {
                assert_eq!(told.change.name, name(victim), "{count}, seed {seed}: {told:?}");
                if told.change.to == MemberState::Failed {
                    took.push((told.at - begun).as_secs_f64() / PERIOD.as_secs_f64());
                }
            }
        }
        assert_eq!(took.len(), plays(count) as usize * (count - 1), "each told each of the living once");
        assert!(figures(&format!("{count} members, a failure is known"), took) <= bound);
    }
}

#[test]
fn with_a_third_of_the_datagrams_lost_no_false_failure_stays() {
    for (count, seeds) in [(3, SEEDS), (30, SEEDS), (300, SEEDS)] {
        let (mut refuted, mut failed, mut took) = (0, 0, Vec::new());
        for seed in 0..seeds {
            let mut net = Net::acquainted(count, seed + 100);
            (net.loss, net.doubled) = (0.3, 0.2);
            net.run(periods(30.0));
            failed += net.told.iter().filter(|told| told.change.to == MemberState::Failed).count();
            refuted += net.live().map(|(_, core)| core.stats().local_refutations).sum::<u64>();
            // The loss has ended; what was held wrongly is put right.
            (net.loss, net.doubled) = (0.0, 0.0);
            let agreed = net.until_agreed(count, 60.0);
            took.push(agreed.unwrap_or_else(|| panic!("{count}, seed {seed}: not within 60 periods")));
        }
        println!("{count} members, 30 periods with 30% lost: {refuted} suspicions refuted, {failed} held for failed");
        figures(&format!("{count} members agree after the loss"), took);
        assert!(refuted > 0, "suspicions were met");
    }
}

#[test]
fn a_fleet_joins_through_seeds_of_which_one_is_down() {
    for (count, bound) in [(3, 20.0), (30, 60.0), (300, 60.0)] {
        let mut took = Vec::new();
        for seed in 0..SEEDS {
            let mut net = Net::new(count, seed + 200);
            net.nodes[0] = None;
            let joined = net.until_agreed(count - 1, bound);
            took.push(joined.unwrap_or_else(|| panic!("{count}, seed {seed}: not within {bound}")));
        }
        figures(&format!("{count} members join"), took);
    }
}

#[test]
fn seven_in_ten_that_are_killed_at_once_and_return_are_followed() {
    let (mut gone, mut back) = (Vec::new(), Vec::new());
    for seed in 0..5 {
        let count = 60;
        let mut net = Net::acquainted(count, seed + 300);
        net.run(periods(3.0));
        let victims: Vec<usize> = (3..count).filter(|n| n % 10 < 7).collect();
        victims.iter().for_each(|&n| net.nodes[n] = None);
        let left = count - victims.len();
        let took = net.until_agreed(left, 200.0);
        gone.push(took.unwrap_or_else(|| panic!("seed {seed}: not within 200 periods")));
        assert!(
            net.live().all(|(_, core)| !core.is_view_sufficient()),
            "fewer than half are there, and users of the view are told"
        );
        // They start anew, with nothing kept but a later clock.
        victims.iter().for_each(|&n| net.start(n, count, 2000));
        let took = net.until_agreed(count, 80.0);
        back.push(took.unwrap_or_else(|| panic!("seed {seed}: not back within 80 periods")));
        assert!(net.live().all(|(_, core)| core.is_view_sufficient()));
    }
    figures("42 of 60 killed at once are known", gone);
    figures("and back", back);
}

#[test]
fn a_restart_whose_clock_was_set_back_goes_beyond_its_former_life() {
    let mut net = Net::acquainted(10, 7);
    net.run(periods(3.0));
    net.nodes[5] = None;
    net.run(periods(1.0));
    // Not yet held for failed, and its new life would count for less than the old one.
    net.start(5, 10, 10);
    assert!(net.until_agreed(10, 60.0).is_some());
    assert!(net.nodes[5].as_ref().is_some_and(|core| core.incarnation() > 1000));
}

#[test]
fn a_leave_is_told_from_a_failure_and_comes_back_only_anew() {
    let mut net = Net::acquainted(30, 8);
    net.run(periods(3.0));
    let mut actions = Vec::new();
    net.nodes[9].as_mut().expect("there").leave(&mut actions);
    net.obey(9, actions);
    net.nodes[9] = None;
    net.told.clear();
    assert!(net.until_agreed(29, 20.0).is_some());
    assert!(
        net.told.iter().all(|told| (told.change.to, &told.change.name) == (MemberState::Left, &name(9))),
        "{:?}",
        net.told
    );
    assert_eq!(net.state_of(3, 9), Some(MemberState::Left));
    // Old news of it changes nothing; a new life does.
    let old =
        Record { name: name(9), addr: addr(9), zone: name(0), incarnation: 1000, state: MemberState::Alive };
    net.nodes[3].as_mut().expect("there").handle_full_state(net.now, vec![old], &mut Vec::new());
    assert_eq!(net.state_of(3, 9), Some(MemberState::Left));
    net.start(9, 30, 2000);
    assert!(net.until_agreed(30, 40.0).is_some());
}

#[test]
fn a_process_that_stands_still_for_a_while_brings_nobody_else_down() {
    for seed in 0..SEEDS {
        let mut net = Net::acquainted(30, seed + 400);
        net.run(periods(3.0));
        net.told.clear();
        net.paused.insert(4, net.now + periods(5.0));
        net.run(periods(40.0));
        let false_ones: Vec<&Told> = net
            .told
            .iter()
            .filter(|t| t.change.name != name(4) && t.change.to == MemberState::Failed)
            .collect();
        assert!(false_ones.is_empty(), "seed {seed}: {false_ones:?}");
        assert!(net.until_agreed(30, 40.0).is_some(), "seed {seed}: it is back");
    }
}

#[test]
fn a_zone_that_is_cut_off_is_told_by_the_view_and_heals() {
    let mut took = Vec::new();
    for seed in 0..5 {
        let count = 60;
        let mut net = Net::acquainted(count, seed + 500);
        net.run(periods(3.0));
        // A third of them hear only each other, none of them a seed, for long enough to be held for failed.
        net.cut = Box::new(|a, b| (a >= 40) != (b >= 40));
        net.run(periods(200.0));
        assert!(net
            .live()
            .filter(|(n, _)| *n >= 40)
            .all(|(_, core)| core.present_count() == 20 && !core.is_view_sufficient()));
        assert!(net
            .live()
            .filter(|(n, _)| *n < 40)
            .all(|(_, core)| core.present_count() == 40 && core.is_view_sufficient()));
        net.cut = Box::new(|_, _| false);
        let healed = net.until_agreed(count, 250.0);
        took.push(healed.unwrap_or_else(|| panic!("seed {seed}: the halves do not meet again")));
    }
    figures("two halves of 60 are one again", took);
}

#[test]
fn a_member_whose_answers_one_alone_does_not_hear_stays() {
    for seed in 0..SEEDS {
        let mut net = Net::acquainted(30, seed + 600);
        net.run(periods(3.0));
        net.told.clear();
        // 5 does not reach 6, but all others do, and 6 reaches 5.
        net.cut = Box::new(|a, b| a == 5 && b == 6);
        net.run(periods(100.0));
        assert!(
            net.told.iter().all(|told| told.change.to != MemberState::Failed),
            "seed {seed}: {:?}",
            net.told
        );
        assert!(net.agreed(30) || net.until_agreed(30, 30.0).is_some());
    }
}

#[test]
fn of_two_processes_with_one_name_the_later_one_stays() {
    let mut net = Net::acquainted(10, 9);
    net.run(periods(3.0));
    // Another process under the name of 4, at another address.
    net.nodes.push(None);
    let settings = Config { name: name(4), ..Net::settings(10, 10) };
    net.nodes[10] = Some(FailureDetector::new(settings, 5000, 77, net.now));
    net.put(net.now, Due::Wake { node: 10 });
    net.run(periods(60.0));
    assert_eq!(net.displaced, [4], "the earlier one takes no part any more");
    let held = net.nodes[0].as_ref().expect("there").peers(net.now).find(|seen| seen.record.name == name(4));
    assert_eq!(held.map(|seen| (seen.record.addr, seen.record.state)), Some((addr(10), MemberState::Alive)));
}

#[test]
fn none_and_one_and_two_are_members_enough() {
    let mut net = Net::new(1, 1);
    net.run(periods(20.0));
    assert!(net.agreed(1));
    let mut net = Net::new(2, 2);
    assert!(net.until_agreed(2, 20.0).is_some());
    net.nodes[1] = None;
    assert!(net.until_agreed(1, 60.0).is_some());
}

#[test]
fn what_is_impossible_or_too_much_is_passed_over() {
    let mut net = Net::acquainted(3, 3);
    net.run(periods(2.0));
    let core = net.nodes[0].as_mut().expect("there");
    let stranger = |n: usize, incarnation| Record { incarnation, ..record(n) };
    fn record(n: usize) -> Record {
        Record {
            name: Name::new(&format!("x{n}")).unwrap(),
            addr: addr(5),
            zone: name(0),
            incarnation: 1,
            state: MemberState::Alive,
        }
    }
    core.handle_full_state(net.now, vec![stranger(1, u64::MAX)], &mut Vec::new());
    assert_eq!(core.present_count(), 3);
    // Of its own name with a lower incarnation: nothing to say to.
    let before = core.incarnation();
    let own =
        Record { name: name(0), addr: addr(0), zone: name(0), incarnation: 3, state: MemberState::Failed };
    core.handle_full_state(net.now, vec![own], &mut Vec::new());
    assert_eq!(core.incarnation(), before);
    core.handle_full_state(net.now, (0..10_000).map(|n| stranger(n, 1)).collect(), &mut Vec::new());
    assert!(core.full_state().len() <= MAX_MEMBERS + 1 && core.stats().ignored_updates > 7000);
    // At the end of all incarnations it refutes nothing more, and does not go beyond.
    let last = Record {
        name: name(0),
        addr: addr(0),
        zone: name(0),
        incarnation: MAX_INCARNATION,
        state: MemberState::Failed,
    };
    core.handle_full_state(net.now, vec![last], &mut Vec::new());
    assert_eq!(core.incarnation(), MAX_INCARNATION);
}

#[test]
fn what_a_member_sends_does_not_grow_with_the_fleet() {
    let mut each = Vec::new();
    for count in [30, 300] {
        let mut net = Net::acquainted(count, 11);
        net.run(periods(60.0));
        (net.datagrams, net.bytes) = (0, 0);
        net.run(periods(20.0));
        let per = (count * 20) as f64;
        each.push((net.datagrams as f64 / per, net.bytes as f64 / per));
        println!(
            "{count} members: {:.2} datagrams, {:.0} bytes a member and period at rest",
            each[each.len() - 1].0,
            each[each.len() - 1].1
        );
    }
    assert!(each[1].0 < 1.1 * each[0].0 + 0.1 && each[1].1 < 1.5 * each[0].1, "{each:?}");
}

/// What others said while it stood still is lost, as its buffer was full: no suspicion may have run out meanwhile.
#[test]
fn a_suspicion_does_not_run_out_while_a_process_stands_still() {
    let mut net = Net::acquainted(5, 12);
    net.run(periods(3.0));
    let core = net.nodes[0].as_mut().expect("there");
    let suspect = Record {
        state: MemberState::Suspect,
        ..core.full_state().into_iter().find(|record| record.name == name(1)).expect("known")
    };
    core.handle_full_state(net.now, vec![suspect.clone()], &mut Vec::new());
    let (mut actions, woken) = (Vec::new(), net.now + periods(100.0));
    core.on_tick(woken, &mut actions);
    let failed = |actions: &[Output]| {
        actions.iter().any(|a| matches!(a, Output::StateChanged(change) if change.to == MemberState::Failed))
    };
    assert!(!failed(&actions), "it has heard nothing, and that is its own doing");
    assert_eq!(core.local_health(), 8);
    // The others are heard again, and refute it.
    let alive = Record { state: MemberState::Alive, incarnation: suspect.incarnation + 1, ..suspect };
    core.handle_full_state(woken + periods(0.1), vec![alive], &mut actions);
    assert!(!failed(&actions));
    let held = core.peers(woken).find(|seen| seen.record.name == name(1)).map(|seen| seen.record.state);
    assert_eq!(held, Some(MemberState::Alive));
}

/// Asymmetric: it is heard and hears nobody. It must doubt itself rather than all others.
#[test]
fn a_member_that_hears_nobody_doubts_itself_and_brings_nobody_down() {
    for seed in 0..5 {
        let mut net = Net::acquainted(30, seed + 700);
        net.run(periods(3.0));
        net.told.clear();
        net.cut = Box::new(|_, to| to == 4);
        net.run(periods(15.0));
        assert_eq!(net.nodes[4].as_ref().expect("there").local_health(), 8, "seed {seed}");
        net.cut = Box::new(|_, _| false);
        assert!(net.until_agreed(30, 60.0).is_some(), "seed {seed}");
        let others = net.told.iter().filter(|t| t.node != 4 && t.change.name != name(4));
        assert_eq!(others.filter(|t| t.change.to == MemberState::Failed).count(), 0, "seed {seed}");
    }
}
