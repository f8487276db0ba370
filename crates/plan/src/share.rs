//! How a rate is split among forwarders by what each asks for.

/// PlanUpdate of a rate that is split evenly: a forwarder that has met nobody yet must let the first ones in.
const EVEN: f64 = 0.2;

/// One forwarder's part of a rate, whose demand is `own` of `all`, in requests a second, among `forwarders`.
///
/// The parts of all forwarders sum to the rate whatever the demands are, as long as `all` is their sum.
pub fn part(rate: f64, own: f64, all: f64, forwarders: usize) -> f64 {
    let even = 1.0 / forwarders.max(1) as f64;
    let asked = if all > 0.0 { (own / all).clamp(0.0, 1.0) } else { even };
    rate * (EVEN * even + (1.0 - EVEN) * asked)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parts_sum_to_the_rate() {
        for demands in [vec![0.0, 0.0], vec![3.0, 0.0, 9.0], vec![1e-9, 1e9]] {
            let all: f64 = demands.iter().sum();
            let sum: f64 = demands.iter().map(|&own| part(50.0, own, all, demands.len())).sum();
            assert!((sum - 50.0).abs() < 1e-6, "{demands:?}: {sum}");
            assert!(demands.iter().all(|&own| part(50.0, own, all, demands.len()) > 0.0));
        }
    }
}
