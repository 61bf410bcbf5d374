//! Measures the time until an accepted edit of the lists is applied by every daemon, and the
//! calls to the key-value service that this takes, by fleet size.
//!
//! These times are virtual, in steps of 50 ms with gossip once a second, so they are
//! a property of the protocol and not of the machine. The first table measures the cost of
//! an edit for one daemon in real time on the machine that runs the benchmark.

use std::time::{Duration, Instant};

use bytes::Bytes;
use poplarvale_lib::config::{HEAD_KEY, Input, Keeper, Peer, Proposal, Pull, Pulled, Update};
use poplarvale_lib::store::{Snapshot, StoredValue};
use poplarvale_lib::{Accepted, Customer, Lists, Plan};
use testutils::platform::fleet::Fleet;

/// Edits measured for each size.
const EDITS: u64 = 20;
const SEED: u64 = 7;

fn lists(round: u64) -> Lists {
    lists_of(100, round)
}

/// Lists of this many customers with one API key each.
fn lists_of(customers: u64, round: u64) -> Lists {
    let customer = |n: u64| Customer {
        id: format!("c{n}").into(),
        plan: "large".into(),
        digests: vec![format!("{n:064x}").into()],
    };
    let plan = Plan {
        id: "large".into(),
        priority: 1,
        requests: 1.0 + round as f64,
        tokens: 1_000.0,
        running: 4,
        services: Vec::new(),
        models: Vec::new(),
    };
    Lists {
        customers: (0..customers).map(customer).collect(),
        plans: vec![plan],
    }
}

fn proposal(fleet: &Fleet, round: u64) -> Proposal {
    Proposal {
        id: format!("e{round}").into(),
        base: fleet.head(),
        lists: lists(round),
    }
}

/// Makes an edit; returns the time from its acceptance until every daemon has applied it.
fn edit(fleet: &mut Fleet, round: u64) -> Duration {
    let before = fleet.head();
    let proposal = proposal(fleet, round);
    let at = round as usize % fleet.daemons.len();
    fleet.edit(at, proposal);
    while fleet.head() == before {
        fleet.run(Duration::from_millis(50));
    }
    let settled = fleet.settle(Duration::from_mins(2));
    settled.expect("every daemon applies an edit within two minutes")
}

fn rate(fleet: &mut Fleet, time: Duration) -> f64 {
    let before = fleet.store.counts.total();
    fleet.run(time);
    (fleet.store.counts.total() - before) as f64 / time.as_secs_f64()
}

/// Calls without the watchers' periodic reads of the head revision, which also occur without
/// edits.
fn calls_for_edits(fleet: &Fleet) -> u64 {
    let counts = fleet.store.counts;
    counts.total() - counts.reads
}

/// Prints the cost of one edit for a daemon, by the size of the lists.
fn costs() {
    println!(
        "{:>9} {:>12} {:>14} {:>13} {:>12}",
        "customers", "whole bytes", "changes bytes", "adopt us", "answer us"
    );
    for customers in [100, 1_000, 4_096] {
        cost(customers);
    }
}

fn cost(customers: u64) {
    let now = Instant::now();
    let mut keeper = Keeper::new(peer(1), 1);
    keeper.tick(now, Vec::new());
    let lists = lists_of(customers, 0);
    let whole = Accepted { revision: 1, lists };
    keeper.tick(now, vec![pulled(whole)]);
    let glanced = Input::HeadRead {
        sent: now,
        result: Ok(head(1)),
    };
    keeper.tick(now, vec![glanced]);
    let mut elapsed = (Duration::ZERO, Duration::ZERO);
    let mut changes = 0;
    for round in 1..=EDITS {
        let revision = round + 1;
        let lists = lists_of(customers, round);
        let input = pulled(Accepted { revision, lists });
        let before = Instant::now();
        keeper.tick(now, vec![input]);
        elapsed.0 += before.elapsed();
        let before = Instant::now();
        let answer = keeper.answer(now, &Pull { have: round });
        elapsed.1 += before.elapsed();
        changes = size(&answer);
    }
    let whole = size(&keeper.answer(now, &Pull { have: 0 }));
    println!(
        "{customers:>9} {whole:>12} {changes:>14} {:>13.1} {:>12.1}",
        elapsed.0.as_secs_f64() * 1e6 / EDITS as f64,
        elapsed.1.as_secs_f64() * 1e6 / EDITS as f64,
    );
}

fn peer(incarnation: u64) -> Peer {
    let zone = "z0".into();
    Peer { incarnation, zone }
}

fn pulled(accepted: Accepted) -> Input {
    let answer = Pulled {
        revision: accepted.revision,
        age: None,
        update: Update::Whole(accepted),
    };
    Input::Pulled {
        peer: 2,
        answer: Some(answer),
    }
}

/// Answer of the service to a read of the head at this revision.
fn head(revision: u64) -> Snapshot {
    let stored = StoredValue {
        key: HEAD_KEY.into(),
        value: Bytes::new(),
        created: revision,
        changed: revision,
        lease: 0,
    };
    Snapshot {
        revision,
        rows: vec![stored],
    }
}

fn size(answer: &Pulled) -> usize {
    serde_json::to_vec(answer).map_or(0, |text| text.len())
}

fn main() {
    costs();
    println!(
        "{:>7} {:>5} {:>9} {:>9} {:>9} {:>10} {:>9} {:>9} {:>9}",
        "daemons",
        "zones",
        "median s",
        "worst s",
        "forgot s",
        "calls/edit",
        "idle/s",
        "out/s",
        "back/s"
    );
    for (daemons, zones) in [(8, 4), (40, 4), (400, 4), (400, 19)] {
        let mut fleet = Fleet::new(daemons, zones, SEED);
        fleet.run(Duration::from_secs(3));
        edit(&mut fleet, 0);
        fleet.run(Duration::from_secs(20));
        let idle = rate(&mut fleet, Duration::from_secs(30));
        let before = calls_for_edits(&fleet);
        let mut times: Vec<_> = (1..=EDITS).map(|n| edit(&mut fleet, n)).collect();
        times.sort();
        let per_edit = (calls_for_edits(&fleet) - before) as f64 / EDITS as f64;
        fleet.forget_watches();
        let forgotten = edit(&mut fleet, EDITS + 1);
        fleet.store.faults.down = true;
        fleet.run(Duration::from_secs(30));
        let out = rate(&mut fleet, Duration::from_secs(30));
        fleet.store.faults.down = false;
        let back = rate(&mut fleet, Duration::from_secs(10));
        println!(
            "{daemons:>7} {zones:>5} {:>9.2} {:>9.2} {:>9.2} {per_edit:>10.1} {idle:>9.2} {out:>9.2} {back:>9.2}",
            times[times.len() / 2].as_secs_f64(),
            times[times.len() - 1].as_secs_f64(),
            forgotten.as_secs_f64(),
        );
    }
}
