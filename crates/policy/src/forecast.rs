//! Measured latencies against the expected ones, so that admission is based on measurements.
//!
//! The latency estimate ranks servers: it adds up everything that may make one slower than another, and a
//! single slow response counts in it for its server, for the fleet and for the queued work. For ranking,
//! only the order has to be right. Admission needs the actual latency: where responses are delayed on the
//! network and not by queueing, they take far less than that sum. The expected latency is therefore read
//! off a line fitted to recent responses (exponentially weighted least squares), which in an overload
//! equals the sum itself.

use super::*;

/// Weight of a new response in the fit. With a lower one the fit follows an overload too late, with a
/// higher one it follows noise.
const SAMPLE_WEIGHT: f64 = 0.01;
/// Variance of the estimates that is assumed before any response.
const INITIAL_VARIANCE: f64 = 1.0;

/// Least-squares slope of latency over a value known in advance, exponentially weighted.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlopeEstimate {
    /// Mean of the predictor, a value known in advance.
    pub(super) mean: f64,
    variance: f64,
    /// Covariance of the predictor and the latency.
    covariance: f64,
}

impl SlopeEstimate {
    /// Adds a response that came `deviation` later than the mean, for this value of the predictor.
    pub(super) fn observe(&mut self, predictor: f64, deviation: f64) {
        let distance = predictor - self.mean;
        self.mean += distance * SAMPLE_WEIGHT;
        self.variance += (distance * distance - self.variance) * SAMPLE_WEIGHT;
        self.covariance += (distance * deviation - self.covariance) * SAMPLE_WEIGHT;
    }

    /// The slope; 0 while the predictor has not varied.
    pub(super) fn slope(&self) -> f64 {
        (self.covariance / self.variance.max(f64::MIN_POSITIVE)).max(0.0)
    }
}

/// Expected and measured latencies in mean responses.
#[derive(Clone, Copy, Debug)]
pub(super) struct LatencyFit {
    slope: SlopeEstimate,
    mean_measured: f64,
}

impl Default for LatencyFit {
    /// Before any response, the expected latency is assumed to be right.
    fn default() -> Self {
        LatencyFit {
            slope: SlopeEstimate { mean: 1.0, variance: INITIAL_VARIANCE, covariance: INITIAL_VARIANCE },
            mean_measured: 1.0,
        }
    }
}

impl LatencyFit {
    /// Adds a response or a timeout. A single one counts for at most `MAX_LATENCY_RATIO` times the expected
    /// latency.
    pub(super) fn observe(&mut self, expected: f64, measured: f64) {
        let measured = measured.min(MAX_LATENCY_RATIO * expected.max(1.0));
        let deviation = measured - self.mean_measured;
        self.mean_measured += deviation * SAMPLE_WEIGHT;
        self.slope.observe(expected, deviation);
    }

    /// The latency to expect for an estimate. Never more than the estimate, which includes all known
    /// delays.
    pub(super) fn read(&self, estimate: f64) -> f64 {
        let slope = self.slope.slope().min(1.0);
        (self.mean_measured + slope * (estimate - self.slope.mean)).max(0.0).min(estimate)
    }
}
