//! Weighted max-min shares worked out exactly, by progressive filling. The judge's: it sees all at once, and shares no code with
//! what gateways and stewards do.
#![forbid(unsafe_code)]

/// One firm: what it asks for, in units a second, and its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Firm {
    pub asks: f64,
    pub weight: f64,
}

/// What each firm gets of a capacity: no firm can get more without one that has less for its weight getting less.
///
/// All are filled in step with their weights; whoever has what it asks for stops, and the others go on, until nothing is left.
pub fn fill(firms: &[Firm], capacity: f64) -> Vec<f64> {
    let mut gets = vec![0.0; firms.len()];
    let mut left = capacity.max(0.0);
    let mut filling: Vec<usize> =
        (0..firms.len()).filter(|&i| firms[i].asks > 0.0 && firms[i].weight > 0.0).collect();
    while !filling.is_empty() && left > 1e-12 {
        let weight: f64 = filling.iter().map(|&i| firms[i].weight).sum();
        // The first to be full, or the end of what is left.
        let lacks = |i: usize| (firms[i].asks - gets[i]) / firms[i].weight;
        let step = filling.iter().map(|&i| lacks(i)).fold(left / weight, f64::min);
        for &i in &filling {
            gets[i] += step * firms[i].weight;
        }
        left -= step * weight;
        let full = |i: usize| firms[i].asks - gets[i] <= 1e-9 * firms[i].asks.max(1e-9);
        let before = filling.len();
        filling.retain(|&i| !full(i));
        if filling.len() == before {
            break;
        }
    }
    gets
}

/// Jain's index of what firms that lack something get for their weights: 1 is even.
pub fn jain(firms: &[Firm], gets: &[f64]) -> f64 {
    let lacking: Vec<f64> = firms
        .iter()
        .zip(gets)
        .filter(|(firm, gets)| firm.asks > **gets * 1.001 && firm.weight > 0.0)
        .map(|(firm, gets)| gets / firm.weight)
        .collect();
    let (sum, squares) = lacking.iter().fold((0.0, 0.0), |(sum, squares), x| (sum + x, squares + x * x));
    if squares > 0.0 {
        sum * sum / (lacking.len() as f64 * squares)
    } else {
        1.0
    }
}

#[cfg(test)]
mod tests;
