//! Transfer of the KV cache of one request between engines.

use serde::Deserialize;
use serde::Serialize;

use super::batch::Job;

/// A request with its computed prompt, exported by one engine so that another can continue it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KvExport {
    path: String,
    model: Option<String>,
    blocks: Vec<u64>,
    prompt_tokens: u32,
    cached_tokens: u32,
    output_tokens: u32,
    generated: u32,
    #[serde(rename = "answer")]
    seed: u64,
    stream: bool,
}

impl KvExport {
    pub(super) fn new(job: Job, seed: u64, stream: bool) -> Self {
        Self {
            path: job.path,
            model: job.model,
            blocks: job.blocks,
            prompt_tokens: job.prompt_tokens,
            cached_tokens: job.cached_tokens,
            output_tokens: job.output_tokens,
            generated: job.generated,
            seed,
            stream,
        }
    }

    pub(super) const fn seed(&self) -> u64 {
        self.seed
    }

    pub(super) const fn is_streaming(&self) -> bool {
        self.stream
    }

    pub(super) const fn generated(&self) -> u32 {
        self.generated
    }

    pub(super) fn into_job(self, request: eelgrassramp::RequestId) -> Job {
        Job {
            request,
            path: self.path,
            model: self.model,
            blocks: self.blocks,
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
            generated: self.generated,
            cached_tokens: self.cached_tokens,
            prefill_left: 0.0,
            decode_progress: 0.0,
            slow_factor: 1.0,
            will_fail: false,
        }
    }
}
