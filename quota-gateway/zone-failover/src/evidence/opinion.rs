//! The opinion of the gateways of one zone on a zone, as sums of votes.

use marblecroft_control_messages::report::AttemptCounts;

/// Number of attempts for a full vote. Fewer may have failed by chance, so they count for less than a vote.
const MIN_ATTEMPTS_PER_VOTE: f64 = 2.0;
/// Fraction of failed attempts above which a gateway votes against a zone.
const MAX_FAILED_FRACTION: f64 = 0.5;
/// Fraction of failed and rejected attempts above which a gateway votes that a zone is overloaded.
const MAX_REJECTED_FRACTION: f64 = 0.1;

/// Sums of votes on a zone. Each gateway has at most one vote.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Opinion {
    /// Votes for the zone.
    pub votes_for: f64,
    /// Votes against it.
    pub votes_against: f64,
    /// Votes that it is overloaded; they are also counted for or against it.
    pub overloaded: f64,
}

impl Opinion {
    /// Returns the opinion of gateways with these attempts.
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
            self.votes_against += vote;
        } else {
            self.votes_for += vote;
        }
        if attempts.rejected + failed > MAX_REJECTED_FRACTION * total {
            self.overloaded += vote;
        }
    }

    /// Returns the sum of the votes for and against the zone.
    pub fn votes(&self) -> f64 {
        self.votes_for + self.votes_against
    }

    /// Returns whether most votes are against the zone.
    pub fn is_against(&self) -> bool {
        self.votes_against > self.votes_for
    }

    /// Returns whether there are votes for the zone, and at least as many as against it.
    pub fn is_for(&self) -> bool {
        self.votes_for > 0.0 && self.votes_for >= self.votes_against
    }
}
