//! Tests of clusters of failure detectors on a virtual network and clock, with loss, delay, partitions and
//! pauses drawn from random seeds.

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

/// The protocol period, the unit of all durations in these tests.
const PERIOD: Duration = Duration::from_secs(1);
const RANDOM_SEEDS: u64 = 20;

fn periods(n: f64) -> Duration {
    PERIOD.mul_f64(n)
}

fn addr(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, (n / 250) as u8, (n % 250 + 1) as u8), 7000)
}

fn name(n: usize) -> Name {
    Name::new(&format!("n{n}")).expect("short")
}

enum Event {
    Datagram { to: usize, message: Message },
    Synchronize { from: usize, with: usize },
    Wake { node: usize },
}

/// A state change that a node reported, and the time of the report.
#[derive(Clone, Debug)]
struct ObservedChange {
    at: Now,
    node: usize,
    change: StateChange,
}

struct Cluster {
    now: Now,
    random: Random,
    nodes: Vec<Option<FailureDetector>>,
    /// The paused nodes, and the time at which each continues.
    paused: BTreeMap<usize, Now>,
    loss: f64,
    /// The share of datagrams that are duplicated. The duplicates have a long delay.
    duplication: f64,
    /// Whether the network drops all traffic from one node to another.
    is_partitioned: Box<dyn Fn(usize, usize) -> bool>,
    queue: BinaryHeap<Reverse<(Now, u64)>>,
    events: BTreeMap<u64, Event>,
    last_event_id: u64,
    changes: Vec<ObservedChange>,
    datagrams: u64,
    bytes: u64,
    displaced: Vec<usize>,
}

impl Cluster {
    fn new(count: usize, seed: u64) -> Cluster {
        let mut cluster = Cluster {
            now: Duration::ZERO,
            random: Random(seed),
            nodes: Vec::new(),
            paused: BTreeMap::new(),
            loss: 0.0,
            duplication: 0.0,
            is_partitioned: Box::new(|_, _| false),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event_id: 0,
            changes: Vec::new(),
            datagrams: 0,
            bytes: 0,
            displaced: Vec::new(),
        };
        for node in 0..count {
            cluster.nodes.push(None);
            cluster.start(node, count, 1000);
        }
        cluster
    }

    fn config(node: usize, count: usize) -> Config {
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
        let detector = FailureDetector::new(Cluster::config(node, count), incarnation, seed, self.now);
        self.schedule(self.now, Event::Wake { node });
        self.nodes[node] = Some(detector);
    }

    /// Returns a cluster in which every member knows all others.
    fn fully_joined(count: usize, seed: u64) -> Cluster {
        let mut cluster = Cluster::new(count, seed);
        let all: Vec<Record> =
            cluster.nodes.iter().flatten().map(|detector| detector.full_state()[0].clone()).collect();
        for detector in cluster.nodes.iter_mut().flatten() {
            detector.handle_full_state(Duration::ZERO, all.clone(), &mut Vec::new());
        }
        cluster
    }

    fn schedule(&mut self, at: Now, event: Event) {
        self.last_event_id += 1;
        self.queue.push(Reverse((at, self.last_event_id)));
        self.events.insert(self.last_event_id, event);
    }

    fn node_at(&self, addr: SocketAddrV4) -> Option<usize> {
        let [_, _, high, low] = addr.ip().octets();
        let node = usize::from(high) * 250 + usize::from(low).checked_sub(1)?;
        (node < self.nodes.len()).then_some(node)
    }

    fn execute_outputs(&mut self, node: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    self.datagrams += 1;
                    let length = wire::MAX_DATAGRAM_BYTES - wire::remaining_bytes(&message);
                    assert!(length <= wire::MAX_DATAGRAM_BYTES);
                    self.bytes += length as u64;
                    let Some(to) = self.node_at(to) else { continue };
                    if (self.is_partitioned)(node, to) || self.random.uniform() < self.loss {
                        continue;
                    }
                    let delay = Duration::from_secs_f64(0.001 + 0.02 * self.random.uniform());
                    if self.random.uniform() < self.duplication {
                        // A duplicate may arrive after datagrams that were sent later.
                        let duplicate_at = self.now + periods(5.0 * self.random.uniform());
                        self.schedule(duplicate_at, Event::Datagram { to, message: message.clone() });
                    }
                    self.schedule(self.now + delay, Event::Datagram { to, message });
                }
                Output::Synchronize { with } => {
                    let Some(with) = self.node_at(with) else { continue };
                    // A connection requires that both directions work.
                    if !(self.is_partitioned)(node, with) && !(self.is_partitioned)(with, node) {
                        self.schedule(
                            self.now + Duration::from_millis(5),
                            Event::Synchronize { from: node, with },
                        );
                    }
                }
                Output::StateChanged(change) => {
                    self.changes.push(ObservedChange { at: self.now, node, change })
                }
                Output::Displaced { .. } => self.displaced.push(node),
            }
        }
        if let Some(at) = self.nodes[node].as_ref().map(FailureDetector::wake_at) {
            self.schedule(at.max(self.now), Event::Wake { node });
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(&Reverse((at, id))) = self.queue.peek().filter(|Reverse((at, _))| *at <= end) {
            self.queue.pop();
            self.now = self.now.max(at);
            let event = self.events.remove(&id).expect("scheduled");
            let node = match &event {
                Event::Datagram { to, .. } => *to,
                Event::Synchronize { from, .. } => *from,
                Event::Wake { node } => *node,
            };
            if let Some(until) = self.paused.get(&node).copied().filter(|until| *until > self.now) {
                // Datagrams wait in the socket buffer, and timers fire late.
                self.schedule(until, event);
                continue;
            }
            let Some(detector) = &mut self.nodes[node] else { continue };
            let mut outputs = Vec::new();
            match event {
                Event::Datagram { message, .. } => detector.handle_message(self.now, message, &mut outputs),
                Event::Wake { .. } if detector.wake_at() > self.now => continue,
                Event::Wake { .. } => detector.on_tick(self.now, &mut outputs),
                Event::Synchronize { with, .. } => {
                    let own = detector.full_state();
                    let paused = self.paused.get(&with).is_some_and(|until| *until > self.now);
                    let Some(other) = self.nodes[with].as_mut().filter(|_| !paused) else { continue };
                    let (theirs, mut replies) = (other.full_state(), Vec::new());
                    other.handle_full_state(self.now, own, &mut replies);
                    self.execute_outputs(with, replies);
                    if let Some(detector) = &mut self.nodes[node] {
                        detector.handle_full_state(self.now, theirs, &mut outputs);
                    }
                }
            }
            self.execute_outputs(node, outputs);
        }
        self.now = end;
    }

    fn running(&self) -> impl Iterator<Item = (usize, &FailureDetector)> {
        self.nodes.iter().enumerate().filter_map(|(n, detector)| Some((n, detector.as_ref()?)))
    }

    /// Returns whether all running nodes have the same view, with this number of present members.
    fn views_agree(&self, present: usize) -> bool {
        let mut digests = self.running().map(|(_, detector)| (detector.digest(), detector.present_count()));
        let first = digests.next();
        first.is_some_and(|(_, count)| count == present) && digests.all(|other| Some(other) == first)
    }

    /// Runs until the views agree. Returns the number of periods until then, or `None` if it exceeds the
    /// maximum.
    fn run_until_agreed(&mut self, present: usize, max: f64) -> Option<f64> {
        let started_at = self.now;
        while !self.views_agree(present) {
            if self.now - started_at > periods(max) {
                return None;
            }
            self.run(periods(0.5));
        }
        Some((self.now - started_at).as_secs_f64() / PERIOD.as_secs_f64())
    }

    fn state_of(&self, node: usize, of: usize) -> Option<MemberState> {
        let detector = self.nodes[node].as_ref()?;
        let of = name(of);
        let state =
            detector.peers(self.now).find(|peer| peer.record.name == of).map(|peer| peer.record.state);
        state
    }
}

/// Prints the median, the 99th percentile and the maximum, and returns the maximum.
fn print_distribution(what: &str, mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    let percentile = |share: f64| values[((values.len() as f64 * share) as usize).min(values.len() - 1)];
    let max = values[values.len() - 1];
    println!(
        "{what}: median {:.1}, 99th percentile {:.1}, maximum {max:.1} periods",
        percentile(0.5),
        percentile(0.99)
    );
    max
}

/// Returns the number of random seeds for a cluster size: more for small clusters, which run quickly.
fn random_seeds_for(count: usize) -> u64 {
    if count > 100 {
        RANDOM_SEEDS
    } else {
        2 * RANDOM_SEEDS
    }
}

#[test]
fn every_failure_is_reported_by_all_members_in_bounded_time_without_false_reports() {
    // Each decade of members lengthens a confirmed suspicion by four periods. A small cluster takes longer,
    // since it has few members that can confirm a suspicion.
    for (count, bound) in [(3, 40.0), (30, 30.0), (300, 30.0)] {
        let mut durations = Vec::new();
        for seed in 0..random_seeds_for(count) {
            let mut cluster = Cluster::fully_joined(count, seed + 1);
            cluster.run(periods(3.0));
            assert!(cluster.views_agree(count));
            let victim = (seed as usize * 7 + 1) % count;
            cluster.nodes[victim] = None;
            cluster.changes.clear();
            let started_at = cluster.now;
            let agreed = cluster.run_until_agreed(count - 1, bound);
            assert!(agreed.is_some(), "{count} members, seed {seed}: not within {bound} periods");
            let reporters: BTreeSet<usize> = cluster
                .changes
                .iter()
                .filter(|observed| observed.change.to == MemberState::Failed)
                .map(|observed| observed.node)
                .collect();
            assert_eq!(
                reporters.len(),
                count - 1,
                "all running nodes report the failure, {count}, seed {seed}"
            );
            for observed in &cluster.changes {
                assert_eq!(observed.change.name, name(victim), "{count}, seed {seed}: {observed:?}");
                if observed.change.to == MemberState::Failed {
                    durations.push((observed.at - started_at).as_secs_f64() / PERIOD.as_secs_f64());
                }
            }
        }
        assert_eq!(
            durations.len(),
            random_seeds_for(count) as usize * (count - 1),
            "each failure is reported by each running node once"
        );
        assert!(
            print_distribution(&format!("{count} members, time until a node reports a failure"), durations)
                <= bound
        );
    }
}

#[test]
fn false_failure_reports_under_heavy_loss_are_corrected_after_the_loss() {
    for (count, seeds) in [(3, RANDOM_SEEDS), (30, RANDOM_SEEDS), (300, RANDOM_SEEDS)] {
        let (mut refuted, mut failed, mut durations) = (0, 0, Vec::new());
        for seed in 0..seeds {
            let mut cluster = Cluster::fully_joined(count, seed + 100);
            (cluster.loss, cluster.duplication) = (0.3, 0.2);
            cluster.run(periods(30.0));
            failed +=
                cluster.changes.iter().filter(|observed| observed.change.to == MemberState::Failed).count();
            refuted += cluster.running().map(|(_, detector)| detector.stats().local_refutations).sum::<u64>();
            // After the loss, wrong views are corrected.
            (cluster.loss, cluster.duplication) = (0.0, 0.0);
            let agreed = cluster.run_until_agreed(count, 60.0);
            durations.push(agreed.unwrap_or_else(|| panic!("{count}, seed {seed}: not within 60 periods")));
        }
        println!("{count} members, 30 periods with 30% loss: {refuted} suspicions refuted, {failed} failures reported");
        print_distribution(&format!("{count} members, time until the views agree after the loss"), durations);
        assert!(refuted > 0, "suspicions were refuted");
    }
}

#[test]
fn members_join_while_one_of_the_seeds_is_down() {
    for (count, bound) in [(3, 20.0), (30, 60.0), (300, 60.0)] {
        let mut durations = Vec::new();
        for seed in 0..RANDOM_SEEDS {
            let mut cluster = Cluster::new(count, seed + 200);
            cluster.nodes[0] = None;
            let joined = cluster.run_until_agreed(count - 1, bound);
            durations.push(joined.unwrap_or_else(|| panic!("{count}, seed {seed}: not within {bound}")));
        }
        print_distribution(&format!("{count} members, time to join"), durations);
    }
}

#[test]
fn failure_and_return_of_most_members_at_once_are_detected() {
    let (mut failed, mut returned) = (Vec::new(), Vec::new());
    for seed in 0..5 {
        let count = 60;
        let mut cluster = Cluster::fully_joined(count, seed + 300);
        cluster.run(periods(3.0));
        let victims: Vec<usize> = (3..count).filter(|n| n % 10 < 7).collect();
        victims.iter().for_each(|&n| cluster.nodes[n] = None);
        let survivors = count - victims.len();
        let duration = cluster.run_until_agreed(survivors, 200.0);
        failed.push(duration.unwrap_or_else(|| panic!("seed {seed}: not within 200 periods")));
        assert!(
            cluster.running().all(|(_, detector)| !detector.is_view_sufficient()),
            "fewer than half are present, so the view is not sufficient"
        );
        // The failed members restart without state and with a later clock.
        victims.iter().for_each(|&n| cluster.start(n, count, 2000));
        let duration = cluster.run_until_agreed(count, 80.0);
        returned.push(duration.unwrap_or_else(|| panic!("seed {seed}: not present again within 80 periods")));
        assert!(cluster.running().all(|(_, detector)| detector.is_view_sufficient()));
    }
    print_distribution("time until 42 of 60 members that fail at once are reported", failed);
    print_distribution("time until they are present again", returned);
}

#[test]
fn a_restart_with_an_earlier_clock_raises_its_incarnation_above_the_former_one() {
    let mut cluster = Cluster::fully_joined(10, 7);
    cluster.run(periods(3.0));
    cluster.nodes[5] = None;
    cluster.run(periods(1.0));
    // The node does not count as failed yet, and its new incarnation is lower than the former one.
    cluster.start(5, 10, 10);
    assert!(cluster.run_until_agreed(10, 60.0).is_some());
    assert!(cluster.nodes[5].as_ref().is_some_and(|detector| detector.incarnation() > 1000));
}

#[test]
fn a_leave_is_distinct_from_a_failure_and_is_overridden_only_by_a_new_incarnation() {
    let mut cluster = Cluster::fully_joined(30, 8);
    cluster.run(periods(3.0));
    let mut outputs = Vec::new();
    cluster.nodes[9].as_mut().expect("running").leave(&mut outputs);
    cluster.execute_outputs(9, outputs);
    cluster.nodes[9] = None;
    cluster.changes.clear();
    assert!(cluster.run_until_agreed(29, 20.0).is_some());
    assert!(
        cluster
            .changes
            .iter()
            .all(|observed| (observed.change.to, &observed.change.name) == (MemberState::Left, &name(9))),
        "{:?}",
        cluster.changes
    );
    assert_eq!(cluster.state_of(3, 9), Some(MemberState::Left));
    // An old claim about the member changes nothing, but a new incarnation does.
    let old =
        Record { name: name(9), addr: addr(9), zone: name(0), incarnation: 1000, state: MemberState::Alive };
    cluster.nodes[3].as_mut().expect("running").handle_full_state(cluster.now, vec![old], &mut Vec::new());
    assert_eq!(cluster.state_of(3, 9), Some(MemberState::Left));
    cluster.start(9, 30, 2000);
    assert!(cluster.run_until_agreed(30, 40.0).is_some());
}

#[test]
fn a_paused_process_causes_no_failure_reports_about_others() {
    for seed in 0..RANDOM_SEEDS {
        let mut cluster = Cluster::fully_joined(30, seed + 400);
        cluster.run(periods(3.0));
        cluster.changes.clear();
        cluster.paused.insert(4, cluster.now + periods(5.0));
        cluster.run(periods(40.0));
        let false_failures: Vec<&ObservedChange> = cluster
            .changes
            .iter()
            .filter(|observed| observed.change.name != name(4) && observed.change.to == MemberState::Failed)
            .collect();
        assert!(false_failures.is_empty(), "seed {seed}: {false_failures:?}");
        assert!(cluster.run_until_agreed(30, 40.0).is_some(), "seed {seed}: all are present");
    }
}

#[test]
fn a_partition_is_visible_in_the_views_and_heals() {
    let mut durations = Vec::new();
    for seed in 0..5 {
        let count = 60;
        let mut cluster = Cluster::fully_joined(count, seed + 500);
        cluster.run(periods(3.0));
        // A third of the members, none of them a seed, is partitioned from the others for long enough to be
        // declared failed.
        cluster.is_partitioned = Box::new(|a, b| (a >= 40) != (b >= 40));
        cluster.run(periods(200.0));
        assert!(cluster
            .running()
            .filter(|(n, _)| *n >= 40)
            .all(|(_, detector)| detector.present_count() == 20 && !detector.is_view_sufficient()));
        assert!(cluster
            .running()
            .filter(|(n, _)| *n < 40)
            .all(|(_, detector)| detector.present_count() == 40 && detector.is_view_sufficient()));
        cluster.is_partitioned = Box::new(|_, _| false);
        let healed = cluster.run_until_agreed(count, 250.0);
        durations.push(healed.unwrap_or_else(|| panic!("seed {seed}: the partition does not heal")));
    }
    print_distribution("time until a partition of 60 members heals", durations);
}

#[test]
fn a_member_that_a_single_other_cannot_reach_stays_present() {
    for seed in 0..RANDOM_SEEDS {
        let mut cluster = Cluster::fully_joined(30, seed + 600);
        cluster.run(periods(3.0));
        cluster.changes.clear();
        // Node 5 cannot reach node 6. All others can, and node 6 can reach node 5.
        cluster.is_partitioned = Box::new(|a, b| a == 5 && b == 6);
        cluster.run(periods(100.0));
        assert!(
            cluster.changes.iter().all(|observed| observed.change.to != MemberState::Failed),
            "seed {seed}: {:?}",
            cluster.changes
        );
        assert!(cluster.views_agree(30) || cluster.run_until_agreed(30, 30.0).is_some());
    }
}

#[test]
fn of_two_processes_with_one_name_the_later_one_displaces_the_earlier() {
    let mut cluster = Cluster::fully_joined(10, 9);
    cluster.run(periods(3.0));
    // A second process starts with the name of node 4, at another address.
    cluster.nodes.push(None);
    let config = Config { name: name(4), ..Cluster::config(10, 10) };
    cluster.nodes[10] = Some(FailureDetector::new(config, 5000, 77, cluster.now));
    cluster.schedule(cluster.now, Event::Wake { node: 10 });
    cluster.run(periods(60.0));
    assert_eq!(cluster.displaced, [4], "the earlier process is displaced");
    let current = cluster.nodes[0]
        .as_ref()
        .expect("running")
        .peers(cluster.now)
        .find(|peer| peer.record.name == name(4));
    assert_eq!(
        current.map(|peer| (peer.record.addr, peer.record.state)),
        Some((addr(10), MemberState::Alive))
    );
}

#[test]
fn clusters_of_one_and_two_members_agree_on_their_views() {
    let mut cluster = Cluster::new(1, 1);
    cluster.run(periods(20.0));
    assert!(cluster.views_agree(1));
    let mut cluster = Cluster::new(2, 2);
    assert!(cluster.run_until_agreed(2, 20.0).is_some());
    cluster.nodes[1] = None;
    assert!(cluster.run_until_agreed(1, 60.0).is_some());
}

#[test]
fn invalid_and_excess_updates_are_ignored() {
    let mut cluster = Cluster::fully_joined(3, 3);
    cluster.run(periods(2.0));
    let detector = cluster.nodes[0].as_mut().expect("running");
    let unknown_member = |n: usize, incarnation| Record { incarnation, ..record(n) };
    fn record(n: usize) -> Record {
        Record {
            name: Name::new(&format!("x{n}")).unwrap(),
            addr: addr(5),
            zone: name(0),
            incarnation: 1,
            state: MemberState::Alive,
        }
    }
    detector.handle_full_state(cluster.now, vec![unknown_member(1, u64::MAX)], &mut Vec::new());
    assert_eq!(detector.present_count(), 3);
    // A claim about the member itself with a lower incarnation needs no refutation.
    let before = detector.incarnation();
    let own =
        Record { name: name(0), addr: addr(0), zone: name(0), incarnation: 3, state: MemberState::Failed };
    detector.handle_full_state(cluster.now, vec![own], &mut Vec::new());
    assert_eq!(detector.incarnation(), before);
    detector.handle_full_state(
        cluster.now,
        (0..10_000).map(|n| unknown_member(n, 1)).collect(),
        &mut Vec::new(),
    );
    assert!(detector.full_state().len() <= MAX_MEMBERS + 1 && detector.stats().ignored_updates > 7000);
    // At the maximum incarnation, the member refutes nothing more, and does not exceed the maximum.
    let last = Record {
        name: name(0),
        addr: addr(0),
        zone: name(0),
        incarnation: MAX_INCARNATION,
        state: MemberState::Failed,
    };
    detector.handle_full_state(cluster.now, vec![last], &mut Vec::new());
    assert_eq!(detector.incarnation(), MAX_INCARNATION);
}

#[test]
fn load_per_member_does_not_grow_with_the_cluster() {
    let mut load_per_member = Vec::new();
    for count in [30, 300] {
        let mut cluster = Cluster::fully_joined(count, 11);
        cluster.run(periods(60.0));
        (cluster.datagrams, cluster.bytes) = (0, 0);
        cluster.run(periods(20.0));
        let member_periods = (count * 20) as f64;
        load_per_member
            .push((cluster.datagrams as f64 / member_periods, cluster.bytes as f64 / member_periods));
        println!(
            "{count} members: {:.2} datagrams, {:.0} bytes per member and period without changes",
            load_per_member[load_per_member.len() - 1].0,
            load_per_member[load_per_member.len() - 1].1
        );
    }
    assert!(
        load_per_member[1].0 < 1.1 * load_per_member[0].0 + 0.1
            && load_per_member[1].1 < 1.5 * load_per_member[0].1,
        "{load_per_member:?}"
    );
}

/// Datagrams that arrive during a pause are lost once the socket buffer is full, refutations among them. A
/// suspicion must not expire because of the pause.
#[test]
fn a_suspicion_does_not_expire_during_a_pause_of_the_process() {
    let mut cluster = Cluster::fully_joined(5, 12);
    cluster.run(periods(3.0));
    let detector = cluster.nodes[0].as_mut().expect("running");
    let suspect = Record {
        state: MemberState::Suspect,
        ..detector.full_state().into_iter().find(|record| record.name == name(1)).expect("known")
    };
    detector.handle_full_state(cluster.now, vec![suspect.clone()], &mut Vec::new());
    let (mut outputs, resumed_at) = (Vec::new(), cluster.now + periods(100.0));
    detector.on_tick(resumed_at, &mut outputs);
    let failed = |outputs: &[Output]| {
        outputs
            .iter()
            .any(|output| matches!(output, Output::StateChanged(change) if change.to == MemberState::Failed))
    };
    assert!(!failed(&outputs), "the suspicion does not expire because of the pause");
    assert_eq!(detector.local_health(), 8);
    // The refutation arrives after the pause.
    let alive = Record { state: MemberState::Alive, incarnation: suspect.incarnation + 1, ..suspect };
    detector.handle_full_state(resumed_at + periods(0.1), vec![alive], &mut outputs);
    assert!(!failed(&outputs));
    let current =
        detector.peers(resumed_at).find(|peer| peer.record.name == name(1)).map(|peer| peer.record.state);
    assert_eq!(current, Some(MemberState::Alive));
}

/// Asymmetric loss: the member's messages arrive, but it receives none. It must lower its own local health
/// instead of causing the others to be declared failed.
#[test]
fn a_member_that_receives_nothing_lowers_its_local_health_and_causes_no_failure_reports() {
    for seed in 0..5 {
        let mut cluster = Cluster::fully_joined(30, seed + 700);
        cluster.run(periods(3.0));
        cluster.changes.clear();
        cluster.is_partitioned = Box::new(|_, to| to == 4);
        cluster.run(periods(15.0));
        assert_eq!(cluster.nodes[4].as_ref().expect("running").local_health(), 8, "seed {seed}");
        cluster.is_partitioned = Box::new(|_, _| false);
        assert!(cluster.run_until_agreed(30, 60.0).is_some(), "seed {seed}");
        let others =
            cluster.changes.iter().filter(|observed| observed.node != 4 && observed.change.name != name(4));
        assert_eq!(
            others.filter(|observed| observed.change.to == MemberState::Failed).count(),
            0,
            "seed {seed}"
        );
    }
}
