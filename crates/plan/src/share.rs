//! Splits a rate limit among forwarders according to their demand.

/// Fraction of a rate that is split evenly: a forwarder without demand so far must be able to admit first requests.
const EVEN_FRACTION: f64 = 0.2;

/// One forwarder's share of a rate in requests per second, given its own demand and the total demand of all
/// `forwarders`.
///
/// The shares of all forwarders add up to the rate for any demands, as long as `total` is their sum.
pub fn forwarder_share(rate: f64, own: f64, total: f64, forwarders: usize) -> f64 {
    let even = 1.0 / forwarders.max(1) as f64;
    let proportional = if total > 0.0 { (own / total).clamp(0.0, 1.0) } else { even };
    rate * (EVEN_FRACTION * even + (1.0 - EVEN_FRACTION) * proportional)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn shares_sum_to_the_rate() {
        for demands in [vec![0.0, 0.0], vec![3.0, 0.0, 9.0], vec![1e-9, 1e9]] {
            let total: f64 = demands.iter().sum();
            let sum: f64 = demands.iter().map(|&own| forwarder_share(50.0, own, total, demands.len())).sum();
            assert!((sum - 50.0).abs() < 1e-6, "{demands:?}: {sum}");
            assert!(demands.iter().all(|&own| forwarder_share(50.0, own, total, demands.len()) > 0.0));
        }
    }
}
