//! What daemons keep together: allowances, repeats, usage, time and the lease.

use std::time::{Duration, Instant};

use poplarvale_lib::relay::budget::Budget;
use poplarvale_lib::relay::catalog::{Team, Unit};
use poplarvale_lib::relay::clock::Clock;
use poplarvale_lib::relay::duty::Held;
use poplarvale_lib::relay::quota::{Quota, Told, Tolerance, Use, short};
use poplarvale_lib::relay::usage::Usage;
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(8);
const SILENT: Duration = Duration::from_secs(1);
const NONE: Tolerance = Tolerance {
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

/// What a daemon tells of the team that all these tests have.
fn told(name: &str, heard: Instant, uses: Vec<Use>) -> Told {
    Told {
        name: name.into(),
        zone: 0,
        incarnation: 1,
        heard,
        started: heard.checked_sub(WINDOW * 3).unwrap_or(heard),
        uses,
    }
}

/// A use of the team that is even over the last window.
fn usual(units: f64, total: u32) -> Use {
    Use {
        team: short("club"),
        units,
        total,
        rate: units / WINDOW.as_secs_f64(),
        asked: units / WINDOW.as_secs_f64(),
    }
}

/// Lets in all that is let in of a flood, in steps of 20 ms; gives the times and
/// units of what came through.
fn flood(
    quota: &mut Quota,
    team: &Team,
    from: Instant,
    span: Duration,
    units: f64,
) -> Vec<(Instant, f64)> {
    let mut through = Vec::new();
    let mut now = from;
    while now < from + span {
        if quota.take(team, units, now).is_ok() {
            through.push((now, units));
        }
        now += Duration::from_millis(20);
    }
    through
}

fn most_in_a_window(through: &[(Instant, f64)]) -> f64 {
    let from = |start: &(Instant, f64)| {
        let within = through
            .iter()
            .filter(|row| row.0 >= start.0 && row.0 < start.0 + WINDOW);
        within.map(|row| row.1).sum::<f64>()
    };
    through.iter().map(from).fold(0.0, f64::max)
}

/// The same for many rows, which are in the order of time.
fn most_in_steps(through: &[(Instant, f64)]) -> f64 {
    let (mut first, mut sum, mut most) = (0, 0.0, 0.0_f64);
    for (at, units) in through {
        sum += units;
        while through[first].0 + WINDOW <= *at {
            sum -= through[first].1;
            first += 1;
        }
        most = most.max(sum);
    }
    most
}

/// One team sends many times its allowance. Windows slide, so any eight seconds
/// count; forgetting what was let in too early lets more through than was bought.
#[test]
fn a_flood_stays_within_the_allowance_in_every_window() {
    let start = Instant::now();
    let team = team(1000.0);
    let mut quota = Quota::new(WINDOW, NONE, start);
    let through = flood(&mut quota, &team, start + WINDOW, WINDOW * 3, 100.0);
    assert!(most_in_a_window(&through) <= 9.0 * 1000.0);
    assert!(most_in_a_window(&through) >= 0.9 * 9.0 * 1000.0);
}

/// All clients of a team happen to sit on one daemon. It may use the whole
/// allowance, as the others tell that they use none.
#[test]
fn a_team_on_one_daemon_has_its_whole_allowance() {
    let start = Instant::now();
    let team = team(1000.0);
    let mut quota = Quota::new(WINDOW, NONE, start);
    let mut let_in = 0.0;
    for round in 0..WINDOW.as_millis() as u32 / 100 {
        let now = start + WINDOW + Duration::from_millis(100) * round;
        for name in ["b", "c", "d"] {
            quota.hear(&told(name, now, Vec::new()), SILENT);
        }
        let step = flood(&mut quota, &team, now, Duration::from_millis(100), 50.0);
        let_in += step.iter().map(|row| row.1).sum::<f64>();
    }
    assert!(let_in >= 0.9 * 9.0 * 1000.0, "{let_in}");
}

/// A partition cuts the daemons into halves, and the team floods both. Each half
/// must leave the other its part, or the team gets its allowance twice.
#[test]
fn the_halves_of_a_partition_stay_near_the_allowance_together() {
    let start = Instant::now();
    let cut = start + WINDOW;
    let team = team(1000.0);
    let names = ["a", "b", "c", "d"];
    let mut quotas: Vec<Quota> = names
        .iter()
        .map(|_| Quota::new(WINDOW, NONE, start))
        .collect();
    for (at, quota) in quotas.iter_mut().enumerate() {
        for (other, name) in names.iter().enumerate() {
            if other != at {
                quota.hear(&told(name, cut, vec![usual(1000.0, 1000)]), SILENT);
            }
        }
    }
    let mut through = Vec::new();
    let mut now = cut + SILENT * 2;
    while now < cut + SILENT * 2 + WINDOW {
        for at in 0..4 {
            if quotas[at].take(&team, 50.0, now).is_ok() {
                through.push((now, 50.0));
            }
            let mate = at ^ 1;
            let uses = quotas[at].tell(now);
            quotas[mate].hear(&told(names[at], now, uses), SILENT);
        }
        now += Duration::from_millis(20);
    }
    assert!(most_in_a_window(&through) <= 1.35 * 9.0 * 1000.0);
}

/// A third of the hosts are cut off, each by itself, and a team floods all of them.
/// Each of those must keep to an even part: a quarter of the allowance at each of
/// many lone daemons would be many times the allowance.
#[test]
fn lone_daemons_keep_to_an_even_part() {
    let start = Instant::now();
    let cut = start + WINDOW;
    let team = team(8000.0);
    let mut lone = Quota::new(WINDOW, NONE, start);
    for other in 1..24 {
        let name = format!("d{other:02}");
        lone.hear(&told(&name, cut, Vec::new()), SILENT);
    }
    let through = flood(&mut lone, &team, cut + SILENT * 2, WINDOW, 100.0);
    let even = 9.0 * 8000.0 / 24.0;
    assert!(
        most_in_a_window(&through) <= even,
        "{}",
        most_in_a_window(&through)
    );
    assert!(most_in_a_window(&through) >= even * 0.3);
}

/// A team floods many daemons at once, which tell one another every 0.6 s only.
/// What all of them let in between two words must stay within what the window
/// allows on top.
#[test]
fn a_flood_over_many_daemons_stays_within_the_allowance() {
    const DAEMONS: usize = 24;
    let period = Duration::from_millis(600);
    let start = Instant::now();
    let team = team(24_000.0);
    let mut quotas: Vec<Quota> = (0..DAEMONS)
        .map(|_| Quota::new(WINDOW, NONE, start))
        .collect();
    let step = Duration::from_millis(25);
    let mut through = Vec::new();
    for round in 0..1000_usize {
        let now = start + step * round as u32;
        for from in 0..DAEMONS {
            if round % DAEMONS == from {
                let uses = quotas[from].tell(now);
                let name = format!("d{from:02}");
                for to in (0..DAEMONS).filter(|to| *to != from) {
                    quotas[to].hear(&told(&name, now, uses.clone()), period * 4);
                }
            }
            // Nine seconds of ordinary traffic, then a flood of five times the rate.
            let units = if now < start + Duration::from_secs(9) {
                14.0
            } else {
                125.0
            };
            if quotas[from].take(&team, units, now).is_ok() {
                through.push((now, units));
            }
        }
    }
    let most = most_in_a_window(&through) / (9.0 * 24_000.0);
    assert!(most <= 1.05, "{most} of the allowance");
    assert!(most >= 0.85, "{most} of the allowance");
}

/// A team begins to flood all of many daemons, and half a second later a third of
/// them is cut off, each by itself. Neither those nor the rest know what the others
/// let in from then on, and together they must stay near the allowance.
#[test]
fn a_flood_during_a_cut_stays_near_the_allowance() {
    const DAEMONS: usize = 78;
    const CUT: usize = 27;
    let period = Duration::from_millis(620);
    let start = Instant::now();
    let flood = start + Duration::from_secs(14);
    let cut = flood + Duration::from_millis(500);
    let healed = cut + Duration::from_secs(12);
    let team = team(78_000.0);
    let mut quotas: Vec<Quota> = (0..DAEMONS)
        .map(|_| Quota::new(WINDOW, NONE, start))
        .collect();
    let step = period / DAEMONS as u32;
    let names: Vec<String> = (0..DAEMONS).map(|at| format!("d{at:02}")).collect();
    let mut through = Vec::new();
    for round in 0..4000_usize {
        let now = start + step * round as u32;
        let is_cut = |at: usize| at < CUT && now >= cut && now < healed;
        let from = round % DAEMONS;
        if !is_cut(from) {
            let uses = quotas[from].tell(now);
            for to in (0..DAEMONS).filter(|to| *to != from && !is_cut(*to)) {
                quotas[to].hear(&told(&names[from], now, uses.clone()), period * 4);
            }
        }
        for (at, quota) in quotas.iter_mut().enumerate() {
            // Ordinary traffic is 0.55 of the rate, the flood six times that.
            let every = if now < flood { 302 } else { 50 };
            if (round + at * 37) % every == 0 && quota.take(&team, 1300.0, now).is_ok() {
                through.push((now, 1300.0));
            }
        }
    }
    let most = most_in_steps(&through) / (9.0 * 78_000.0);
    assert!(most <= 1.05, "{most} of the allowance");
    assert!(most >= 0.8, "{most} of the allowance");
    // The flood comes through evenly, not in bursts with nothing between them.
    let rate = |from: u32| {
        let from = flood + Duration::from_secs(u64::from(from));
        let within = |row: &&(Instant, f64)| row.0 >= from && row.0 < from + WINDOW / 4;
        through.iter().filter(within).map(|row| row.1).sum::<f64>() / (2.0 * 78_000.0)
    };
    let rates: Vec<f64> = (3..11).map(rate).collect();
    assert!(
        rates.iter().all(|rate| (0.25..1.7).contains(rate)),
        "{rates:?}"
    );
}

/// A team well within its allowance sends prompts that are long beside a second of
/// its rate, at random. By chance several come together; refusing those would hurt
/// callers who bought twice as much as they use.
#[test]
fn long_prompts_by_chance_are_let_in() {
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
    let (mut through, mut refused) = (Vec::new(), 0);
    for round in 0..40_000_u32 {
        let now = start + Duration::from_millis(2) * round;
        if round % 18 == 0 {
            let from = round as usize / 18 % DAEMONS;
            let uses = quotas[from].tell(now);
            for to in (0..DAEMONS).filter(|to| *to != from) {
                quotas[to].hear(&told(&format!("d{from}"), now, uses.clone()), SILENT);
            }
        }
        // Five requests a second of 11,000 units in the mean.
        if random.f64() < 0.01 {
            let units = 2000.0 + 9000.0 * -random.f64().max(1e-3).ln();
            match quotas[random.usize(..DAEMONS)].take(&team, units, now) {
                Ok(()) => through.push((now, units)),
                Err(_) if round > 1000 => refused += 1,
                Err(_) => {}
            }
        }
    }
    let all = through.len() + refused;
    assert!(refused * 100 < all, "{refused} of {all}");
    assert!(most_in_steps(&through) <= 9.0 * 100_000.0 * 1.1 + 140_000.0);
}

/// A daemon starts anew while a team floods it. It does not know what it let in
/// before and must not give the whole allowance out again at once.
#[test]
fn a_daemon_that_just_started_does_not_give_the_whole_allowance_out() {
    let start = Instant::now();
    let team = team(1000.0);
    let mut quota = Quota::new(WINDOW, NONE, start);
    let through = flood(&mut quota, &team, start, Duration::from_secs(1), 100.0);
    let sum: f64 = through.iter().map(|row| row.1).sum();
    assert!(sum <= 2.0 * 1000.0);
}

/// All daemons are killed while a team floods them, and none knows afterwards what
/// was let in before. Starting with the whole burst again gives the team more than
/// it bought in the windows that reach across the kill.
#[test]
fn a_flood_across_a_restart_of_all_stays_within_the_allowance() {
    let start = Instant::now();
    let lasts = Duration::from_secs(5);
    let killed = start + WINDOW + lasts;
    let team = team(1000.0);
    let mut before = Quota::new(WINDOW, NONE, start);
    let mut through = flood(&mut before, &team, start + WINDOW, lasts, 50.0);
    let restart = killed + Duration::from_secs(1);
    let mut after = Quota::new(WINDOW, NONE, restart);
    through.extend(flood(&mut after, &team, restart, WINDOW, 50.0));
    let most = most_in_a_window(&through);
    assert!(most <= 9.0 * 1000.0, "{most}");
    assert!(most >= 0.8 * 9.0 * 1000.0, "{most}");
}

/// All daemons restart in the middle of a flood. Until they hear one another each
/// would take itself to be the only one and give the whole rate out.
#[test]
fn daemons_that_restart_together_do_not_each_give_the_whole_rate_out() {
    const DAEMONS: u32 = 40;
    let start = Instant::now();
    let team = team(4000.0);
    let mut sum = 0.0;
    for _ in 0..DAEMONS {
        let mut quota = Quota::new(WINDOW, NONE, start);
        let through = flood(&mut quota, &team, start, Duration::from_millis(500), 5.0);
        sum += through.iter().map(|row| row.1).sum::<f64>();
    }
    assert!(sum <= 4000.0, "{sum}");
}

/// All daemons are killed in the middle of a calm day and restart a second later. A
/// fleet that knows nothing of before turns callers away until their team's allowance
/// has grown again; the checkpoint in the store tells that there is enough.
#[test]
fn a_team_within_its_allowance_is_served_at_once_after_a_restart_of_all() {
    let start = Instant::now();
    let team = team(1000.0);
    let mut before = Quota::new(WINDOW, NONE, start);
    let usual = Duration::from_millis(100);
    for round in 0..200 {
        // Half of the allowance, in even steps.
        let _ = before.take(&team, 50.0, start + usual * round);
    }
    let killed = start + usual * 200;
    let saved = before.checkpoint(killed);
    let restart = killed + Duration::from_secs(1);
    let refused = |mut quota: Quota| {
        let asked = (0..20).map(|round| quota.take(&team, 25.0, restart + usual * round));
        asked.filter(Result::is_err).count()
    };
    let plain = Quota::new(WINDOW, NONE, restart);
    assert!(refused(plain) >= 10, "the plain one refuses for a second");
    let mut restored = Quota::new(WINDOW, NONE, restart);
    restored.restore(saved, 2, restart);
    assert_eq!(refused(restored), 0);
}

/// All daemons are killed while a team floods them. A checkpoint that gave the burst
/// out again would let the team use more than it bought in the windows across the kill.
#[test]
fn a_flood_across_a_restart_with_a_checkpoint_stays_within_the_allowance() {
    // The last checkpoint is as old as it may become.
    let late = Duration::from_millis(500);
    for known in [0, 500, 2500, 6500].map(Duration::from_millis) {
        let start = Instant::now();
        let begin = start + WINDOW;
        let team = team(1000.0);
        let mut before = Quota::new(WINDOW, NONE, start);
        let mut through = flood(&mut before, &team, begin, known, 50.0);
        let saved = before.checkpoint(begin + known);
        through.extend(flood(&mut before, &team, begin + known, late, 50.0));
        let killed = begin + known + late;
        let restart = killed + Duration::from_secs(1);
        let mut after = Quota::new(WINDOW, NONE, restart);
        after.restore(saved, 1, restart);
        through.extend(flood(&mut after, &team, restart, WINDOW, 50.0));
        let most = most_in_a_window(&through);
        assert!(most <= 9.0 * 1000.0 * 1.1, "{most} after {known:?}");
    }
}

/// All daemons restart together and read the same checkpoint. Each knows the fleet's
/// whole allowance; together they must not give it out once each before they hear one
/// another.
#[test]
fn daemons_that_restore_together_share_what_is_left() {
    const DAEMONS: u32 = 40;
    let start = Instant::now();
    let team = team(4000.0);
    let mut sum = 0.0;
    for _ in 0..DAEMONS {
        let mut quota = Quota::new(WINDOW, NONE, start);
        quota.restore(Vec::new(), DAEMONS, start);
        let through = flood(&mut quota, &team, start, Duration::from_millis(500), 5.0);
        sum += through.iter().map(|row| row.1).sum::<f64>();
    }
    // The burst, what the bucket is deeper by, and what half a second brings.
    assert!(sum <= 4000.0 * 2.0, "{sum}");
}

/// The holder that reports usage is killed with all others. Its successor takes the
/// counts from the checkpoint; those of daemons that live on and tell again must not
/// count twice.
#[test]
fn restored_counts_and_told_ones_count_once() {
    let mut before = Usage::new("a".into(), 1);
    before.count(7, &"club".into());
    before.hear(7, ("b".into(), 4), vec![("club".into(), 3)]);
    let saved: Vec<_> = before
        .since(7)
        .map(|(counter, window, counts)| (window, counter.clone(), counts.clone()))
        .collect();
    let mut after = Usage::new("a".into(), 2);
    after.hear(7, ("b".into(), 4), vec![("club".into(), 5)]);
    for (window, counter, counts) in saved {
        after.hear(window, counter, counts);
    }
    after.count(7, &"club".into());
    assert_eq!(after.total(7), vec![("club".into(), 1 + 5 + 1)]);
}

/// One daemon is replaced while the others serve a team well within its allowance.
/// Its callers are refused for seconds if the new daemon compares what all let in
/// over a whole window with an allowance that begins at its own start.
#[test]
fn a_replaced_daemon_serves_a_team_within_its_allowance_at_once() {
    let start = Instant::now();
    let team = team(1000.0);
    let mut quota = Quota::new(WINDOW, NONE, start);
    let mut refused = 0;
    for round in 0..40_u32 {
        let now = start + Duration::from_millis(100) * round;
        for name in ["b", "c", "d"] {
            let uses = vec![usual(1467.0, 9000 + round * 18)];
            quota.hear(&told(name, now, uses), SILENT);
        }
        if now > start + Duration::from_millis(500) && quota.take(&team, 15.0, now).is_err() {
            refused += 1;
        }
    }
    assert_eq!(refused, 0);
}

/// Endpoints refuse everything. If each refused request were sent again and again,
/// the overload would feed itself.
#[test]
fn repeats_stay_a_fraction_of_the_requests() {
    let now = Instant::now();
    let service = "pool".into();
    let mut budget = Budget::new(0.2, 0.0, Duration::from_secs(10));
    let mut repeats = 0;
    for step in 0..1000 {
        let now = now + Duration::from_millis(step * 5);
        budget.request(&service, now);
        while budget.repeat(&service, 4, now) {
            repeats += 1;
        }
    }
    assert!((100..=200).contains(&repeats), "{repeats}");
}

/// Counts of a daemon that was killed stay as it last told them, and an old word
/// that arrives late takes nothing back.
#[test]
fn counts_of_others_only_grow() {
    let mut usage = Usage::new("a".into(), 1);
    usage.count(7, &"club".into());
    usage.hear(7, ("b".into(), 5), vec![("club".into(), 3)]);
    usage.hear(7, ("b".into(), 5), vec![("club".into(), 2)]);
    usage.hear(7, ("b".into(), 6), vec![("club".into(), 1)]);
    assert_eq!(usage.total(7), vec![("club".into(), 5)]);
    assert_eq!(usage.total(8), Vec::new());
}

/// The clocks of some hosts jump by seconds. Their daemons would count runs into
/// the wrong window.
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

/// A daemon is paused right after it looked at its lease. When it goes on, another
/// one holds the duty, and it must not act.
#[test]
fn a_holder_that_was_paused_does_not_act() {
    let now = Instant::now();
    let life = Duration::from_secs(3);
    let held = Held::new(1, 2, life, now);
    assert!(held.may_act(now));
    assert!(!held.may_act(now + life));
    assert!(held.is_over(now + life));
    assert!(!held.may_act(now + life * 2 / 3));
}

proptest! {
    /// Whatever order of requests and pauses, no window has more than the allowance.
    #[test]
    fn no_window_has_more_than_the_allowance(steps in prop::collection::vec((0_u64..400, 1_u32..900), 1..300)) {
        let start = Instant::now();
        let team = team(1000.0);
        let mut quota = Quota::new(WINDOW, NONE, start);
        let mut now = start;
        let mut through = Vec::new();
        for (pause, units) in steps {
            now += Duration::from_millis(pause);
            quota.expire(now);
            if quota.take(&team, f64::from(units), now).is_ok() {
                through.push((now, f64::from(units)));
            }
        }
        prop_assert!(most_in_a_window(&through) <= 9.0 * 1000.0);
    }
}
