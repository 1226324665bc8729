//! Endpoints that name the rate of requests that they accept from all entries together.

use std::collections::BTreeSet;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::DomainName;
use eelgrassramp::EntryName;
use eelgrassramp::VersionName;
use eelgrassramp_direct::dispatcher::DispatchRequest;
use eelgrassramp_direct::dispatcher::Dispatcher;
use eelgrassramp_direct::dispatcher::Grant;
use eelgrassramp_direct::dispatcher::QueueEvent;
use eelgrassramp_direct::dispatcher::RateLimitReport;
use eelgrassramp_direct::dispatcher::SubmitResult;
use eelgrassramp_direct::endpoint::Endpoint;
use eelgrassramp_direct::endpoint::IncarnationKey;
use eelgrassramp_direct::endpoint_tracker::DispatchEnd;
use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::fixture;
use super::fixture::EXPOSURE;
use super::fixture::at;
use super::fixture::granted;
use super::fixture::granted_endpoints;
use super::fixture::granted_seqs;
use super::fixture::request;
use super::fixture::rollout_order;
use super::fixture::submit_and_dispatch;

const SLOTS: u32 = 16;

/// Time within which entries have to keep to a new limit.
const ADAPTATION_MS: u64 = 3_000;

/// Period over which requests are counted.
const WINDOW_MS: u64 = 4_000;

/// Interval at which entries exchange their state.
const EXCHANGE_MS: u64 = 300;

/// A limit that does not allow each of a few entries one request per second.
const PER_SECOND: f64 = 1.4;

/// Returns the most requests that a limited endpoint tolerates in [`WINDOW_MS`].
fn max_in_window(per_second: f64) -> f64 {
    1.5 * per_second * WINDOW_MS as f64 / 1_000.0 + 5.0
}

fn endpoint(name: &str) -> Arc<Endpoint> {
    Arc::new(fixture::endpoint(name, "a", SLOTS))
}

fn entry_name(n: usize) -> EntryName {
    EntryName::new(format!("entry-{n}"))
}

/// Returns the failure domain of an entry; one entry in three is in that of the endpoints.
fn domain_of(n: usize) -> DomainName {
    DomainName::from(["a", "b", "c"][n % 3])
}

/// Creates `n` entries that know each other and `endpoints`.
fn fleet(n: usize, endpoints: &[Arc<Endpoint>]) -> Vec<Dispatcher> {
    let entry = |i: usize| {
        let mut entry = Dispatcher::new(entry_name(i).as_str(), domain_of(i).as_str());
        let others: Vec<_> = (0..n).filter(|other| *other != i).collect();
        let names: Vec<_> = others.iter().map(|other| entry_name(*other)).collect();
        entry.set_peer_entries(at(0), names.iter());
        for other in others {
            entry.set_peer_domain(&entry_name(other), &domain_of(other));
        }
        entry.set_endpoints(at(0), endpoints);
        entry
    };
    (0..n).map(entry).collect()
}

fn report(endpoint: &Endpoint, per_second: Option<f64>) -> RateLimitReport {
    RateLimitReport {
        endpoint: IncarnationKey::from(endpoint),
        per_second,
    }
}

/// Entries under load, and what their endpoint received.
struct Simulation {
    fleet: Vec<Dispatcher>,
    /// Entries that have callers.
    busy: Vec<usize>,
    rng: StdRng,
    /// End of each request in flight, its entry and its grant.
    in_flight: Vec<(u64, usize, Grant)>,
    /// Time of each arrival at the endpoint, and the entry that sent it.
    arrivals: Vec<(u64, usize)>,
    seq: u64,
}

impl Simulation {
    fn new(fleet: Vec<Dispatcher>, seed: u64) -> Self {
        Self {
            busy: (0..fleet.len()).collect(),
            fleet,
            rng: StdRng::seed_from_u64(seed),
            in_flight: Vec::new(),
            arrivals: Vec::new(),
            seq: 0,
        }
    }

    /// Sends a request each millisecond; the responses of the endpoint name `limit`.
    fn run(&mut self, ms: Range<u64>, limit: Option<f64>) {
        for ms in ms {
            self.finish_due(ms, limit);
            if ms.is_multiple_of(EXCHANGE_MS) {
                self.exchange(ms);
            }
            self.send_one(ms);
        }
    }

    fn send_one(&mut self, ms: u64) {
        let i = self.busy[self.rng.random_range(0..self.busy.len())];
        self.seq += 1;
        let next = request(self.seq, 0, ms);
        let grants = submit_and_dispatch(&mut self.fleet[i], at(ms), next);
        for grant in grants {
            let arrives = ms + self.rng.random_range(0..20);
            self.arrivals.push((arrives, i));
            let end = ms + self.rng.random_range(20..400);
            self.in_flight.push((end, i, grant));
        }
    }

    fn finish_due(&mut self, ms: u64, limit: Option<f64>) {
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(end, ..)| *end <= ms);
        self.in_flight = rest;
        for (_, i, grant) in due {
            let entry = &mut self.fleet[i];
            match limit {
                Some(limit) => entry.set_rate_limit(at(ms), &grant.endpoint, limit),
                None => entry.end_rate_limit(at(ms), &grant.endpoint, at(ms - 1)),
            };
            let served = DispatchEnd::Served { slowness: 1.0 };
            entry.record_outcome(at(ms), &grant.endpoint, &grant.route, served);
        }
    }

    fn exchange(&mut self, ms: u64) {
        let lists: Vec<_> = self
            .fleet
            .iter()
            .map(|entry| entry.rate_limits_to_share(at(ms)))
            .collect();
        for (i, entry) in self.fleet.iter_mut().enumerate() {
            let of_others = lists.iter().enumerate().filter(|(j, _)| *j != i);
            for (_, list) in of_others {
                entry.apply_rate_limit_reports(at(ms), list);
            }
        }
    }

    /// Returns the number of arrivals in a period.
    fn arrived(&self, ms: Range<u64>) -> usize {
        let in_period = self.arrivals.iter().filter(|(at, _)| ms.contains(at));
        in_period.count()
    }

    /// Returns the entries that sent requests in a period.
    fn senders(&self, ms: Range<u64>) -> BTreeSet<usize> {
        let in_period = self.arrivals.iter().filter(|(at, _)| ms.contains(at));
        in_period.map(|(_, entry)| *entry).collect()
    }

    /// Returns the maximum number of arrivals in any window that begins at or after `from`.
    fn busiest_window(&self, from: u64) -> f64 {
        let starts = self.arrivals.iter().filter(|(at, _)| *at >= from);
        let counts = starts.map(|(at, _)| self.arrived(*at..at + WINDOW_MS));
        counts.max().unwrap_or(0) as f64
    }
}

#[gtest]
fn the_rate_limit_holds_across_all_entries() {
    for n in [1, 2, 4, 6, 30, 103] {
        for per_second in [0.0, 0.3, 1.4, 5.0, 40.0] {
            let mut simulation = Simulation::new(fleet(n, &[endpoint("e")]), 7);

            simulation.run(0..60_000, Some(per_second));

            let busiest = simulation.busiest_window(ADAPTATION_MS);
            let used = simulation.arrived(20_000..60_000) as f64 / 40.0;
            expect_that!(
                busiest,
                le(max_in_window(per_second)),
                "{n} entries, {per_second}/s"
            );
            expect_that!(used, ge(0.5 * per_second), "{n} entries, {per_second}/s");
            expect_that!(used, gt(0.0), "{n} entries, {per_second}/s");
        }
    }
}

/// While entries join and leave, their lists of each other differ.
#[gtest]
fn the_rate_limit_holds_with_inconsistent_peer_lists() {
    for seed in 0..10 {
        let mut fleet = fleet(30, &[endpoint("e")]);
        let mut rng = StdRng::seed_from_u64(seed);
        for (i, entry) in fleet.iter_mut().enumerate() {
            let missing = rng.random_range(0..30);
            let known = (0..30).filter(|other| *other != i && *other != missing);
            let known: Vec<_> = known.map(entry_name).collect();
            entry.set_peer_entries(at(0), known.iter());
        }
        let mut simulation = Simulation::new(fleet, seed);

        simulation.run(0..30_000, Some(PER_SECOND));

        let busiest = simulation.busiest_window(ADAPTATION_MS);
        expect_that!(busiest, le(max_in_window(PER_SECOND)), "seed {seed}");
    }
}

#[gtest]
fn a_limited_endpoint_is_used_by_other_entries_while_the_senders_are_idle() {
    for n in [4, 30, 103] {
        let mut simulation = Simulation::new(fleet(n, &[endpoint("e")]), 7);
        simulation.run(0..20_000, Some(PER_SECOND));
        let senders = simulation.senders(10_000..20_000);
        simulation.busy.retain(|i| !senders.contains(i));

        simulation.run(20_000..300_000, Some(PER_SECOND));

        let busiest = simulation.busiest_window(20_000 + WINDOW_MS);
        expect_that!(senders.len(), all![ge(1), lt(n)], "{n} entries");
        expect_that!(simulation.arrived(25_000..300_000), ge(2), "{n} entries");
        expect_that!(busiest, le(max_in_window(PER_SECOND)), "{n} entries");
    }
}

#[gtest]
fn requests_flow_freely_soon_after_the_limit_has_ended() {
    for n in [1, 4, 30] {
        let mut simulation = Simulation::new(fleet(n, &[endpoint("e")]), 7);
        simulation.run(0..20_000, Some(PER_SECOND));

        simulation.run(20_000..60_000, None);

        let used = simulation.arrived(50_000..60_000);
        expect_that!(used, ge(300), "{n} entries");
    }
}

#[gtest]
fn a_response_to_an_earlier_request_does_not_end_the_limit() {
    let endpoint = endpoint("e");
    let mut entry = fleet(1, &[Arc::clone(&endpoint)]).remove(0);
    entry.set_rate_limit(at(1_000), &endpoint, 1.0);

    let by_earlier = entry.end_rate_limit(at(1_005), &endpoint, at(900));
    let by_later = entry.end_rate_limit(at(1_300), &endpoint, at(1_010));

    expect_that!(by_earlier, eq(false));
    expect_that!(by_later, eq(true));
    expect_that!(entry.rate_limited_count(), eq(0));
}

#[gtest]
fn a_limit_that_another_entry_still_reports_does_not_return_after_its_end() {
    let endpoint = endpoint("e");
    let mut entry = fleet(2, &[Arc::clone(&endpoint)]).remove(0);
    entry.set_rate_limit(at(1_000), &endpoint, 1.0);
    entry.end_rate_limit(at(2_000), &endpoint, at(1_500));

    entry.apply_rate_limit_reports(at(3_000), &[report(&endpoint, Some(1.0))]);

    expect_that!(entry.rate_limited_count(), eq(0));
}

#[gtest]
fn entries_on_standby_use_the_endpoint_as_soon_as_a_sender_has_seen_the_limit_end() {
    for n in [4, 30, 103] {
        let mut simulation = Simulation::new(fleet(n, &[endpoint("e")]), 7);
        simulation.run(0..20_000, Some(PER_SECOND));

        simulation.run(20_000..26_000, None);

        let limited = simulation.fleet.iter();
        let limited = limited.filter(|entry| entry.rate_limited_count() > 0);
        expect_that!(limited.count(), eq(0), "{n} entries");
    }
}

#[gtest]
fn another_entrys_report_of_an_end_does_not_end_a_limit_named_since() {
    let endpoint = endpoint("e");
    let mut entry = fleet(2, &[Arc::clone(&endpoint)]).remove(0);
    entry.set_rate_limit(at(1_000), &endpoint, 1.0);

    entry.apply_rate_limit_reports(at(1_500), &[report(&endpoint, None)]);

    expect_that!(entry.rate_limited_count(), eq(1));
}

#[gtest]
fn a_raised_limit_takes_effect_at_once() {
    let endpoint = endpoint("e");
    let mut entry = fleet(1, &[Arc::clone(&endpoint)]).remove(0);
    entry.set_rate_limit(at(0), &endpoint, 0.0);
    let before = granted(entry.submit(at(0), request(1, 0, 0)));

    entry.set_rate_limit(at(1_000), &endpoint, 5.0);
    let after = granted(entry.submit(at(1_500), request(2, 0, 1_500)));

    expect_that!(before.is_some(), eq(true));
    expect_that!(after.is_some(), eq(true));
}

#[gtest]
fn a_limit_survives_a_gap_in_the_registry_and_ends_with_a_restart() {
    let endpoint = endpoint("e");
    let restarted = Arc::new(Endpoint {
        started_ms: Some(2),
        ..(*endpoint).clone()
    });
    let mut entry = fleet(1, &[Arc::clone(&endpoint)]).remove(0);
    entry.set_rate_limit(at(0), &endpoint, 0.5);
    let first = granted(entry.submit(at(100), request(1, 0, 100)));

    entry.set_endpoints(at(200), &[]);
    entry.set_endpoints(at(300), &[endpoint]);
    let again = granted(entry.submit(at(400), request(2, 0, 400)));
    entry.set_endpoints(at(500), &[restarted]);
    let after_restart = granted_seqs(&entry.dispatch_queued(at(600)));

    expect_that!(first.is_some(), eq(true));
    expect_that!(again.is_some(), eq(false));
    expect_that!(after_restart, elements_are![eq(&2)]);
}

#[gtest]
fn requests_go_to_other_endpoints_while_the_pace_of_a_limited_one_is_used_up() {
    let endpoints = [endpoint("limited"), endpoint("free")];
    let mut entry = fleet(1, &endpoints).remove(0);
    entry.set_rate_limit(at(0), &endpoints[0], 1.0);

    let submitted: Vec<_> = (0..16)
        .map(|seq| entry.submit(at(10), request(seq, 0, 10)))
        .collect();

    let sent = granted_endpoints(submitted);
    let limited = sent.iter().filter(|name| **name == endpoints[0].name);
    expect_that!(sent, len(eq(16)));
    expect_that!(limited.count(), le(1));
}

#[gtest]
fn a_new_version_whose_endpoints_are_limited_holds_up_no_requests() {
    let old = endpoint("old");
    let new = Arc::new(Endpoint {
        version: VersionName::from("v2"),
        ..fixture::endpoint("new", "a", SLOTS)
    });
    let mut entry = fleet(1, &[Arc::clone(&old), Arc::clone(&new)]).remove(0);
    entry.set_orders(at(0), vec![rollout_order("v2")], EXPOSURE);
    entry.set_rate_limit(at(0), &new, 1.0);
    let chosen_for_new = |seq| DispatchRequest {
        version_draw: 0.0,
        ..request(seq, 0, 100)
    };

    let submitted = [1, 2].map(|seq| entry.submit(at(100), chosen_for_new(seq)));

    let names = granted_endpoints(submitted);
    expect_that!(names, elements_are![eq(&new.name), eq(&old.name)]);
}

#[gtest]
fn callers_beyond_the_limit_of_all_endpoints_are_refused_in_time() {
    let endpoint = endpoint("e");
    let mut entry = fleet(1, &[Arc::clone(&endpoint)]).remove(0);
    entry.set_rate_limit(at(0), &endpoint, 2.0);
    let mut refused = 0;
    let mut granted_count = 0;

    for ms in (0..10_000).step_by(50) {
        let submitted = entry.submit(at(ms), request(ms, 0, ms));
        refused += usize::from(matches!(submitted, SubmitResult::Refused(_)));
        granted_count += usize::from(matches!(submitted, SubmitResult::Granted(_)));
        for event in entry.dispatch_queued(at(ms)) {
            match event {
                QueueEvent::Granted(..) => granted_count += 1,
                QueueEvent::Refused(_, retry_after) => {
                    expect_that!(retry_after, ge(Duration::from_millis(300)));
                    refused += 1;
                }
            }
        }
    }

    let queued = entry.queued_total();
    expect_that!(granted_count, all![ge(10), le(22)]);
    expect_that!(refused + granted_count + queued, eq(200));
    expect_that!(queued, le(6));
}
