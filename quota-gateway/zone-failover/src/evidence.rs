//! What several gateways see of each zone. Votes count by gateway, not by request, and what each is asked for is clipped: a liar
//! whose figures are a thousand times too high moves a decision by no more than its part.

use crate::settings::{ms, Settings};
use marblecroft_control_messages::frame::DecodeError;
use marblecroft_control_messages::report::{AttemptCounts, Report};
use std::collections::BTreeMap;
use std::time::Duration;

/// An instant of the owner's monotonic clock.
pub type Now = Duration;

/// What was seen is half forgotten with each further report; where it is little, as of a zone that is only looked at, more slowly,
/// or it would never make a vote.
const FADE: (f64, f64) = (0.5, 0.8);
/// So many attempts are more than little.
const MUCH: f64 = 8.0;
/// So many attempts make a vote: with fewer, chance does.
const MIN_ATTEMPTS_PER_VOTE: f64 = 2.0;
/// So many voices of the last second are enough to leave out what was before.
const VOICES_ENOUGH: f64 = 3.0;
/// Of which so many must have failed to vote against a zone ...
const BAD: f64 = 0.5;
/// ... or been turned away as busy, to call it pressed.
const PRESSED: f64 = 0.1;
/// What one gateway is asked for counts for so many times the others' mean at the most: traffic is uneven, but not more so.
const MAX_RELATIVE_DEMAND: f64 = 8.0;
/// The most gateways that are kept account of.
pub const MAX_GATEWAYS: usize = 4096;

/// What one gateway told last, and what it has seen of late.
#[derive(Clone, Debug)]
struct Heard {
    at: Now,
    life: u64,
    number: u64,
    zone: usize,
    asked: f64,
    /// With memory, and in the last report alone.
    seen: Vec<AttemptCounts>,
    last: Vec<AttemptCounts>,
    servers: Vec<Option<(f64, f64)>>,
    /// Units a second served at each zone, in the last report alone.
    served: Vec<f64>,
}

/// What the gateways of one zone say of another, in voices.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Opinion {
    pub good: f64,
    pub bad: f64,
    pub pressed: f64,
}

impl Opinion {
    pub fn votes(&self) -> f64 {
        self.good + self.bad
    }

    pub fn against(&self) -> bool {
        self.bad > self.good
    }

    pub fn favours(&self) -> bool {
        self.good > 0.0 && self.good >= self.bad
    }
}

/// A gateway reports once a second; one that has not for longer than this is late.
const LATELY: Duration = Duration::from_millis(1600);

#[derive(Clone, Debug, Default)]
pub struct Evidence {
    gateways: BTreeMap<u32, Heard>,
    /// The last moment that anything was told of.
    moment: Now,
    /// Reports that came late or twice.
    pub repeated: u64,
}

fn blend(old: AttemptCounts, new: AttemptCounts) -> AttemptCounts {
    let fade = if old.total() > MUCH { FADE.0 } else { FADE.1 };
    let mix = |old: f64, new: f64| fade * old + new;
    AttemptCounts {
        served: mix(old.served, new.served),
        rejected: mix(old.rejected, new.rejected),
        failed: mix(old.failed, new.failed),
        connect_failed: mix(old.connect_failed, new.connect_failed),
    }
}

impl Evidence {
    /// Takes a report in. One that names a zone which is unknown here is refused whole; one that is late or comes twice
    /// changes nothing.
    pub fn take(&mut self, now: Now, settings: &Settings, report: &Report) -> Result<(), DecodeError> {
        let n = settings.places.len();
        let zone = settings.zone(&report.zone).ok_or(DecodeError::InvalidValue)?;
        let places: Option<Vec<usize>> = report.zones.iter().map(|seen| settings.zone(&seen.zone)).collect();
        let places = places.ok_or(DecodeError::InvalidValue)?;
        let before = self.gateways.get(&report.gateway);
        if before.is_some_and(|heard| heard.life == report.incarnation && heard.number >= report.sequence) {
            self.repeated += 1;
            return Ok(());
        }
        if before.is_none() && self.gateways.len() >= MAX_GATEWAYS {
            return Err(DecodeError::TooLong);
        }
        // What an earlier life saw says nothing of this one's way.
        let mut seen = before
            .filter(|heard| {
                heard.life == report.incarnation && now.saturating_sub(heard.at) < ms(settings.unheard_ms)
            })
            .map_or_else(|| vec![AttemptCounts::default(); n], |heard| heard.seen.clone());
        let (mut servers, mut served, mut last) =
            (vec![None; n], vec![0.0; n], vec![AttemptCounts::default(); n]);
        let span = f64::from(report.span_ms) / 1000.0;
        for (place, seen) in seen.iter_mut().enumerate() {
            let told = report.zones.iter().zip(&places).find(|(_, told)| **told == place);
            *seen = blend(*seen, told.map_or_else(AttemptCounts::default, |(told, _)| told.attempts));
        }
        for (told, &place) in report.zones.iter().zip(&places) {
            servers[place] = Some((told.servers, told.warm));
            served[place] = told.attempts.served / span;
            last[place] = told.attempts;
        }
        let heard = Heard {
            at: now,
            life: report.incarnation,
            number: report.sequence,
            zone,
            asked: report.requested_units,
            seen,
            last,
            servers,
            served,
        };
        self.gateways.insert(report.gateway, heard);
        Ok(())
    }

    /// Leaves out of account whoever was not heard for too long.
    pub fn expire(&mut self, now: Now, settings: &Settings) {
        self.moment = self.moment.max(now);
        self.gateways.retain(|_, heard| now.saturating_sub(heard.at) < ms(settings.unheard_ms));
    }

    pub fn heard(&self) -> usize {
        self.gateways.len()
    }

    pub fn heard_of(&self, zone: usize) -> u32 {
        self.gateways.values().filter(|heard| heard.zone == zone).count() as u32
    }

    fn voices(&self, from: usize, to: usize, seen: fn(&Heard) -> &Vec<AttemptCounts>) -> Opinion {
        let mut opinion = Opinion::default();
        for heard in self.gateways.values().filter(|heard| heard.zone == from) {
            let seen = seen(heard)[to];
            let lost = seen.failed + seen.connect_failed;
            // A gateway has one voice, and less of one where it has tried less than a vote takes.
            let voice = (seen.total() / MIN_ATTEMPTS_PER_VOTE).min(1.0);
            if lost > BAD * seen.total() {
                opinion.bad += voice;
            } else {
                opinion.good += voice;
            }
            opinion.pressed += if seen.rejected + lost > PRESSED * seen.total() { voice } else { 0.0 };
        }
        opinion
    }

    /// What they say of the last second alone, however little that is.
    pub fn latest(&self, from: usize, to: usize) -> Opinion {
        self.voices(from, to, |heard| &heard.last)
    }

    /// What the gateways of `from` say of `to`: of the last second, where that is enough, as many small voices are; else with what
    /// they remember.
    pub fn opinion(&self, from: usize, to: usize) -> Opinion {
        let last = self.latest(from, to);
        let opinion =
            if last.votes() >= VOICES_ENOUGH { last } else { self.voices(from, to, |heard| &heard.seen) };
        // Less than one voice says nothing.
        if opinion.votes() >= 1.0 {
            opinion
        } else {
            Opinion::default()
        }
    }

    /// Units a second that a zone's gateways are asked for, each clipped by what the others of the fleet are.
    pub fn demand(&self, zone: usize) -> f64 {
        let all: f64 = self.gateways.values().map(|heard| heard.asked).sum();
        let others = (self.gateways.len() as f64 - 1.0).max(1.0);
        let mut sorted: Vec<f64> = self.gateways.values().map(|heard| heard.asked).collect();
        sorted.sort_by(f64::total_cmp);
        // Of two or three the mean of the others is one's own lie in turn; the median of many is nobody's.
        let median = sorted.get(sorted.len() / 2).copied().unwrap_or(0.0);
        self.gateways
            .values()
            .filter(|heard| heard.zone == zone)
            .map(|heard| {
                let mean = (all - heard.asked) / others;
                let most = if sorted.len() < 4 {
                    f64::INFINITY
                } else {
                    MAX_RELATIVE_DEMAND * mean.min(4.0 * median)
                };
                heard.asked.min(most.max(1.0))
            })
            .sum()
    }

    /// Servers of a zone that serve, and what of them is warm: the median of what gateways hold, as their lists are alike but
    /// for lateness, and one that is wrong is one of many. Of those that were heard of late, where they are half of all:
    /// what is lost with its gateways holds the list of before.
    pub fn servers(&self, zone: usize) -> (f64, f64) {
        let lately = |heard: &&Heard| self.moment.saturating_sub(heard.at) <= LATELY;
        let enough = 2 * self.gateways.values().filter(lately).count() >= self.gateways.len();
        let of = || self.gateways.values().filter(move |heard| !enough || lately(heard));
        let told = || of().filter_map(|heard| heard.servers[zone]);
        let median = |figure: fn(&(f64, f64)) -> f64| {
            let mut all: Vec<f64> = told().map(|told| figure(&told)).collect();
            all.sort_by(f64::total_cmp);
            all.get(all.len() / 2).copied().unwrap_or(0.0)
        };
        (median(|told| told.0), median(|told| told.1))
    }

    /// Units a second that all gateways together were served at a zone, each clipped by its own asks.
    pub fn served(&self, zone: usize) -> f64 {
        self.gateways.values().map(|heard| heard.served[zone].min(heard.asked * 2.0 + 1.0)).sum()
    }
}
