//! Work of a request: how long it is expected to occupy a slot of an endpoint.
//!
//! A request for a long document occupies a slot many times longer than one for a short note, so
//! counts say little about who uses a pool. The expected work is learned for each pool from the
//! sizes that callers declare and the time that such requests took. See
//! `docs/design/request-work.md`.

use std::time::Duration;

/// Weight that earlier samples keep when one more is added; about the last 500 samples count.
const SAMPLE_RETENTION: f64 = 0.998;

/// Number of samples from which work is estimated by size; with fewer, all requests are alike.
const MIN_SAMPLES: u32 = 32;

/// Samples between two computations of the coefficients.
const SAMPLES_PER_FIT: u32 = 16;

/// Share of the variance of a size that is added to it, which limits a coefficient that few
/// different sizes support.
const RIDGE: f64 = 0.01;

/// Lower bound of an estimate, as a share of the mean work.
const MIN_SHARE_OF_MEAN: f64 = 0.05;

/// Mean work in seconds that is assumed before the first sample.
const INITIAL_MEAN: f64 = 1.0;

/// Declared size of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestSize {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Expected number of output tokens: the caller's estimate if it sent one, or else the maximum.
    pub output_tokens: u64,
}

impl RequestSize {
    const fn features(self) -> [f64; 2] {
        [self.prompt_tokens as f64, self.output_tokens as f64]
    }
}

/// Weighted means of the samples: of the work, of both sizes, and of their products.
#[derive(Debug, Clone, Copy, Default)]
struct Moments {
    weight: f64,
    work: f64,
    sizes: [f64; 2],
    size_products: [[f64; 2]; 2],
    size_work: [f64; 2],
}

impl Moments {
    fn add(&mut self, sizes: [f64; 2], work: f64) {
        self.weight = self.weight * SAMPLE_RETENTION + 1.0;
        let share = 1.0 / self.weight;
        self.work += share * (work - self.work);
        for (i, size) in sizes.into_iter().enumerate() {
            self.sizes[i] += share * (size - self.sizes[i]);
            self.size_work[i] += share * (size * work - self.size_work[i]);
            for (j, other) in sizes.into_iter().enumerate() {
                self.size_products[i][j] += share * (size * other - self.size_products[i][j]);
            }
        }
    }

    fn covariance(&self, i: usize, j: usize) -> f64 {
        self.size_products[i][j] - self.sizes[i] * self.sizes[j]
    }

    /// Returns the least-squares coefficients of both sizes, neither of them negative.
    fn coefficients(&self) -> [f64; 2] {
        let variances = [0, 1].map(|i| self.covariance(i, i) * (1.0 + RIDGE));
        let shared = self.covariance(0, 1);
        let with_work = [0, 1].map(|i| self.size_work[i] - self.sizes[i] * self.work);
        let determinant = variances[0] * variances[1] - shared * shared;
        if determinant > 0.0 {
            let both = [
                (variances[1] * with_work[0] - shared * with_work[1]) / determinant,
                (variances[0] * with_work[1] - shared * with_work[0]) / determinant,
            ];
            if both.iter().all(|coefficient| *coefficient >= 0.0) {
                return both;
            }
        }
        // More of a size cannot mean less work, so the better one alone explains the samples.
        let alone = [0, 1].map(|i| {
            if variances[i] > 0.0 {
                (with_work[i] / variances[i]).max(0.0)
            } else {
                0.0
            }
        });
        if alone[0] * with_work[0] >= alone[1] * with_work[1] {
            [alone[0], 0.0]
        } else {
            [0.0, alone[1]]
        }
    }
}

/// Learned relation between the size of a request and its work at one pool.
#[derive(Debug, Clone, Copy)]
pub struct WorkModel {
    moments: Moments,
    samples: u32,
    coefficients: [f64; 2],
}

impl Default for WorkModel {
    fn default() -> Self {
        Self {
            moments: Moments::default(),
            samples: 0,
            coefficients: [0.0; 2],
        }
    }
}

impl WorkModel {
    /// Records a request that occupied a slot for `elapsed` at an endpoint of the given slowness.
    ///
    /// The work of a request does not depend on the endpoint that it was sent to, so the time is
    /// divided by the slowness.
    pub fn record(&mut self, size: RequestSize, elapsed: Duration, slowness: f64) {
        let work = elapsed.as_secs_f64() / slowness;
        if !work.is_finite() || work <= 0.0 {
            return;
        }
        self.moments.add(size.features(), work);
        self.samples = self.samples.saturating_add(1);
        if self.samples >= MIN_SAMPLES && self.samples.is_multiple_of(SAMPLES_PER_FIT) {
            self.coefficients = self.moments.coefficients();
        }
    }

    /// Returns the expected work in seconds of a slot at an endpoint of slowness 1.
    #[must_use]
    pub fn estimate(&self, size: RequestSize) -> f64 {
        if self.samples == 0 {
            return INITIAL_MEAN;
        }
        let mean = self.moments.work;
        let sizes = size.features().into_iter().zip(self.moments.sizes);
        let from_mean = sizes
            .zip(self.coefficients)
            .map(|((size, mean), coefficient)| coefficient * (size - mean));
        (mean + from_mean.sum::<f64>()).max(MIN_SHARE_OF_MEAN * mean)
    }
}
