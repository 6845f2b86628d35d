//! The lease: the time until which a member may act on its state without a round through the chain.
//!
//! Suppose that a member handles round n at some time of its own clock, and that a later message from the
//! head confirms that round n went through the complete chain. Then every member was still in the view at
//! that time, and nothing was acknowledged in a later view before it: the next view acknowledges only once
//! its head, a member of this view, has installed it, and from then on that member rejects this view's
//! rounds, so that none of them completes. The lease therefore counts from when the round was *handled*.
//! Counting from when its confirmation was *received* would be unsafe: that message may have been delayed for
//! any time, in the network or while this process was suspended.
//!
//! Callers add a duration that is shorter than the time after which other members move on to the next view
//! (see [`Config::suspect_timeout`](crate::Config::suspect_timeout)). Only monotonic clocks are used; they
//! need not agree, but must run at nearly the same rate.

use crate::message::Round;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of handled rounds that are kept until the head confirms them.
const MAX_HANDLED_ROUNDS: usize = 16;

/// A round, and the time at which this member handled it.
struct HandledRound {
    number: u64,
    handled_at: Duration,
}

/// The rounds that this member has handled most recently, all of one head's session in one view: rounds of
/// other sessions and views are numbered independently.
#[derive(Default)]
struct HandledRounds {
    view: u64,
    session: u64,
    rounds: VecDeque<HandledRound>,
}

/// The latest time at which every member is known to have been in this member's view.
#[derive(Default)]
pub(crate) struct Lease {
    handled: HandledRounds,
    confirmed_at: Option<Duration>,
}

impl Lease {
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }

    /// Renews the head's lease after the round that it started at this time went through the chain.
    pub fn renew(&mut self, started_at: Duration) {
        self.confirmed_at = Some(started_at);
    }

    /// Records that a round of the head was handled, and renews the lease if it confirms an earlier round.
    pub fn on_round_handled(&mut self, now: Duration, view: u64, round: Round) {
        let handled = &mut self.handled;
        if (handled.view, handled.session) != (view, round.session) {
            *handled = HandledRounds { view, session: round.session, rounds: VecDeque::new() };
        }
        let confirmed = handled.rounds.iter().find(|handled| handled.number == round.confirmed);
        self.confirmed_at = self.confirmed_at.max(confirmed.map(|handled| handled.handled_at));
        handled.rounds.push_back(HandledRound { number: round.number, handled_at: now });
        if handled.rounds.len() > MAX_HANDLED_ROUNDS {
            handled.rounds.pop_front();
        }
    }
}
