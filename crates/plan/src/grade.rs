//! Scores quantized to steps of about a tenth, so that small changes cause no messages.

/// Grades per doubling of the score.
const GRADES_PER_DOUBLING: f64 = 7.0;
/// Scores below this, in requests, have grade 0.
const MIN_SCORE: f64 = 0.01;

/// The grade of a score in requests; 0 for none.
pub fn of(score: f64) -> u32 {
    if !score.is_finite() || score < MIN_SCORE {
        return 0;
    }
    1 + ((score / MIN_SCORE).log2() * GRADES_PER_DOUBLING).round() as u32
}

/// The score, in requests, that a grade represents.
pub fn value(grade: u32) -> f64 {
    // Grade 512 exceeds any real score; the limit keeps a peer's invalid grade from becoming infinite.
    let grade = grade.min(512);
    if grade == 0 {
        0.0
    } else {
        MIN_SCORE * (f64::from(grade - 1) / GRADES_PER_DOUBLING).exp2()
    }
}

/// Whether a grade differs enough from the one sent before to be sent again. A change of one step is noise.
pub fn differs(sent: u32, now: u32) -> bool {
    sent.abs_diff(now) > 1 || ((sent == 0) != (now == 0))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_grade_is_within_a_tenth() {
        assert_eq!((of(0.0), of(f64::NAN), of(-1.0), value(0)), (0, 0, 0, 0.0));
        for k in 1..2000 {
            let count = f64::from(k) * 0.73;
            let decoded = value(of(count));
            assert!((decoded / count - 1.0).abs() < 0.06, "{count} became {decoded}");
        }
        assert!(value(u32::MAX).is_finite());
        assert!(!differs(40, 41) && differs(40, 42) && differs(0, 1));
    }
}
