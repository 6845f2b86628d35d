//! The stand-ins against the published pages, without sockets.

use marblecroft_discovery::format::{Host, ListRequest, State};
use marblecroft_fault_injection::deployment::{
    random_stream, Deployment, DrawnFault, Nanos, RandomStream, MS, SECOND, UNSAFE,
};
use marblecroft_fault_injection::endpoint::End;
use marblecroft_fault_injection::history::{Answer, Outcome};
use marblecroft_fault_injection::link::{LinkFaults, LinkState};
use marblecroft_fault_injection::scenario::{FaultKind, Scenario, Site};
use marblecroft_fault_injection::stand::clients::{Arrivals, Asking, Front, Manners, Next};
use marblecroft_fault_injection::stand::counter::Counter;
use marblecroft_fault_injection::stand::list::List;
use marblecroft_fault_injection::stand::meter::Meter;
use marblecroft_fault_injection::stand::pay_server::{Act, PayServer, Receipt};
use proptest::prelude::*;
use std::time::Duration;

const WORK: f64 = 100e6;

fn site() -> Site {
    Site { handshake_us: 0, ..Site::default() }
}

/// A pay server, and what it has done at which time.
struct Played {
    server: PayServer,
    acts: Vec<(Nanos, Act)>,
    now: Nanos,
    next: u64,
}

impl Played {
    fn new(site: &Site, receipts: bool, started: Option<Nanos>) -> Played {
        Played { server: PayServer::new(site, 1.0, receipts, 0, started), acts: Vec::new(), now: 0, next: 0 }
    }

    fn keep(&mut self, acts: Vec<Act>) {
        self.acts.extend(acts.into_iter().map(|act| (self.now, act)));
    }

    /// Time goes on, by its own timers.
    fn until(&mut self, end: Nanos) {
        while let Some(due) = self.server.due().filter(|due| *due <= end) {
            self.now = due;
            let mut acts = Vec::new();
            self.server.advance(due, &mut acts);
            self.keep(acts);
        }
        self.now = end;
    }

    fn arrive(&mut self, token: u64) -> u64 {
        self.next += 1;
        let mut acts = Vec::new();
        self.server.arrive(self.now, self.next, self.next, WORK, false, false, token, &mut acts);
        self.keep(acts);
        self.next
    }

    fn answered(&self, attempt: u64) -> Option<(Nanos, Answer)> {
        self.acts.iter().find_map(|(at, act)| match act {
            Act::Answer(of, answer) if *of == attempt => Some((*at, *answer)),
            _ => None,
        })
    }

    fn ran(&self, attempt: u64) -> bool {
        self.acts.iter().any(|(_, act)| *act == Act::Ran(attempt))
    }

    fn served(&self) -> usize {
        self.acts.iter().filter(|(_, act)| matches!(act, Act::Answer(_, Answer::Served))).count()
    }
}

#[test]
fn two_cores_are_shared_and_the_queue_has_an_end() {
    let mut pay = Played::new(&site(), false, None);
    let alone = pay.arrive(0);
    pay.until(SECOND);
    let took = pay.answered(alone).expect("served").0;
    assert!((99 * MS..=101 * MS).contains(&took), "{took}");
    // Four on two cores take twice as long.
    let four: Vec<u64> = (0..4).map(|_| pay.arrive(0)).collect();
    pay.until(2 * SECOND);
    for attempt in four {
        let took = pay.answered(attempt).expect("served").0 - SECOND;
        assert!((199 * MS..=201 * MS).contains(&took), "{took}");
    }
    // Slots and queue hold 8 and 40; what is beyond never runs, and is told so at once.
    let many: Vec<u64> = (0..60).map(|_| pay.arrive(0)).collect();
    let turned: Vec<u64> =
        many.iter().copied().filter(|a| matches!(pay.answered(*a), Some((_, Answer::NeverRan)))).collect();
    assert_eq!(turned.len(), 12);
    pay.until(10 * SECOND);
    assert!(turned.iter().all(|attempt| !pay.ran(*attempt)));
    assert_eq!(pay.served(), 5 + 48);
}

#[test]
fn a_cold_one_is_slow_and_falls_over_under_twice_what_it_can_do_but_not_under_its_part() {
    let site = Site { cold_from: 0.25, cold_ms: 10_000, ..site() };
    let mut first = Played::new(&site, false, Some(0));
    let attempt = first.arrive(0);
    first.until(2 * SECOND);
    let took = first.answered(attempt).expect("served").0;
    assert!((350 * MS..=420 * MS).contains(&took), "{took}: a quarter of its speed");
    // A warm one does 20 of these a second; this one 5 at first and 11 after three seconds.
    let falls = |gap: Nanos| {
        let mut pay = Played::new(&site, false, Some(0));
        while pay.now < 8 * SECOND {
            pay.arrive(0);
            pay.until(pay.now + gap);
        }
        pay.acts.iter().any(|(_, act)| *act == Act::Fell)
    };
    assert!(falls(20 * MS));
    assert!(!falls(100 * MS));
}

#[test]
fn one_that_drains_completes_what_it_has_and_what_waits_goes_with_its_connection() {
    let mut pay = Played::new(&site(), false, None);
    let held: Vec<u64> = (0..10).map(|_| pay.arrive(0)).collect();
    let mut acts = Vec::new();
    pay.server.withdraw(0, held[0], &mut acts);
    pay.server.withdraw(0, held[9], &mut acts);
    pay.server.drain();
    let late = pay.arrive(0);
    pay.until(5 * SECOND);
    assert_eq!(pay.answered(late).map(|(_, answer)| answer), Some(Answer::NeverRan));
    assert!(pay.answered(held[0]).is_some(), "running work goes on");
    assert!(!pay.ran(held[9]), "waiting work is dropped");
    assert_eq!(pay.served(), 9);
}

#[test]
fn one_that_stands_still_does_nothing_until_it_goes_on() {
    let mut pay = Played::new(&site(), false, None);
    let attempt = pay.arrive(0);
    pay.server.pause(0, true, &mut Vec::new());
    pay.until(5 * SECOND);
    assert_eq!(pay.answered(attempt), None);
    pay.server.pause(5 * SECOND, false, &mut Vec::new());
    pay.until(6 * SECOND);
    let at = pay.answered(attempt).expect("served").0;
    assert!((5 * SECOND + 99 * MS..=5 * SECOND + 101 * MS).contains(&at), "{at}");
}

#[test]
fn a_sealed_id_never_runs_under_a_lower_token() {
    let mut pay = Played::new(&site(), true, None);
    let ran = pay.arrive(1);
    let seal = |pay: &mut Played, trace, below| pay.server.seal(pay.now, trace, below, &mut Vec::new());
    assert_eq!(seal(&mut pay, ran, 5), Some(Receipt::Out));
    pay.until(SECOND);
    assert_eq!(seal(&mut pay, ran, 5), Some(Receipt::Ran(ran)));
    // The next id is sealed before it comes: its old owner is late, its new one is not.
    let next = pay.next + 1;
    assert_eq!(seal(&mut pay, next, 5), Some(Receipt::Sealed));
    assert_eq!(seal(&mut pay, next, 3), Some(Receipt::Sealed), "a lower seal takes nothing back");
    let old = pay.arrive(4);
    assert_eq!(pay.answered(old).map(|(_, answer)| answer), Some(Answer::NeverRan));
    pay.next -= 1;
    let new = pay.arrive(5);
    assert!(pay.ran(new));
    let mut without = Played::new(&site(), false, None);
    assert_eq!(seal(&mut without, 1, 1), None);
}

#[test]
fn the_meter_tells_the_last_finished_period_late() {
    let mut meter = Meter::new(800 * MS, vec![10.0]);
    for i in 0..4 {
        meter.took(100 * MS + i, 0, 1.0);
    }
    assert_eq!(meter.told(1299 * MS, 0), None, "the first period is not summed yet");
    assert_eq!(meter.told(1300 * MS, 0), Some(80), "four of five");
    assert_eq!(meter.told(1800 * MS, 0), Some(0));
}

#[test]
fn the_counter_speaks_the_published_lines() {
    let mut counter = Counter::new(100.0);
    let mut said = |now: Nanos, line: &str| counter.call(now, line).text;
    assert_eq!(said(0, "ping"), "pong");
    assert_eq!(said(0, "incr a 2.5 4000"), "ok 2.5");
    assert_eq!(said(SECOND, "incr a -1 4000"), "ok 1.5");
    assert_eq!(said(5 * SECOND, "incr a 1 4000"), "ok 1", "its life is over");
    for wrong in [
        "",
        "incr",
        "incr a",
        "incr a 1",
        "incr a x 1",
        "incr a 1 0",
        "incr a 2e9 1",
        "incr a 1 1 1",
        "get a",
    ] {
        assert_eq!(said(6 * SECOND, wrong), "error", "{wrong:?}");
    }
    // It bears so many calls; those beyond are turned away and add nothing.
    let replies: Vec<_> = (0..40).map(|_| counter.call(10 * SECOND, "incr b 1 60000")).collect();
    let taken = replies.iter().filter(|reply| !reply.busy).count();
    assert_eq!(taken, 20);
    assert!(replies.iter().filter(|reply| !reply.busy).all(|reply| reply.at > 10 * SECOND));
    assert_eq!(counter.call(20 * SECOND, "incr b 0 1").text, "ok 20");
    counter.lose(1.0, &mut random_stream(1, RandomStream::Counter));
    assert_eq!(counter.call(21 * SECOND, "incr b 1 1000").text, "ok 1");
}

#[test]
fn the_list_tells_changes_since_a_version_and_all_of_it_to_strangers() {
    let host = |id: &str, state| Host {
        id: id.to_owned(),
        addr: "127.100.100.100:80".parse().expect("an address"),
        zone: String::new(),
        kind: String::new(),
        cell: 0,
        state,
        weight: 1.0,
        started_ms: 0,
    };
    let mut list = List::new(5);
    list.set(0, host("a", State::Serving));
    list.set(1, host("b", State::Serving));
    let since = list.version();
    let watch = |since| ListRequest::Watch { since, wait: Duration::ZERO };
    assert!(list.answer(watch(since)).is_none());
    list.set(1, host("b", State::Deleted));
    let mut news = list.answer(watch(since)).expect("a change");
    assert!(!news.full);
    assert_eq!(news.servers.iter().map(|(number, _)| *number).collect::<Vec<_>>(), [1]);
    let body = news.body("127.101.100.103".parse().expect("an address")).expect("JSON");
    assert!(String::from_utf8_lossy(&body).contains("127.101.100.103:80"), "by the reader's own address");
    for ask in [ListRequest::Full, watch(list.version() + 9)] {
        let whole = list.answer(ask).expect("a list");
        assert!(whole.full && whole.servers.len() == 1, "deleted ones are only among changes");
    }
}

fn fault(kind: FaultKind, victims: Vec<End>, from: Vec<End>, one_way: bool) -> DrawnFault {
    let (delay, jitter) = if kind == FaultKind::Delay { (30 * MS, 20 * MS) } else { (0, 0) };
    DrawnFault {
        kind,
        at: 0,
        until: None,
        victims,
        owner: None,
        from_owner: None,
        from,
        one_way,
        reset: false,
        delay,
        jitter,
        probability: 0.5,
    }
}

#[test]
fn cuts_have_directions_and_sides_and_heal() {
    let (g0, g1, pay, list) = (End::Gateway(0), End::Gateway(1), End::PayServer(0), End::ListService(0));
    let mut rules = LinkFaults::default();
    rules.begin(0, &fault(FaultKind::Cut, vec![pay], vec![g0], true));
    assert!(!rules.path(g0, pay).open && rules.path(pay, g0).open, "one way");
    assert!(!rules.connects(g0, pay), "a connection needs both");
    assert!(rules.connects(g1, pay) && rules.connects(g0, list));
    rules.begin(1, &fault(FaultKind::Cut, vec![g1], Vec::new(), false));
    assert!(!rules.path(g1, list).open && !rules.path(list, g1).open && !rules.path(End::Clients, g1).open);
    rules.end(0);
    assert_eq!(rules.path(g0, pay), LinkState::CLEAR);
    rules.end(1);
    rules.set_suspended(pay, true);
    assert!(!rules.path(g0, pay).open && rules.connects(g0, pay), "its system still answers");
}

proptest! {
    /// Datagrams are lost, doubled and change places as often as the rules say; streams lose nothing and only come late.
    #[test]
    fn datagrams_and_streams_fare_as_the_rules_say(seed in any::<u64>()) {
        let (a, b) = (End::Gateway(0), End::Gateway(1));
        let mut rules = LinkFaults::default();
        rules.begin(0, &fault(FaultKind::Lose, vec![b], vec![a], false));
        rules.begin(1, &fault(FaultKind::Duplicate, vec![b], vec![a], false));
        rules.begin(2, &fault(FaultKind::Delay, vec![b], vec![a], false));
        let mut rng = random_stream(seed, RandomStream::Links);
        let path = rules.path(a, b);
        let copies: Vec<usize> = (0..2000).map(|_| path.datagram(&mut rng).len()).collect();
        let share = |n| copies.iter().filter(|copies| **copies == n).count() as f64 / 2000.0;
        prop_assert!((0.4..0.6).contains(&share(0)) && (0.18..0.32).contains(&share(2)), "{} {}", share(0), share(2));
        let delays: Vec<Nanos> = (0..200).map(|_| path.stream_delay(&mut rng)).collect();
        prop_assert!(delays.iter().all(|delay| (30 * MS..=250 * MS).contains(delay)));
        prop_assert!(delays.windows(2).any(|pair| pair[0] > pair[1]));
    }

    /// Whatever befalls its tries: a request that must not run twice is asked again only where nothing can have run, unless
    /// its client comes back with the same id; no client tries beyond its deadline or its retries.
    #[test]
    fn clients_ask_again_only_as_their_class_allows(
        seed in any::<u64>(), outcomes in prop::collection::vec(0..6usize, 8), come_back in any::<bool>(),
    ) {
        let mut scenario = Scenario::default();
        scenario.load.unsafe_share = 1.0;
        scenario.load.come_back = come_back;
        scenario.load.retries = 5;
        let deployment = Deployment::draw(&scenario, seed).expect("draws");
        let arrival = Arrivals::new(&scenario, &deployment, seed).and_then(|mut all| all.next()).expect("one");
        prop_assert_eq!(arrival.class, UNSAFE);
        let customer = &deployment.customers[arrival.customer as usize];
        let mut front = Front::new(3);
        front.set(0, false);
        let (began, mut now) = (SECOND, SECOND);
        let mut asking = Asking::new(&arrival, Manners::of(&scenario), began);
        let mut current = asking.first(now, customer, &front);
        for (tries, outcome) in outcomes.into_iter().enumerate() {
            prop_assert!(tries <= 5 && current.gateway < 3);
            prop_assert!(now + current.after + current.wait <= began + 4 * SECOND);
            let outcome = [
                Outcome::Served { attempt: None },
                Outcome::Refused,
                Outcome::Failed,
                Outcome::Unreachable,
                Outcome::Reset { first: false },
                Outcome::TimedOut,
            ][outcome];
            now += current.after + 20 * MS;
            match asking.next(now, outcome, Some(SECOND), customer, &front) {
                Next::End(how) => {
                    prop_assert_eq!(how, outcome);
                    return Ok(());
                }
                Next::Try(next) => {
                    let lost = matches!(outcome, Outcome::Reset { .. });
                    prop_assert!(
                        matches!(outcome, Outcome::Refused | Outcome::Unreachable) || (lost && come_back)
                    );
                    prop_assert_eq!(next.trace == current.trace, lost, "the same id only after a loss");
                    current = next;
                }
            }
        }
        prop_assert!(false, "it goes on for ever");
    }
}
