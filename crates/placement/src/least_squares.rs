//! Online linear regression on noisy observations, with forgetting.

/// Weight kept by old observations after each new one: about the last forty count.
const FORGETTING_FACTOR: f64 = 0.975;

/// Variance of the initial weights, relative to their squares.
const PRIOR_VARIANCE: f64 = 0.5;

/// Relative errors are clamped to this. Larger ones come from waits for something else, such as memory or a transfer,
/// and carry little information.
const MAX_ERROR_RATIO: f64 = 1.0;

/// Variance of an observation relative to its expected value: errors are some tenths.
const NOISE_VARIANCE: f64 = 0.1;

/// Lower bound of the expected value used for relative errors; below it, network jitter dominates.
const MIN_SCALE_MS: f64 = 20.0;

/// Recursive least squares with forgetting, over `N` features, on relative errors.
#[derive(Clone, Debug)]
pub(crate) struct LeastSquares<const N: usize> {
    weights: [f64; N],
    /// Covariance of the weights, symmetric.
    covariance: [[f64; N]; N],
}

impl<const N: usize> LeastSquares<N> {
    /// Creates a model with these initial weights.
    pub(crate) fn new(weights: [f64; N]) -> Self {
        let mut covariance = [[0.0; N]; N];
        for (index, weight) in weights.iter().enumerate() {
            covariance[index][index] = PRIOR_VARIANCE * weight * weight;
        }
        Self { weights, covariance }
    }

    /// Returns the weights, clamped to 0 from below.
    pub(crate) fn weights(&self) -> [f64; N] {
        self.weights.map(|weight| weight.max(0.0))
    }

    /// Learns from an observation with these features that took `took_ms`. Errors of observations that took less than
    /// expected are multiplied by `shorter_weight`: below 1, the line runs above the middle of the observations.
    pub(crate) fn update(&mut self, features: &[f64; N], took_ms: f64, shorter_weight: f64) {
        let expected = dot(features, &self.weights);
        let scale = expected.max(MIN_SCALE_MS);
        let features = features.map(|value| value / scale);
        let error = ((took_ms - expected) / scale).clamp(-MAX_ERROR_RATIO, MAX_ERROR_RATIO);
        let error = if error < 0.0 { error * shorter_weight } else { error };
        let projected = self.covariance.map(|row| dot(&row, &features));
        let denominator = FORGETTING_FACTOR * NOISE_VARIANCE + dot(&features, &projected);
        let gain = projected.map(|value| value / denominator);
        for ((weight, row), gain) in self.weights.iter_mut().zip(&mut self.covariance).zip(gain) {
            *weight += gain * error;
            for (value, projected) in row.iter_mut().zip(projected) {
                *value = (*value - gain * projected) / FORGETTING_FACTOR;
            }
        }
        self.bound_covariance();
    }

    /// Bounds the variance of each weight. Forgetting would otherwise let it grow without limit in directions that
    /// are never observed.
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
