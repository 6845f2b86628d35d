//! Reference solution of weighted max-min sharing, by progressive filling (Bertsekas and Gallager, *Data
//! Networks*, 6.5.2), and Jain's fairness index. Tests compare the results of gateways and controllers with
//! it. It computes the shares of all firms at once and has no code in common with them.
#![forbid(unsafe_code)]

/// Remaining capacity, in units per second, that counts as none.
const MIN_REMAINING: f64 = 1e-12;
/// Distance of a share from the demand, relative to the demand, at which a firm counts as satisfied.
const DEMAND_TOLERANCE: f64 = 1e-9;
/// Lower bound of the demand that [`DEMAND_TOLERANCE`] is multiplied by.
const MIN_DEMAND: f64 = 1e-9;
/// Factor by which the demand of a firm must exceed its share for the firm to count in [`jain_index`].
const UNSATISFIED_MARGIN: f64 = 1.001;

/// Demand and weight of one firm.
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

/// Returns each firm's share of a capacity, in units per second. No share can grow unless a share that is
/// smaller per unit of weight shrinks.
///
/// All shares grow in proportion to their weights. The share of a firm whose demand is met stops growing, and
/// the others continue until no capacity is left.
pub fn max_min_shares(firms: &[Firm], capacity: f64) -> Vec<f64> {
    let mut shares = vec![0.0; firms.len()];
    let mut remaining = capacity.max(0.0);
    let mut unsatisfied: Vec<usize> =
        (0..firms.len()).filter(|&i| firms[i].demand > 0.0 && firms[i].weight > 0.0).collect();
    while !unsatisfied.is_empty() && remaining > MIN_REMAINING {
        let weight: f64 = unsatisfied.iter().map(|&i| firms[i].weight).sum();
        // Grow all shares until the next firm is satisfied or no capacity is left.
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

/// Returns Jain's fairness index (Jain, Chiu and Hawe, 1984) of share per weight, over the firms whose demand
/// is not met. 1 means that all of them are equal.
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
