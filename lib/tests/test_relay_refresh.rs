//! When daemons that no watcher feeds read the store.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use poplarvale_lib::relay::refresh::{MAX_FED_AGE, Refresh, SPREAD};

/// Time after the change of an entry at which a daemon has to act by it.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Longest time that a read of a sound store takes.
const READ_TIME: Duration = Duration::from_millis(200);
/// Time in which an answer arrives and is fed to the zone.
const FEED_TIME: Duration = Duration::from_millis(10);
const DAEMONS: u32 = 1000;

fn daemons(count: u32) -> Vec<Refresh> {
    let address = |number: u32| Ipv4Addr::from(0x0a01_0000 + number);
    (1..=count)
        .map(|number| Refresh::new(address(number)))
        .collect()
}

/// Guards against knowledge that grows older than a change may take, whoever else runs.
#[test]
fn every_daemon_reads_in_time() {
    let now = Instant::now();
    for daemon in daemons(DAEMONS) {
        let due = daemon.due(now, None);
        assert!(due >= now + MAX_FED_AGE);
        assert!(due + READ_TIME < now + APPLY_TIME);
    }
}

/// Guards against reads of all daemons of a zone where one of them feeds the others.
#[test]
fn a_daemon_that_was_answered_spares_the_others_their_reads() {
    const ZONE: u32 = 50;
    let now = Instant::now();
    let mut due: Vec<Instant> = daemons(ZONE).iter().map(|row| row.due(now, None)).collect();
    due.sort_unstable();
    let reads = due.partition_point(|at| *at <= due[0] + FEED_TIME);
    assert!(reads <= 8, "{reads} reads of {ZONE} daemons");
    assert!(due[due.len() - 1] - due[0] > SPREAD / 2);
}

/// Guards against a store that all daemons ask again and again while it is down, and at the same moment when it is
/// back.
#[test]
fn daemons_ask_a_store_that_is_down_seldom_and_not_together() {
    const STEP: Duration = Duration::from_millis(10);
    /// Steps of ten milliseconds in a second, and in an outage of 20 s.
    const SECOND: usize = 100;
    const OUTAGE: usize = 20 * SECOND;
    let mut random = fastrand::Rng::with_seed(1);
    let last = Instant::now();
    let mut calls = vec![0; OUTAGE];
    for mut daemon in daemons(DAEMONS) {
        for (step, count) in calls.iter_mut().enumerate() {
            let now = last + STEP * step as u32;
            if now >= daemon.due(last, None) {
                *count += 1;
                daemon.record_failure(now, random.f64());
            }
        }
    }
    let most = calls.windows(SECOND).map(|row| row.iter().sum::<u32>());
    assert!(most.max() <= Some(DAEMONS));
    let late = calls[OUTAGE / 2..].windows(SECOND);
    let most = late.map(|row| row.iter().sum::<u32>()).max();
    assert!(
        most <= Some(DAEMONS / 2),
        "{most:?} calls in a second of a long outage"
    );
}

/// Guards against a daemon that goes on asking seldom after the store has answered it.
#[test]
fn an_answer_ends_the_delays() {
    let now = Instant::now();
    let [mut daemon] = daemons(1).try_into().expect("one daemon");
    let due = daemon.due(now, None);
    for _ in 0..5 {
        daemon.record_failure(now, 1.0);
    }
    assert!(daemon.due(now, None) > due);
    daemon.record_answer();
    assert_eq!(daemon.due(now, None), due);
}

/// Guards against reads that delay a long answer on a slow link, and against waiting for a daemon that has ended.
#[test]
fn a_daemon_waits_for_an_answer_that_arrives_at_another_one() {
    let answered = Instant::now();
    let [daemon] = daemons(1).try_into().expect("one daemon");
    let due = daemon.due(answered, None);
    let told = answered + MAX_FED_AGE;
    let delayed = daemon.due(answered, Some(told));
    assert!(delayed > due && delayed < told + Duration::from_secs(1));
    // What was told with the last answer that is known delays nothing.
    assert_eq!(daemon.due(answered, Some(answered)), due);
}
