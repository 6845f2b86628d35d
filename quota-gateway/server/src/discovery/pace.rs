//! The waits with which a list is followed, and the bound that they add up to.

use marblecroft_quota_gateway_core::{Discovery as Method, Random};
use std::time::Duration;

/// How a list is followed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FollowTiming {
    /// How long a watch waits for news.
    pub wait: Duration,
    /// A call that has said nothing this long after its wait gets another one beside it; none: it is waited for alone.
    pub full_list_after: Option<Duration>,
    /// A watch that has said nothing this long after its wait is given up: it has had its turn before.
    pub watch_timeout: Duration,
    /// A call for the whole list, which waits its turn among those of all gateways, is given up after this time.
    pub timeout: Duration,
    /// ... or this long after a busy answer: a call waits its turn then, and each that is given up too early is work for
    /// nothing, which keeps the others waiting.
    pub busy_timeout: Duration,
    /// The first and the longest pause after a failed call, before scatter.
    pub backoff: (Duration, Duration),
    /// Time in which discovery is counted on to answer one gateway's new watch.
    pub stagger: Duration,
}

/// Where lists must be asked for, calls are priced and those given up are work for nothing. A change counts as told 6 s
/// after discovery had it, so a watch that falls silent as it begins is given up and the whole list asked for within that
/// time ([`Pace::told_within`]). The whole list it gives at once: a further watch would take all of the wait again to
/// find the agent silent. Silent watches end for all gateways at the same time, and what each of them asks for next takes
/// discovery a third of a second where it is slow: a call that is given up before its turn is served all the same and
/// keeps the others waiting, so it is waited for for longer. All gateways start a watch when they have been restarted
/// together or turned away together, and discovery works on calls too that have been given up: with less than a turn
/// between them it gets to none before its caller has gone.
const POLLED: FollowTiming = FollowTiming {
    wait: Duration::from_millis(2500),
    full_list_after: None,
    watch_timeout: Duration::from_millis(500),
    timeout: Duration::from_millis(2600),
    busy_timeout: Duration::from_millis(1800),
    backoff: (Duration::from_millis(50), Duration::from_millis(400)),
    stagger: Duration::from_millis(35),
};

/// Where they are pushed, the agent is on this machine, answers at once and at no cost, and what it holds counts as told
/// from the moment on when it has it, whatever calls it left unanswered. A call that fell silent is never answered, so
/// another goes out beside it soon; it is not given up for that, so that an agent that is only slow is heard too.
const PUSHED: FollowTiming = FollowTiming {
    wait: Duration::from_millis(200),
    full_list_after: Some(Duration::from_millis(80)),
    watch_timeout: Duration::from_millis(400),
    timeout: Duration::from_millis(400),
    busy_timeout: Duration::from_millis(400),
    backoff: (Duration::from_millis(50), Duration::from_millis(50)),
    stagger: Duration::ZERO,
};

/// The project's own service tells changes unasked too, from a few processes for all gateways: their watches share one
/// encoding, but each call costs them a little, and each of several hundred that comes back at the same time more.
const SERVED: FollowTiming = FollowTiming {
    wait: Duration::from_secs(1),
    full_list_after: Some(Duration::from_millis(250)),
    watch_timeout: Duration::from_secs(1),
    timeout: Duration::from_secs(1),
    busy_timeout: Duration::from_secs(3),
    backoff: (Duration::from_millis(50), Duration::from_millis(500)),
    stagger: Duration::ZERO,
};

/// Scatter of a pause: from half of it to half as much again.
const JITTER: (f64, f64) = (0.5, 1.0);
/// The longest round: with more gateways than have their turn in it, discovery turns some away rather than that all hear too
/// late.
const MAX_ROUND: Duration = Duration::from_millis(2800);
/// A change counts as told so long after discovery had it and could be reached, whatever became of the calls before.
const UPDATE_BOUND: Duration = Duration::from_secs(6);

const fn longer(one: Duration, other: Duration) -> Duration {
    if one.as_nanos() > other.as_nanos() {
        one
    } else {
        other
    }
}

/// A pause at the upper end of its scatter.
const fn longest_backoff(pause: Duration) -> Duration {
    pause.saturating_mul(3).checked_div(2).expect("no division by zero")
}

const _: () = {
    assert!(POLLED.update_bound().as_nanos() <= UPDATE_BOUND.as_nanos());
    assert!(PUSHED.update_bound().as_nanos() <= UPDATE_BOUND.as_nanos());
    assert!(SERVED.update_bound().as_nanos() <= UPDATE_BOUND.as_nanos());
};

impl FollowTiming {
    pub fn of(method: Method, own_service: bool) -> FollowTiming {
        match (method, own_service) {
            (Method::Subscribe, _) => POLLED,
            (Method::Push, false) => PUSHED,
            (Method::Push, true) => SERVED,
        }
    }

    /// The longest from the moment on when discovery has a change and can be reached until a call goes out that it can
    /// answer, whatever state that moment is met in: a watch that fell silent as it began, a call that did, a pause.
    pub const fn heard_within(&self) -> Duration {
        match self.full_list_after {
            Some(beside) => longer(self.wait.saturating_add(beside), longest_backoff(self.backoff.1)),
            None => {
                let watch = self.wait.saturating_add(self.watch_timeout);
                longer(
                    watch.saturating_add(longest_backoff(self.backoff.0)),
                    self.timeout.saturating_add(longest_backoff(self.backoff.1)),
                )
            }
        }
    }

    /// The same until that call has been answered, or would be given up; and the same for gateways that were turned away.
    pub const fn update_bound(&self) -> Duration {
        let refused =
            longest_backoff(longer(self.backoff.1, self.max_round())).saturating_add(self.busy_timeout);
        longer(self.heard_within().saturating_add(self.timeout), refused)
    }

    /// A pause after a failed call, of this length before scatter.
    pub fn jittered(pause: Duration, random: &mut Random) -> Duration {
        pause.mul_f64(JITTER.0 + JITTER.1 * random.uniform())
    }

    const fn max_round(&self) -> Duration {
        if self.stagger.is_zero() {
            Duration::ZERO
        } else {
            MAX_ROUND
        }
    }

    /// The time in which each gateway has its turn with a discovery that must be asked. Where changes come unasked a watch
    /// costs it nothing, and what it has to tell counts as told at once.
    pub fn round(&self, gateways: u32) -> Duration {
        self.stagger.saturating_mul(gateways).min(self.max_round())
    }
}

#[cfg(test)]
mod tests;
