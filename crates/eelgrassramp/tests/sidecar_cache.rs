//! What entries learn of an engine's prefix cache through its sidecar.

use std::collections::BTreeSet;

use eelgrassramp::sidecar::CacheIndex;
use eelgrassramp::wire::CacheUpdate;
use googletest::prelude::*;
use proptest::proptest;

const FIRST_SEQ: u64 = 1_000;

fn events(seq: u64, added: &[u64], removed: &[u64]) -> CacheUpdate {
    CacheUpdate {
        seq,
        whole: false,
        added: added.to_vec(),
        removed: removed.to_vec(),
    }
}

fn whole(seq: u64, blocks: &[u64]) -> CacheUpdate {
    CacheUpdate {
        whole: true,
        ..events(seq, blocks, &[])
    }
}

/// An entry's picture of the cache.
#[derive(Debug, Default)]
struct Picture {
    seq: u64,
    blocks: BTreeSet<u64>,
}

impl Picture {
    fn ask(&mut self, index: &CacheIndex) {
        let update = index.changes_since(self.seq);
        if update.whole {
            self.blocks.clear();
        }
        for block in &update.removed {
            self.blocks.remove(block);
        }
        self.blocks.extend(&update.added);
        self.seq = update.seq;
    }
}

#[googletest::test]
fn a_whole_report_mends_what_a_lost_event_left_behind() {
    let mut index = CacheIndex::new(FIRST_SEQ);
    let mut picture = Picture::default();
    index.apply(events(3, &[1, 2], &[]));
    picture.ask(&index);

    // The event that removed block 2 was lost; its number was not.
    index.apply(events(4, &[], &[]));
    index.apply(whole(4, &[1, 5]));
    let before = picture.seq;
    picture.ask(&index);

    expect_that!(picture.blocks, elements_are![eq(&1), eq(&5)]);
    expect_that!(index.changes_since(before).whole, eq(false));
}

#[googletest::test]
fn an_entry_that_knows_a_former_life_gets_the_whole_content() {
    let mut index = CacheIndex::new(FIRST_SEQ);
    index.apply(events(1, &[7], &[]));

    let older = index.changes_since(FIRST_SEQ - 1);
    let from_elsewhere = index.changes_since(FIRST_SEQ + 100);

    expect_that!(older, eq(&whole(FIRST_SEQ + 1, &[7])));
    expect_that!(from_elsewhere, eq(&whole(FIRST_SEQ + 1, &[7])));
}

proptest! {
    #[test]
    fn every_entry_that_asks_has_the_sidecars_picture(
        steps in proptest::collection::vec((0..4_u8, 0..8_u64, 0..8_u64), 1..60),
    ) {
        let mut index = CacheIndex::new(FIRST_SEQ);
        let mut often = Picture::default();
        let mut rarely = Picture::default();
        for (i, (what, a, b)) in steps.into_iter().enumerate() {
            let seq = u64::try_from(i).expect("small") + 1;
            match what {
                0 => index.apply(events(seq, &[a], &[])),
                1 => index.apply(events(seq, &[], &[b])),
                2 => index.apply(whole(seq, &[a, b])),
                _ => rarely.ask(&index),
            }
            often.ask(&index);
        }
        rarely.ask(&index);
        let mut fresh = Picture::default();
        fresh.ask(&index);
        assert_eq!(often.blocks, fresh.blocks);
        assert_eq!(rarely.blocks, fresh.blocks);
    }
}
