//! The model of an endpoint's prefix cache, compared with what the endpoint
//! really has cached.

use std::collections::BTreeSet;

use poplarvale_lib::routing::{CacheEvent, CachedPrefix, MAX_BLOCKS, PrefixCache};
use proptest::prelude::*;
use testutils::{Engine, Job, Speed};

fn event(sequence: u64, added: &[u64], removed: &[u64]) -> CacheEvent {
    CacheEvent {
        endpoint: "e".into(),
        epoch: 1,
        sequence,
        added: added.to_vec(),
        removed: removed.to_vec(),
    }
}

fn confirmed(confirmed: usize) -> CachedPrefix {
    CachedPrefix {
        confirmed,
        unconfirmed: 0,
    }
}

/// The event that removed a block is lost. A turn sent to the endpoint for its
/// cached prefix would wait until the whole history is computed.
#[test]
fn a_gap_makes_earlier_entries_unconfirmed() {
    let mut cache = PrefixCache::default();
    cache.apply(&event(0, &[1, 2, 3], &[]));
    cache.apply(&event(2, &[9], &[]));
    let unconfirmed = CachedPrefix {
        confirmed: 0,
        unconfirmed: 3,
    };
    assert_eq!(cache.prefix(&[1, 2, 3, 4]), unconfirmed);
    assert_eq!(cache.prefix(&[9]), confirmed(1));
    cache.record_prompt(&[1, 2]);
    let renewed = CachedPrefix {
        confirmed: 2,
        unconfirmed: 1,
    };
    assert_eq!(cache.prefix(&[1, 2, 3]), renewed);
}

/// The event of one turn is lost, and the event of the next turn names only the
/// blocks that it added. If the cached prefix were taken to end at the gap, the
/// third turn would go to another endpoint and wait until the whole history is
/// computed.
#[test]
fn a_confirmed_block_confirms_those_before_it() {
    let mut cache = PrefixCache::default();
    cache.apply(&event(0, &[1, 2], &[]));
    cache.apply(&event(2, &[5, 6], &[]));
    assert_eq!(cache.prefix(&[1, 2, 3, 4, 5, 6, 7]), confirmed(6));
    assert_eq!(cache.prefix(&[1, 2, 3, 4, 9]).confirmed, 0);
    cache.apply(&event(4, &[9], &[]));
    let unconfirmed = CachedPrefix {
        confirmed: 0,
        unconfirmed: 2,
    };
    assert_eq!(cache.prefix(&[1, 2, 3, 4, 5, 6, 7]), unconfirmed);
}

/// The missing event is only late and closes the gap.
#[test]
fn a_late_event_closes_its_gap() {
    let mut cache = PrefixCache::default();
    cache.apply(&event(0, &[1, 2, 3], &[]));
    cache.apply(&event(2, &[3], &[]));
    cache.apply(&event(1, &[4], &[3]));
    assert_eq!(cache.prefix(&[1, 2, 3, 4]), confirmed(4));
    cache.apply(&event(1, &[], &[1]));
    assert_eq!(cache.prefix(&[1]), confirmed(1), "event applied twice");
}

/// An engine crashed, and a new process answers under its id with an empty cache.
#[test]
fn a_new_process_starts_with_an_empty_cache() {
    let mut cache = PrefixCache::default();
    cache.record_prompt(&[1, 2]);
    cache.apply(&event(40, &[3], &[]));
    assert_eq!(cache.prefix(&[1, 2, 3]), confirmed(3));
    let restarted = CacheEvent {
        epoch: 2,
        ..event(0, &[7], &[])
    };
    cache.apply(&restarted);
    assert_eq!(cache.prefix(&[1]), confirmed(0));
    assert_eq!(cache.prefix(&[7]), confirmed(1));
}

/// Changes of an engine's cache, each with blocks to add and to remove.
fn changes() -> impl Strategy<Value = Vec<CacheEvent>> {
    let blocks = || prop::collection::vec(0..30_u64, 0..5);
    prop::collection::vec((blocks(), blocks()), 1..40).prop_map(|changes| {
        let mut events = vec![event(0, &[], &[])];
        for (at, (added, mut removed)) in changes.into_iter().enumerate() {
            removed.retain(|block| !added.contains(block));
            events.push(event(at as u64 + 1, &added, &removed));
        }
        events
    })
}

fn cached(events: &[CacheEvent]) -> BTreeSet<u64> {
    let mut cached = BTreeSet::new();
    for event in events {
        event.removed.iter().for_each(|block| {
            cached.remove(block);
        });
        cached.extend(event.added.iter().copied());
    }
    cached
}

/// Prompt of a conversation: two blocks that all conversations share, then its
/// own.
fn prompt(conversation: u64, len: u64) -> Vec<u64> {
    let block = |depth| {
        if depth < 2 {
            depth
        } else {
            100 * conversation + depth
        }
    };
    (0..len).map(block).collect()
}

/// An engine that computes without delay and caches up to 24 blocks.
fn engine() -> Engine {
    Engine::new(Speed {
        prefill: 1e9,
        decode: 1e9,
        slots: 8,
        blocks: 24,
        export: 0.0,
    })
}

fn compute(engine: &mut Engine, blocks: &[u64]) -> Vec<CacheEvent> {
    engine.send(Job {
        attempt: 0,
        blocks: blocks.to_vec(),
        prompt: blocks.len() as u32 * 64,
        delivered: 0,
        answer: 1,
        migrated: false,
    });
    engine.step(1.0);
    let changes = engine.changes().into_iter();
    changes
        .map(|change| event(change.sequence, &change.added, &change.removed))
        .collect()
}

proptest! {
    #![proptest_config(testutils::fixed(256))]

    #[test]
    fn with_lost_events_no_prefix_that_an_engine_evicted_is_confirmed(
        turns in prop::collection::vec((1..6_u64, 1..12_u64, any::<bool>()), 1..60),
    ) {
        let (mut engine, mut cache) = (engine(), PrefixCache::default());
        let mut cached = BTreeSet::new();
        for (conversation, len, lost) in turns {
            for event in compute(&mut engine, &prompt(conversation, len)) {
                cached.retain(|block| !event.removed.contains(block));
                cached.extend(event.added.iter().copied());
                if lost && event.sequence > 0 {
                    continue;
                }
                cache.apply(&event);
                for conversation in 1..6 {
                    let blocks = prompt(conversation, 12);
                    let cached_blocks = blocks.iter().take_while(|block| cached.contains(block));
                    prop_assert!(cache.prefix(&blocks).confirmed <= cached_blocks.count());
                }
            }
        }
    }

    #[test]
    fn events_in_any_order_end_in_what_the_engine_holds(
        events in changes(),
        late in prop::collection::vec(0..6_usize, 40),
    ) {
        let mut order: Vec<usize> = (0..events.len()).collect();
        order[1..].sort_by_key(|&at| at + late[at - 1]);
        let mut cache = PrefixCache::default();
        for at in order {
            cache.apply(&events[at]);
        }
        let cached = cached(&events);
        for block in 0..30 {
            let expected = usize::from(cached.contains(&block));
            prop_assert_eq!(cache.prefix(&[block]), confirmed(expected), "block {}", block);
        }
    }

    #[test]
    fn with_lost_events_no_removed_block_is_confirmed(
        events in changes(),
        lost in prop::collection::vec(any::<bool>(), 40),
    ) {
        let last = events.len() - 1;
        let mut cache = PrefixCache::default();
        for (at, event) in events.iter().enumerate() {
            if at == 0 || at == last || !lost[at - 1] {
                cache.apply(event);
            }
        }
        let cached = cached(&events);
        for block in 0..30 {
            if cache.prefix(&[block]).confirmed == 1 {
                prop_assert!(cached.contains(&block), "block {}", block);
            }
        }
    }

    #[test]
    fn the_model_is_bounded_and_keeps_the_latest(
        prompts in prop::collection::vec((any::<u64>(), 1..400_usize), 1..30),
    ) {
        let mut cache = PrefixCache::default();
        for (seed, len) in prompts {
            let mut rng = fastrand::Rng::with_seed(seed);
            let blocks: Vec<u64> = std::iter::repeat_with(|| rng.u64(..)).take(len).collect();
            cache.record_prompt(&blocks);
            prop_assert!(cache.len() <= MAX_BLOCKS);
            prop_assert_eq!(cache.prefix(&blocks), confirmed(len));
            let estimate = cache.estimate(&blocks);
            prop_assert!(estimate <= len && len < 2 * estimate);
        }
    }
}
