//! Chains of attempts on a virtual clock: whatever servers, clients and the caller do, a request stays within its budget.

use marblecroft_deadline::{Budget, Stage, RESPONSE_MARGIN, STALL_TIMEOUT};
use marblecroft_quota_gateway_core::Time;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::time::Duration;

/// The longest transit time of a response in these chains.
const MAX_RESPONSE_TRANSIT: Duration = Duration::from_millis(11);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn at(millis: u64) -> Time {
    Time(millis * 1_000_000)
}

/// How a server receives an attempt.
#[derive(Clone, Copy, Debug)]
enum Server {
    /// The connection comes up after so long, if the caller waits for it.
    Up(u64),
    /// The connection was kept, and is closed before anything is written.
    Closed,
    /// The connection is reused.
    Pooled,
}

#[derive(Clone, Debug)]
struct Attempt {
    server: Server,
    /// The response comes after this time in ms, if the caller waits for it; `None` when it never does.
    response_after: Option<u64>,
    served: bool,
    /// Time in ms before the next attempt.
    backoff: u64,
    response_transit: u64,
}

#[derive(Clone, Debug)]
struct Chain {
    client_timeout: u64,
    begun: u64,
    /// Time in ms from the first byte to the last, and for how much of it the last byte lay unread.
    reading: u64,
    unread_for: u64,
    /// The process exits this many ms after the last byte was read.
    exits_after: Option<u64>,
    attempts: Vec<Attempt>,
    write: u64,
}

fn chain() -> impl Strategy<Value = Chain> {
    let server = prop_oneof![
        3 => (0..400_u64).prop_map(Server::Up),
        1 => Just(Server::Closed),
        2 => Just(Server::Pooled),
    ];
    let attempts = (
        server,
        prop::option::weighted(0.7, prop_oneof![1 => 0..3_u64, 3 => 0..1500_u64]),
        any::<bool>(),
        prop_oneof![Just(0), 0..30_u64],
        0..12_u64,
    )
        .prop_map(|(server, response_after, served, backoff, response_transit)| Attempt {
            server,
            response_after,
            served,
            backoff,
            response_transit,
        });
    (
        0..4000_u64,
        1..1000_u64,
        0..2500_u64,
        0..600_u64,
        prop::option::of(0..4000_u64),
        prop::collection::vec(attempts, 0..8),
        0..200_u64,
    )
        .prop_map(|(client_timeout, begun, reading, unread_for, exits_after, attempts, write)| Chain {
            client_timeout,
            begun,
            reading,
            unread_for: unread_for.min(reading),
            exits_after,
            attempts,
            write,
        })
}

/// What a chain did.
struct Played {
    sends: Vec<(Time, Duration)>,
    decided_at: Time,
    budget: Budget,
}

/// Plays a chain as the gateway does: no wait is longer than the budget allows, and the response is decided when no time remains.
fn play(chain: &Chain) -> Played {
    let mut budget = Budget::new(ms(chain.client_timeout), at(chain.begun));
    let mut now = at(chain.begun + chain.reading);
    budget.on_complete(now, ms(chain.unread_for));
    if let Some(exits_after) = chain.exits_after {
        budget.end_by(now.after(ms(exits_after)));
    }
    let ends = budget.deadline().expect("the request is complete");
    let mut sends = Vec::new();
    'attempts: for one in &chain.attempts {
        if now >= ends {
            break;
        }
        if let Server::Up(after) = one.server {
            let wait = budget.begin_connect(now, ms(250));
            now = now.after(wait.min(ms(after)));
            if ms(after) > wait {
                budget.begin_wait(now);
                continue 'attempts;
            }
        }
        let Some(rest) = budget.begin_attempt(now, ends, ms(one.response_transit)) else {
            budget.begin_wait(now);
            continue;
        };
        if matches!(one.server, Server::Closed) {
            budget.cancel_attempt(now);
            continue;
        }
        sends.push((now, rest));
        let wait = budget.limit_wait(now, one.response_after.map_or(Duration::MAX, ms));
        now = now.after(wait);
        if one.served && one.response_after.is_some_and(|after| ms(after) <= wait) && now < ends {
            break;
        }
        budget.begin_wait(now);
        now = now.after(budget.limit_wait(now, ms(one.backoff)));
    }
    assert!(budget.decide(now), "the first decision is valid");
    assert!(!budget.decide(now), "and no other");
    let played = Played { sends, decided_at: now, budget };
    let mut late = played.budget.clone();
    let soon = now.after(ms(1));
    assert_eq!(
        late.begin_attempt(soon, ends.after(STALL_TIMEOUT), ms(0)),
        None,
        "no attempt follows the response"
    );
    played
}

#[test]
fn a_chain_of_attempts_stays_within_its_budget() {
    let config = Config { cases: 20_000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]));
    let (mut several, mut cut_short, mut spent_all) = (0, 0, 0);
    let (mut ended, mut longest) = (0_u32, 0);
    let counts =
        std::cell::RefCell::new((&mut several, &mut cut_short, &mut spent_all, &mut ended, &mut longest));
    runner
        .run(&chain(), |chain| {
            let played = play(&chain);
            let read = at(chain.begun + chain.reading);
            let given = ms(chain.client_timeout).saturating_sub(RESPONSE_MARGIN);
            let most =
                chain.exits_after.map_or(given, |exits_after| given.min(ms(exits_after + chain.unread_for)));
            let written = played.decided_at.after(ms(chain.write));
            let spent = played.budget.spent(written);
            // The time unread may exceed the budget; the time spent after that never does.
            prop_assert!(
                spent.charged() <= most.max(ms(chain.unread_for)),
                "{:?} of {most:?}",
                spent.charged()
            );
            let total: Duration = spent.stages().map(|(_, took)| took).sum();
            prop_assert_eq!(
                total,
                ms(chain.reading + chain.write) + Duration::from_nanos(played.decided_at.0 - read.0)
            );
            prop_assert_eq!(spent.of(Stage::Write), ms(chain.write));
            for pair in played.sends.windows(2) {
                prop_assert!(pair[1].1 <= pair[0].1, "advertised more than the attempt before");
                // A shorter transit estimate may make up for no more than itself.
                let passed = Duration::from_nanos(pair[1].0 .0 - pair[0].0 .0);
                prop_assert!(
                    passed <= MAX_RESPONSE_TRANSIT || pair[1].1 < pair[0].1,
                    "time passed, and none was deducted"
                );
            }
            for (sent, rest) in &played.sends {
                let left = most.saturating_sub(Duration::from_nanos(sent.0 - read.0) + ms(chain.unread_for));
                prop_assert!(!rest.is_zero() && *rest <= left, "advertised {rest:?} of {left:?}");
            }
            let mut counts = counts.borrow_mut();
            *counts.0 += u32::from(played.sends.len() > 1);
            *counts.1 += u32::from(chain.exits_after.is_some_and(|exits_after| ms(exits_after) < given));
            *counts.2 += u32::from(spent.charged() == most);
            *counts.3 += 1;
            *counts.4 = (*counts.4).max(played.sends.len());
            Ok(())
        })
        .unwrap();
    // The generator reached the cases that matter.
    assert!(several > 2000 && cut_short > 2000 && spent_all > 500, "{several} {cut_short} {spent_all}");
    assert!(ended == 20_000 && longest >= 4);
}

#[test]
fn a_hanging_connect_keeps_time_for_another_server() {
    let mut budget = Budget::new(ms(310), at(0));
    budget.on_complete(at(0), ms(0));
    let mut now = at(0);
    let mut waits = Vec::new();
    for _ in 0..4 {
        let wait = budget.begin_connect(now, ms(250));
        waits.push(wait);
        now = now.after(wait);
        budget.begin_wait(now);
    }
    assert_eq!(waits, [ms(150), ms(75), Duration::from_micros(37_500), Duration::from_micros(18_750)]);
    assert!(budget.begin_attempt(now, at(300), ms(1)).is_some(), "the fourth attempt still has time");
}

#[test]
fn the_timeout_of_a_streamed_body_starts_at_its_last_byte() {
    let mut budget = Budget::new(ms(500), at(0));
    assert_eq!(budget.remaining(at(5000)), None, "the client is still sending");
    assert_eq!(budget.limit_wait(at(5000), ms(250)), ms(250));
    assert_eq!(budget.begin_connect(at(1000), ms(250)), ms(250));
    assert_eq!(budget.begin_attempt(at(1010), Time(u64::MAX), ms(2)), Some(ms(488)));
    budget.on_complete(at(9000), ms(0));
    assert_eq!(budget.deadline(), Some(at(9490)));
    budget.on_complete(at(9400), ms(0));
    assert_eq!(budget.deadline(), Some(at(9490)), "the last byte comes once");
    budget.decide(at(9100));
    let spent = budget.spent(at(9100));
    assert_eq!((spent.of(Stage::Read), spent.of(Stage::Attempt)), (ms(9000), ms(100)));
}

#[test]
fn process_exit_shortens_every_budget_and_extends_none() {
    let mut budget = Budget::new(ms(500), at(0));
    budget.end_by(at(2000));
    assert_eq!(budget.remaining(at(1700)), Some(ms(300)), "a request that is still arriving too");
    budget.on_complete(at(1000), ms(0));
    assert_eq!(budget.deadline(), Some(at(1490)));
    budget.end_by(at(1200));
    budget.end_by(at(1400));
    assert_eq!(budget.deadline(), Some(at(1200)));
    assert_eq!(budget.begin_attempt(at(1100), at(1490), ms(0)), Some(ms(100)));
    assert_eq!(budget.begin_attempt(at(1200), at(1490), ms(0)), None);
}

#[test]
fn a_budget_smaller_than_its_transit_times_sends_nothing() {
    for timeout in [0, 1, 9, 10, 11] {
        let mut budget = Budget::new(ms(timeout), at(0));
        budget.on_complete(at(0), ms(0));
        assert_eq!(budget.begin_attempt(at(0), at(4000), ms(1)), None, "{timeout} ms");
        assert!(budget.decide(at(0)), "and gets a response all the same");
    }
    // Read later than its client waits.
    let mut budget = Budget::new(ms(400), at(1000));
    budget.on_complete(at(1000), ms(500));
    assert_eq!(budget.remaining(at(1000)), Some(ms(0)));
    assert_eq!(budget.spent(at(1000)).of(Stage::Unread), ms(500));
    assert_eq!(budget.begin_attempt(at(1000), at(4000), ms(0)), None);
}
