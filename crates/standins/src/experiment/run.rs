//! Runs the cases of an experiment, each on its own paused clock.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::Result;
use eelgrassramp::num;
use serde::Serialize;

use super::file::Case;
use super::file::Experiment;
use crate::check::Check;
use crate::check::Starts;
use crate::check::check;
use crate::cluster::InProcessCluster;
use crate::load::Arrival;
use crate::load::Arrivals;
use crate::load::Sample;
use crate::load::Summary;
use crate::load::Target;
use crate::load::run_load;

/// The result of one case.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct CaseResult {
    /// The case.
    pub case: Case,
    /// Requests sent per second.
    pub per_second: f64,
    /// Summary of the requests sent during the measurement.
    pub summary: Summary,
    /// Good responses per second that ended during the measurement.
    pub good_per_second: f64,
    /// Prompt tokens computed by the engines.
    pub prefill_tokens: u64,
    /// Share of them that no complete response needed.
    pub wasted_prefill: f64,
    /// Bytes of control messages per second and entry.
    pub control_bytes_per_entry_second: f64,
    /// Calls to the object API per second, by role of the caller.
    pub store_calls_per_second: BTreeMap<String, f64>,
    /// The checked guarantees.
    pub checks: Vec<Check>,
    /// Elapsed time on the simulated clock, in seconds.
    pub simulated_s: f64,
    /// Elapsed real time, in seconds.
    pub took_s: f64,
}

/// Runs all cases on `threads` threads and calls `on_result` after each case.
///
/// # Errors
///
/// Returns the error of the first case that does not start.
///
/// # Panics
///
/// Panics if a case panics.
pub fn run(
    experiment: &Experiment,
    threads: usize,
    on_result: impl Fn(&CaseResult) + Sync,
) -> Result<Vec<CaseResult>> {
    let cases = experiment.cases();
    let waiting = Mutex::new(cases.iter().enumerate());
    let results: Mutex<BTreeMap<usize, Result<CaseResult>>> = Mutex::default();
    let next = || waiting.lock().expect("no panic in between").next();
    let work = || {
        while let Some((i, case)) = next() {
            let result = run_case(experiment, case);
            result.iter().for_each(&on_result);
            results
                .lock()
                .expect("no panic in between")
                .insert(i, result);
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(work);
        }
    });
    let results = results.into_inner().expect("no panic in between");
    results.into_values().collect()
}

/// Runs one case on a paused clock.
///
/// # Errors
///
/// Returns the error of a process that rejects its settings.
pub fn run_case(experiment: &Experiment, case: &Case) -> Result<CaseResult> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .map_err(|e| Error::with_source(Kind::Internal, "start runtime", e))?;
    runtime.block_on(measure(experiment, case))
}

async fn measure(experiment: &Experiment, case: &Case) -> Result<CaseResult> {
    let began = Instant::now();
    let spec = &experiment.cluster;
    let traffic = &experiment.traffic;
    let seed = experiment.seed;
    let cluster = InProcessCluster::start(spec, traffic, case.scheduling, seed).await?;
    let cluster = Arc::new(cluster);
    let per_second = case.load * spec.capacity(traffic);
    let start = cluster.cx.timers.now();
    let target = Arc::clone(&cluster) as Arc<dyn Target>;
    let arrivals = arrivals(experiment, case, per_second, cluster.unix_ms());
    let samples = run_load(arrivals, target, cluster.cx.timers.clone(), |_| {}).await;
    let simulated_s = cluster.cx.timers.now().since(start).as_secs_f64();

    let measured_window = measured_window(experiment);
    let counted = samples.iter().filter(|s| measured_window.contains(&s.at));
    let counted: Vec<Sample> = counted.cloned().collect();
    let ended = samples
        .iter()
        .filter(|s| measured_window.contains(&(s.at + s.total)));
    let good = ended.filter(|s| s.is_good()).count();
    let prefill_tokens = prefill_tokens(&cluster);
    let needed = Summary::new(&samples).needed_prefill_tokens;
    let charges: Vec<_> = cluster.services.iter().flat_map(|s| s.charges()).collect();
    let starts = Starts::new(&cluster.engines, &cluster.services);
    let entries = spec.entries as f64;
    Ok(CaseResult {
        case: case.clone(),
        per_second,
        good_per_second: good as f64 / experiment.duration_s,
        summary: Summary::new(&counted),
        prefill_tokens,
        wasted_prefill: ratio(prefill_tokens.saturating_sub(needed), prefill_tokens),
        control_bytes_per_entry_second: cluster.link.control_bytes() as f64 / simulated_s / entries,
        store_calls_per_second: store_calls(&cluster, simulated_s),
        checks: check(&samples, &starts, &charges),
        simulated_s,
        took_s: began.elapsed().as_secs_f64(),
    })
}

fn arrivals<'a>(
    experiment: &'a Experiment,
    case: &'a Case,
    per_second: f64,
    unix_start_ms: u64,
) -> impl Iterator<Item = Arrival> + 'a {
    let length = experiment.warmup_s + experiment.duration_s + experiment.cooldown_s;
    let length = Duration::from_secs_f64(length);
    Arrivals::new(
        experiment.traffic.clone(),
        per_second,
        experiment.seed,
        unix_start_ms,
    )
    .take_while(move |a| a.at < length)
    .filter(|a| !case.silent.contains(&a.account))
}

/// Returns the period whose requests are counted.
fn measured_window(experiment: &Experiment) -> Range<Duration> {
    let begin = Duration::from_secs_f64(experiment.warmup_s);
    begin..begin + Duration::from_secs_f64(experiment.duration_s)
}

fn prefill_tokens(cluster: &InProcessCluster) -> u64 {
    let engines = cluster.engines.iter();
    engines.map(|e| e.stats().prefill_tokens).sum()
}

fn store_calls(cluster: &InProcessCluster, seconds: f64) -> BTreeMap<String, f64> {
    let mut calls: BTreeMap<String, f64> = BTreeMap::new();
    for count in cluster.platform.calls() {
        let role = count.caller.split([' ', '-']).next().unwrap_or_default();
        *calls.entry(role.to_owned()).or_default() += count.calls as f64 / seconds;
    }
    calls
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    num::round_to_u64(part as f64 / whole as f64 * 1e4) as f64 / 1e4
}
