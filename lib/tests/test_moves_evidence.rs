//! Evidence of version moves: the wire form of rows, and merging rows that arrive
//! in any order.

use std::time::Duration;

use poplarvale_lib::moves::evidence::{Evidence, MAX_ROUTES, Pair, Row, Sample, VersionSide};
use poplarvale_lib::moves::histogram::{BUCKETS, bucket, upper_edge};
use proptest::prelude::*;

const ID: u128 = 7;

fn samples() -> impl Strategy<Value = Vec<Sample>> {
    let one =
        (0..3_u8, any::<bool>(), 0..100_000_u64, 0..4_u8).prop_map(|(route, new, time, kind)| {
            Sample {
                route: format!("GET /{route}").into(),
                idempotent: true,
                which: if new {
                    VersionSide::New
                } else {
                    VersionSide::Old
                },
                time: (kind > 0).then(|| Duration::from_millis(time)),
                compared: kind > 1,
            }
        });
    prop::collection::vec(one, 1..60)
}

/// Rows as a daemon publishes them, one publication after every few samples.
fn published(samples: &[Sample]) -> Vec<Row> {
    let mut evidence = Evidence::default();
    let mut rows = Vec::new();
    for samples in samples.chunks(3) {
        for sample in samples {
            evidence.record(sample);
        }
        rows.extend(evidence.publish(1, ID));
    }
    rows
}

#[test]
fn buckets_cover_their_latencies() {
    for at in 1..BUCKETS - 1 {
        assert_eq!(bucket(upper_edge(at).mul_f64(0.99)), at);
    }
    assert_eq!(bucket(Duration::ZERO), 0);
    assert_eq!(bucket(Duration::from_hours(1)), BUCKETS - 1);
}

/// A caller makes up a path for each request. Without a limit, the rows of the
/// daemon that it calls would fill the memory of all other daemons.
#[test]
fn routes_past_the_limit_share_one_row() {
    let mut evidence = Evidence::default();
    for n in 0..10 * MAX_ROUTES {
        evidence.record(&Sample {
            route: format!("GET /{n}").into(),
            idempotent: true,
            which: VersionSide::Old,
            time: None,
            compared: true,
        });
    }
    let rows = evidence.publish(1, ID);
    assert_eq!(rows.len(), MAX_ROUTES + 1);
    let failed: u32 = rows.iter().map(|row| row.pair.old.failed).sum();
    assert_eq!(failed as usize, 10 * MAX_ROUTES);
}

proptest! {
    #![proptest_config(testutils::fixed(128))]

    #[test]
    fn a_row_survives_the_wire_form(samples in samples()) {
        for row in published(&samples) {
            prop_assert_eq!(Row::from_wire(&row.to_wire()), Some(row));
        }
    }

    #[test]
    fn counts_past_the_last_bucket_are_rejected(first in 0..200_u32, length in 0..200_usize) {
        let mut wire = published(&[Sample {
            route: "GET /".into(),
            idempotent: true,
            which: VersionSide::New,
            time: Some(Duration::from_millis(5)),
            compared: true,
        }])[0].to_wire();
        let side = wire.new.as_mut().expect("a row has both versions");
        side.first = first;
        side.counts = vec![1; length];
        let fits = first as usize + length <= BUCKETS;
        prop_assert_eq!(Row::from_wire(&wire).is_some(), fits);
    }

    /// Rows arrive twice, late and in any order. If they were counted twice, a few
    /// failures would make a good version look bad.
    #[test]
    fn each_request_counts_once_in_any_order(samples in samples(), seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut rows = published(&samples);
        let last: Vec<Row> = rows
            .iter()
            .filter(|row| rows.iter().all(|o| o.route != row.route || o.sequence <= row.sequence))
            .cloned()
            .collect();
        rows.extend(rows.clone());
        rng.shuffle(&mut rows);
        let mut evidence = Evidence::default();
        let mut counted = 0;
        for row in rows {
            evidence.merge(row);
            let deltas = evidence.take_deltas();
            counted += deltas.iter().map(|d| all(&d.pair)).sum::<u32>();
        }
        prop_assert_eq!(counted, last.iter().map(|row| all(&row.pair)).sum::<u32>());
        prop_assert_eq!(counted as usize, samples.len());
    }
}

fn all(pair: &Pair) -> u32 {
    pair.old.all() + pair.new.all()
}
