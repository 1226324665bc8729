//! Prediction of how many tokens a request will generate.

const BUCKETS: usize = 20;

/// Samples after which older ones lose half their weight.
const HALVING_SAMPLES: u32 = 2_048;

/// Prediction before anything was measured.
const DEFAULT_TOKENS: u32 = 128;

/// A histogram of output lengths in powers of two, with a bounded memory of the past.
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

    /// Predicts the mean length of requests that ask for at most `limit` tokens.
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

/// Returns the midpoint of bucket_index `i`, which holds the lengths of `i` bits.
const fn midpoint(i: u32) -> u32 {
    if i < 2 { i } else { 3 << (i - 2) }
}
