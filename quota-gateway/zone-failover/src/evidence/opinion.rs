//! What the gateways of one zone say of a zone, in votes.

use marblecroft_control_messages::report::AttemptCounts;

/// Attempts that make a full vote: fewer may have failed by chance.
const MIN_ATTEMPTS_PER_VOTE: f64 = 2.0;
/// Fraction of failed attempts above which a vote is against a zone.
const MAX_FAILED_FRACTION: f64 = 0.5;
/// Fraction of failed and rejected attempts above which a vote calls a zone overloaded.
const MAX_REJECTED_FRACTION: f64 = 0.1;

/// An opinion: sums of votes, of which each gateway has one at most.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Opinion {
    /// Votes for the zone.
    pub good: f64,
    /// Votes against it.
    pub bad: f64,
    /// Votes, also counted above, that call it overloaded.
    pub overloaded: f64,
}

impl Opinion {
    /// Returns the opinion of gateways by their attempts.
    pub(super) fn of(attempts: impl Iterator<Item = AttemptCounts>) -> Opinion {
        let mut opinion = Opinion::default();
        attempts.for_each(|attempts| opinion.add_vote(attempts));
        opinion
    }

    fn add_vote(&mut self, attempts: AttemptCounts) {
        let total = attempts.total();
        let failed = attempts.failed + attempts.connect_failed;
        let vote = (total / MIN_ATTEMPTS_PER_VOTE).min(1.0);
        if failed > MAX_FAILED_FRACTION * total {
            self.bad += vote;
        } else {
            self.good += vote;
        }
        if attempts.rejected + failed > MAX_REJECTED_FRACTION * total {
            self.overloaded += vote;
        }
    }

    /// Returns the sum of all votes.
    pub fn votes(&self) -> f64 {
        self.good + self.bad
    }

    /// Returns whether it is against the zone.
    pub fn is_against(&self) -> bool {
        self.bad > self.good
    }

    /// Returns whether it is for the zone.
    pub fn is_for(&self) -> bool {
        self.good > 0.0 && self.good >= self.bad
    }
}
