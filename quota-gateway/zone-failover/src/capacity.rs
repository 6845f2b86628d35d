//! What each zone is known to bear: its warm servers, times what one of them is known or has been seen to take.

use std::time::Duration;

/// What was seen to be taken without trouble may be passed by this part in a second, so that more is found out in small steps.
const STEP_UP: f64 = 0.25;
/// In a second in which servers turn work away it sinks by this part, but not under what is served.
const STEP_DOWN: f64 = 0.15;
/// A peak is half forgotten in this long.
const PEAK_HALF_LIFE_SECS: f64 = 600.0;
/// Before anything was seen one server is taken to bear this; small, as the first seconds teach more.
const INITIAL_SERVER_CAPACITY: f64 = 1.0;

/// What one warm server of a zone takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Learnt {
    unit: f64,
    at: Duration,
}

impl Learnt {
    /// As the decision before had it.
    pub fn from_decision(unit: f64, at: Duration) -> Learnt {
        Learnt { unit, at }
    }

    /// What is seen in a second: units served at so many warm servers, and whether they turn work away.
    pub fn see(&mut self, now: Duration, served: f64, warm: f64, pressed: bool) {
        let dt = now.saturating_sub(self.at).as_secs_f64().min(10.0);
        self.at = now;
        if warm < 0.5 {
            return;
        }
        let seen = served / warm;
        self.unit *= 0.5_f64.powf(dt / PEAK_HALF_LIFE_SECS);
        if pressed {
            self.unit = (self.unit * (1.0 - STEP_DOWN * dt.min(1.0))).max(seen);
        } else {
            self.unit = self.unit.max(seen);
        }
    }

    /// What it bears: known, or seen and a step more.
    pub fn unit(&self, known: f64, pressed: bool) -> f64 {
        if known > 0.0 {
            return known;
        }
        let more = if pressed { 1.0 } else { 1.0 + STEP_UP };
        (self.unit * more).max(INITIAL_SERVER_CAPACITY)
    }
}
