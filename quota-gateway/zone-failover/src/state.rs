//! The state of each zone, and the rules between states.

use crate::body::State;
use crate::settings::{ms, Settings};
use std::time::Duration;

/// What the evidence of this moment says of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Whoever looks is served.
    Well,
    /// Those inside are served, those outside are not: it is cut off. Or too few say anything.
    Doubtful,
    /// Several gateways see it fail, those inside with them, or nobody inside is left.
    Lost,
    /// Nothing is listed there any more, at most of those that were heard of late: that lasts already, and nobody need try it.
    Gone,
    /// Nobody has looked.
    Unseen,
}

/// One zone's state, and since when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Zone {
    pub state: State,
    pub since: Duration,
    /// Since when the evidence has been against it without a break.
    pub lost_since: Option<Duration>,
    pub falls: u32,
}

/// A fall within so many ramps after a return began counts as one of a zone that flaps.
const FLAP: u32 = 3;
/// The share that a return begins with.
pub const FIRST_SHARE: f64 = 0.1;

impl Zone {
    pub fn new(now: Duration) -> Zone {
        Zone { state: State::Serving, since: now, lost_since: None, falls: 0 }
    }

    fn enter(&mut self, now: Duration, state: State) {
        (self.state, self.since) = (state, now);
    }

    fn for_long(&self, now: Duration) -> Duration {
        now.saturating_sub(self.since)
    }

    /// How long it stays out.
    pub fn hold_time(&self, settings: &Settings) -> Duration {
        let doublings = self.falls.min(16);
        ms(settings.hold_ms.saturating_mul(1 << doublings).min(settings.hold_most_ms.max(settings.hold_ms)))
    }

    /// The share of what it bears that is open to it.
    pub fn open(&self, now: Duration, settings: &Settings) -> f64 {
        match self.state {
            State::Serving | State::Suspect => 1.0,
            State::FailedOver | State::HeldByOperator => 0.0,
            State::Returning => {
                let part = self.for_long(now).as_secs_f64() / ms(settings.ramp_ms).as_secs_f64();
                (FIRST_SHARE + (1.0 - FIRST_SHARE) * part).min(1.0)
            }
        }
    }

    /// Moves by this moment's verdict. `may_fall`: it may go out, as another zone is left and no region has moved too lately.
    /// `servers`: whether any are listed, without which it has nothing to return with.
    pub fn advance(
        &mut self,
        now: Duration,
        settings: &Settings,
        verdict: Verdict,
        may_fall: bool,
        servers: bool,
    ) {
        self.lost_since = match verdict {
            Verdict::Lost | Verdict::Gone => self.lost_since.or(Some(now)),
            // Once nobody is sent there nobody sees it: what was against it last stands.
            Verdict::Unseen => self.lost_since,
            Verdict::Well | Verdict::Doubtful => None,
        };
        let gone = verdict == Verdict::Gone;
        let lasting = gone
            || self.lost_since.is_some_and(|since| now.saturating_sub(since) >= ms(settings.out_after_ms));
        match (self.state, verdict) {
            (State::HeldByOperator, _) => {}
            (State::Serving, Verdict::Gone) if may_fall => self.fall(now),
            (State::Serving, Verdict::Lost | Verdict::Gone | Verdict::Doubtful) => {
                self.enter(now, State::Suspect)
            }
            (State::Suspect, Verdict::Well) => self.enter(now, State::Serving),
            (State::Suspect, _) if lasting && may_fall => self.fall(now),
            // A share that is small by decision proves little at first; one report against it may be left over from before.
            (State::Returning, Verdict::Lost | Verdict::Gone) if lasting && may_fall => {
                self.falls = self.falls.saturating_add(1);
                self.fall(now);
            }
            (State::Returning, _) if self.for_long(now) >= ms(settings.ramp_ms) => {
                self.enter(now, State::Serving)
            }
            (State::FailedOver, _) if self.for_long(now) >= self.hold_time(settings) && servers => {
                self.lost_since = None;
                self.enter(now, State::Returning);
            }
            (State::Serving, _) if self.falls > 0 && self.for_long(now) >= ms(settings.ramp_ms) * FLAP => {
                // Well for long enough: it no longer flaps.
                (self.falls, self.since) = (self.falls - 1, now);
            }
            _ => {}
        }
    }

    fn fall(&mut self, now: Duration) {
        self.lost_since = None;
        self.enter(now, State::FailedOver);
    }

    /// An operator's word.
    pub fn hold_by_operator(&mut self, now: Duration) {
        self.lost_since = None;
        self.enter(now, State::HeldByOperator);
    }

    /// An operator's word that it may come back, at once.
    pub fn let_back(&mut self, now: Duration) {
        if matches!(self.state, State::HeldByOperator | State::FailedOver) {
            self.lost_since = None;
            self.enter(now, State::Returning);
        }
    }
}
