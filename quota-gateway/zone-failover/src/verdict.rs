//! Verdicts: what the evidence at one instant says of each zone.

use crate::evidence::Evidence;

/// Votes of several gateways that are needed against a zone; fewer where fewer gateways report.
const MIN_WITNESSES: f64 = 2.0;

/// What the evidence says of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It serves whoever observes it.
    Healthy,
    /// Its own gateways are served and those of other zones are not, or too few votes say anything.
    Inconclusive,
    /// Several gateways observe that it fails, its own among them, or none of its own reports.
    Lost,
    /// It has no listed servers: nothing needs to be sent there to know that it fails.
    WithoutServers,
    /// No gateway observes it.
    Unobserved,
}

impl Verdict {
    /// Returns whether it says that the zone cannot serve.
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
        // That all zones fail at once is evidence against the observers.
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

    /// Returns whether the gateways of a zone reach no other zone, though others reach each other: then they are partitioned,
    /// and what they say of others does not count.
    fn is_partitioned(&self, zone: usize) -> bool {
        let opinion = |from: usize, to: usize| self.evidence.opinion(from, to);
        let reaches_no_other = self.others(zone).any(|to| opinion(zone, to).votes() > 0.0)
            && self.others(zone).all(|to| opinion(zone, to).votes() <= 0.0 || opinion(zone, to).is_against());
        // Gateways of another zone are served in a zone, their own or a third one.
        reaches_no_other && self.others(zone).any(|a| self.others(zone).any(|b| opinion(a, b).is_for()))
    }

    fn verdict(&self, zone: usize, partitioned: &[bool]) -> Verdict {
        let own = self.evidence.opinion(zone, zone);
        let (mut zones_for, mut zones_against, mut votes_against) = (0, 0, 0.0);
        for from in self.others(zone).filter(|&from| !partitioned[from]) {
            let opinion = self.evidence.opinion(from, zone);
            // That it was healthy before does not speak against its loss now.
            let latest = self.evidence.latest_opinion(from, zone);
            zones_for += u32::from(latest.good > latest.bad);
            zones_against += u32::from(opinion.is_against());
            votes_against += opinion.bad;
        }
        let needed = MIN_WITNESSES.min(self.evidence.gateway_count() as f64).max(1.0);
        // Gateways that are served in another zone and not in their own have a working network: they count as enough witnesses.
        let is_served_elsewhere = self.others(zone).any(|to| self.evidence.opinion(zone, to).is_for());
        let own_witnesses = if own.is_against() && is_served_elsewhere { MIN_WITNESSES } else { 0.0 };
        let witnesses = own.bad + votes_against + own_witnesses;
        if self.evidence.gateway_count() > 0 && self.evidence.servers(zone).listed <= 0.0 {
            return Verdict::WithoutServers;
        }
        match (own.is_for(), own.is_against()) {
            _ if own.votes() <= 0.0 && zones_for + zones_against == 0 => Verdict::Unobserved,
            // Its own gateways are served: at worst it is partitioned from the others.
            (true, _) if zones_against > zones_for && votes_against >= needed => Verdict::Inconclusive,
            (true, _) => Verdict::Healthy,
            // Its own gateways fail, and those of other zones are not served there either.
            (false, true) if zones_for == 0 && witnesses >= needed => Verdict::Lost,
            (false, true) => Verdict::Inconclusive,
            // None of its own gateways says anything.
            (false, false) if zones_against > zones_for && witnesses >= needed => Verdict::Lost,
            (false, false) if votes_against >= needed => Verdict::Inconclusive,
            (false, false) => Verdict::Healthy,
        }
    }
}
