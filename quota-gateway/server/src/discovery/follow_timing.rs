//! The timing with which an endpoint list is followed, and the bound that it adds up to.

use marblecroft_quota_gateway_core::{Discovery as Method, Random};
use std::time::Duration;

/// The pauses after failed calls, before jitter: the first one doubles up to the maximum.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Backoff {
    /// The first pause, and the one after a success.
    pub first: Duration,
    /// The longest pause.
    pub max: Duration,
}

/// How a list is followed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FollowTiming {
    /// How long a watch waits for a change.
    pub wait: Duration,
    /// A call that is unanswered this long after its wait is hedged; `None`: it is not.
    pub hedge_after: Option<Duration>,
    /// A watch that is unanswered this long after its wait is abandoned: it has had its turn before.
    pub watch_timeout: Duration,
    /// A call for the full list, which waits its turn among those of all gateways, is abandoned after this time ...
    pub timeout: Duration,
    /// ... or this time after a busy answer: a call waits its turn then, and each that is abandoned too early is wasted
    /// work that delays the others.
    pub busy_timeout: Duration,
    /// The pauses after failed calls.
    pub backoff: Backoff,
    /// The time in which discovery is expected to answer one gateway's new watch.
    pub stagger: Duration,
}

/// Where lists must be requested, calls are priced and abandoned ones are wasted work. A change counts as delivered 6 s
/// after discovery has it, so a watch that turns silent as it begins is abandoned and the full list requested within that
/// time ([`FollowTiming::update_bound`]). The full list is answered at once; a further watch would take its whole wait again
/// to find the agent silent. Silent watches end for all gateways at the same time, and each one's next call takes discovery
/// a third of a second where it is slow: a call that is abandoned before its turn is served all the same and delays the
/// others, so it is waited for for longer. All gateways start a watch when they were restarted or rejected together, and
/// discovery also works on abandoned calls: with less than a turn between them it reaches none before its caller has gone.
const POLLED: FollowTiming = FollowTiming {
    wait: Duration::from_millis(2500),
    hedge_after: None,
    watch_timeout: Duration::from_millis(500),
    timeout: Duration::from_millis(2600),
    busy_timeout: Duration::from_millis(1800),
    backoff: Backoff { first: Duration::from_millis(50), max: Duration::from_millis(400) },
    stagger: Duration::from_millis(35),
};

/// Where lists are pushed, the agent is on this machine, answers at once and at no cost, and a change counts as delivered
/// from the moment at which the agent has it, whatever calls it left unanswered. A call that turned silent is never
/// answered, so it is soon hedged; it is not abandoned for that, so that an agent that is only slow is heard too.
const PUSHED: FollowTiming = FollowTiming {
    wait: Duration::from_millis(200),
    hedge_after: Some(Duration::from_millis(80)),
    watch_timeout: Duration::from_millis(400),
    timeout: Duration::from_millis(400),
    busy_timeout: Duration::from_millis(400),
    backoff: Backoff { first: Duration::from_millis(50), max: Duration::from_millis(50) },
    stagger: Duration::ZERO,
};

/// The project's own service pushes changes too, from a few processes to all gateways: their watches share one encoding,
/// but each call costs a little, and several hundred calls that come back at the same time cost more.
const SERVED: FollowTiming = FollowTiming {
    wait: Duration::from_secs(1),
    hedge_after: Some(Duration::from_millis(250)),
    watch_timeout: Duration::from_secs(1),
    timeout: Duration::from_secs(1),
    busy_timeout: Duration::from_secs(3),
    backoff: Backoff { first: Duration::from_millis(50), max: Duration::from_millis(500) },
    stagger: Duration::ZERO,
};

/// The smallest factor of a jittered pause; the largest is greater by [`JITTER_SPAN`].
const MIN_JITTER: f64 = 0.5;
const JITTER_SPAN: f64 = 1.0;
/// The longest round. With more gateways than take their turn in it, discovery rejects some, which is better than that all
/// are served too late.
const MAX_ROUND: Duration = Duration::from_millis(2800);
/// A change counts as delivered this long after discovery had it and could be reached, whatever became of earlier calls.
const UPDATE_BOUND: Duration = Duration::from_secs(6);

/// A random instant within the round in which all gateways take their turn: they cannot agree on an order.
pub fn jitter(round: Duration, random: &mut Random) -> Duration {
    round.mul_f64(random.uniform())
}

const fn longer(one: Duration, other: Duration) -> Duration {
    if one.as_nanos() > other.as_nanos() {
        one
    } else {
        other
    }
}

/// A pause with the largest jitter.
const fn longest_pause(pause: Duration) -> Duration {
    pause.saturating_mul(3).checked_div(2).expect("no division by zero")
}

const _: () = {
    assert!(POLLED.update_bound().as_nanos() <= UPDATE_BOUND.as_nanos());
    assert!(PUSHED.update_bound().as_nanos() <= UPDATE_BOUND.as_nanos());
    assert!(SERVED.update_bound().as_nanos() <= UPDATE_BOUND.as_nanos());
};

impl FollowTiming {
    /// The timing for a method; `is_own_service` where the list comes from the project's own discovery service.
    pub fn of(method: Method, is_own_service: bool) -> FollowTiming {
        match (method, is_own_service) {
            (Method::Subscribe, _) => POLLED,
            (Method::Push, false) => PUSHED,
            (Method::Push, true) => SERVED,
        }
    }

    /// The longest time from the moment at which discovery has a change and can be reached until a call starts that it can
    /// answer, whatever the state at that moment: a watch or a call that turned silent as it began, or a pause.
    pub const fn max_time_to_call(&self) -> Duration {
        match self.hedge_after {
            Some(hedge_after) => {
                longer(self.wait.saturating_add(hedge_after), longest_pause(self.backoff.max))
            }
            None => {
                let watch = self.wait.saturating_add(self.watch_timeout);
                longer(
                    watch.saturating_add(longest_pause(self.backoff.first)),
                    self.timeout.saturating_add(longest_pause(self.backoff.max)),
                )
            }
        }
    }

    /// The same until that call is answered, or would be abandoned; this holds for gateways that were rejected, too.
    pub const fn update_bound(&self) -> Duration {
        let rejected =
            longest_pause(longer(self.backoff.max, self.max_round())).saturating_add(self.busy_timeout);
        longer(self.max_time_to_call().saturating_add(self.timeout), rejected)
    }

    /// A pause with jitter, so that many gateways do not call at the same time.
    pub fn jittered(pause: Duration, random: &mut Random) -> Duration {
        pause.mul_f64(MIN_JITTER + JITTER_SPAN * random.uniform())
    }

    const fn max_round(&self) -> Duration {
        if self.stagger.is_zero() {
            Duration::ZERO
        } else {
            MAX_ROUND
        }
    }

    /// The time in which each gateway takes its turn with a discovery that must be polled. Where changes are pushed a watch
    /// costs nothing, and a change counts as delivered at once.
    pub fn round(&self, gateways: u32) -> Duration {
        self.stagger.saturating_mul(gateways).min(self.max_round())
    }
}

#[cfg(test)]
mod tests;
