//! Edits of the lists and how they come into force, in virtual time.

use std::time::Duration;

use poplarvale_lib::config::{
    Changes, Difference, HEAD_KEY, Peer, Proposal, Verdict, WATCHERS_PER_ZONE, watchers,
};
use poplarvale_lib::protos::platform::Head;
use poplarvale_lib::{Customer, Lists, Plan, Revision};
use proptest::prelude::*;
use prost::Message as _;
use testutils::platform::fleet::Fleet;

/// Time in which a change has to be in force everywhere at the planned fleet
/// size.
const IN_FORCE: Duration = Duration::from_secs(17);
/// Shorter than the time after which daemons that receive nothing would query
/// for themselves.
const SOON: Duration = Duration::from_secs(10);

fn plan(id: &str, priority: u8) -> Plan {
    Plan {
        id: id.into(),
        priority,
        requests: 10.0,
        tokens: 1_000.0,
        running: 4,
        services: vec!["bookings".into()],
        models: Vec::new(),
    }
}

fn lists(customers: &[(&str, &str)], priority: u8) -> Lists {
    let customer = |(id, plan): &(&str, &str)| Customer {
        id: (*id).into(),
        plan: (*plan).into(),
        digests: Vec::new(),
    };
    Lists {
        customers: customers.iter().map(customer).collect(),
        plans: vec![plan("large", priority), plan("small", 0)],
    }
}

fn edit(id: &str, base: Revision, lists: Lists) -> Proposal {
    let id = id.into();
    Proposal { id, base, lists }
}

fn started_fleet(daemons: usize, zones: usize) -> Fleet {
    let mut fleet = Fleet::new(daemons, zones, 1);
    fleet.run(Duration::from_secs(3));
    fleet.edit(0, edit("first", 0, lists(&[("a", "large")], 1)));
    fleet.run(Duration::from_secs(15));
    assert!(fleet.is_settled() && fleet.head() == 1);
    fleet
}

fn verdict<'a>(fleet: &'a Fleet, id: &str) -> &'a Verdict {
    &fleet
        .verdicts
        .iter()
        .find(|(edit, _)| edit == id)
        .unwrap()
        .1
}

#[test]
fn an_edit_comes_into_force_everywhere() {
    let mut fleet = started_fleet(8, 4);
    let base = fleet.head();
    fleet.edit(3, edit("second", base, lists(&[("a", "small")], 1)));
    fleet.run(Duration::from_secs(1));
    assert!(fleet.settle(IN_FORCE).is_some());
    assert_eq!(*verdict(&fleet, "second"), Verdict::Accepted(fleet.head()));
    for daemon in &fleet.daemons {
        let customers = &daemon.keeper.accepted().lists.customers;
        assert_eq!(customers[0].plan, "small");
    }
}

/// Two operators edit the same lists at once. The second would undo the first
/// unnoticed; instead, the second operator is shown what the first one changed.
#[test]
fn the_second_of_two_concurrent_edits_is_shown_what_the_first_changed() {
    let mut fleet = started_fleet(8, 4);
    let base = fleet.head();
    let first = lists(&[("a", "small"), ("b", "small")], 2);
    fleet.edit(1, edit("one", base, first));
    fleet.run(Duration::from_secs(5));
    fleet.edit(2, edit("two", base, lists(&[], 1)));
    fleet.run(Duration::from_secs(5));
    let Verdict::Conflict { difference, .. } = verdict(&fleet, "two") else {
        panic!("{:?}", verdict(&fleet, "two"));
    };
    let difference = difference.as_ref().unwrap();
    assert_eq!(difference.customers.added, ["b"]);
    assert_eq!(difference.customers.changed, ["a"]);
    assert_eq!(difference.plans.changed, ["large"]);
}

/// The service does the write and its answer is lost. The operator would get a
/// failure while the edit is in force; looking up the edit's id gives the true
/// outcome.
#[test]
fn the_outcome_of_a_write_with_a_lost_answer_is_read_back() {
    let mut fleet = started_fleet(8, 4);
    let base = fleet.head();
    fleet.store.faults.lose = 1;
    fleet.edit(0, edit("lost", base, lists(&[], 1)));
    fleet.run(Duration::from_secs(3));
    assert_eq!(*verdict(&fleet, "lost"), Verdict::Accepted(base + 1));
}

/// The write takes effect, its answer is lost, and the service fails before the
/// outcome can be read back. To report that nothing was done would be wrong;
/// the operator is told that the outcome is unknown.
#[test]
fn a_lost_answer_before_an_outage_is_reported_as_unknown() {
    let mut fleet = started_fleet(8, 4);
    let base = fleet.head();
    fleet.store.faults.lose = 1;
    fleet.edit(0, edit("lost", base, lists(&[], 1)));
    while fleet.head() == base {
        fleet.run(Duration::from_millis(50));
    }
    fleet.store.faults.down = true;
    fleet.run(Duration::from_secs(20));
    assert_eq!(*verdict(&fleet, "lost"), Verdict::Unknown);
}

/// The operator's call breaks, and the same edit is sent again through another
/// daemon after a third edit was accepted. Treated as a new edit it would be
/// rejected, and the operator would believe that it never came into force.
#[test]
fn a_retried_edit_gets_its_first_outcome() {
    let mut fleet = started_fleet(8, 4);
    let base = fleet.head();
    let one = edit("one", base, lists(&[], 1));
    fleet.edit(0, one.clone());
    fleet.run(Duration::from_secs(3));
    fleet.edit(1, edit("two", base + 1, lists(&[], 2)));
    fleet.run(Duration::from_secs(3));
    fleet.verdicts.clear();
    fleet.edit(5, one);
    fleet.run(Duration::from_secs(3));
    assert_eq!(*verdict(&fleet, "one"), Verdict::Accepted(base + 1));
}

/// A customer is left on a plan that was removed. If that were accepted, its
/// requests would have no limits, or none would be admitted.
#[test]
fn invalid_lists_are_rejected_without_a_call_to_the_service() {
    let mut fleet = started_fleet(8, 4);
    let writes = fleet.store.counts.writes;
    fleet.edit(0, edit("wrong", fleet.head(), lists(&[("a", "gone")], 1)));
    fleet.run(Duration::from_secs(1));
    assert!(matches!(verdict(&fleet, "wrong"), Verdict::Invalid(_)));
    assert_eq!(fleet.store.counts.writes, writes);
}

/// The service is down while an operator edits. As no write was sent, the
/// operator is told that nothing was done, and may give up or send the edit
/// again.
#[test]
fn an_edit_during_an_outage_is_reported_as_not_accepted() {
    let mut fleet = started_fleet(8, 4);
    fleet.store.faults.down = true;
    fleet.edit(0, edit("out", fleet.head(), lists(&[], 1)));
    fleet.run(Duration::from_secs(20));
    assert_eq!(*verdict(&fleet, "out"), Verdict::NotDone);
}

/// The service loses its watches without breaking them, so no daemon receives
/// the next edit. Customers would stay on old plans until the next restart.
#[test]
fn a_lost_watch_delays_a_change_by_seconds_only() {
    let mut fleet = started_fleet(40, 4);
    fleet.forget_watches();
    fleet.edit(0, edit("second", fleet.head(), lists(&[], 1)));
    fleet.run(Duration::from_secs(1));
    assert!(fleet.settle(SOON).is_some());
}

/// A daemon starts while the service is down, and can only ask its peers.
#[test]
fn a_daemon_starts_from_its_peers_while_the_service_is_out() {
    let mut fleet = started_fleet(8, 4);
    fleet.store.faults.down = true;
    fleet.restart(3);
    assert_eq!(fleet.daemons[3].keeper.accepted().revision, 0);
    assert!(fleet.settle(Duration::from_secs(5)).is_some());
}

/// A daemon starts partitioned from the service and from all daemons that have
/// lists. It must not serve with guessed limits.
#[test]
fn a_daemon_that_reaches_neither_service_nor_peers_has_no_lists() {
    let mut fleet = started_fleet(4, 4);
    fleet.cuts[2].peers = true;
    fleet.cuts[2].store = true;
    fleet.restart(2);
    fleet.run(Duration::from_secs(30));
    assert!(fleet.daemons[2].keeper.is_starting());
    assert_eq!(fleet.daemons[2].keeper.accepted().revision, 0);
}

/// After a long outage the proof of every daemon is old at once. If all daemons
/// queried the service at that moment, it would go down again.
#[test]
fn a_stale_fleet_reads_from_the_service_at_the_limited_rate() {
    let mut fleet = started_fleet(100, 4);
    fleet.store.faults.down = true;
    fleet.run(Duration::from_mins(1));
    let before = fleet.store.counts.total();
    fleet.run(Duration::from_secs(10));
    let rate = (fleet.store.counts.total() - before) as f64 / 10.0;
    // Two watchers in each zone read every few seconds and reopen their watch.
    let watching = 4.0 * WATCHERS_PER_ZONE as f64 * (1.0 / 3.0 + 1.0);
    let asking = poplarvale_lib::config::FLEET_READS_PER_S;
    assert!(rate <= watching + asking, "{rate} calls a second");
}

/// The rates that the service sustains grow more slowly than the fleet. If each
/// daemon verified its lists at the service itself, a larger fleet would
/// overload the service.
#[test]
fn the_calls_of_a_healthy_fleet_do_not_grow_with_it() {
    let idle = |daemons| {
        let mut fleet = started_fleet(daemons, 4);
        fleet.run(Duration::from_secs(20));
        let before = fleet.store.counts.total();
        fleet.run(Duration::from_secs(30));
        fleet.store.counts.total() - before
    };
    let (small, large) = (idle(20), idle(200));
    assert!(large <= small + 8, "{small} calls grew to {large}");
}

#[test]
fn each_zone_has_two_watchers_that_all_agree_on() {
    let peer = |n: u64| Peer {
        incarnation: n,
        zone: if n.is_multiple_of(2) { "even" } else { "odd" }.into(),
    };
    let mut peers: Vec<_> = (1..40).map(peer).collect();
    let chosen = watchers("odd", &peers);
    assert_eq!(chosen.len(), WATCHERS_PER_ZONE);
    assert!(chosen.iter().all(|n| n % 2 == 1));
    peers.reverse();
    assert_eq!(watchers("odd", &peers), chosen);
    peers.retain(|p| p.incarnation != chosen[0]);
    assert_eq!(watchers("odd", &peers)[0], chosen[1]);
}

#[derive(Clone, Debug)]
enum Event {
    Edit {
        daemon: usize,
        outdated_base: bool,
        n: u8,
    },
    PartitionPeers(usize, bool),
    PartitionStore(usize, bool),
    Outage(bool),
    LoseAnswers(u32),
    Slow(u64),
    LoseWatches,
    Restart(usize),
    Run(u64),
}

const DAEMONS: usize = 9;
const ZONES: usize = 3;

fn event() -> impl Strategy<Value = Event> {
    let edit = (0..DAEMONS, prop::bool::weighted(0.3), any::<u8>()).prop_map(
        |(daemon, outdated_base, n)| Event::Edit {
            daemon,
            outdated_base,
            n,
        },
    );
    prop_oneof![
        4 => edit,
        2 => (0..ZONES, any::<bool>()).prop_map(|(z, on)| Event::PartitionPeers(z, on)),
        2 => (0..ZONES, any::<bool>()).prop_map(|(z, on)| Event::PartitionStore(z, on)),
        1 => any::<bool>().prop_map(Event::Outage),
        2 => (1..4_u32).prop_map(Event::LoseAnswers),
        1 => prop_oneof![Just(0), Just(700), Just(5_000_u64)].prop_map(Event::Slow),
        1 => Just(Event::LoseWatches),
        2 => (0..DAEMONS).prop_map(Event::Restart),
        4 => (50..6_000_u64).prop_map(Event::Run),
    ]
}

fn apply(fleet: &mut Fleet, at: usize, event: &Event) {
    match *event {
        Event::Edit {
            daemon,
            outdated_base,
            n,
        } => {
            let base = fleet.head().saturating_sub(u64::from(outdated_base));
            let lists = lists(
                &[("a", "small"), ("b", "large")][..usize::from(n % 3)],
                n % 4,
            );
            fleet.edit(daemon, edit(&format!("e{at}"), base, lists));
        }
        Event::PartitionPeers(zone, on) => fleet.cuts[zone].peers = on,
        Event::PartitionStore(zone, on) => fleet.cuts[zone].store = on,
        Event::Outage(on) => fleet.store.faults.down = on,
        Event::LoseAnswers(lose) => fleet.store.faults.lose = lose,
        Event::Slow(ms) => fleet.store.faults.slow_ms = ms,
        Event::LoseWatches => fleet.forget_watches(),
        Event::Restart(daemon) => fleet.restart(daemon),
        Event::Run(ms) => fleet.run(Duration::from_millis(ms)),
    }
}

/// Every edit that the service accepted, in order.
fn accepted_edits(fleet: &Fleet) -> Vec<String> {
    let head = fleet.store.data.get(HEAD_KEY).cloned();
    let head = head.map(|held| Head::decode(held.value).unwrap());
    let recent = head.unwrap_or_default().recent;
    recent.into_iter().map(|passed| passed.edit).collect()
}

proptest! {
    #![proptest_config(testutils::fixed(96))]

    /// Zones are partitioned from one another and from the service; the service
    /// goes down, is slow, loses answers and watches; daemons restart and
    /// operators send concurrent edits. No daemon goes back to older lists (the
    /// fleet checks that in every step), the outcomes that operators got are
    /// true, and once the partitions heal, the accepted lists are in force
    /// everywhere within seconds.
    #[test]
    fn accepted_lists_come_into_force_and_never_revert(
        events in prop::collection::vec(event(), 1..30),
        unruly: bool,
        seed: u64,
    ) {
        let mut fleet = Fleet::new(DAEMONS, ZONES, seed);
        fleet.unreliable = unruly;
        fleet.run(Duration::from_secs(2));
        for (at, event) in events.iter().enumerate() {
            apply(&mut fleet, at, event);
        }
        fleet.heal();
        // Edits in progress end first, as they may still be accepted.
        fleet.run(Duration::from_secs(11));
        prop_assert!(fleet.settle(IN_FORCE).is_some());
        let accepted = accepted_edits(&fleet);
        for (id, verdict) in &fleet.verdicts {
            match verdict {
                Verdict::Accepted(_) => prop_assert!(accepted.contains(id)),
                Verdict::Unknown => {}
                _ => prop_assert!(!accepted.contains(id), "{} was {:?}", id, verdict),
            }
        }
        let expected = &fleet.daemons[0].keeper.accepted().lists;
        for daemon in &fleet.daemons {
            prop_assert_eq!(&daemon.keeper.accepted().lists, expected);
        }
    }

    #[test]
    fn changes_lead_from_one_state_to_the_other(
        old in prop::collection::btree_map("[a-e]", "(large|small)", 0..5),
        new in prop::collection::btree_map("[a-e]", "(large|small)", 0..5),
        last in prop::collection::btree_map("[a-e]", "(large|small)", 0..5),
    ) {
        let to_lists = |map: &std::collections::BTreeMap<String, String>| {
            let rows: Vec<_> = map.iter().map(|(id, plan)| (id.as_str(), plan.as_str())).collect();
            lists(&rows, 1)
        };
        let (old, new, last) = (to_lists(&old), to_lists(&new), to_lists(&last));
        prop_assert_eq!(Changes::between(&old, &new).apply(&old), new.clone());
        let between = |a, b| Difference::of(a, &Changes::between(a, b));
        let joined = between(&old, &new).then(&between(&new, &last));
        let direct = between(&old, &last);
        prop_assert_eq!(joined.customers.added, direct.customers.added);
        prop_assert_eq!(joined.customers.removed, direct.customers.removed);
    }
}
