//! Exchanges between replicas under generated faults.

use std::time::{Duration, Instant};

use poplarvale_lib::gossip::{
    Change, EXCHANGE_TIMEOUT, GossipError, Kind, LANE_TTL, MAX_LANE_ROWS, MAX_VALUE_BYTES,
    MIN_LANE_TTL, Message, Replica, Scope,
};
use poplarvale_lib::protos::peer::{Answer, Delta};
use poplarvale_lib::{Code, Incarnation};
use proptest::prelude::*;
use prost::Message as _;

use crate::test_gossip_fleet::{Fleet, KINDS, setup};

/// A kind that is not urgent, sent to all daemons.
const ORDINARY: Kind = Kind::new(1_000, Scope::Everywhere, false);

/// Daemons of a fleet: three zones with three each, two of the zones in one
/// region.
const SLOTS: usize = 9;

/// Long enough for everything to reach all daemons on a healthy network.
const SETTLE: Duration = Duration::from_mins(4);

#[derive(Clone, Debug)]
enum Event {
    Put(usize, usize, u8, u8),
    Remove(usize, usize, u8),
    Restart(usize),
    Pause(usize, u64),
    Partition(usize, usize, u64),
    Wait(u64),
}

fn events(max: usize) -> impl Strategy<Value = Vec<Event>> {
    let slot = 0..SLOTS;
    let kind = 0..KINDS.len();
    let event = prop_oneof![
        6 => (slot.clone(), kind.clone(), 0u8..3, any::<u8>())
            .prop_map(|(s, k, name, value)| Event::Put(s, k, name, value)),
        2 => (slot.clone(), kind, 0u8..3).prop_map(|(s, k, name)| Event::Remove(s, k, name)),
        1 => slot.clone().prop_map(Event::Restart),
        1 => (slot, 1u64..3_000).prop_map(|(s, seconds)| Event::Pause(s, seconds)),
        1 => (0usize..3, 0usize..3, 1u64..4_000).prop_map(|(a, b, s)| Event::Partition(a, b, s)),
        4 => (1u64..20).prop_map(Event::Wait),
        1 => (60u64..2_000).prop_map(Event::Wait),
    ];
    prop::collection::vec(event, 1..max)
}

fn apply(fleet: &mut Fleet, event: &Event) {
    match *event {
        Event::Put(slot, kind, name, value) => {
            fleet.put(slot, KINDS[kind], &name.to_string(), &[value]);
        }
        Event::Remove(slot, kind, name) => fleet.remove(slot, KINDS[kind], &name.to_string()),
        Event::Restart(slot) => fleet.restart(slot),
        Event::Pause(slot, seconds) => fleet.pause(slot, Duration::from_secs(seconds)),
        Event::Partition(a, b, seconds) => fleet.partition(a, b, Duration::from_secs(seconds)),
        Event::Wait(seconds) => fleet.run(Duration::from_secs(seconds)),
    }
}

proptest! {
    #![proptest_config(testutils::fixed(48))]

    // Daemons die and pause, zones are partitioned for longer than the lane
    // TTL, messages are lost, duplicated and reordered. If rows went back to
    // older values or went missing, users would get a limit or a version that
    // was changed long ago. The fleet checks in each round that no row goes
    // back and that no removed daemon is added again.
    #[test]
    fn replicas_converge_once_the_network_is_healthy(
        events in events(60),
        faults in 0u32..30,
        delay in 1u64..6_000,
        seed in any::<u64>(),
    ) {
        let mut fleet = Fleet::new(SLOTS, seed);
        fleet.faults = faults;
        fleet.delay = delay;
        for event in &events {
            apply(&mut fleet, event);
        }
        // Past the end of the last partition and pause.
        fleet.run(Duration::from_secs(4_000));
        fleet.faults = 0;
        fleet.delay = 50;
        fleet.run(SETTLE);
        prop_assert_eq!(fleet.difference(), None);
    }
}

// Daemons are replaced all day, some thousands in one run here. If each left a
// trace, every daemon would grow until it runs out of memory after some weeks.
#[test]
fn memory_stays_bounded_under_thousands_of_replacements() {
    let mut fleet = Fleet::new(SLOTS, 1);
    let write = |fleet: &mut Fleet, slot: usize| {
        for kind in KINDS {
            fleet.put(slot, kind, "row", &[7; 100]);
            fleet.put(slot, kind, "removed", &[7; 100]);
            fleet.remove(slot, kind, "removed");
        }
    };
    let mut peak = [0, 0];
    for half in &mut peak {
        for round in 0..1_500 {
            let slot = round % SLOTS;
            fleet.restart(slot);
            write(&mut fleet, slot);
            fleet.run(Duration::from_secs(20));
            let memory = fleet.slots.iter().map(|s| s.replica.memory()).max();
            *half = memory.unwrap_or(0).max(*half);
        }
    }
    assert_eq!(fleet.departed.len(), 3_000);
    assert!(peak[1] <= peak[0] + peak[0] / 20, "memory grew: {peak:?}");
    let held = fleet.slots.iter().map(|s| s.replica.known().count()).max();
    // One replacement every 20 s, each held for the lane TTL at most, plus the
    // running daemons.
    let bound = LANE_TTL.as_secs() as usize / 20 + 2 * SLOTS;
    assert!(
        held.unwrap_or(0) <= bound,
        "{held:?} daemons are held, more than {bound}"
    );
}

// A region is partitioned for an hour, three times the lane TTL, while its
// daemons keep working. Both sides remove each other. If that were final, the
// region would stay out of limits and version moves until all of it is
// restarted.
#[test]
fn a_region_partitioned_for_longer_than_the_lane_ttl_rejoins_without_a_restart() {
    let mut fleet = Fleet::new(SLOTS, 2);
    for slot in 0..SLOTS {
        fleet.put(slot, ORDINARY, "v1", &[1]);
    }
    fleet.run(SETTLE);
    assert_eq!(fleet.difference(), None);
    let before: Vec<Incarnation> = incarnations(&fleet);
    fleet.partition(0, 2, Duration::from_hours(1));
    fleet.partition(1, 2, Duration::from_hours(1));
    fleet.run(Duration::from_mins(30));
    let known = fleet.slots[0].replica.known().count();
    assert_eq!(known, 6, "the other region is removed during the partition");
    fleet.run(Duration::from_mins(30) + SETTLE);
    assert_eq!(fleet.difference(), None);
    assert_eq!(incarnations(&fleet), before);
}

fn incarnations(fleet: &Fleet) -> Vec<Incarnation> {
    let slots = fleet.slots.iter();
    slots.map(|s| s.replica.me().incarnation).collect()
}

// A daemon is paused for an hour by its host and then continues with what it
// knew of others, some of which died meanwhile. If it passed that on, the dead
// daemons would look alive to the whole fleet.
#[test]
fn a_daemon_paused_for_longer_than_the_lane_ttl_restores_no_departed_daemon() {
    let mut fleet = Fleet::new(SLOTS, 3);
    fleet.put(1, ORDINARY, "v1", &[1]);
    fleet.run(SETTLE);
    fleet.pause(0, Duration::from_hours(1));
    fleet.restart(1);
    fleet.run(Duration::from_mins(61));
    fleet.run(SETTLE);
    assert_eq!(fleet.difference(), None);
    let known = fleet.slots.iter().map(|s| s.replica.known().count());
    assert!(known.into_iter().all(|k| k == SLOTS));
}

// The host of an endpoint is reclaimed within seconds. Requests are sent there
// until a daemon learns of it, so the row reaches the zone in one hop, without
// waiting for a round.
#[test]
fn an_urgent_row_reaches_its_zone_and_other_zones_at_once() {
    let mut fleet = Fleet::new(SLOTS, 4);
    fleet.run(SETTLE);
    fleet.put(0, Kind::ENDPOINT, "e1", b"leaving");
    fleet.put(0, Kind::VERDICT, "v2", b"bad");
    fleet.run(Duration::from_millis(200));
    assert_eq!(fleet.difference(), None);
}

#[test]
fn a_daemon_that_advertises_its_shutdown_is_not_live() {
    let mut fleet = Fleet::new(SLOTS, 5);
    fleet.run(SETTLE);
    fleet.put(4, Kind::LEAVING, "", b"");
    fleet.run(Duration::from_millis(200));
    let leaving = fleet.slots[4].replica.me().incarnation;
    for slot in &fleet.slots {
        let mut live = slot.replica.live(fleet.now);
        assert!(live.all(|p| p.incarnation != leaving));
    }
}

/// Two replicas in one zone, and the time.
fn pair() -> (Replica, Replica, Instant) {
    let now = Instant::now();
    let a = Replica::new(setup(0, 10, 2), now);
    let b = Replica::new(setup(1, 20, 2), now);
    (a, b, now)
}

/// One exchange that `a` starts; returns the changes at `a`.
fn exchange(a: &mut Replica, b: &mut Replica, now: Instant) -> Vec<Change> {
    let answer = b.answer(now, &a.digest(now, None)).expect("valid message");
    let changes = merge(a, now, delta(&answer)).expect("in time");
    if let Some(wants) = answer.wants {
        let back = a.answer(now, &wants).expect("valid message");
        merge(b, now, delta(&back)).expect("in time");
    }
    changes
}

fn merge(a: &mut Replica, now: Instant, delta: Delta) -> Result<Vec<Change>, GossipError> {
    let mut changes = Vec::new();
    a.merge(now, delta, &mut changes)?;
    Ok(changes)
}

fn delta(answer: &Answer) -> Delta {
    answer.delta.clone().expect("an answer has a delta")
}

#[test]
fn a_delta_contains_only_newer_rows() {
    let (mut a, mut b, now) = pair();
    for name in ["x", "y", "z"] {
        a.put(now, ORDINARY, name, b"1").expect("within limits");
    }
    exchange(&mut a, &mut b, now);
    let unchanged = a
        .answer(now, &b.digest(now, Some(a.me())))
        .expect("valid message");
    assert!(delta(&unchanged).lanes.is_empty());
    for value in [b"2", b"3", b"4"] {
        a.put(now, ORDINARY, "y", value).expect("within limits");
    }
    let changed = a
        .answer(now, &b.digest(now, Some(a.me())))
        .expect("valid message");
    let rows: Vec<_> = delta(&changed)
        .lanes
        .into_iter()
        .flat_map(|l| l.rows)
        .collect();
    assert_eq!(rows.len(), 1);
    assert_eq!(rows[0].value, b"4");
}

// The network delays an answer for longer than the limit. Its times can't be
// trusted then: a daemon that died long ago would look alive for a while.
#[test]
fn a_late_answer_is_rejected_and_changes_nothing() {
    let (mut a, mut b, now) = pair();
    b.put(now, ORDINARY, "x", b"1").expect("within limits");
    let answer = b.answer(now, &a.digest(now, None)).expect("valid message");
    let late = now + EXCHANGE_TIMEOUT + Duration::from_millis(1);
    assert_eq!(merge(&mut a, late, delta(&answer)), Err(GossipError::Late));
    assert_eq!(GossipError::Late.code(), Code::LateExchange);
    assert_eq!(a.known().count(), 1);
}

// A daemon that was removed here is still held by a peer that received a
// slightly newer heartbeat. If it were added again, the two would pass it back
// and forth forever, and an operator would count a daemon that departed long
// ago.
#[test]
fn a_lane_without_recent_heartbeats_is_not_added() {
    let (mut a, mut b, now) = pair();
    exchange(&mut a, &mut b, now);
    let mut c = Replica::new(setup(2, 30, 3), now);
    let then = now + MIN_LANE_TTL + Duration::from_secs(1);
    c.advance(then);
    b.advance(then);
    exchange(&mut c, &mut b, then);
    let known: Vec<_> = c.known().map(|p| p.incarnation).collect();
    assert_eq!(known, [20, 30]);
    // It is not added either if a peer sends it all the same.
    let mut d = Replica::new(setup(2, 40, 3), now);
    let answer = a.answer(now, &d.digest(now, None)).expect("valid message");
    let mut old = delta(&answer);
    for lane in &mut old.lanes {
        lane.left_ms = MIN_LANE_TTL.as_millis() as u64 - 1;
    }
    assert_eq!(merge(&mut d, now, old), Ok(Vec::new()));
}

// A faulty daemon writes without bound. Its own writes are rejected with a
// numbered code before they use memory of every other daemon.
#[test]
fn rows_over_the_limits_are_rejected() {
    let (mut a, _, now) = pair();
    let large = a.put(now, ORDINARY, "x", &[0; MAX_VALUE_BYTES + 1]);
    assert_eq!(large.map_err(GossipError::code), Err(Code::LargeRow));
    let name = "n".repeat(129);
    let long = a.put(now, ORDINARY, &name, b"");
    assert_eq!(long.map_err(GossipError::code), Err(Code::LargeRow));
    for i in 0..MAX_LANE_ROWS {
        let put = a.put(now, ORDINARY, &i.to_string(), b"");
        put.expect("within limits");
    }
    let many = a.put(now, ORDINARY, "one more", b"");
    assert_eq!(many.map_err(GossipError::code), Err(Code::ManyRows));
    a.put(now, ORDINARY, "0", b"new")
        .expect("a replaced row takes no room");
}

#[test]
fn a_peer_that_sends_rows_over_the_limits_changes_nothing() {
    let (mut a, mut b, now) = pair();
    b.put(now, ORDINARY, "x", b"1").expect("within limits");
    let answer = b.answer(now, &a.digest(now, None)).expect("valid message");
    let mut bad = delta(&answer);
    for lane in &mut bad.lanes {
        for row in &mut lane.rows {
            row.value = vec![0; MAX_VALUE_BYTES + 1];
        }
    }
    bad.lanes.retain(|l| !l.rows.is_empty());
    let rejected = merge(&mut a, now, bad);
    assert_eq!(rejected.map_err(GossipError::code), Err(Code::LargeRow));
    assert_eq!(a.known().count(), 1);
}

#[test]
fn a_state_larger_than_one_delta_is_sent_over_several_exchanges() {
    let now = Instant::now();
    let mut small = setup(0, 10, 2);
    small.delta_bytes = 6_000;
    let mut a = Replica::new(small, now);
    let mut b = Replica::new(setup(6, 20, 7), now);
    for name in ["u", "v", "w", "x"] {
        a.put(now, ORDINARY, name, &[9; 3_000])
            .expect("within limits");
    }
    for exchanges in 1.. {
        assert!(
            exchanges < 10,
            "the state was not complete after 10 exchanges"
        );
        let answer = a.answer(now, &b.digest(now, None)).expect("valid message");
        assert!(delta(&answer).encoded_len() <= 6_100);
        merge(&mut b, now, delta(&answer)).expect("in time");
        if b.rows(ORDINARY).count() == 4 {
            assert!(exchanges > 1);
            break;
        }
        assert_eq!(
            b.live(now).count(),
            1,
            "a partial lane must not count as a heartbeat"
        );
    }
}

#[test]
fn a_daemon_that_knows_no_peer_calls_a_seed() {
    let (a, b, now) = pair();
    let calls = a.round(now, &mut fastrand::Rng::with_seed(6));
    assert_eq!(calls.len(), 1);
    assert_eq!(calls[0].to, b.me().address);
    assert!(matches!(calls[0].message, Message::Exchange(_)));
}

// Between its digest and the answer, a daemon removes the lane that the digest
// lists. The answer contains only what is newer than the digest; if it were
// taken for the whole lane, rows would be missing for good, and limits would be
// divided by wrong demands.
#[test]
fn a_delta_that_would_leave_a_gap_is_ignored() {
    let (mut a, mut b, now) = pair();
    a.put(now, ORDINARY, "x", b"1").expect("within limits");
    exchange(&mut a, &mut b, now);
    let before = now + LANE_TTL.saturating_sub(Duration::from_secs(1));
    let digest = b.digest(before, Some(a.me()));
    a.advance(before);
    a.put(before, ORDINARY, "y", b"1").expect("within limits");
    let answer = a.answer(before, &digest).expect("valid message");
    let after = now + LANE_TTL + Duration::from_secs(1);
    assert_eq!(b.advance(after), [Change::Departed(10)]);
    assert_eq!(merge(&mut b, after, delta(&answer)), Ok(Vec::new()));
    assert_eq!(b.known().count(), 1);
}

// The network delays an urgent row until the row was removed long ago and its
// tombstone has expired. If the row were applied then, an endpoint that came
// back would count as draining.
#[test]
fn a_push_that_arrives_after_its_row_was_removed_is_ignored() {
    let (mut a, mut b, now) = pair();
    exchange(&mut a, &mut b, now);
    let pushes = a
        .put(now, Kind::ENDPOINT, "e1", b"leaving")
        .expect("within limits");
    let Message::Push(push) = pushes[0].message.clone() else {
        panic!("an urgent row must be pushed");
    };
    a.remove(now, Kind::ENDPOINT, "e1").expect("within limits");
    for minutes in 0..35 {
        let then = now + Duration::from_mins(minutes);
        a.advance(then);
        b.advance(then);
        exchange(&mut a, &mut b, then);
    }
    let late = now + Duration::from_mins(35);
    let mut changes = Vec::new();
    let calls = b.receive(late, push, &mut changes).expect("valid message");
    assert!(changes.is_empty() && calls.is_empty());
    assert_eq!(b.rows(Kind::ENDPOINT).count(), 0);
}

// Two daemons share a tag in a digest, so that an asker that knows one of them
// seems to know the other. If the same two collided in each exchange, a daemon
// would miss one of them, and its demand, for as long as both run.
#[test]
fn origins_that_share_a_tag_are_distinguished_in_the_next_exchange() {
    let now = Instant::now();
    let (x, y) = incarnations_with_same_tag(0);
    let mut asker = Replica::new(setup(0, 1, 3), now);
    let mut first = Replica::new(setup(1, x, 3), now);
    let mut second = Replica::new(setup(2, y, 3), now);
    let later = now + Duration::from_millis(1);
    exchange(&mut second, &mut first, later);
    assert_eq!(first.known().count(), 2);
    let mut alone = Replica::new(setup(1, x, 3), now);
    exchange(&mut asker, &mut alone, now);
    exchange(&mut asker, &mut first, now);
    assert_eq!(
        asker.known().count(),
        2,
        "one hides the other in the first exchange"
    );
    exchange(&mut asker, &mut first, later);
    assert_eq!(asker.known().count(), 3);
}

/// Two incarnations whose tags are equal under a salt.
fn incarnations_with_same_tag(salt: u64) -> (Incarnation, Incarnation) {
    let mut tags = std::collections::BTreeMap::new();
    for id in 2u64.. {
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&id.to_le_bytes(), salt);
        if let Some(other) = tags.insert(hash & 0xff_ffff, id) {
            return (other, id);
        }
    }
    unreachable!("the number of tags is finite")
}

// A daemon is paused while another one removes a row, and for so long that the
// tombstone expires everywhere. The first thing that happens after the pause is
// an exchange. If its outdated lane were updated and not removed, it would keep
// the row: an endpoint would count as draining for good.
#[test]
fn a_daemon_paused_during_a_removal_does_not_keep_the_row() {
    let (mut a, mut b, now) = pair();
    a.put(now, ORDINARY, "x", b"1").expect("within limits");
    exchange(&mut a, &mut b, now);
    assert_eq!(b.rows(ORDINARY).count(), 1);
    b.put(now, ORDINARY, "own", b"1").expect("within limits");
    let own = b.sequences().pop();
    let removed = now + Duration::from_mins(1);
    a.remove(removed, ORDINARY, "x").expect("within limits");
    let later = removed + Duration::from_hours(1);
    a.advance(later);
    exchange(&mut a, &mut b, later);
    let known: Vec<_> = b.known().map(|p| p.incarnation).collect();
    assert_eq!(known, [10, 20]);
    assert_eq!(b.sequences(), own.into_iter().collect::<Vec<_>>());
}

// Two daemons of a zone are partitioned for some minutes; there is no seed and
// no third zone through which they could learn of each other. If neither called
// the other any more, the zone would stay split after the partition, and each
// part would grant customers their whole rate.
#[test]
fn an_unresponsive_peer_is_still_called_sometimes() {
    let now = Instant::now();
    let mut replicas = [10, 20, 30].map(|id| Replica::new(setup(id / 10 - 1, id as u64, 0), now));
    let [a, b, c] = &mut replicas;
    exchange(a, b, now);
    let then = now + Duration::from_mins(5);
    a.advance(then);
    c.advance(then);
    exchange(a, c, then);
    let live: Vec<_> = a.live(then).map(|p| p.incarnation).collect();
    assert_eq!(live, [10, 30]);
    let mut rng = fastrand::Rng::with_seed(7);
    let calls = (0..100).flat_map(|_| a.round(then, &mut rng));
    let (unresponsive, live): (Vec<_>, Vec<_>) = calls.partition(|call| call.to == b.me().address);
    assert!(!unresponsive.is_empty() && unresponsive.len() < live.len());
}

// A daemon writes rows with ever new names and removes each. If the tombstones
// of removed rows were kept for good, its lane would be full after some hours,
// and no further row of it, such as the demand of a customer, would reach the
// others.
#[test]
fn tombstones_of_removed_rows_expire() {
    let (mut a, mut b, now) = pair();
    let mut peak = [0, 0];
    for minutes in 0..1_000 {
        let then = now + Duration::from_mins(minutes);
        a.advance(then);
        b.advance(then);
        let name = format!("{minutes:04}");
        a.put(then, Kind::DEMAND, &name, b"1")
            .expect("within limits");
        exchange(&mut a, &mut b, then);
        a.remove(then, Kind::DEMAND, &name).expect("within limits");
        exchange(&mut a, &mut b, then);
        let half = &mut peak[usize::from(minutes >= 500)];
        *half = b.memory().max(*half);
    }
    assert_eq!(peak[0], peak[1]);
    assert_eq!(b.rows(Kind::DEMAND).count(), 0);
}
