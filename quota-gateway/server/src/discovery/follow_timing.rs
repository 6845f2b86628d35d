//! The timing with which an endpoint list is followed, and the resulting bound on the delay of a change.

use marblecroft_quota_gateway_core::{Discovery as Method, Random};
use std::time::Duration;

/// The delays after failed calls, before jitter. The delay doubles with each failure, up to the maximum.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Backoff {
    /// The delay after the first failure since a success.
    pub first: Duration,
    /// The longest delay.
    pub max: Duration,
}

/// The timing with which a list is followed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FollowTiming {
    /// How long a watch waits for a change.
    pub wait: Duration,
    /// A call that is unanswered this long after its wait is hedged; `None` to never hedge.
    pub hedge_after: Option<Duration>,
    /// A watch that is unanswered this long after its wait is abandoned. Discovery has accepted it before, so
    /// it does not queue again.
    pub watch_timeout: Duration,
    /// A call for the full list is abandoned after this time, which includes queueing behind the calls of
    /// other gateways.
    pub timeout: Duration,
    /// The timeout of a call after a busy response. Such a call queues, and abandoning it too early wastes
    /// work of discovery and delays the other calls.
    pub busy_timeout: Duration,
    /// The delays after failed calls.
    pub backoff: Backoff,
    /// The time that discovery is expected to take for one gateway's new watch.
    pub stagger: Duration,
}

/// The timing for a list that must be polled: calls have a cost, and abandoned ones are wasted work. A change
/// counts as delivered 6 s after discovery has it. Within that time, a watch that gets no response is
/// abandoned and the full list is requested ([`FollowTiming::update_bound`]). The full list is returned
/// immediately, whereas a further watch would have to wait as long again before the agent is known
/// to be unresponsive. Unanswered watches end for all gateways at the same time, and each gateway's next call
/// takes a slow discovery service a third of a second. A call that is abandoned while it queues is processed
/// anyway and delays the others, so its timeout is longer. All gateways start a watch at the same time when
/// they were restarted or rejected together. Discovery processes abandoned calls too: with a stagger below
/// the time that one call takes, it would reach each call only after its caller has given up.
const POLLED: FollowTiming = FollowTiming {
    wait: Duration::from_millis(2500),
    hedge_after: None,
    watch_timeout: Duration::from_millis(500),
    timeout: Duration::from_millis(2600),
    busy_timeout: Duration::from_millis(1800),
    backoff: Backoff { first: Duration::from_millis(50), max: Duration::from_millis(400) },
    stagger: Duration::from_millis(35),
};

/// The timing for a list that is pushed: the agent is on this machine, responds immediately and at no cost. A
/// change counts as delivered as soon as the agent has it, even if calls are unanswered. An unanswered call
/// never gets a response, so it is hedged soon. It is not abandoned at that point, so that the response of a
/// slow agent is still used.
const PUSHED: FollowTiming = FollowTiming {
    wait: Duration::from_millis(200),
    hedge_after: Some(Duration::from_millis(80)),
    watch_timeout: Duration::from_millis(400),
    timeout: Duration::from_millis(400),
    busy_timeout: Duration::from_millis(400),
    backoff: Backoff { first: Duration::from_millis(50), max: Duration::from_millis(50) },
    stagger: Duration::ZERO,
};

/// The timing for the project's own service, which also pushes changes, from a few processes to all gateways.
/// The watches share one encoding, but each call costs a little, and several hundred simultaneous calls cost
/// more.
const PROJECT_SERVICE: FollowTiming = FollowTiming {
    wait: Duration::from_secs(1),
    hedge_after: Some(Duration::from_millis(250)),
    watch_timeout: Duration::from_secs(1),
    timeout: Duration::from_secs(1),
    busy_timeout: Duration::from_secs(3),
    backoff: Backoff { first: Duration::from_millis(50), max: Duration::from_millis(500) },
    stagger: Duration::ZERO,
};

/// The smallest factor of a jittered delay. The largest is greater by [`JITTER_SPAN`].
const MIN_JITTER: f64 = 0.5;
const JITTER_SPAN: f64 = 1.0;
/// The longest time over which the calls of all gateways are spread. If there are too many gateways for it,
/// discovery rejects some calls, which is better than serving all of them too late.
const MAX_CALL_SPREAD: Duration = Duration::from_millis(2800);
/// A change counts as delivered this long after discovery had it and could be reached, whatever happened to
/// earlier calls.
const UPDATE_BOUND: Duration = Duration::from_secs(6);

/// Returns a random delay within the time over which calls are spread. The gateways have no agreed order.
pub fn jitter(call_spread: Duration, random: &mut Random) -> Duration {
    call_spread.mul_f64(random.uniform())
}

const fn max_duration(one: Duration, other: Duration) -> Duration {
    if one.as_nanos() > other.as_nanos() {
        one
    } else {
        other
    }
}

/// Returns a delay with the largest jitter.
const fn max_jittered(delay: Duration) -> Duration {
    delay.saturating_mul(3).checked_div(2).expect("no division by zero")
}

const _: () = {
    assert!(POLLED.update_bound().as_nanos() <= UPDATE_BOUND.as_nanos());
    assert!(PUSHED.update_bound().as_nanos() <= UPDATE_BOUND.as_nanos());
    assert!(PROJECT_SERVICE.update_bound().as_nanos() <= UPDATE_BOUND.as_nanos());
};

impl FollowTiming {
    /// The timing for a method; `is_own_service` is set if the list comes from the project's own discovery
    /// service.
    pub fn of(method: Method, is_own_service: bool) -> FollowTiming {
        match (method, is_own_service) {
            (Method::Subscribe, _) => POLLED,
            (Method::Push, false) => PUSHED,
            (Method::Push, true) => PROJECT_SERVICE,
        }
    }

    /// The longest time between the instant at which discovery has a change and can be reached and the start
    /// of a call to which it can respond. At that instant a watch or another call may just have started and
    /// remain unanswered, or a backoff may have begun.
    pub const fn max_time_to_call(&self) -> Duration {
        match self.hedge_after {
            Some(hedge_after) => {
                max_duration(self.wait.saturating_add(hedge_after), max_jittered(self.backoff.max))
            }
            None => {
                let watch = self.wait.saturating_add(self.watch_timeout);
                max_duration(
                    watch.saturating_add(max_jittered(self.backoff.first)),
                    self.timeout.saturating_add(max_jittered(self.backoff.max)),
                )
            }
        }
    }

    /// The longest time between the instant at which discovery has a change and can be reached and the end of
    /// the call of [`max_time_to_call`](Self::max_time_to_call), by a response or a timeout. Also holds for
    /// gateways that were rejected as busy.
    pub const fn update_bound(&self) -> Duration {
        let rejected = max_jittered(max_duration(self.backoff.max, self.max_call_spread()))
            .saturating_add(self.busy_timeout);
        max_duration(self.max_time_to_call().saturating_add(self.timeout), rejected)
    }

    /// Returns a delay with jitter, so that many gateways do not call at the same time.
    pub fn jittered(delay: Duration, random: &mut Random) -> Duration {
        delay.mul_f64(MIN_JITTER + JITTER_SPAN * random.uniform())
    }

    const fn max_call_spread(&self) -> Duration {
        if self.stagger.is_zero() {
            Duration::ZERO
        } else {
            MAX_CALL_SPREAD
        }
    }

    /// The time over which the calls of all gateways are spread if the list must be polled. If changes are
    /// pushed, it is zero: a watch costs nothing, and a change counts as delivered immediately.
    pub fn call_spread(&self, gateways: u32) -> Duration {
        self.stagger.saturating_mul(gateways).min(self.max_call_spread())
    }
}

#[cfg(test)]
mod tests;
