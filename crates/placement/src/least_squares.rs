//! A line through noisy observations that forgets old ones.

/// What an old observation counts after each new one: about the last forty do.
const FORGETTING_FACTOR: f64 = 0.975;

/// Trust in the first guess, as the square of its error in relation to its size.
const PRIOR_VARIANCE: f64 = 0.5;

/// Errors beyond this part of what was expected are cut to it: what waited for something else, as for memory or a
/// transfer, says little.
const MAX_ERROR_RATIO: f64 = 1.0;

/// Variance of an observation in relation to what was expected: errors are some tenths.
const NOISE_VARIANCE: f64 = 0.1;

/// What is expected in milliseconds at the least where errors are measured: below, the network's jitter counts more.
const MIN_SCALE_MS: f64 = 20.0;

/// Recursive least squares with forgetting, over `N` features, by relative errors.
#[derive(Clone, Debug)]
pub(crate) struct LeastSquares<const N: usize> {
    weights: [f64; N],
    /// Covariance of the weights, symmetric.
    covariance: [[f64; N]; N],
}

impl<const N: usize> LeastSquares<N> {
    /// Starts from a guess of the weights.
    pub(crate) fn new(weights: [f64; N]) -> Self {
        let mut covariance = [[0.0; N]; N];
        for (index, weight) in weights.iter().enumerate() {
            covariance[index][index] = PRIOR_VARIANCE * weight * weight;
        }
        Self { weights, covariance }
    }

    /// The weights; none is below 0.
    pub(crate) fn weights(&self) -> [f64; N] {
        self.weights.map(|weight| weight.max(0.0))
    }

    /// Something with these features took so long. What took less than expected counts by `shorter`: below 1, the line
    /// runs above the middle of what is observed.
    pub(crate) fn update(&mut self, features: &[f64; N], took_ms: f64, shorter_weight: f64) {
        let expected = dot(features, &self.weights);
        let scale = expected.max(MIN_SCALE_MS);
        let features = features.map(|value| value / scale);
        let error = ((took_ms - expected) / scale).clamp(-MAX_ERROR_RATIO, MAX_ERROR_RATIO);
        let error = if error < 0.0 { error * shorter_weight } else { error };
        let carried = self.covariance.map(|row| dot(&row, &features));
        let denominator = FORGETTING_FACTOR * NOISE_VARIANCE + dot(&features, &carried);
        let gain = carried.map(|value| value / denominator);
        for ((weight, row), gain) in self.weights.iter_mut().zip(&mut self.covariance).zip(gain) {
            *weight += gain * error;
            for (value, carried) in row.iter_mut().zip(carried) {
                *value = (*value - gain * carried) / FORGETTING_FACTOR;
            }
        }
        self.bound_covariance();
    }

    /// Forgetting must not let the trust in a direction that is never seen fade without bound.
    fn bound_covariance(&mut self) {
        for index in 0..N {
            let max = PRIOR_VARIANCE * self.weights[index].powi(2) + f64::MIN_POSITIVE;
            if self.covariance[index][index] > max {
                let shrink = (max / self.covariance[index][index]).sqrt();
                for other in 0..N {
                    self.covariance[index][other] *= shrink;
                    self.covariance[other][index] *= shrink;
                }
            }
        }
    }
}

fn dot<const N: usize>(a: &[f64; N], b: &[f64; N]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}
