//! Chains of attempts on a virtual clock: whatever servers, clients and the caller do, a request stays within its budget.

use marblecroft_deadline::{Budget, Stage, RESPONSE_MARGIN, STALL_TIMEOUT};
use marblecroft_quota_gateway_core::Time;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::time::Duration;

/// The longest way back that a server is reckoned to have.
const BACK_MOST: Duration = Duration::from_millis(11);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn at(millis: u64) -> Time {
    Time(millis * 1_000_000)
}

/// How a server takes an attempt.
#[derive(Clone, Copy, Debug)]
enum Server {
    /// The connection comes up after so long, if the caller waits for it.
    Up(u64),
    /// The connection was kept, and is closed before anything is written.
    Closed,
    Kept,
}

#[derive(Clone, Debug)]
struct Try {
    server: Server,
    /// The answer comes after so long, if the caller waits for it; `None` when it never does.
    answer: Option<u64>,
    served: bool,
    /// What the decisions take before the next one.
    pause: u64,
    back: u64,
}

#[derive(Clone, Debug)]
struct Chain {
    told: u64,
    begun: u64,
    /// From the first byte to the last, and from that until it was read.
    reading: u64,
    ago: u64,
    /// SIGKILL, so long after the last byte was read.
    cut: Option<u64>,
    tries: Vec<Try>,
    write: u64,
}

fn chain() -> impl Strategy<Value = Chain> {
    let server = prop_oneof![
        3 => (0..400_u64).prop_map(Server::Up),
        1 => Just(Server::Closed),
        2 => Just(Server::Kept),
    ];
    let tries = (
        server,
        prop::option::weighted(0.7, prop_oneof![1 => 0..3_u64, 3 => 0..1500_u64]),
        any::<bool>(),
        prop_oneof![Just(0), 0..30_u64],
        0..12_u64,
    )
        .prop_map(|(server, answer, served, pause, back)| Try { server, answer, served, pause, back });
    (
        0..4000_u64,
        1..1000_u64,
        0..2500_u64,
        0..600_u64,
        prop::option::of(0..4000_u64),
        prop::collection::vec(tries, 0..8),
        0..200_u64,
    )
        .prop_map(|(told, begun, reading, ago, cut, tries, write)| Chain {
            told,
            begun,
            reading,
            ago: ago.min(reading),
            cut,
            tries,
            write,
        })
}

/// What was seen of a chain.
struct Seen {
    sends: Vec<(Time, Duration)>,
    answered: Time,
    budget: Budget,
}

/// Plays a chain as the gateway does: no wait is longer than the budget says, and when nothing is left the answer is out.
fn play(chain: &Chain) -> Seen {
    let mut budget = Budget::new(ms(chain.told), at(chain.begun));
    let mut now = at(chain.begun + chain.reading);
    budget.on_complete(now, ms(chain.ago));
    if let Some(cut) = chain.cut {
        budget.end_by(now.after(ms(cut)));
    }
    let ends = budget.deadline().expect("it is whole");
    let mut sends = Vec::new();
    'tries: for one in &chain.tries {
        if now >= ends {
            break;
        }
        if let Server::Up(after) = one.server {
            let wait = budget.connecting(now, ms(250));
            now = now.after(wait.min(ms(after)));
            if ms(after) > wait {
                budget.waiting(now);
                continue 'tries;
            }
        }
        let Some(rest) = budget.sending(now, ends, ms(one.back)) else {
            budget.waiting(now);
            continue;
        };
        if matches!(one.server, Server::Closed) {
            budget.unsent(now);
            continue;
        }
        sends.push((now, rest));
        let wait = budget.limit_wait(now, one.answer.map_or(Duration::MAX, ms));
        now = now.after(wait);
        if one.served && one.answer.is_some_and(|after| ms(after) <= wait) && now < ends {
            break;
        }
        budget.waiting(now);
        now = now.after(budget.limit_wait(now, ms(one.pause)));
    }
    assert!(budget.answered(now), "the first answer stands");
    assert!(!budget.answered(now), "and no other");
    let seen = Seen { sends, answered: now, budget };
    let mut late = seen.budget.clone();
    let soon = now.after(ms(1));
    assert_eq!(
        late.sending(soon, ends.after(STALL_TIMEOUT), ms(0)),
        None,
        "nothing is sent behind the answer"
    );
    seen
}

#[test]
fn a_chain_of_attempts_stays_within_its_budget() {
    let config = Config { cases: 20_000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]));
    let (mut several, mut cut_short, mut spent_whole) = (0, 0, 0);
    let (mut ended, mut longest) = (0_u32, 0);
    let counts =
        std::cell::RefCell::new((&mut several, &mut cut_short, &mut spent_whole, &mut ended, &mut longest));
    runner
        .run(&chain(), |chain| {
            let seen = play(&chain);
            let read = at(chain.begun + chain.reading);
            let given = ms(chain.told).saturating_sub(RESPONSE_MARGIN);
            let most = chain.cut.map_or(given, |cut| given.min(ms(cut + chain.ago)));
            let written = seen.answered.after(ms(chain.write));
            let spent = seen.budget.spent(written);
            // What was spent before it was read may be all and more; what is spent from then on never is.
            prop_assert!(spent.charged() <= most.max(ms(chain.ago)), "{:?} of {most:?}", spent.charged());
            let whole: Duration = spent.stages().map(|(_, took)| took).sum();
            prop_assert_eq!(
                whole,
                ms(chain.reading + chain.write) + Duration::from_nanos(seen.answered.0 - read.0)
            );
            prop_assert_eq!(spent.of(Stage::Write), ms(chain.write));
            for pair in seen.sends.windows(2) {
                prop_assert!(pair[1].1 <= pair[0].1, "told more than the one before");
                // A way back that is reckoned shorter may make up for no more than itself.
                let passed = Duration::from_nanos(pair[1].0 .0 - pair[0].0 .0);
                prop_assert!(passed <= BACK_MOST || pair[1].1 < pair[0].1, "time passed, and none was taken");
            }
            for (sent, rest) in &seen.sends {
                let left = most.saturating_sub(Duration::from_nanos(sent.0 - read.0) + ms(chain.ago));
                prop_assert!(!rest.is_zero() && *rest <= left, "told {rest:?} of {left:?}");
            }
            let mut counts = counts.borrow_mut();
            *counts.0 += u32::from(seen.sends.len() > 1);
            *counts.1 += u32::from(chain.cut.is_some_and(|cut| ms(cut) < given));
            *counts.2 += u32::from(spent.charged() == most);
            *counts.3 += 1;
            *counts.4 = (*counts.4).max(seen.sends.len());
            Ok(())
        })
        .unwrap();
    // The chances that were meant to be met were met.
    assert!(several > 2000 && cut_short > 2000 && spent_whole > 500, "{several} {cut_short} {spent_whole}");
    assert!(ended == 20_000 && longest >= 4);
}

#[test]
fn a_connect_that_hangs_leaves_time_for_another_server() {
    let mut budget = Budget::new(ms(310), at(0));
    budget.on_complete(at(0), ms(0));
    let mut now = at(0);
    let mut waits = Vec::new();
    for _ in 0..4 {
        let wait = budget.connecting(now, ms(250));
        waits.push(wait);
        now = now.after(wait);
        budget.waiting(now);
    }
    assert_eq!(waits, [ms(150), ms(75), Duration::from_micros(37_500), Duration::from_micros(18_750)]);
    assert!(budget.sending(now, at(300), ms(1)).is_some(), "the fourth may still be told something");
}

#[test]
fn the_time_of_a_body_that_is_passed_on_begins_with_its_last_byte() {
    let mut budget = Budget::new(ms(500), at(0));
    assert_eq!(budget.remaining(at(5000)), None, "the client is still sending");
    assert_eq!(budget.limit_wait(at(5000), ms(250)), ms(250));
    assert_eq!(budget.connecting(at(1000), ms(250)), ms(250));
    assert_eq!(budget.sending(at(1010), Time(u64::MAX), ms(2)), Some(ms(488)));
    budget.on_complete(at(9000), ms(0));
    assert_eq!(budget.deadline(), Some(at(9490)));
    budget.on_complete(at(9400), ms(0));
    assert_eq!(budget.deadline(), Some(at(9490)), "the last byte comes once");
    budget.answered(at(9100));
    let spent = budget.spent(at(9100));
    assert_eq!((spent.of(Stage::Read), spent.of(Stage::Attempt)), (ms(9000), ms(100)));
}

#[test]
fn a_process_that_ends_cuts_every_budget_and_lengthens_none() {
    let mut budget = Budget::new(ms(500), at(0));
    budget.end_by(at(2000));
    assert_eq!(budget.remaining(at(1700)), Some(ms(300)), "one that is still coming too");
    budget.on_complete(at(1000), ms(0));
    assert_eq!(budget.deadline(), Some(at(1490)));
    budget.end_by(at(1200));
    budget.end_by(at(1400));
    assert_eq!(budget.deadline(), Some(at(1200)));
    assert_eq!(budget.sending(at(1100), at(1490), ms(0)), Some(ms(100)));
    assert_eq!(budget.sending(at(1200), at(1490), ms(0)), None);
}

#[test]
fn a_budget_that_is_smaller_than_its_ways_sends_nothing() {
    for told in [0, 1, 9, 10, 11] {
        let mut budget = Budget::new(ms(told), at(0));
        budget.on_complete(at(0), ms(0));
        assert_eq!(budget.sending(at(0), at(4000), ms(1)), None, "{told} ms");
        assert!(budget.answered(at(0)), "and is answered all the same");
    }
    // Read later than its client waits.
    let mut budget = Budget::new(ms(400), at(1000));
    budget.on_complete(at(1000), ms(500));
    assert_eq!(budget.remaining(at(1000)), Some(ms(0)));
    assert_eq!(budget.spent(at(1000)).of(Stage::Unread), ms(500));
    assert_eq!(budget.sending(at(1000), at(4000), ms(0)), None);
}
