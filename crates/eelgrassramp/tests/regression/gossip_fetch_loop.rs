//! Guards against a fetch loop: a process that was stopping fetched the same tables repeatedly
//! without a pause.
//!
//! The gossip state recorded a fetched version only on the `Adopted` event, and the task that sends
//! this event ends when the process stops.

use std::net::SocketAddr;

use eelgrassramp::Monotonic;
use eelgrassramp::TableVersion;
use eelgrassramp::tables::GossipAction;
use eelgrassramp::tables::GossipEvent;
use eelgrassramp::tables::GossipState;
use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

const NOW: Monotonic = Monotonic::from_millis(5_000);

fn sidecar() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7100))
}

#[gtest]
fn fetched_version_is_not_fetched_again_before_it_is_adopted() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut gossip = GossipState::new(TableVersion(4), Vec::new());
    let seen = GossipEvent::Seen {
        from: sidecar(),
        version: TableVersion(5),
    };
    let first = gossip.handle(NOW, seen, &mut rng);

    let fetched = GossipEvent::Fetched {
        from: sidecar(),
        version: Some(TableVersion(5)),
    };
    let second = gossip.handle(NOW, fetched, &mut rng);

    expect_that!(
        first,
        elements_are![eq(&GossipAction::Fetch { from: sidecar() })]
    );
    expect_that!(second, is_empty());
}
