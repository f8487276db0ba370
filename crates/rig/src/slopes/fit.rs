//! Least squares: a line, or a power of the size, with the error of its slope.

use serde::{Deserialize, Serialize};

/// How figures follow the size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    /// `base + slope * size`.
    Line,
    /// `base * size ^ slope`: what may grow with the square, say.
    Power,
}

/// A fitted slope.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// How it is read.
    pub shape: Shape,
    /// The figure at size 0, or, of a power, at size 1.
    pub base: f64,
    /// What each further one adds; of a power, its exponent.
    pub slope: f64,
    /// Standard error of the slope.
    pub error: f64,
    /// The largest miss, as a part of the figure that it misses.
    pub miss: f64,
}

/// Why no slope is fitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FitError {
    /// Two points always lie on a line.
    #[error("{0} points; at least 3 of different sizes are needed")]
    Few(usize),
    /// Sizes and figures do not go together.
    #[error("{0} sizes and {1} figures")]
    Uneven(usize, usize),
    /// A figure or size that nothing can be fitted to.
    #[error("a size or figure is not a number, or not above 0 where a power is asked for")]
    Nonsense,
}

impl Fit {
    /// Fits figures to sizes.
    pub fn of(shape: Shape, sizes: &[f64], figures: &[f64]) -> Result<Fit, FitError> {
        if sizes.len() != figures.len() {
            return Err(FitError::Uneven(sizes.len(), figures.len()));
        }
        let sound = |v: &f64| v.is_finite() && (shape == Shape::Line || *v > 0.0);
        if !sizes.iter().chain(figures).all(sound) {
            return Err(FitError::Nonsense);
        }
        let scale = |v: &f64| if shape == Shape::Power { v.ln() } else { *v };
        let (x, y): (Vec<f64>, Vec<f64>) =
            (sizes.iter().map(scale).collect(), figures.iter().map(scale).collect());
        let n = x.len() as f64;
        let mean = |v: &[f64]| v.iter().sum::<f64>() / n;
        let (mx, my) = (mean(&x), mean(&y));
        let spread: f64 = x.iter().map(|x| (x - mx).powi(2)).sum();
        if x.len() < 3 || spread <= 0.0 {
            return Err(FitError::Few(x.len()));
        }
        let slope = x.iter().zip(&y).map(|(x, y)| (x - mx) * (y - my)).sum::<f64>() / spread;
        let base = my - slope * mx;
        let left: f64 = x.iter().zip(&y).map(|(x, y)| (y - base - slope * x).powi(2)).sum();
        let error = (left / (n - 2.0) / spread).sqrt();
        let base = if shape == Shape::Power { base.exp() } else { base };
        let mut fit = Fit { shape, base, slope, error, miss: 0.0 };
        let miss = |(size, figure): (&f64, &f64)| {
            let off = (fit.at(*size) - figure).abs();
            if off == 0.0 {
                0.0
            } else {
                off / figure.abs()
            }
        };
        fit.miss = sizes.iter().zip(figures).map(miss).fold(0.0, f64::max);
        Ok(fit)
    }

    /// The figure at a size.
    pub fn at(&self, size: f64) -> f64 {
        match self.shape {
            Shape::Line => self.base + self.slope * size,
            Shape::Power => self.base * size.powf(self.slope),
        }
    }
}
