//! Predicts the number of output tokens of a request.

const BUCKETS: usize = 20;

/// Number of samples after which all counts are halved, so that older samples decay.
const HALVING_SAMPLES: u32 = 2_048;

/// Prediction before the first measurement.
const DEFAULT_TOKENS: u32 = 128;

/// A decaying histogram of output lengths with power-of-two buckets.
#[derive(Debug, Clone, Default)]
pub struct OutputLength {
    counts: [u32; BUCKETS],
    total: u32,
}

impl OutputLength {
    /// Records a measured length.
    pub fn record(&mut self, tokens: u32) {
        if let Some(count) = self.counts.get_mut(bucket_index(tokens)) {
            *count += 1;
            self.total += 1;
        }
        if self.total >= HALVING_SAMPLES {
            self.halve();
        }
    }

    /// Predicts the mean output length of requests limited to `limit` tokens.
    #[must_use]
    pub fn predict(&self, limit: Option<u32>) -> u32 {
        let limit = limit.unwrap_or(u32::MAX);
        if self.total == 0 {
            return DEFAULT_TOKENS.min(limit);
        }
        let sum: u64 = (0u32..)
            .zip(&self.counts)
            .map(|(i, count)| u64::from(*count) * u64::from(midpoint(i).min(limit)))
            .sum();
        u32::try_from(sum / u64::from(self.total)).unwrap_or(u32::MAX)
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
    }
}

fn bucket_index(tokens: u32) -> usize {
    let bits = (u32::BITS - tokens.leading_zeros()) as usize;
    bits.min(BUCKETS - 1)
}

/// Returns the midpoint of bucket `i`, which holds lengths of `i` significant bits.
const fn midpoint(i: u32) -> u32 {
    if i < 2 { i } else { 3 << (i - 2) }
}
