//! State that daemons share: allowances, retry budgets, usage counts, the clock and the duty
//! lease.

use std::time::{Duration, Instant};

use poplarvale_lib::relay::budget::Budget;
use poplarvale_lib::relay::catalog::{Team, Unit};
use poplarvale_lib::relay::clock::Clock;
use poplarvale_lib::relay::duty::DutyLease;
use poplarvale_lib::relay::quota::{Coverage, PeerReport, Quota, TeamUse, Tolerance, name_hash};
use poplarvale_lib::relay::request::Origin;
use poplarvale_lib::relay::usage::Usage;
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(8);
/// Time without a report after which a peer counts as unresponsive.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
const NO_TOLERANCE: Tolerance = Tolerance {
    share: 0.0,
    units: 0.0,
};

fn team(rate: f64) -> Team {
    Team {
        name: "club".into(),
        rate: Some(rate),
        burst: rate,
        unit: Unit::Tokens(1.0),
        ..Team::default()
    }
}

/// Report of a daemon that started three windows before.
fn report(name: &str, received: Instant, uses: Vec<TeamUse>) -> PeerReport {
    PeerReport {
        name: name.into(),
        zone: 0,
        incarnation: 1,
        received,
        started: received.checked_sub(WINDOW * 3).unwrap_or(received),
        coverage: Coverage::default(),
        uses,
    }
}

/// Use of the team, evenly spread over the last window.
fn even_use(units: f64, total: u32) -> TeamUse {
    TeamUse {
        team: name_hash("club"),
        units,
        total,
        rate: units / WINDOW.as_secs_f64(),
        demand: units / WINDOW.as_secs_f64(),
    }
}

/// Sends a request every 20 ms for a `span`; returns the times and units of the admitted
/// ones.
fn flood(
    quota: &mut Quota,
    team: &Team,
    from: Instant,
    span: Duration,
    units: f64,
) -> Vec<(Instant, f64)> {
    let mut admitted = Vec::new();
    let mut now = from;
    while now < from + span {
        if quota.admit(team, units, now).is_ok() {
            admitted.push((now, units));
        }
        now += Duration::from_millis(20);
    }
    admitted
}

/// Most units that were admitted in any window.
fn most_in_a_window(admitted: &[(Instant, f64)]) -> f64 {
    let from = |start: &(Instant, f64)| {
        let within = admitted
            .iter()
            .filter(|row| row.0 >= start.0 && row.0 < start.0 + WINDOW);
        within.map(|row| row.1).sum::<f64>()
    };
    admitted.iter().map(from).fold(0.0, f64::max)
}

/// The same for many rows, which have to be sorted by time.
fn most_in_a_window_sorted(admitted: &[(Instant, f64)]) -> f64 {
    let (mut first, mut sum, mut most) = (0, 0.0, 0.0_f64);
    for (at, units) in admitted {
        sum += units;
        while admitted[first].0 + WINDOW <= *at {
            sum -= admitted[first].1;
            first += 1;
        }
        most = most.max(sum);
    }
    most
}

/// One team sends many times its allowance. Windows slide, so the bound holds for any eight
/// seconds; dropping admitted units too early admits more than was bought.
#[test]
fn a_flood_stays_within_the_allowance_in_every_window() {
    let start = Instant::now();
    let team = team(1000.0);
    let mut quota = Quota::new(WINDOW, NO_TOLERANCE, start);
    let admitted = flood(&mut quota, &team, start + WINDOW, WINDOW * 3, 100.0);
    assert!(most_in_a_window(&admitted) <= 9.0 * 1000.0);
    assert!(most_in_a_window(&admitted) >= 0.9 * 9.0 * 1000.0);
}

/// All clients of a team happen to use one daemon. It may grant the whole allowance, as its
/// peers report that they use none.
#[test]
fn a_team_on_one_daemon_has_its_whole_allowance() {
    let start = Instant::now();
    let team = team(1000.0);
    let mut quota = Quota::new(WINDOW, NO_TOLERANCE, start);
    let mut admitted = 0.0;
    for round in 0..WINDOW.as_millis() as u32 / 100 {
        let now = start + WINDOW + Duration::from_millis(100) * round;
        for name in ["b", "c", "d"] {
            quota.merge_report(&report(name, now, Vec::new()), REPORT_TIMEOUT);
        }
        let step = flood(&mut quota, &team, now, Duration::from_millis(100), 50.0);
        admitted += step.iter().map(|row| row.1).sum::<f64>();
    }
    assert!(admitted >= 0.9 * 9.0 * 1000.0, "{admitted}");
}

/// A partition splits the daemons into halves, and the team floods both. Each half must
/// leave the other its share, or the team gets its allowance twice.
#[test]
fn the_halves_of_a_partition_stay_near_the_allowance_together() {
    let start = Instant::now();
    let cut = start + WINDOW;
    let team = team(1000.0);
    let names = ["a", "b", "c", "d"];
    let mut quotas: Vec<Quota> = names
        .iter()
        .map(|_| Quota::new(WINDOW, NO_TOLERANCE, start))
        .collect();
    for (at, quota) in quotas.iter_mut().enumerate() {
        for (other, name) in names.iter().enumerate() {
            if other != at {
                quota.merge_report(
                    &report(name, cut, vec![even_use(1000.0, 1000)]),
                    REPORT_TIMEOUT,
                );
            }
        }
    }
    let mut admitted = Vec::new();
    let mut now = cut + REPORT_TIMEOUT * 2;
    while now < cut + REPORT_TIMEOUT * 2 + WINDOW {
        for at in 0..4 {
            if quotas[at].admit(&team, 50.0, now).is_ok() {
                admitted.push((now, 50.0));
            }
            let peer = at ^ 1;
            let uses = quotas[at].team_uses(now);
            quotas[peer].merge_report(&report(names[at], now, uses), REPORT_TIMEOUT);
        }
        now += Duration::from_millis(20);
    }
    assert!(most_in_a_window(&admitted) <= 1.35 * 9.0 * 1000.0);
}

/// A third of the hosts are isolated, each from all others, and a team floods all of them.
/// Each of them must keep to an even share: a quarter of the allowance at each of many
/// isolated daemons would be many times the allowance.
#[test]
fn isolated_daemons_keep_to_an_even_share() {
    let start = Instant::now();
    let cut = start + WINDOW;
    let team = team(8000.0);
    let mut isolated = Quota::new(WINDOW, NO_TOLERANCE, start);
    for other in 1..24 {
        let name = format!("d{other:02}");
        isolated.merge_report(&report(&name, cut, Vec::new()), REPORT_TIMEOUT);
    }
    let admitted = flood(
        &mut isolated,
        &team,
        cut + REPORT_TIMEOUT * 2,
        WINDOW,
        100.0,
    );
    let even = 9.0 * 8000.0 / 24.0;
    assert!(
        most_in_a_window(&admitted) <= even,
        "{}",
        most_in_a_window(&admitted)
    );
    assert!(most_in_a_window(&admitted) >= even * 0.3);
}

/// A team floods many daemons at once, which exchange digests only every 0.6 s. What all
/// of them admit between two digests must stay within the bound of the window.
#[test]
fn a_flood_over_many_daemons_stays_within_the_allowance() {
    const DAEMONS: usize = 24;
    let period = Duration::from_millis(600);
    let start = Instant::now();
    let team = team(24_000.0);
    let mut quotas: Vec<Quota> = (0..DAEMONS)
        .map(|_| Quota::new(WINDOW, NO_TOLERANCE, start))
        .collect();
    let step = Duration::from_millis(25);
    let mut admitted = Vec::new();
    for round in 0..1000_usize {
        let now = start + step * round as u32;
        for from in 0..DAEMONS {
            if round % DAEMONS == from {
                let uses = quotas[from].team_uses(now);
                let name = format!("d{from:02}");
                for to in (0..DAEMONS).filter(|to| *to != from) {
                    quotas[to].merge_report(&report(&name, now, uses.clone()), period * 4);
                }
            }
            // Nine seconds of ordinary traffic, then a flood of five times the rate.
            let units = if now < start + Duration::from_secs(9) {
                14.0
            } else {
                125.0
            };
            if quotas[from].admit(&team, units, now).is_ok() {
                admitted.push((now, units));
            }
        }
    }
    let most = most_in_a_window(&admitted) / (9.0 * 24_000.0);
    assert!(most <= 1.05, "{most} of the allowance");
    assert!(most >= 0.85, "{most} of the allowance");
}

/// A team starts to flood all daemons of a large fleet, and half a second later a third of
/// them is isolated, each from all others. Neither those nor the rest know what the others
/// admit from then on, and together they must stay near the allowance.
#[test]
fn a_flood_during_a_partition_stays_near_the_allowance() {
    const DAEMONS: usize = 78;
    const ISOLATED: usize = 27;
    let period = Duration::from_millis(620);
    let start = Instant::now();
    let flood = start + Duration::from_secs(14);
    let cut = flood + Duration::from_millis(500);
    let healed = cut + Duration::from_secs(12);
    let team = team(78_000.0);
    let mut quotas: Vec<Quota> = (0..DAEMONS)
        .map(|_| Quota::new(WINDOW, NO_TOLERANCE, start))
        .collect();
    let step = period / DAEMONS as u32;
    let names: Vec<String> = (0..DAEMONS).map(|at| format!("d{at:02}")).collect();
    let mut admitted = Vec::new();
    for round in 0..4000_usize {
        let now = start + step * round as u32;
        let is_isolated = |at: usize| at < ISOLATED && now >= cut && now < healed;
        let from = round % DAEMONS;
        if !is_isolated(from) {
            let uses = quotas[from].team_uses(now);
            for to in (0..DAEMONS).filter(|to| *to != from && !is_isolated(*to)) {
                quotas[to].merge_report(&report(&names[from], now, uses.clone()), period * 4);
            }
        }
        for (at, quota) in quotas.iter_mut().enumerate() {
            // Ordinary traffic is 0.55 of the rate, the flood six times that.
            let every = if now < flood { 302 } else { 50 };
            if (round + at * 37) % every == 0 && quota.admit(&team, 1300.0, now).is_ok() {
                admitted.push((now, 1300.0));
            }
        }
    }
    let most = most_in_a_window_sorted(&admitted) / (9.0 * 78_000.0);
    assert!(most <= 1.05, "{most} of the allowance");
    assert!(most >= 0.8, "{most} of the allowance");
    // The flood is admitted evenly, not in bursts with nothing between them.
    let rate = |from: u32| {
        let from = flood + Duration::from_secs(u64::from(from));
        let within = |row: &&(Instant, f64)| row.0 >= from && row.0 < from + WINDOW / 4;
        admitted.iter().filter(within).map(|row| row.1).sum::<f64>() / (2.0 * 78_000.0)
    };
    let rates: Vec<f64> = (3..11).map(rate).collect();
    assert!(
        rates.iter().all(|rate| (0.25..1.7).contains(rate)),
        "{rates:?}"
    );
}

/// Most units of a flooding team in any window, in parts of what the rule allows, while `isolated`
/// of the daemons are cut off, each from all others, for longer than a window.
fn flood_with_isolated(daemons: usize, isolated: usize, lead: Duration, flood: f64) -> f64 {
    const PERIOD: Duration = Duration::from_millis(250);
    const RATE: f64 = 242_000.0;
    const UNITS: f64 = 2700.0;
    const STEP: Duration = Duration::from_millis(5);
    let tolerance = Tolerance {
        share: 0.1,
        units: 140_000.0,
    };
    let start = Instant::now();
    let flood_at = start + Duration::from_secs(14);
    let cut = flood_at + lead;
    let healed = cut + Duration::from_secs(12);
    let team = team(RATE);
    let mut quotas: Vec<Quota> = (0..daemons)
        .map(|at| Quota::new(WINDOW, tolerance, start).with_phase(at as f64 / daemons as f64))
        .collect();
    let names: Vec<String> = (0..daemons).map(|at| format!("d{at:02}")).collect();
    let mut random = fastrand::Rng::with_seed(daemons as u64 * 100 + isolated as u64);
    let mut admitted = Vec::new();
    let rounds_per_period = (PERIOD.as_millis() / STEP.as_millis()) as usize;
    for round in 0..7000_usize {
        let now = start + STEP * round as u32;
        let is_isolated = |at: usize| at < isolated && now >= cut && now < healed;
        for from in 0..daemons {
            let is_due = round % rounds_per_period == from * rounds_per_period / daemons;
            if !is_due || is_isolated(from) {
                continue;
            }
            let uses = quotas[from].team_uses(now);
            for to in (0..daemons).filter(|to| *to != from && !is_isolated(*to)) {
                quotas[to].merge_report(&report(&names[from], now, uses.clone()), PERIOD * 4);
            }
        }
        let demand = if now < flood_at { 0.55 } else { flood };
        let chance = RATE * demand * STEP.as_secs_f64() / UNITS / daemons as f64;
        for quota in &mut quotas {
            if random.f64() < chance && quota.admit(&team, UNITS, now).is_ok() {
                admitted.push((now, UNITS));
            }
        }
    }
    let allowed = 9.0 * RATE * (1.0 + tolerance.share) + tolerance.units;
    most_in_a_window_sorted(&admitted) / allowed
}

/// One team floods while single hosts are cut off, each from all others. Those go on admitting
/// their own shares, and the rest must leave them as much as they use: whatever part of the daemons
/// is isolated, and whenever the flood began before, the sum stays in the allowance.
#[test]
fn a_flood_with_any_part_of_the_daemons_isolated_stays_in_the_allowance() {
    for isolated in [4, 6, 8, 9, 10, 12, 14] {
        for lead_ms in [0, 500, 3000] {
            for flood in [2.0, 6.0] {
                let lead = Duration::from_millis(lead_ms);
                let most = flood_with_isolated(24, isolated, lead, flood);
                assert!(
                    most <= 1.0,
                    "{most} with {isolated} of 24 isolated, {lead_ms} ms after a flood of {flood}"
                );
            }
        }
    }
}

/// A team well within its allowance sends prompts at random that are long compared to a
/// second of its rate. Several may come close together by chance; rejecting those would hurt
/// callers who bought twice as much as they use.
#[test]
fn long_prompts_that_coincide_are_admitted() {
    const DAEMONS: usize = 7;
    let start = Instant::now();
    let team = team(100_000.0);
    let tolerance = Tolerance {
        share: 0.1,
        units: 140_000.0,
    };
    let quota = || Quota::new(WINDOW, tolerance, start);
    let mut quotas: Vec<Quota> = (0..DAEMONS).map(|_| quota()).collect();
    let mut random = fastrand::Rng::with_seed(7);
    let (mut admitted, mut rejected) = (Vec::new(), 0);
    for round in 0..40_000_u32 {
        let now = start + Duration::from_millis(2) * round;
        if round % 18 == 0 {
            let from = round as usize / 18 % DAEMONS;
            let uses = quotas[from].team_uses(now);
            for to in (0..DAEMONS).filter(|to| *to != from) {
                quotas[to].merge_report(
                    &report(&format!("d{from}"), now, uses.clone()),
                    REPORT_TIMEOUT,
                );
            }
        }
        // Five requests a second of 11,000 units in the mean.
        if random.f64() < 0.01 {
            let units = 2000.0 + 9000.0 * -random.f64().max(1e-3).ln();
            match quotas[random.usize(..DAEMONS)].admit(&team, units, now) {
                Ok(()) => admitted.push((now, units)),
                Err(_) if round > 1000 => rejected += 1,
                Err(_) => {}
            }
        }
    }
    let all = admitted.len() + rejected;
    assert!(rejected * 100 < all, "{rejected} of {all}");
    assert!(most_in_a_window_sorted(&admitted) <= 9.0 * 100_000.0 * 1.1 + 140_000.0);
}

/// A daemon restarts while a team floods it. It does not know what it admitted before and
/// must not grant the whole allowance again at once.
#[test]
fn a_daemon_that_just_started_does_not_grant_the_whole_allowance() {
    let start = Instant::now();
    let team = team(1000.0);
    let mut quota = Quota::new(WINDOW, NO_TOLERANCE, start);
    let admitted = flood(&mut quota, &team, start, Duration::from_secs(1), 100.0);
    let sum: f64 = admitted.iter().map(|row| row.1).sum();
    assert!(sum <= 2.0 * 1000.0);
}

/// All daemons are killed while a team floods them, and none knows afterwards what was
/// admitted before. Starting with the whole burst again would give the team more than it
/// bought in the windows that span the kill.
#[test]
fn a_flood_across_a_restart_of_all_stays_within_the_allowance() {
    let start = Instant::now();
    let lasts = Duration::from_secs(5);
    let killed = start + WINDOW + lasts;
    let team = team(1000.0);
    let mut before = Quota::new(WINDOW, NO_TOLERANCE, start);
    let mut admitted = flood(&mut before, &team, start + WINDOW, lasts, 50.0);
    let restart = killed + Duration::from_secs(1);
    let mut after = Quota::new(WINDOW, NO_TOLERANCE, restart);
    admitted.extend(flood(&mut after, &team, restart, WINDOW, 50.0));
    let most = most_in_a_window(&admitted);
    assert!(most <= 9.0 * 1000.0, "{most}");
    assert!(most >= 0.8 * 9.0 * 1000.0, "{most}");
}

/// All daemons restart in the middle of a flood. Until the first digests arrive, each would
/// assume that it has no peers and grant the whole rate.
#[test]
fn daemons_that_restart_together_do_not_each_grant_the_whole_rate() {
    const DAEMONS: u32 = 40;
    let start = Instant::now();
    let team = team(4000.0);
    let mut sum = 0.0;
    for _ in 0..DAEMONS {
        let mut quota = Quota::new(WINDOW, NO_TOLERANCE, start);
        let admitted = flood(&mut quota, &team, start, Duration::from_millis(500), 5.0);
        sum += admitted.iter().map(|row| row.1).sum::<f64>();
    }
    assert!(sum <= 4000.0, "{sum}");
}

/// All daemons are killed under ordinary load and restart a second later. Without history
/// they reject callers until the team's bucket has filled again; the checkpoint in the store
/// shows that enough is left.
#[test]
fn a_team_within_its_allowance_is_served_at_once_after_a_restart_of_all() {
    let start = Instant::now();
    let team = team(1000.0);
    let mut before = Quota::new(WINDOW, NO_TOLERANCE, start);
    let period = Duration::from_millis(100);
    for round in 0..200 {
        // Half of the allowance, in even steps.
        let _ = before.admit(&team, 50.0, start + period * round);
    }
    let killed = start + period * 200;
    let saved = before.checkpoint(killed);
    let restart = killed + Duration::from_secs(1);
    let rejections = |mut quota: Quota| {
        let results = (0..20).map(|round| quota.admit(&team, 25.0, restart + period * round));
        results.filter(Result::is_err).count()
    };
    let empty = Quota::new(WINDOW, NO_TOLERANCE, restart);
    assert!(
        rejections(empty) >= 10,
        "rejects for a second without a checkpoint"
    );
    let mut restored = Quota::new(WINDOW, NO_TOLERANCE, restart);
    restored.restore(saved, 2, restart);
    assert_eq!(rejections(restored), 0);
}

/// All daemons are killed while a team floods them. If the restored daemons granted the burst
/// again, the team could use more than it bought in the windows that span the kill.
#[test]
fn a_flood_across_a_restart_with_a_checkpoint_stays_within_the_allowance() {
    // The last checkpoint is as old as it can get.
    let late = Duration::from_millis(500);
    for known in [0, 500, 2500, 6500].map(Duration::from_millis) {
        let start = Instant::now();
        let begin = start + WINDOW;
        let team = team(1000.0);
        let mut before = Quota::new(WINDOW, NO_TOLERANCE, start);
        let mut admitted = flood(&mut before, &team, begin, known, 50.0);
        let saved = before.checkpoint(begin + known);
        admitted.extend(flood(&mut before, &team, begin + known, late, 50.0));
        let killed = begin + known + late;
        let restart = killed + Duration::from_secs(1);
        let mut after = Quota::new(WINDOW, NO_TOLERANCE, restart);
        after.restore(saved, 1, restart);
        admitted.extend(flood(&mut after, &team, restart, WINDOW, 50.0));
        let most = most_in_a_window(&admitted);
        assert!(most <= 9.0 * 1000.0 * 1.1, "{most} after {known:?}");
    }
}

/// All daemons restart together and read the same checkpoint. Each knows the allowance of the
/// whole fleet; they must not grant it once each before their first digests arrive.
#[test]
fn daemons_that_restore_together_share_what_is_left() {
    const DAEMONS: u32 = 40;
    let start = Instant::now();
    let team = team(4000.0);
    let mut sum = 0.0;
    for _ in 0..DAEMONS {
        let mut quota = Quota::new(WINDOW, NO_TOLERANCE, start);
        quota.restore(Vec::new(), DAEMONS, start);
        let admitted = flood(&mut quota, &team, start, Duration::from_millis(500), 5.0);
        sum += admitted.iter().map(|row| row.1).sum::<f64>();
    }
    // The burst, the extra depth of the bucket, and what half a second brings.
    assert!(sum <= 4000.0 * 2.0, "{sum}");
}

/// The duty holder that reports usage is killed with other daemons. Its successor reads
/// the counts from the checkpoint; those of daemons that survive and send them again must not
/// count twice.
#[test]
fn restored_and_reported_counts_count_once() {
    let mut before = Usage::new("a".into(), 1);
    before.count(7, &"club".into());
    before.merge(7, ("b".into(), 4), vec![("club".into(), 3)]);
    let saved: Vec<_> = before
        .since(7)
        .map(|(origin, window, counts)| (window, origin.clone(), counts.clone()))
        .collect();
    let mut after = Usage::new("a".into(), 2);
    after.merge(7, ("b".into(), 4), vec![("club".into(), 5)]);
    for (window, origin, counts) in saved {
        after.merge(window, origin, counts);
    }
    after.count(7, &"club".into());
    assert_eq!(after.total(7), vec![("club".into(), 1 + 5 + 1)]);
}

/// One daemon is replaced while its peers serve a team well within its allowance. Its
/// callers are rejected for seconds if the new daemon compares what all daemons admitted in a
/// whole window with an allowance that has accrued only since its own start.
#[test]
fn a_replaced_daemon_serves_a_team_within_its_allowance_at_once() {
    let start = Instant::now();
    let team = team(1000.0);
    let mut quota = Quota::new(WINDOW, NO_TOLERANCE, start);
    let mut rejected = 0;
    for round in 0..40_u32 {
        let now = start + Duration::from_millis(100) * round;
        for name in ["b", "c", "d"] {
            let uses = vec![even_use(1467.0, 9000 + round * 18)];
            quota.merge_report(&report(name, now, uses), REPORT_TIMEOUT);
        }
        if now > start + Duration::from_millis(500) && quota.admit(&team, 15.0, now).is_err() {
            rejected += 1;
        }
    }
    assert_eq!(rejected, 0);
}

/// Endpoints reject everything. If each rejected request were retried without end, the
/// overload would sustain itself.
#[test]
fn retries_stay_a_fraction_of_the_requests() {
    let now = Instant::now();
    let service = "pool".into();
    let mut budget = Budget::new(0.2, 0.0, Duration::from_secs(10));
    let mut retries = 0;
    for step in 0..1000 {
        let now = now + Duration::from_millis(step * 5);
        budget.record_request(&service, Origin::Caller, now);
        while budget.try_retry(&service, now).granted {
            retries += 1;
        }
    }
    assert!((100..=200).contains(&retries), "{retries}");
}

/// Counts of a daemon that was killed stay as it last reported them, and an old digest that
/// arrives late does not lower them.
#[test]
fn counts_of_peers_only_grow() {
    let mut usage = Usage::new("a".into(), 1);
    usage.count(7, &"club".into());
    usage.merge(7, ("b".into(), 5), vec![("club".into(), 3)]);
    usage.merge(7, ("b".into(), 5), vec![("club".into(), 2)]);
    usage.merge(7, ("b".into(), 6), vec![("club".into(), 1)]);
    assert_eq!(usage.total(7), vec![("club".into(), 5)]);
    assert_eq!(usage.total(8), Vec::new());
}

/// The clocks of some hosts jump by seconds, and their daemons would count runs in the wrong
/// window. The median of all clocks keeps them right.
#[test]
fn a_clock_that_jumps_is_outvoted() {
    let start = Instant::now();
    let mut clock = Clock::new(start);
    for name in ["b", "c", "d", "e"] {
        clock.record(&name.into(), 1_000_000, start);
    }
    let later = start + Duration::from_secs(1);
    assert_eq!(clock.now(1_003_400, later), 1_001_000);
    clock.record(&"b".into(), 1_003_400, later);
    assert_eq!(clock.now(1_003_400, later), 1_001_000);
}

/// A daemon is paused right after it checked its lease. When it resumes, another daemon
/// holds the lease, and it must not act.
#[test]
fn a_paused_lease_holder_does_not_act() {
    let now = Instant::now();
    let term = Duration::from_secs(3);
    let held = DutyLease::new(1, 2, term, now);
    assert!(held.may_act(now));
    assert!(!held.may_act(now + term));
    assert!(held.is_expired(now + term));
    assert!(!held.may_act(now + term * 2 / 3));
}

proptest! {
    /// No window has more than the allowance, for any sequence of requests and pauses.
    #[test]
    fn no_window_has_more_than_the_allowance(steps in prop::collection::vec((0_u64..400, 1_u32..900), 1..300)) {
        let start = Instant::now();
        let team = team(1000.0);
        let mut quota = Quota::new(WINDOW, NO_TOLERANCE, start);
        let mut now = start;
        let mut admitted = Vec::new();
        for (pause, units) in steps {
            now += Duration::from_millis(pause);
            quota.expire(now);
            if quota.admit(&team, f64::from(units), now).is_ok() {
                admitted.push((now, f64::from(units)));
            }
        }
        prop_assert!(most_in_a_window(&admitted) <= 9.0 * 1000.0);
    }
}

/// When which daemons are apart while a team floods.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    /// Daemons that are cut off from the others, together.
    cut: usize,
    /// How long after the flood began.
    lead_ms: u64,
    length_ms: u64,
    /// What the team asks, as a multiple of its rate.
    flood: f64,
    /// Part of the flood that goes to the daemons that are cut off.
    cut_demand: f64,
    /// Whether those daemons are killed when the partition ends.
    kills: bool,
}

/// Most units of a flooding team in any window, in parts of what the rule allows, while a part of the
/// daemons is cut off, which hear each other, and then joins the others again.
fn flood_with_cut(daemons: usize, trouble: &Trouble, seed: u64) -> f64 {
    const PERIOD: Duration = Duration::from_millis(250);
    const RATE: f64 = 242_000.0;
    const UNITS: f64 = 2700.0;
    const STEP: Duration = Duration::from_millis(10);
    let tolerance = Tolerance {
        share: 0.1,
        units: 140_000.0,
    };
    let start = Instant::now();
    let flood_at = start + Duration::from_secs(10);
    let cut_at = flood_at + Duration::from_millis(trouble.lead_ms);
    let healed = cut_at + Duration::from_millis(trouble.length_ms);
    let team = team(RATE);
    let phase = |at: usize| at as f64 / daemons as f64;
    let quota = |at, now| Quota::new(WINDOW, tolerance, now).with_phase(phase(at));
    let mut quotas: Vec<Quota> = (0..daemons).map(|at| quota(at, start)).collect();
    let mut incarnations = vec![1; daemons];
    let mut started = vec![start; daemons];
    let names: Vec<String> = (0..daemons).map(|at| format!("d{at:02}")).collect();
    let mut random = fastrand::Rng::with_seed(seed);
    let mut admitted = Vec::new();
    let rounds_per_period = (PERIOD.as_millis() / STEP.as_millis()) as usize;
    let end = healed + WINDOW;
    let mut is_killed = !trouble.kills;
    let rounds = ((end - start).as_millis() / STEP.as_millis()) as usize;
    for round in 0..rounds {
        let now = start + STEP * round as u32;
        if now >= healed && !is_killed {
            is_killed = true;
            for at in 0..trouble.cut {
                quotas[at] = quota(at, now);
                (incarnations[at], started[at]) = (2, now);
            }
        }
        let is_cut = now >= cut_at && now < healed;
        let hears = |a: usize, b: usize| !is_cut || (a < trouble.cut) == (b < trouble.cut);
        for from in 0..daemons {
            if round % rounds_per_period != from * rounds_per_period / daemons {
                continue;
            }
            let report = PeerReport {
                incarnation: incarnations[from],
                started: started[from],
                ..report(&names[from], now, quotas[from].team_uses(now))
            };
            for to in (0..daemons).filter(|to| *to != from && hears(from, *to)) {
                quotas[to].merge_report(&report, PERIOD * 4);
            }
        }
        let demand = if now < flood_at { 0.55 } else { trouble.flood };
        for (at, quota) in quotas.iter_mut().enumerate() {
            let share = if now < cut_at {
                1.0 / daemons as f64
            } else if at < trouble.cut {
                trouble.cut_demand / trouble.cut as f64
            } else {
                (1.0 - trouble.cut_demand) / (daemons - trouble.cut) as f64
            };
            let mut expected = RATE * demand * share * STEP.as_secs_f64() / UNITS;
            while random.f64() < expected {
                expected -= 1.0;
                if quota.admit(&team, UNITS, now).is_ok() {
                    admitted.push((now, UNITS));
                }
            }
        }
    }
    let allowed = 9.0 * RATE * (1.0 + tolerance.share) + tolerance.units;
    most_in_a_window_sorted(&admitted) / allowed
}

proptest! {
    #![proptest_config(testutils::fixed(24))]

    /// One team floods while a part of the daemons is cut off, joins again or is killed. Whatever it
    /// asks and whoever is cut off, all daemons together must not run more than its allowance.
    #[test]
    fn a_flood_stays_in_the_allowance_whatever_is_cut_off(
        cut in 1_usize..23,
        lead_ms in 0_u64..6000,
        length_ms in 1000_u64..9000,
        flood in 1.0_f64..24.0,
        cut_demand in 0.05_f64..0.95,
        kills in any::<bool>(),
        seed in 0_u64..1000,
    ) {
        let trouble = Trouble { cut, lead_ms, length_ms, flood, cut_demand, kills };
        let most = flood_with_cut(24, &trouble, seed);
        prop_assert!(most <= 1.0, "{most} of the allowance with {trouble:?}");
    }
}
