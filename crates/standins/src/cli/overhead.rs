//! The `overhead` subcommand.

use std::time::Duration;

use clap::ArgMatches;
use eelgrassramp::Result;
use eelgrassramp::log;

use super::demo::in_real_time;
use super::experiments::DEMO;
use crate::experiment::Experiment;
use crate::load::Latency;
use crate::overhead;

/// Prints the overhead; returns whether all calls were answered.
pub(super) fn overhead(args: &ArgMatches) -> Result<bool> {
    let mut experiment = Experiment::from_str(DEMO, "demo.jsonc")?;
    // The shortest call that the timer resolution allows, so that the overhead dominates.
    experiment.cluster.service_latency_ms = 1;
    experiment.cluster.engine.decode_step_ms = 2.0;
    let calls = args.get_one("calls").expect("it has a default");
    let seconds = args.get_one("seconds").expect("it has a default");
    let options = overhead::Options {
        calls: *calls,
        concurrent_phase: Duration::from_secs(*seconds),
    };
    let measured = in_real_time(log::discard(), |cx| {
        overhead::measure(&experiment, options, cx)
    })?;
    print_latency("direct call", measured.direct);
    print_latency("through entry and sidecar", measured.through);
    for (name, per_request) in [
        ("short calls", measured.calls),
        ("streams of 100 tokens", measured.streams),
    ] {
        println!(
            "{name}: {} answered, {} failed, {:.0} us of the entry's processor time each, \
             {:.0}/s for each core of an entry",
            per_request.answered,
            per_request.failed,
            per_request.cpu_us,
            per_request.per_core_second,
        );
    }
    Ok(measured.calls.failed + measured.streams.failed == 0)
}

fn print_latency(name: &str, latency: Latency) {
    println!(
        "{name}: p50 {:.2} ms, p99 {:.2} ms",
        latency.p50_ms, latency.p99_ms
    );
}
