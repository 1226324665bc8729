//! Sends requests at their arrival times and collects the samples.

use std::sync::Arc;

use bytes::Bytes;
use eelgrassramp::Timers;
use tokio::task::JoinSet;

use super::arrivals::Arrival;
use super::sample::Sample;
use super::target::CallRequest;
use super::target::Target;

/// Sends all `arrivals` at their times without waiting for responses, then waits for the
/// remaining responses.
///
/// `on_sample` is called with every sample as it arrives, for example to report progress.
pub async fn run_load(
    arrivals: impl IntoIterator<Item = Arrival>,
    target: Arc<dyn Target>,
    timers: Timers,
    mut on_sample: impl FnMut(&Sample),
) -> Vec<Sample> {
    let start = timers.now();
    let mut running = JoinSet::new();
    let mut samples = Vec::new();
    let mut record = |sample: Sample| {
        on_sample(&sample);
        samples.push(sample);
    };
    for arrival in arrivals {
        timers.until(start + arrival.at).await;
        while let Some(Ok(sample)) = running.try_join_next() {
            record(sample);
        }
        running.spawn(send(arrival, Arc::clone(&target), timers.clone()));
    }
    while let Some(Ok(sample)) = running.join_next().await {
        record(sample);
    }
    samples
}

async fn send(arrival: Arrival, target: Arc<dyn Target>, timers: Timers) -> Sample {
    let start = timers.now();
    let reply = target.call(to_call(&arrival)).await;
    let total = timers.now().since(start);
    Sample::new(arrival, &reply, total)
}

fn to_call(arrival: &Arrival) -> CallRequest {
    let mut headers = vec![
        ("eelgrassramp-account", arrival.account.to_string()),
        (
            "eelgrassramp-deadline-ms",
            arrival.timeout.as_millis().to_string(),
        ),
    ];
    headers.extend(arrival.key.clone().map(|key| ("idempotency-key", key)));
    CallRequest {
        number: arrival.number,
        path: arrival.path.clone(),
        headers,
        body: Bytes::from(arrival.body()),
    }
}
