//! Verdicts: the health of each zone according to the evidence at one instant.

use crate::evidence::Evidence;

/// Minimum number of votes against a zone for a verdict against it; lower if fewer gateways report.
const MIN_VOTES_AGAINST: f64 = 2.0;

/// The health of a zone according to the evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It serves the gateways that observe it.
    Healthy,
    /// Its own gateways are served but those of other zones are not, or there are too few votes.
    Inconclusive,
    /// Several gateways observe failures, and its own gateways do too or have no votes.
    Lost,
    /// It has no listed servers, so it cannot serve. Failed attempts are not needed as evidence.
    WithoutServers,
    /// No gateway observes it.
    Unobserved,
}

impl Verdict {
    /// Returns whether the zone cannot serve.
    pub fn is_lost(self) -> bool {
        matches!(self, Verdict::Lost | Verdict::WithoutServers)
    }
}

/// Returns the verdict on each zone; `accepting_zones` is the number of zones that accept traffic.
pub fn assess(evidence: &Evidence, zone_count: usize, accepting_zones: usize) -> Vec<Verdict> {
    let assessment = Assessment { evidence, zone_count };
    let partitioned: Vec<bool> = (0..zone_count).map(|zone| assessment.is_partitioned(zone)).collect();
    let mut verdicts: Vec<Verdict> =
        (0..zone_count).map(|zone| assessment.verdict(zone, &partitioned)).collect();
    if is_everything_lost(&verdicts, accepting_zones) {
        // If all zones seem to fail at once, the fault is more likely on the side of the observers.
        for verdict in verdicts.iter_mut().filter(|verdict| verdict.is_lost()) {
            *verdict = Verdict::Inconclusive;
        }
    }
    verdicts
}

fn is_everything_lost(verdicts: &[Verdict], accepting_zones: usize) -> bool {
    let observed = || verdicts.iter().filter(|verdict| **verdict != Verdict::Unobserved);
    verdicts.iter().any(|verdict| verdict.is_lost())
        && observed().all(|verdict| verdict.is_lost() || *verdict == Verdict::Inconclusive)
        && observed().count() >= accepting_zones
}

struct Assessment<'a> {
    evidence: &'a Evidence,
    zone_count: usize,
}

impl Assessment<'_> {
    fn others(&self, zone: usize) -> impl Iterator<Item = usize> {
        (0..self.zone_count).filter(move |&other| other != zone)
    }

    /// Returns whether the gateways of a zone reach no other zone although gateways of other zones are
    /// served. Their votes on other zones then do not count.
    fn is_partitioned(&self, zone: usize) -> bool {
        let opinion = |from: usize, to: usize| self.evidence.opinion(from, to);
        let reaches_no_other = self.others(zone).any(|to| opinion(zone, to).votes() > 0.0)
            && self.others(zone).all(|to| opinion(zone, to).votes() <= 0.0 || opinion(zone, to).is_against());
        // At least one other zone has gateways that are served, in their own or a third zone.
        reaches_no_other && self.others(zone).any(|a| self.others(zone).any(|b| opinion(a, b).is_for()))
    }

    fn verdict(&self, zone: usize, partitioned: &[bool]) -> Verdict {
        let own = self.evidence.opinion(zone, zone);
        let (mut zones_for, mut zones_against, mut votes_against) = (0, 0, 0.0);
        for from in self.others(zone).filter(|&from| !partitioned[from]) {
            let opinion = self.evidence.opinion(from, zone);
            // Only the latest votes count for the zone, because earlier ones may be from before its loss.
            let latest = self.evidence.latest_opinion(from, zone);
            zones_for += u32::from(latest.votes_for > latest.votes_against);
            zones_against += u32::from(opinion.is_against());
            votes_against += opinion.votes_against;
        }
        let votes_needed = MIN_VOTES_AGAINST.min(self.evidence.gateway_count() as f64).max(1.0);
        // Gateways that are served in another zone but not in their own have a working network, so their
        // votes suffice.
        let is_served_elsewhere = self.others(zone).any(|to| self.evidence.opinion(zone, to).is_for());
        let extra_votes = if own.is_against() && is_served_elsewhere { MIN_VOTES_AGAINST } else { 0.0 };
        let total_against = own.votes_against + votes_against + extra_votes;
        if self.evidence.gateway_count() > 0 && self.evidence.servers(zone).listed <= 0.0 {
            return Verdict::WithoutServers;
        }
        match (own.is_for(), own.is_against()) {
            _ if own.votes() <= 0.0 && zones_for + zones_against == 0 => Verdict::Unobserved,
            // Its own gateways are served, so at worst it is partitioned from the other zones.
            (true, _) if zones_against > zones_for && votes_against >= votes_needed => Verdict::Inconclusive,
            (true, _) => Verdict::Healthy,
            // Its own gateways are not served, and neither are those of other zones.
            (false, true) if zones_for == 0 && total_against >= votes_needed => Verdict::Lost,
            (false, true) => Verdict::Inconclusive,
            // Its own gateways have no votes.
            (false, false) if zones_against > zones_for && total_against >= votes_needed => Verdict::Lost,
            (false, false) if votes_against >= votes_needed => Verdict::Inconclusive,
            (false, false) => Verdict::Healthy,
        }
    }
}
