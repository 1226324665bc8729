//! Compares direct calls to an endpoint with the same calls through an entry and a sidecar.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassramp::Context;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::Result;
use eelgrassramp::num;
use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::task::JoinSet;

use super::entry::EntryThread;
use super::entry::free_address;
use crate::cluster::LoopbackCluster;
use crate::cluster::Scheduling;
use crate::cluster::entry_settings;
use crate::cluster::tables_document;
use crate::experiment::Experiment;
use crate::load::CallRequest;
use crate::load::ClassKind;
use crate::load::HttpTarget;
use crate::load::Latency;
use crate::load::Target;

const MAX_LATENCY_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const READY_TIMEOUT: Duration = Duration::from_secs(15);
const STREAM_TOKENS: u32 = 100;
const CALLERS: u64 = 32;

/// The extent of the measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Number of sequential calls of each kind, for the latency.
    pub calls: u64,
    /// Duration of each phase with concurrent callers, for the CPU time.
    pub concurrent_phase: Duration,
}

/// The measured overhead.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Overhead {
    /// Latency of direct calls to the plain service.
    pub direct: Latency,
    /// Latency of the same calls through the entry and the sidecar.
    pub through: Latency,
    /// Short calls of a plain service by concurrent callers.
    pub calls: PerRequest,
    /// Streams of 100 tokens by concurrent callers.
    pub streams: PerRequest,
}

/// The cost of one request for an entry.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize)]
pub struct PerRequest {
    /// Requests with a complete response.
    pub answered: u64,
    /// Other requests.
    pub failed: u64,
    /// CPU time of the entry per request, in microseconds.
    pub cpu_us: f64,
    /// Requests per second that one core of an entry can handle.
    pub per_core_second: f64,
}

/// Measures the overhead of an entry and a sidecar.
///
/// # Errors
///
/// Returns the error of a process that could not start.
pub async fn measure(experiment: &Experiment, options: Options, cx: Context) -> Result<Overhead> {
    let mut spec = experiment.cluster.clone();
    spec.entries = 0;
    let cluster = LoopbackCluster::start(&spec, experiment.seed, cx).await?;
    let address = free_address()?;
    let settings = entry_settings("entry-0", address, cluster.store, Scheduling::Ours)?;
    let entry = EntryThread::start(settings)?;
    let tables = tables_document(&cluster.members, &experiment.traffic, Scheduling::Ours);
    cluster.apply(&tables).await?;
    cluster.wait_until_ready(&[address], READY_TIMEOUT).await?;

    let direct = direct_target(&cluster);
    let timers = cluster.cx.timers.clone();
    let through: Arc<dyn Target> = Arc::new(HttpTarget::new(vec![address], timers));
    let (direct_latency, through_latency) =
        measure_latencies(&cluster, &direct, &through, options.calls).await?;
    let calls =
        measure_concurrent(&cluster, &entry, &through, charge, options.concurrent_phase).await?;
    let streams =
        measure_concurrent(&cluster, &entry, &through, stream, options.concurrent_phase).await?;
    tokio::task::spawn_blocking(move || entry.stop())
        .await
        .map_err(|e| Error::with_source(Kind::Internal, "stop entry", e))??;
    cluster.stop().await?;
    Ok(Overhead {
        direct: direct_latency,
        through: through_latency,
        calls,
        streams,
    })
}

fn direct_target(cluster: &LoopbackCluster) -> Arc<dyn Target> {
    let members = cluster.members.iter().zip(&cluster.endpoints);
    let services = members.filter(|(m, _)| m.kind == ClassKind::Charge);
    let addresses = services.map(|(_, endpoint)| *endpoint).collect();
    Arc::new(HttpTarget::new(addresses, cluster.cx.timers.clone()))
}

/// Makes sequential calls, alternating between direct calls and calls through the entry.
async fn measure_latencies(
    cluster: &LoopbackCluster,
    direct: &Arc<dyn Target>,
    through: &Arc<dyn Target>,
    calls: u64,
) -> Result<(Latency, Latency)> {
    let mut direct_times = histogram()?;
    let mut through_times = histogram()?;
    let timers = &cluster.cx.timers;
    for number in 0..calls {
        for (target, times) in [(direct, &mut direct_times), (through, &mut through_times)] {
            let start = timers.now();
            let reply = target.call(charge(number)).await;
            if reply.status != 200 {
                let detail = format!("call {number}: status {}", reply.status);
                return Err(Error::new(Kind::EndpointFailed, detail));
            }
            times.saturating_record(num::micros(timers.now().since(start)));
        }
    }
    Ok(((&direct_times).into(), (&through_times).into()))
}

/// Runs concurrent callers for a period and measures the entry's CPU time over it.
async fn measure_concurrent(
    cluster: &LoopbackCluster,
    entry: &EntryThread,
    target: &Arc<dyn Target>,
    call: fn(u64) -> CallRequest,
    length: Duration,
) -> Result<PerRequest> {
    let timers = &cluster.cx.timers;
    let end = timers.now() + length;
    let before = entry.cpu_time()?;
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let target = Arc::clone(target);
        let timers = timers.clone();
        callers.spawn(async move {
            let mut counts = Counts::default();
            while timers.now() < end {
                let reply = target.call(call(caller)).await;
                counts.add(reply.status == 200 && reply.complete);
            }
            counts
        });
    }
    let counts: Vec<Counts> = callers.join_all().await;
    let answered = counts.iter().map(|c| c.answered).sum();
    let failed = counts.iter().map(|c| c.failed).sum();
    let cpu = entry.cpu_time()?.saturating_sub(before);
    let cpu_us = cpu.as_secs_f64() * 1e6 / (answered + failed) as f64;
    Ok(PerRequest {
        answered,
        failed,
        cpu_us,
        per_core_second: 1e6 / cpu_us,
    })
}

#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    answered: u64,
    failed: u64,
}

impl Counts {
    const fn add(&mut self, is_complete: bool) {
        if is_complete {
            self.answered += 1;
        } else {
            self.failed += 1;
        }
    }
}

fn charge(number: u64) -> CallRequest {
    CallRequest {
        number,
        path: "/order".to_owned(),
        headers: vec![("eelgrassramp-account", "webshop".to_owned())],
        body: Bytes::from_static(b"{}"),
    }
}

fn stream(number: u64) -> CallRequest {
    let body = serde_json::json!({
        "model": "greeting",
        "messages": [{"role": "user", "content": format!("request {number}")}],
        "stream": true,
        "max_tokens": STREAM_TOKENS,
    });
    CallRequest {
        path: "/v1/chat/completions".to_owned(),
        body: Bytes::from(body.to_string()),
        ..charge(number)
    }
}

fn histogram() -> Result<Histogram<u64>> {
    Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .map_err(|e| Error::with_source(Kind::Internal, "create histogram", e))
}
