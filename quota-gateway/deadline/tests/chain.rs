//! Chains of attempts on a virtual clock: a request stays within its budget, whatever servers, clients and
//! the caller do.

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
    /// The connection is established after this time in ms, if the caller waits for it.
    Up(u64),
    /// The connection is reused, and is closed before anything is written.
    Closed,
    /// The connection is reused.
    Pooled,
}

#[derive(Clone, Debug)]
struct Attempt {
    server: Server,
    /// The response arrives after this time in ms, if the caller waits for it; `None` if it never arrives.
    response_after: Option<u64>,
    served: bool,
    /// Time in ms before the next attempt.
    backoff: u64,
    response_transit: u64,
}

#[derive(Clone, Debug)]
struct Chain {
    client_timeout: u64,
    started_at: u64,
    /// Time in ms from the first byte until the last byte is read.
    read_duration: u64,
    /// The part of `read_duration`, in ms, between the arrival and the read of the last byte.
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
        .prop_map(
            |(client_timeout, started_at, read_duration, unread_for, exits_after, attempts, write)| Chain {
                client_timeout,
                started_at,
                read_duration,
                unread_for: unread_for.min(read_duration),
                exits_after,
                attempts,
                write,
            },
        )
}

/// The result of a chain.
struct ChainResult {
    sends: Vec<(Time, Duration)>,
    decided_at: Time,
    budget: Budget,
}

/// Runs a chain as the gateway does: no wait is longer than the budget allows, and the response is decided
/// when no time remains.
fn run_chain(chain: &Chain) -> ChainResult {
    let mut budget = Budget::new(ms(chain.client_timeout), at(chain.started_at));
    let mut now = at(chain.started_at + chain.read_duration);
    budget.on_complete(now, ms(chain.unread_for));
    if let Some(exits_after) = chain.exits_after {
        budget.end_by(now.after(ms(exits_after)));
    }
    let deadline = budget.deadline().expect("the request is complete");
    let mut sends = Vec::new();
    'attempts: for attempt in &chain.attempts {
        if now >= deadline {
            break;
        }
        if let Server::Up(after) = attempt.server {
            let wait = budget.begin_connect(now, ms(250));
            now = now.after(wait.min(ms(after)));
            if ms(after) > wait {
                budget.begin_wait(now);
                continue 'attempts;
            }
        }
        let Some(advertised) = budget.begin_attempt(now, deadline, ms(attempt.response_transit)) else {
            budget.begin_wait(now);
            continue;
        };
        if matches!(attempt.server, Server::Closed) {
            budget.cancel_attempt(now);
            continue;
        }
        sends.push((now, advertised));
        let wait = budget.limit_wait(now, attempt.response_after.map_or(Duration::MAX, ms));
        now = now.after(wait);
        if attempt.served && attempt.response_after.is_some_and(|after| ms(after) <= wait) && now < deadline {
            break;
        }
        budget.begin_wait(now);
        now = now.after(budget.limit_wait(now, ms(attempt.backoff)));
    }
    assert!(budget.decide(now), "the first decision is valid");
    assert!(!budget.decide(now), "a second decision is not valid");
    let result = ChainResult { sends, decided_at: now, budget };
    let mut after_decision = result.budget.clone();
    let next = now.after(ms(1));
    assert_eq!(
        after_decision.begin_attempt(next, deadline.after(STALL_TIMEOUT), ms(0)),
        None,
        "no attempt follows the response"
    );
    result
}

#[test]
fn a_chain_of_attempts_stays_within_its_budget() {
    let config = Config { cases: 20_000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]));
    let (mut with_retries, mut ended_by_exit, mut used_whole_budget) = (0, 0, 0);
    let (mut chain_count, mut max_sends) = (0_u32, 0);
    let counts = std::cell::RefCell::new((
        &mut with_retries,
        &mut ended_by_exit,
        &mut used_whole_budget,
        &mut chain_count,
        &mut max_sends,
    ));
    runner
        .run(&chain(), |chain| {
            let result = run_chain(&chain);
            let read_at = at(chain.started_at + chain.read_duration);
            let usable_timeout = ms(chain.client_timeout).saturating_sub(RESPONSE_MARGIN);
            let max_charged = chain
                .exits_after
                .map_or(usable_timeout, |exits_after| usable_timeout.min(ms(exits_after + chain.unread_for)));
            let written = result.decided_at.after(ms(chain.write));
            let spent = result.budget.spent(written);
            // The unread time may exceed the budget; the time spent after that never does.
            prop_assert!(
                spent.charged() <= max_charged.max(ms(chain.unread_for)),
                "{:?} of {max_charged:?}",
                spent.charged()
            );
            let total: Duration = spent.stages().map(|(_, took)| took).sum();
            prop_assert_eq!(
                total,
                ms(chain.read_duration + chain.write) + Duration::from_nanos(result.decided_at.0 - read_at.0)
            );
            prop_assert_eq!(spent.of(Stage::Write), ms(chain.write));
            for pair in result.sends.windows(2) {
                prop_assert!(pair[1].1 <= pair[0].1, "advertised more than the attempt before");
                // A shorter transit time than that of the previous attempt can make up for elapsed time, but
                // only up to the maximum transit time.
                let elapsed = Duration::from_nanos(pair[1].0 .0 - pair[0].0 .0);
                prop_assert!(
                    elapsed <= MAX_RESPONSE_TRANSIT || pair[1].1 < pair[0].1,
                    "time passed, but none was deducted"
                );
            }
            for (sent, advertised) in &result.sends {
                let remaining = max_charged
                    .saturating_sub(Duration::from_nanos(sent.0 - read_at.0) + ms(chain.unread_for));
                prop_assert!(
                    !advertised.is_zero() && *advertised <= remaining,
                    "advertised {advertised:?} of {remaining:?}"
                );
            }
            let mut counts = counts.borrow_mut();
            *counts.0 += u32::from(result.sends.len() > 1);
            *counts.1 +=
                u32::from(chain.exits_after.is_some_and(|exits_after| ms(exits_after) < usable_timeout));
            *counts.2 += u32::from(spent.charged() == max_charged);
            *counts.3 += 1;
            *counts.4 = (*counts.4).max(result.sends.len());
            Ok(())
        })
        .unwrap();
    // The generated chains covered the relevant cases.
    assert!(
        with_retries > 2000 && ended_by_exit > 2000 && used_whole_budget > 500,
        "{with_retries} {ended_by_exit} {used_whole_budget}"
    );
    assert!(chain_count == 20_000 && max_sends >= 4);
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
    assert_eq!(budget.deadline(), Some(at(9490)), "only the first call counts");
    budget.decide(at(9100));
    let spent = budget.spent(at(9100));
    assert_eq!((spent.of(Stage::Read), spent.of(Stage::Attempt)), (ms(9000), ms(100)));
}

#[test]
fn process_exit_shortens_every_budget_and_extends_none() {
    let mut budget = Budget::new(ms(500), at(0));
    budget.end_by(at(2000));
    assert_eq!(budget.remaining(at(1700)), Some(ms(300)), "also for a request that is still arriving");
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
        assert!(budget.decide(at(0)), "{timeout} ms: the response is still decided");
    }
    // The request was read after the client's timeout had ended.
    let mut budget = Budget::new(ms(400), at(1000));
    budget.on_complete(at(1000), ms(500));
    assert_eq!(budget.remaining(at(1000)), Some(ms(0)));
    assert_eq!(budget.spent(at(1000)).of(Stage::Unread), ms(500));
    assert_eq!(budget.begin_attempt(at(1000), at(4000), ms(0)), None);
}
