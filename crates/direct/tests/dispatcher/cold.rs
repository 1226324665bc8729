//! Cold endpoints and evacuated failure domains.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::DomainName;
use eelgrassramp::EntryName;
use eelgrassramp::PoolName;
use eelgrassramp::VersionName;
use eelgrassramp_direct::dispatcher::DispatchRequest;
use eelgrassramp_direct::dispatcher::Dispatcher;
use eelgrassramp_direct::dispatcher::Grant;
use eelgrassramp_direct::dispatcher::QueueEvent;
use eelgrassramp_direct::endpoint::ColdStart;
use eelgrassramp_direct::endpoint::Endpoint;
use eelgrassramp_direct::endpoint_tracker::DispatchEnd;
use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::fixture;
use super::fixture::EXPOSURE;
use super::fixture::POOL;
use super::fixture::at;
use super::fixture::granted;
use super::fixture::granted_endpoints;
use super::fixture::granted_seqs;
use super::fixture::rollout_order;
use super::fixture::submit_and_dispatch;

const SLOTS: u32 = 16;

/// Time after which a process considers its list of entries complete.
const PEER_LIST_COMPLETE_MS: u64 = 2_500;

/// Upper bound of requests in one second from all entries to a cold endpoint with the limit `rate`.
fn max_per_second(rate: f64) -> f64 {
    rate * 1.5 + 5.0
}

fn endpoint(name: &str, domain: &str, cold: Option<ColdStart>) -> Arc<Endpoint> {
    Arc::new(Endpoint {
        cold,
        ..fixture::endpoint(name, domain, SLOTS)
    })
}

fn cold(name: &str, left: Duration) -> Arc<Endpoint> {
    endpoint(name, "a", Some(ColdStart { left, revision: 1 }))
}

/// A request of the highest-priority route.
fn request(seq: u64, ms: u64) -> DispatchRequest {
    fixture::request(seq, 0, ms)
}

fn entries(n: usize) -> Vec<EntryName> {
    (0..n)
        .map(|i| EntryName::new(format!("entry-{i}")))
        .collect()
}

/// Creates an entry that knows the `others` from the start.
fn entry(name: &EntryName, others: &[EntryName], rate: f64) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(name.as_str(), "a");
    dispatcher.set_cold_rate_limits(&HashMap::from([(PoolName::from(POOL), rate)]));
    let others = others.iter().filter(|other| *other != name);
    dispatcher.set_peer_entries(at(0), others);
    dispatcher
}

/// Sends requests to one cold endpoint through all of `fleet`, and returns the times of the sends.
fn simulate(fleet: &mut [Dispatcher], seed: u64, ms: std::ops::Range<u64>) -> Vec<u64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut sent = Vec::new();
    let mut in_flight: Vec<(u64, usize, Grant)> = Vec::new();
    for (seq, ms) in ms.enumerate() {
        let (due, rest) = in_flight.into_iter().partition(|(end, ..)| *end <= ms);
        in_flight = rest;
        let due: Vec<(u64, usize, Grant)> = due;
        for (_, i, grant) in due {
            let served = DispatchEnd::Served { slowness: 1.0 };
            fleet[i].record_outcome(at(ms), &grant.endpoint, &grant.route, served);
        }
        let i = rng.random_range(0..fleet.len());
        let next = request(seq as u64, ms);
        let grants = submit_and_dispatch(&mut fleet[i], at(ms), next);
        for grant in grants {
            sent.push(ms);
            in_flight.push((ms + rng.random_range(20..400), i, grant));
        }
    }
    sent
}

/// Returns the maximum number of sends in any second.
fn busiest_second(sent: &[u64]) -> usize {
    let within = |from: &u64| {
        sent.iter()
            .filter(|ms| (*from..from + 1_000).contains(ms))
            .count()
    };
    sent.iter().map(within).max().unwrap_or(0)
}

#[gtest]
fn cold_rate_limit_holds_across_all_entries() {
    for (n, rate) in [
        (1, 8.8),
        (4, 8.8),
        (6, 8.8),
        (30, 8.8),
        (100, 8.8),
        (30, 40.0),
        (8, 0.5),
    ] {
        for seed in 0..5 {
            let names = entries(n);
            let mut fleet: Vec<_> = names.iter().map(|name| entry(name, &names, rate)).collect();
            for dispatcher in &mut fleet {
                dispatcher.set_endpoints(at(0), &[cold("new", Duration::from_secs(30))]);
            }

            let sent = simulate(
                &mut fleet,
                seed,
                PEER_LIST_COMPLETE_MS..PEER_LIST_COMPLETE_MS + 8_000,
            );

            let most = busiest_second(&sent) as f64;
            expect_that!(
                most,
                le(max_per_second(rate)),
                "{n} entries, {rate}/s, seed {seed}"
            );
        }
    }
}

#[gtest]
fn cold_endpoint_receives_at_least_half_of_its_limit() {
    for n in [1, 6, 30, 100] {
        let names = entries(n);
        let mut fleet: Vec<_> = names.iter().map(|name| entry(name, &names, 8.8)).collect();
        for dispatcher in &mut fleet {
            dispatcher.set_endpoints(at(0), &[cold("new", Duration::from_secs(30))]);
        }

        let sent = simulate(
            &mut fleet,
            1,
            PEER_LIST_COMPLETE_MS..PEER_LIST_COMPLETE_MS + 8_000,
        );

        expect_that!(sent.len() as f64, ge(0.5 * 8.8 * 8.0), "{n} entries");
    }
}

/// While entries join and leave, their lists of each other differ.
#[gtest]
fn cold_rate_limit_holds_with_inconsistent_peer_lists() {
    for seed in 0..10 {
        let names = entries(30);
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet: Vec<_> = names
            .iter()
            .map(|name| {
                let missing = rng.random_range(0..names.len());
                let mut known = names.clone();
                known.remove(missing);
                entry(name, &known, 8.8)
            })
            .collect();
        for dispatcher in &mut fleet {
            dispatcher.set_endpoints(at(0), &[cold("new", Duration::from_secs(30))]);
        }

        let sent = simulate(
            &mut fleet,
            seed,
            PEER_LIST_COMPLETE_MS..PEER_LIST_COMPLETE_MS + 8_000,
        );

        let most = busiest_second(&sent) as f64;
        expect_that!(most, le(max_per_second(8.8)), "seed {seed}");
    }
}

#[gtest]
fn a_new_version_whose_endpoints_are_cold_holds_up_no_requests() {
    let old = endpoint("old", "a", None);
    let new = Arc::new(Endpoint {
        version: VersionName::from("v2"),
        ..(*cold("new", Duration::from_secs(30))).clone()
    });
    let mut dispatcher = entry(&EntryName::from("entry-1"), &[], 8.8);
    dispatcher.set_endpoints(at(0), &[Arc::clone(&old), Arc::clone(&new)]);
    dispatcher.set_orders(at(0), vec![rollout_order("v2")], EXPOSURE);
    let chosen_for_new = |seq| DispatchRequest {
        version_draw: 0.0,
        ..request(seq, PEER_LIST_COMPLETE_MS)
    };

    let now = at(PEER_LIST_COMPLETE_MS);
    let submitted = [1, 2].map(|seq| dispatcher.submit(now, chosen_for_new(seq)));

    let names = granted_endpoints(submitted);
    expect_that!(names, elements_are![eq(&new.name), eq(&old.name)]);
}

#[gtest]
fn cold_endpoint_is_unused_until_peer_list_is_complete() {
    let mut dispatcher = Dispatcher::new("entry-1", "a");
    dispatcher.set_cold_rate_limits(&HashMap::from([(PoolName::from(POOL), 8.8)]));
    dispatcher.set_endpoints(at(0), &[cold("new", Duration::from_secs(30))]);

    let without_list = granted(dispatcher.submit(at(5_000), request(1, 5_000)));
    dispatcher.remove_queued(&request(1, 5_000));
    dispatcher.set_peer_entries(at(5_000), std::iter::empty());
    let list_incomplete = granted(dispatcher.submit(at(5_100), request(2, 5_100)));
    let list_complete = granted_seqs(&dispatcher.dispatch_queued(at(7_090)));

    expect_that!(without_list.is_some(), eq(false));
    expect_that!(list_incomplete.is_some(), eq(false));
    expect_that!(list_complete, elements_are![eq(&2)]);
}

#[gtest]
fn warm_endpoint_is_preferred_over_cold_one() {
    let mut dispatcher = entry(&EntryName::from("entry-0"), &[], 8.8);
    let warm = endpoint("warm", "a", None);
    dispatcher.set_endpoints(at(0), &[cold("new", Duration::from_secs(30)), warm]);

    let grants = (0..u64::from(SLOTS)).filter_map(|seq| {
        let grant = granted(dispatcher.submit(at(3_000), request(seq, 3_000)));
        grant.map(|g| g.endpoint.name.as_str().to_owned())
    });

    expect_that!(grants.collect::<Vec<_>>(), each(eq("warm")));
}

#[gtest]
fn endpoint_is_warm_after_cold_time_or_when_announced_warm() {
    let mut dispatcher = entry(&EntryName::from("entry-0"), &[], 0.1);
    let fill = |dispatcher: &mut Dispatcher, ms, first: u64| {
        let tickets: Vec<_> = (first..first + 4).map(|seq| request(seq, ms)).collect();
        let entered = tickets.iter().map(|t| dispatcher.submit(at(ms), t.clone()));
        let grants = entered.filter_map(granted).count();
        for request in &tickets {
            dispatcher.remove_queued(request);
        }
        grants
    };
    dispatcher.set_endpoints(at(0), &[cold("new", Duration::from_secs(4))]);

    let while_cold = fill(&mut dispatcher, 3_000, 0);
    let after_cold_time = fill(&mut dispatcher, 6_000, 10);
    dispatcher.set_endpoints(at(6_000), &[endpoint("again", "a", None)]);
    let announced_warm = fill(&mut dispatcher, 6_100, 20);

    expect_that!(while_cold, le(1));
    expect_that!(after_cold_time, eq(4));
    expect_that!(announced_warm, eq(4));
}

/// A registry listing repeats an announcement with its original remaining time, which must not
/// restart the cold period.
#[gtest]
fn repeated_announcement_does_not_restart_cold_time() {
    let mut dispatcher = entry(&EntryName::from("entry-0"), &[], 8.8);
    let announced = [cold("new", Duration::from_secs(4))];
    dispatcher.set_endpoints(at(0), &announced);

    dispatcher.set_endpoints(at(3_900), &announced);

    expect_that!(dispatcher.cold_endpoint_count(at(3_950)), eq(1));
    expect_that!(dispatcher.cold_endpoint_count(at(4_050)), eq(0));
}

#[gtest]
fn reported_cold_time_makes_warm_endpoint_cold() {
    let mut dispatcher = entry(&EntryName::from("entry-0"), &[], 8.8);
    let warm = endpoint("e", "a", None);
    dispatcher.set_endpoints(at(0), std::slice::from_ref(&warm));

    let before = dispatcher.cold_endpoint_count(at(1_000));
    dispatcher.set_cold_for(at(1_000), &warm, Duration::from_secs(2));
    let after_report = dispatcher.cold_endpoint_count(at(1_500));
    let after = dispatcher.cold_endpoint_count(at(3_500));

    expect_that!((before, after_report, after), eq((0, 1, 0)));
}

fn domains(names: &[&str]) -> BTreeSet<DomainName> {
    names.iter().map(|name| DomainName::from(*name)).collect()
}

#[gtest]
fn evacuated_domain_receives_nothing_until_evacuation_ends() {
    let mut dispatcher = entry(&EntryName::from("entry-0"), &[], 8.8);
    let both = [endpoint("near", "a", None), endpoint("far", "b", None)];
    dispatcher.set_endpoints(at(0), &both);
    let domains_of = |dispatcher: &mut Dispatcher, ms| {
        let grants = (0..8).filter_map(|seq| granted(dispatcher.submit(at(ms), request(seq, ms))));
        let used_domains = grants.map(|g| g.endpoint.domain.as_str().to_owned());
        used_domains.collect::<BTreeSet<_>>()
    };

    dispatcher.set_evacuated_domains(domains(&["a"]));
    let during_evacuation = domains_of(&mut dispatcher, 100);
    let is_accepted = dispatcher.is_unrestricted(at(100), &both[0]);
    dispatcher.set_evacuated_domains(domains(&[]));
    let after_evacuation = domains_of(&mut dispatcher, 200);

    expect_that!(during_evacuation, unordered_elements_are![eq("b")]);
    expect_that!(is_accepted, eq(false));
    expect_that!(after_evacuation, contains(eq("a")));
}

#[gtest]
fn endpoint_announced_in_evacuated_domain_receives_nothing() {
    let mut dispatcher = entry(&EntryName::from("entry-0"), &[], 8.8);
    dispatcher.set_evacuated_domains(domains(&["a"]));

    dispatcher.set_endpoints(at(0), &[endpoint("late", "a", None)]);
    let grant = granted(dispatcher.submit(at(100), request(1, 100)));
    let waiting = dispatcher.queued_total();
    dispatcher.set_evacuated_domains(domains(&["b"]));
    let events = dispatcher.dispatch_queued(at(200));

    expect_that!(grant.is_some(), eq(false));
    expect_that!(waiting, eq(1));
    expect_that!(
        events,
        elements_are![matches_pattern!(QueueEvent::Granted(eq(&1), _))]
    );
}
