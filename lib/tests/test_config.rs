//! Edits of the lists and how they come into force, on virtual time.

use std::time::Duration;

use poplarvale_lib::config::{
    Changes, Difference, HEAD, Peer, Proposal, Verdict, WATCHERS, watchers,
};
use poplarvale_lib::protos::platform::Head;
use poplarvale_lib::{Customer, Lists, Plan, Revision};
use proptest::prelude::*;
use prost::Message as _;
use testutils::platform::fleet::Fleet;

/// Time in which a change has to be in force everywhere at the letter's size.
const IN_FORCE: Duration = Duration::from_secs(17);
/// Sooner than daemons that hear nothing would ask for themselves.
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

fn started(daemons: usize, zones: usize) -> Fleet {
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
    let mut fleet = started(8, 4);
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
/// unseen; in place of that he is shown what the first changed.
#[test]
fn the_second_of_two_racing_edits_sees_what_the_first_changed() {
    let mut fleet = started(8, 4);
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

/// The service does the write and the answer is lost. The operator would be told
/// of a failure while the edit is in force; reading back its id tells the truth.
#[test]
fn a_lost_answer_is_settled_by_reading_back() {
    let mut fleet = started(8, 4);
    let base = fleet.head();
    fleet.store.faults.lose = 1;
    fleet.edit(0, edit("lost", base, lists(&[], 1)));
    fleet.run(Duration::from_secs(3));
    assert_eq!(*verdict(&fleet, "lost"), Verdict::Accepted(base + 1));
}

/// The write takes effect, its answer is lost, and the service goes out before it
/// can be read back. An operator who is told that nothing was done would be
/// wrong; he is told that it is not known.
#[test]
fn a_lost_answer_before_an_outage_stays_unknown() {
    let mut fleet = started(8, 4);
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

/// The operator's call breaks and he sends the same edit again through another
/// daemon, after a third edit was accepted. Taken for a new edit it would be
/// refused, and he would believe that it never came into force.
#[test]
fn a_repeated_edit_is_told_its_first_verdict() {
    let mut fleet = started(8, 4);
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

/// A customer is left on a plan that was taken out. Accepted, its requests would
/// have no limits, or none would be let in.
#[test]
fn lists_with_mistakes_are_refused_without_a_call() {
    let mut fleet = started(8, 4);
    let writes = fleet.store.counts.writes;
    fleet.edit(0, edit("wrong", fleet.head(), lists(&[("a", "gone")], 1)));
    fleet.run(Duration::from_secs(1));
    assert!(matches!(verdict(&fleet, "wrong"), Verdict::Refused(_)));
    assert_eq!(fleet.store.counts.writes, writes);
}

/// The service is out while an operator edits. Before a write ever left he is
/// told that nothing was done, and may give it up or send it again.
#[test]
fn an_edit_during_an_outage_is_not_done() {
    let mut fleet = started(8, 4);
    fleet.store.faults.down = true;
    fleet.edit(0, edit("out", fleet.head(), lists(&[], 1)));
    fleet.run(Duration::from_secs(20));
    assert_eq!(*verdict(&fleet, "out"), Verdict::NotDone);
}

/// The service forgets its watches and breaks none of them, so nobody is told of
/// the next edit. Customers would stay on old plans until the next restart.
#[test]
fn a_forgotten_watch_delays_a_change_by_seconds_only() {
    let mut fleet = started(40, 4);
    fleet.forget_watches();
    fleet.edit(0, edit("second", fleet.head(), lists(&[], 1)));
    fleet.run(Duration::from_secs(1));
    assert!(fleet.settle(SOON).is_some());
}

/// A daemon starts while the service is out, and can only ask its peers.
#[test]
fn a_daemon_starts_from_its_peers_while_the_service_is_out() {
    let mut fleet = started(8, 4);
    fleet.store.faults.down = true;
    fleet.restart(3);
    assert_eq!(fleet.daemons[3].keeper.accepted().revision, 0);
    assert!(fleet.settle(Duration::from_secs(5)).is_some());
}

/// A daemon starts cut off from the service and from all that have lists. It
/// must not serve on guessed limits.
#[test]
fn a_daemon_that_reaches_nobody_has_no_lists() {
    let mut fleet = started(4, 4);
    fleet.cuts[2].peers = true;
    fleet.cuts[2].store = true;
    fleet.restart(2);
    fleet.run(Duration::from_secs(30));
    assert!(fleet.daemons[2].keeper.is_starting());
    assert_eq!(fleet.daemons[2].keeper.accepted().revision, 0);
}

/// After a long outage every daemon's proof is old at once. Were all to ask the
/// service in that moment, it would go down again.
#[test]
fn a_fleet_that_is_stale_asks_the_service_at_the_stated_rate() {
    let mut fleet = started(100, 4);
    fleet.store.faults.down = true;
    fleet.run(Duration::from_mins(1));
    let before = fleet.store.counts.total();
    fleet.run(Duration::from_secs(10));
    let rate = (fleet.store.counts.total() - before) as f64 / 10.0;
    // Two watchers a zone read every few seconds and ask for their watch anew.
    let watching = 4.0 * WATCHERS as f64 * (1.0 / 3.0 + 1.0);
    let asking = poplarvale_lib::config::ASK_RATE;
    assert!(rate <= watching + asking, "{rate} calls a second");
}

/// The service's rates grow more slowly than the fleet. Were each daemon to make
/// sure of its lists itself, a larger fleet would bring the service down.
#[test]
fn the_calls_of_a_healthy_fleet_do_not_grow_with_it() {
    let idle = |daemons| {
        let mut fleet = started(daemons, 4);
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
    assert_eq!(chosen.len(), WATCHERS);
    assert!(chosen.iter().all(|n| n % 2 == 1));
    peers.reverse();
    assert_eq!(watchers("odd", &peers), chosen);
    peers.retain(|p| p.incarnation != chosen[0]);
    assert_eq!(watchers("odd", &peers)[0], chosen[1]);
}

#[derive(Clone, Debug)]
enum Event {
    Edit { daemon: usize, behind: bool, n: u8 },
    CutPeers(usize, bool),
    CutStore(usize, bool),
    Down(bool),
    Lose(u32),
    Slow(u64),
    Forget,
    Restart(usize),
    Run(u64),
}

const DAEMONS: usize = 9;
const ZONES: usize = 3;

fn event() -> impl Strategy<Value = Event> {
    let edit = (0..DAEMONS, prop::bool::weighted(0.3), any::<u8>())
        .prop_map(|(daemon, behind, n)| Event::Edit { daemon, behind, n });
    prop_oneof![
        4 => edit,
        2 => (0..ZONES, any::<bool>()).prop_map(|(z, on)| Event::CutPeers(z, on)),
        2 => (0..ZONES, any::<bool>()).prop_map(|(z, on)| Event::CutStore(z, on)),
        1 => any::<bool>().prop_map(Event::Down),
        2 => (1..4_u32).prop_map(Event::Lose),
        1 => prop_oneof![Just(0), Just(700), Just(5_000_u64)].prop_map(Event::Slow),
        1 => Just(Event::Forget),
        2 => (0..DAEMONS).prop_map(Event::Restart),
        4 => (50..6_000_u64).prop_map(Event::Run),
    ]
}

fn apply(fleet: &mut Fleet, at: usize, event: &Event) {
    match *event {
        Event::Edit { daemon, behind, n } => {
            let base = fleet.head().saturating_sub(u64::from(behind));
            let lists = lists(
                &[("a", "small"), ("b", "large")][..usize::from(n % 3)],
                n % 4,
            );
            fleet.edit(daemon, edit(&format!("e{at}"), base, lists));
        }
        Event::CutPeers(zone, on) => fleet.cuts[zone].peers = on,
        Event::CutStore(zone, on) => fleet.cuts[zone].store = on,
        Event::Down(on) => fleet.store.faults.down = on,
        Event::Lose(lose) => fleet.store.faults.lose = lose,
        Event::Slow(ms) => fleet.store.faults.slow_ms = ms,
        Event::Forget => fleet.forget_watches(),
        Event::Restart(daemon) => fleet.restart(daemon),
        Event::Run(ms) => fleet.run(Duration::from_millis(ms)),
    }
}

/// Every edit that the service ever took, in order.
fn taken(fleet: &Fleet) -> Vec<String> {
    let head = fleet.store.data.get(HEAD).cloned();
    let head = head.map(|held| Head::decode(held.value).unwrap());
    let recent = head.unwrap_or_default().recent;
    recent.into_iter().map(|passed| passed.edit).collect()
}

proptest! {
    #![proptest_config(testutils::fixed(96))]

    /// Zones are cut off from one another and from the service, the service goes
    /// down, is slow, loses answers and forgets watches, daemons restart and operators
    /// race. No daemon goes back (the fleet checks that at every step), what
    /// operators were told is true, and once the parts are joined again the
    /// accepted lists are in force everywhere within seconds.
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
        // Edits under way end first, as they may still be accepted.
        fleet.run(Duration::from_secs(11));
        prop_assert!(fleet.settle(IN_FORCE).is_some());
        let taken = taken(&fleet);
        for (id, verdict) in &fleet.verdicts {
            match verdict {
                Verdict::Accepted(_) => prop_assert!(taken.contains(id)),
                Verdict::Unknown => {}
                _ => prop_assert!(!taken.contains(id), "{} was {:?}", id, verdict),
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
