//! Endpoints and requests of one pool, and helpers that read dispatch results.

use std::time::Duration;

use eelgrassramp::DomainName;
use eelgrassramp::EndpointName;
use eelgrassramp::Monotonic;
use eelgrassramp::PoolName;
use eelgrassramp::RouteName;
use eelgrassramp::VersionName;
use eelgrassramp_direct::dispatcher::DispatchRequest;
use eelgrassramp_direct::dispatcher::Dispatcher;
use eelgrassramp_direct::dispatcher::Grant;
use eelgrassramp_direct::dispatcher::QueueEvent;
use eelgrassramp_direct::dispatcher::SubmitResult;
use eelgrassramp_direct::endpoint::Endpoint;
use eelgrassramp_direct::endpoint::EndpointState;
use eelgrassramp_direct::request_queue::Priority;
use eelgrassramp_direct::request_queue::RequestClass;
use eelgrassramp_direct::rollout::ExposureLimits;
use eelgrassramp_direct::rollout::RolloutOrder;
use eelgrassramp_direct::work::RequestSize;

/// The pool of all endpoints and requests.
pub const POOL: &str = "drafts";

/// Share of a new version that is not known to be good.
pub const EXPOSURE: ExposureLimits = ExposureLimits {
    share: 0.1,
    slack: 50.0,
};

/// Creates a warm endpoint that accepts new requests.
pub fn endpoint(name: &str, domain: &str, slots: u32) -> Endpoint {
    Endpoint {
        name: EndpointName::from(name),
        started_ms: Some(1),
        pool: PoolName::from(POOL),
        address: "10.0.0.1:80".parse().expect("the address is valid"),
        domain: DomainName::from(domain),
        version: VersionName::from("v1"),
        slots,
        state: EndpointState::Ready,
        cold: None,
    }
}

pub fn at(ms: u64) -> Monotonic {
    Monotonic::from_millis(ms)
}

/// Creates an order to move the pool to `version`.
pub fn rollout_order(version: &str) -> RolloutOrder {
    RolloutOrder {
        id: 1,
        epoch: 1,
        revision: 1,
        pool: PoolName::from(POOL),
        new_version: VersionName::from(version),
        duration: Duration::from_secs(15),
        outcome: None,
        rolled_back_before: None,
    }
}

/// Creates a request that is on time if started within 300 ms, and expires after 2 s.
pub fn request(seq: u64, priority: u32, submitted_ms: u64) -> DispatchRequest {
    let submitted_at = at(submitted_ms);
    DispatchRequest {
        seq,
        pool: PoolName::from(POOL),
        class: RequestClass {
            priority: Priority::new(None, priority),
            route: RouteName::new(format!("route-{priority}")),
        },
        submitted_at,
        start_by: submitted_at + Duration::from_millis(300),
        expires_at: submitted_at + Duration::from_secs(2),
        attempted: Vec::new(),
        version_draw: 0.5,
        share: None,
        size: RequestSize::default(),
    }
}

pub fn granted(placement: SubmitResult) -> Option<Grant> {
    match placement {
        SubmitResult::Granted(grant) => Some(grant),
        SubmitResult::Queued | SubmitResult::Refused(_) => None,
    }
}

/// Returns the names of the endpoints that were granted, in order.
pub fn granted_endpoints(placements: impl IntoIterator<Item = SubmitResult>) -> Vec<EndpointName> {
    let grants = placements.into_iter().filter_map(granted);
    grants.map(|grant| grant.endpoint.name.clone()).collect()
}

/// Submits a request and dispatches queued ones; returns all grants.
pub fn submit_and_dispatch(
    dispatcher: &mut Dispatcher,
    now: Monotonic,
    request: DispatchRequest,
) -> Vec<Grant> {
    let mut grants: Vec<_> = granted(dispatcher.submit(now, request))
        .into_iter()
        .collect();
    let events = dispatcher.dispatch_queued(now).into_iter();
    grants.extend(events.filter_map(|event| match event {
        QueueEvent::Granted(_, grant) => Some(grant),
        QueueEvent::Refused(..) => None,
    }));
    grants
}

/// Returns the requests that were granted an endpoint.
pub fn granted_seqs(events: &[QueueEvent]) -> Vec<u64> {
    let granted = events.iter().filter_map(|event| match event {
        QueueEvent::Granted(seq, _) => Some(*seq),
        QueueEvent::Refused(..) => None,
    });
    granted.collect()
}
