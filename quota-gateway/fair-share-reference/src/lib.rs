//! The reference solution of weighted max-min sharing, by progressive filling (Bertsekas and Gallager, *Data Networks*, 6.5.2), and
//! Jain's fairness index. It sees all firms at once, and shares no code with gateways and controllers, whose results tests
//! compare with it.
#![forbid(unsafe_code)]

/// Units per second that count as no capacity left.
const MIN_REMAINING: f64 = 1e-12;
/// Relative distance from its demand at which a firm counts as satisfied.
const DEMAND_TOLERANCE: f64 = 1e-9;
/// Lower bound of a demand that [`DEMAND_TOLERANCE`] is relative to.
const MIN_DEMAND: f64 = 1e-9;
/// Relative margin by which the demand of a firm must exceed its share for the firm to count in [`jain_index`].
const UNSATISFIED_MARGIN: f64 = 1.001;

/// One firm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Firm {
    /// Units per second that it requests.
    pub demand: f64,
    /// Its weight.
    pub weight: f64,
}

impl Firm {
    fn is_satisfied(&self, share: f64) -> bool {
        self.demand - share <= DEMAND_TOLERANCE * self.demand.max(MIN_DEMAND)
    }
}

/// Returns each firm's share of a capacity, in units per second: no share can grow without shrinking one that is smaller for its
/// weight.
///
/// All shares grow in proportion to their weights. A firm whose demand is met stops, and the others continue, until no capacity
/// is left.
pub fn max_min_shares(firms: &[Firm], capacity: f64) -> Vec<f64> {
    let mut shares = vec![0.0; firms.len()];
    let mut remaining = capacity.max(0.0);
    let mut unsatisfied: Vec<usize> =
        (0..firms.len()).filter(|&i| firms[i].demand > 0.0 && firms[i].weight > 0.0).collect();
    while !unsatisfied.is_empty() && remaining > MIN_REMAINING {
        let weight: f64 = unsatisfied.iter().map(|&i| firms[i].weight).sum();
        // Until the first firm is satisfied, or no capacity is left.
        let missing = |i: usize| (firms[i].demand - shares[i]) / firms[i].weight;
        let step = unsatisfied.iter().map(|&i| missing(i)).fold(remaining / weight, f64::min);
        for &i in &unsatisfied {
            shares[i] += step * firms[i].weight;
        }
        remaining -= step * weight;
        let previously_unsatisfied = unsatisfied.len();
        unsatisfied.retain(|&i| !firms[i].is_satisfied(shares[i]));
        if unsatisfied.len() == previously_unsatisfied {
            break;
        }
    }
    shares
}

/// Returns Jain's fairness index of the shares by weight of firms whose demand is not met (Jain, Chiu and Hawe, 1984); 1 is even.
pub fn jain_index(firms: &[Firm], shares: &[f64]) -> f64 {
    let by_weight: Vec<f64> = firms
        .iter()
        .zip(shares)
        .filter(|(firm, share)| firm.demand > **share * UNSATISFIED_MARGIN && firm.weight > 0.0)
        .map(|(firm, share)| share / firm.weight)
        .collect();
    let sum: f64 = by_weight.iter().sum();
    let sum_of_squares: f64 = by_weight.iter().map(|x| x * x).sum();
    if sum_of_squares > 0.0 {
        sum * sum / (by_weight.len() as f64 * sum_of_squares)
    } else {
        1.0
    }
}
