use super::*;
use proptest::prelude::*;

#[test]
fn a_case_worked_out_by_hand() {
    let firm = |asks, weight| Firm { asks, weight };
    let firms = [firm(2.0, 1.0), firm(100.0, 1.0), firm(100.0, 2.0), firm(0.0, 5.0)];
    // 2 to the first, and 28 of 30 by one to two.
    let gets = fill(&firms, 30.0);
    let wanted = [2.0, 28.0 / 3.0, 56.0 / 3.0, 0.0];
    assert!(gets.iter().zip(wanted).all(|(a, b)| (a - b).abs() < 1e-9), "{gets:?}");
    assert!((jain(&firms, &gets) - 1.0).abs() < 1e-9);
    assert_eq!(fill(&firms, 1e9)[..3], [2.0, 100.0, 100.0], "nobody gets more than it asks for");
}

proptest! {
    /// The definition itself: nobody gets more than it asks for, all is used where it is asked for, and whoever lacks
    /// something has as much for its weight as anybody.
    #[test]
    fn no_firm_can_get_more_without_a_poorer_one_getting_less(
        firms in proptest::collection::vec((0.0f64..100.0, 0.1f64..8.0), 1..40), capacity in 0.0f64..2000.0,
    ) {
        let firms: Vec<Firm> = firms.into_iter().map(|(asks, weight)| Firm { asks, weight }).collect();
        let gets = fill(&firms, capacity);
        let asked: f64 = firms.iter().map(|firm| firm.asks).sum();
        prop_assert!((gets.iter().sum::<f64>() - asked.min(capacity)).abs() < 1e-6);
        for (a, has) in firms.iter().zip(&gets) {
            prop_assert!(*has <= a.asks + 1e-9);
            if *has < a.asks - 1e-6 {
                let richest = firms.iter().zip(&gets).map(|(b, has)| has / b.weight).fold(0.0, f64::max);
                prop_assert!(has / a.weight >= richest - 1e-6);
            }
        }
    }
}
