//! Updates of the prefix cache index that entries read from a sidecar.

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

fn full_report(seq: u64, blocks: &[u64]) -> CacheUpdate {
    CacheUpdate {
        whole: true,
        ..events(seq, blocks, &[])
    }
}

/// An entry's copy of the cache index.
#[derive(Debug, Default)]
struct EntryCopy {
    seq: u64,
    blocks: BTreeSet<u64>,
}

impl EntryCopy {
    fn update(&mut self, index: &CacheIndex) {
        let changes = index.changes_since(self.seq);
        if changes.whole {
            self.blocks.clear();
        }
        for block in &changes.removed {
            self.blocks.remove(block);
        }
        self.blocks.extend(&changes.added);
        self.seq = changes.seq;
    }
}

#[googletest::test]
fn a_full_report_corrects_the_effect_of_a_lost_event() {
    let mut index = CacheIndex::new(FIRST_SEQ);
    let mut copy = EntryCopy::default();
    index.apply(events(3, &[1, 2], &[]));
    copy.update(&index);

    // The event that removed block 2 was lost, but its sequence number was still used.
    index.apply(events(4, &[], &[]));
    index.apply(full_report(4, &[1, 5]));
    let before = copy.seq;
    copy.update(&index);

    expect_that!(copy.blocks, elements_are![eq(&1), eq(&5)]);
    expect_that!(index.changes_since(before).whole, eq(false));
}

#[googletest::test]
fn an_entry_with_an_unknown_sequence_number_gets_the_whole_content() {
    let mut index = CacheIndex::new(FIRST_SEQ);
    index.apply(events(1, &[7], &[]));

    let older = index.changes_since(FIRST_SEQ - 1);
    let from_elsewhere = index.changes_since(FIRST_SEQ + 100);

    expect_that!(older, eq(&full_report(FIRST_SEQ + 1, &[7])));
    expect_that!(from_elsewhere, eq(&full_report(FIRST_SEQ + 1, &[7])));
}

proptest! {
    #[test]
    fn every_entry_that_reads_updates_has_the_sidecars_content(
        steps in proptest::collection::vec((0..4_u8, 0..8_u64, 0..8_u64), 1..60),
    ) {
        let mut index = CacheIndex::new(FIRST_SEQ);
        let mut frequent = EntryCopy::default();
        let mut infrequent = EntryCopy::default();
        for (i, (what, a, b)) in steps.into_iter().enumerate() {
            let seq = u64::try_from(i).expect("small") + 1;
            match what {
                0 => index.apply(events(seq, &[a], &[])),
                1 => index.apply(events(seq, &[], &[b])),
                2 => index.apply(full_report(seq, &[a, b])),
                _ => infrequent.update(&index),
            }
            frequent.update(&index);
        }
        infrequent.update(&index);
        let mut fresh = EntryCopy::default();
        fresh.update(&index);
        assert_eq!(frequent.blocks, fresh.blocks);
        assert_eq!(infrequent.blocks, fresh.blocks);
    }
}
