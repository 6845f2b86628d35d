//! Compares the reference solution with a case computed by hand and with the definition of max-min sharing.

use marblecroft_fair_share_reference::{jain_index, max_min_shares, Firm};
use proptest::prelude::*;

#[test]
fn shares_of_four_firms_match_a_case_computed_by_hand() {
    let firm = |demand, weight| Firm { demand, weight };
    let firms = [firm(2.0, 1.0), firm(100.0, 1.0), firm(100.0, 2.0), firm(0.0, 5.0)];
    // The first firm gets its demand of 2; the remaining 28 of 30 are shared by the weights 1 and 2.
    let shares = max_min_shares(&firms, 30.0);
    let expected = [2.0, 28.0 / 3.0, 56.0 / 3.0, 0.0];
    assert!(shares.iter().zip(expected).all(|(a, b)| (a - b).abs() < 1e-9), "{shares:?}");
    assert!((jain_index(&firms, &shares) - 1.0).abs() < 1e-9);
    assert_eq!(max_min_shares(&firms, 1e9)[..3], [2.0, 100.0, 100.0], "no share exceeds its demand");
}

proptest! {
    /// The definition: no share exceeds its demand, capacity is only left unused when all demand is met, and
    /// an unsatisfied firm gets as much per unit of weight as any other.
    #[test]
    fn no_share_can_grow_without_shrinking_a_smaller_one(
        firms in proptest::collection::vec((0.0f64..100.0, 0.1f64..8.0), 1..40), capacity in 0.0f64..2000.0,
    ) {
        let firms: Vec<Firm> = firms.into_iter().map(|(demand, weight)| Firm { demand, weight }).collect();
        let shares = max_min_shares(&firms, capacity);
        let demand: f64 = firms.iter().map(|firm| firm.demand).sum();
        prop_assert!((shares.iter().sum::<f64>() - demand.min(capacity)).abs() < 1e-6);
        for (a, share) in firms.iter().zip(&shares) {
            prop_assert!(*share <= a.demand + 1e-9);
            if *share < a.demand - 1e-6 {
                let largest = firms.iter().zip(&shares).map(|(b, share)| share / b.weight).fold(0.0, f64::max);
                prop_assert!(share / a.weight >= largest - 1e-6);
            }
        }
    }
}
