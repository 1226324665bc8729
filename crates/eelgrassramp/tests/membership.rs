//! Tests of membership and of the selection of processes for roles.

use std::net::SocketAddr;
use std::time::Duration;

use eelgrassramp::Incarnation;
use eelgrassramp::Monotonic;
use eelgrassramp::TableVersion;
use eelgrassramp::membership::MAX_LIST_LAG;
use eelgrassramp::membership::Membership;
use eelgrassramp::membership::RoleSampler;
use eelgrassramp::membership::SampledRole;
use eelgrassramp::store::Vm;
use eelgrassramp::store::VmState;
use eelgrassramp::tables::Document;
use eelgrassramp::tables::Tables;
use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const MUG_PRINTS: &str = include_str!("../../../examples/mug-prints.jsonc");
const SIDECAR: &str = "127.0.0.1:7101";

fn tables() -> Tables {
    let document = Document::from_jsonc(MUG_PRINTS, "example").expect("well-formed");
    document.to_tables(TableVersion(1)).expect("valid")
}

fn vm(addr: &str, state: VmState) -> Vm {
    let addr: SocketAddr = addr.parse().expect("an address");
    Vm {
        address: addr.ip(),
        port: addr.port(),
        state,
    }
}

fn sidecar() -> SocketAddr {
    SIDECAR.parse().expect("an address")
}

fn leaving_names(membership: &Membership, now: Monotonic) -> Vec<String> {
    let leaving = membership.leaving(now, &tables());
    leaving.iter().map(|l| l.endpoint.to_string()).collect()
}

#[googletest::test]
fn endpoint_is_leaving_while_its_vm_is_listed_as_leaving() {
    let mut membership = Membership::new();
    let now = Monotonic::from_millis(1_000);

    membership.set_vms(now, &[vm(SIDECAR, VmState::Leaving)]);
    let listed = leaving_names(&membership, now);
    membership.set_vms(now, &[vm(SIDECAR, VmState::Live)]);

    expect_that!(listed, elements_are![eq("greeting-1")]);
    expect_that!(leaving_names(&membership, now), is_empty());
    expect_that!(
        membership.staleness(now + MAX_LIST_LAG),
        some(eq(MAX_LIST_LAG))
    );
}

#[googletest::test]
fn replaced_vm_is_not_reported_as_leaving_within_the_list_lag() {
    let mut membership = Membership::new();
    let now = Monotonic::from_millis(1_000);
    membership.observe_incarnation(now, sidecar(), Incarnation(1));
    membership.set_vms(now, &[vm(SIDECAR, VmState::Leaving)]);

    let is_replaced = membership.observe_incarnation(now, sidecar(), Incarnation(2));
    let in_lag = leaving_names(&membership, now);
    let after_lag = leaving_names(&membership, now + MAX_LIST_LAG);

    expect_that!(is_replaced, eq(true));
    expect_that!(in_lag, is_empty());
    expect_that!(after_lag, elements_are![eq("greeting-1")]);
}

#[googletest::test]
fn entries_are_the_live_vms_that_are_not_endpoints() {
    let mut membership = Membership::new();
    let list = [
        vm(SIDECAR, VmState::Live),
        vm("127.0.0.1:7001", VmState::Live),
        vm("127.0.0.1:7002", VmState::Live),
        vm("127.0.0.1:7003", VmState::Leaving),
    ];

    membership.set_vms(Monotonic::ZERO, &list);

    expect_that!(membership.entry_count(&tables()), eq(2));
}

#[googletest::test]
fn about_twelve_processes_of_any_fleet_are_selected_at_any_time() {
    for fleet in [20, 100, 360, 2_000] {
        let mut rng = StdRng::seed_from_u64(5);
        let samplers: Vec<RoleSampler> = (0..fleet)
            .map(|_| RoleSampler::new(rng.random(), SampledRole::Watcher))
            .collect();

        let counts: Vec<usize> = (0..500)
            .map(|minute| Monotonic::ZERO + Duration::from_mins(minute))
            .map(|now| {
                samplers
                    .iter()
                    .filter(|d| d.is_selected(now, fleet))
                    .count()
            })
            .collect();

        let mean = counts.iter().sum::<usize>() as f64 / 500.0;
        expect_that!(mean, all![ge(11.0), le(13.0)], "fleet {fleet}");
        expect_that!(counts.iter().min(), some(gt(&0)), "fleet {fleet}");
        expect_that!(counts.iter().max(), some(lt(&32)), "fleet {fleet}");
    }
}

#[googletest::test]
fn all_processes_of_a_small_fleet_are_selected() {
    let sampler = RoleSampler::new(3, SampledRole::LeaseCandidate);

    expect_that!(sampler.is_selected(Monotonic::ZERO, 12), eq(true));
    expect_that!(sampler.is_selected(Monotonic::ZERO, 0), eq(true));
}
