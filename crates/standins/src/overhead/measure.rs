//! The measurement: the same calls straight to the endpoint and through entry and sidecar.

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

const MAX_MICROS: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const READY_LIMIT: Duration = Duration::from_secs(15);
const STREAM_TOKENS: u32 = 100;
const CALLERS: u64 = 32;

/// How much is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Calls of each kind, one after the other, for latency.
    pub calls: u64,
    /// Time of each phase with many callers, for processor time.
    pub busy: Duration,
}

/// What was measured.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Overhead {
    /// Calls straight to the plain service.
    pub direct: Latency,
    /// The same calls through entry and sidecar.
    pub through: Latency,
    /// Short calls of a plain service by many callers.
    pub calls: PerRequest,
    /// Streams of 100 tokens by many callers.
    pub streams: PerRequest,
}

/// What an entry spends on one request.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize)]
pub struct PerRequest {
    /// Requests answered whole.
    pub answered: u64,
    /// Other requests.
    pub failed: u64,
    /// Processor time of the entry for each request, in microseconds.
    pub cpu_us: f64,
    /// Requests per second that one core of an entry could carry.
    pub per_core_second: f64,
}

/// Measures what an entry and a sidecar add to a call.
///
/// # Errors
///
/// Returns the error of a part that could not start.
pub async fn measure(experiment: &Experiment, options: Options, cx: Context) -> Result<Overhead> {
    let mut spec = experiment.cluster.clone();
    spec.entries = 0;
    let cluster = LoopbackCluster::start(&spec, experiment.seed, cx).await?;
    let address = free_address()?;
    let settings = entry_settings("entry-0", address, cluster.store, Scheduling::Ours)?;
    let entry = EntryThread::start(settings)?;
    let tables = tables_document(&cluster.members, &experiment.traffic, Scheduling::Ours);
    cluster.apply(&tables).await?;
    cluster.wait_until_ready(&[address], READY_LIMIT).await?;

    let direct = direct_target(&cluster);
    let timers = cluster.cx.timers.clone();
    let through: Arc<dyn Target> = Arc::new(HttpTarget::new(vec![address], timers));
    let (direct_latency, through_latency) =
        latencies(&cluster, &direct, &through, options.calls).await?;
    let calls = busy(&cluster, &entry, &through, charge, options.busy).await?;
    let streams = busy(&cluster, &entry, &through, stream, options.busy).await?;
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

/// Makes calls one after the other, in turn straight and through the entry.
async fn latencies(
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

/// Lets many callers call for a while and reads the entry's processor time before and after.
async fn busy(
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
    const fn add(&mut self, is_whole: bool) {
        if is_whole {
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
    Histogram::new_with_max(MAX_MICROS, SIGNIFICANT_DIGITS)
        .map_err(|e| Error::with_source(Kind::Internal, "create histogram", e))
}
