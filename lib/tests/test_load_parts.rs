//! The modules of `load`, each tested independently.

use std::time::{Duration, Instant};

use poplarvale_lib::load::budget::{self, Budget};
use poplarvale_lib::load::comeback::Comeback;
use poplarvale_lib::load::ejection::{Ejection, State, may_eject};
use poplarvale_lib::load::fair::{Entry, Lane, STEP};
use poplarvale_lib::load::limiter::{FLOOR, Limiter};
use poplarvale_lib::load::pace::Pace;
use proptest::prelude::*;

fn entry(id: u128, origin: Instant, seconds: u64, work: f64) -> Entry {
    Entry {
        id,
        deadline: origin + Duration::from_secs(seconds),
        work,
    }
}

proptest! {
    #![proptest_config(testutils::fixed(64))]

    /// Two customers of one priority keep sending, one long requests and one
    /// short ones. Neither may get more work done than the other by more than one
    /// request and a round, or the customer with the short requests waits.
    #[test]
    fn customers_get_equal_work(long in 1_000u32..8_000, short in 1u32..300) {
        let origin = Instant::now();
        let mut lane = Lane::new("chat".into());
        for id in 0..4_000 {
            let work = f64::from(short);
            lane.push(1, &"b".into(), entry(id, origin, 9, work));
        }
        for id in 4_000..4_100 {
            let work = f64::from(long);
            lane.push(1, &"a".into(), entry(id, origin, 9, work));
        }
        let mut sent = [0.0, 0.0];
        while sent[1] < f64::from(short) * 3_900.0 && sent[0] < f64::from(long) * 99.0 {
            let taken = lane.pop().expect("both have work left");
            sent[usize::from(taken.customer == "b")] += taken.entry.work;
            let apart = (sent[0] - sent[1]).abs();
            prop_assert!(apart <= f64::from(long) + 2.0 * 256.0, "{sent:?}");
        }
    }

    /// A request of the lowest priority waits while higher ones always have
    /// requests waiting. It must be sent within the stated bound; with strict
    /// priorities it would never be sent.
    #[test]
    fn a_low_priority_is_sent_within_the_stated_bound(
        high in 1u8..4,
        work in 50u32..2_000,
        ahead in 1u32..20,
    ) {
        let origin = Instant::now();
        let work = f64::from(work);
        let mut lane = Lane::new("chat".into());
        for id in 0..20_000 {
            lane.push(high, &"high".into(), entry(id, origin, 9, work));
        }
        for id in 0..u128::from(ahead) {
            lane.push(0, &"low".into(), entry(30_000 + id, origin, 9, work));
        }
        let weight = STEP.powi(i32::from(high));
        let bound = f64::from(ahead) * work * (1.0 + weight) + work * (1.0 + weight);
        let mut done = 0.0;
        let mut left = ahead;
        while left > 0 && done < 19_000.0 * work {
            let taken = lane.pop().expect("the high priority does not run dry");
            done += taken.entry.work;
            left -= u32::from(taken.priority == 0);
        }
        prop_assert!(done <= bound, "{done} of {bound}");
    }

    /// Every entry that is added comes out once, whatever is popped, restored or
    /// removed in between; the caller of a lost entry would never get an answer.
    #[test]
    fn a_lane_loses_nothing(
        steps in prop::collection::vec((0u8..4, 0u8..4, 0u8..4, 1u32..3_000), 1..300),
    ) {
        let origin = Instant::now();
        let mut lane = Lane::new("chat".into());
        let mut inside: Vec<(String, Entry)> = Vec::new();
        for (at, (step, priority, customer, work)) in steps.into_iter().enumerate() {
            let name = format!("c{customer}");
            match step {
                0 | 1 => {
                    let one = entry(at as u128, origin, u64::from(work % 7), f64::from(work));
                    lane.push(priority, &name.as_str().into(), one);
                    inside.push((name, one));
                }
                2 => {
                    if let Some(taken) = lane.pop() {
                        if work % 2 == 0 {
                            lane.restore(&taken);
                        } else {
                            inside.retain(|(_, e)| e.id != taken.entry.id);
                        }
                    }
                }
                _ => {
                    if let Some((name, one)) = inside.pop() {
                        prop_assert!(lane.remove(&name.as_str().into(), &one));
                    }
                }
            }
            prop_assert_eq!(lane.len() as usize, inside.len());
            let total: f64 = inside.iter().map(|(_, e)| e.work).sum();
            prop_assert!((lane.work() - total).abs() < 1e-6);
        }
        let mut out = Vec::new();
        while let Some(taken) = lane.pop() {
            out.push(taken.entry.id);
        }
        out.sort_unstable();
        let mut expected: Vec<u128> = inside.iter().map(|(_, e)| e.id).collect();
        expected.sort_unstable();
        prop_assert_eq!(out, expected);
    }

    /// Whatever the latencies are, the limit stays between its minimum and its
    /// ceiling: at zero the endpoint would never be tried again.
    #[test]
    fn a_limit_stays_in_its_bounds(
        ceiling in 1u32..100,
        samples in prop::collection::vec((0.001f64..100.0, 1.0f64..5_000.0, 1.0f64..80.0), 0..400),
    ) {
        let mut limiter = Limiter::new(ceiling);
        for (took, work, beside) in samples {
            limiter.complete(took, work, beside);
            prop_assert!((FLOOR..=ceiling).contains(&limiter.limit()));
        }
    }
}

/// Within a customer the earliest deadline goes first; otherwise a request with
/// little time left waits behind one that has an hour.
#[test]
fn the_earliest_deadline_of_a_customer_goes_first() {
    let origin = Instant::now();
    let mut lane = Lane::new("chat".into());
    for (id, seconds) in [(1, 30), (2, 3), (3, 8)] {
        lane.push(1, &"a".into(), entry(id, origin, seconds, 100.0));
    }
    let ids: Vec<u128> = std::iter::from_fn(|| lane.pop())
        .map(|t| t.entry.id)
        .collect();
    assert_eq!(ids, [2, 3, 1]);
}

/// Feeds a limiter with an endpoint that runs up to `knee` requests at full speed
/// and is shared evenly by more.
fn feed(limiter: &mut Limiter, knee: f64, speed: f64, rounds: usize) {
    for _ in 0..rounds {
        let running = f64::from(limiter.limit());
        let took = 100.0 / speed * (running / knee).max(1.0);
        limiter.complete(took, 100.0, running);
    }
}

/// An endpoint becomes slow, as one whose host throttles does. With a fixed limit
/// it keeps as many requests as a healthy one, and all of them are late.
#[test]
fn a_limit_finds_the_knee_and_follows_a_slow_endpoint() {
    let mut limiter = Limiter::new(64);
    feed(&mut limiter, 20.0, 100.0, 3_000);
    let found = limiter.limit();
    assert!((20..=50).contains(&found), "{found}");
    feed(&mut limiter, 20.0, 10.0, 200);
    assert!(limiter.limit() <= found / 3, "{}", limiter.limit());
    feed(&mut limiter, 20.0, 100.0, 3_000);
    assert!(limiter.limit() >= 20, "{}", limiter.limit());
}

/// All requests of a service fail. If each were attempted three times, its
/// endpoints would get three times the load just when they can do least.
#[test]
fn retries_stay_a_fraction_of_successes() {
    let mut budget = Budget::new("chat".into());
    let first = (0..100).filter(|_| budget.spend()).count();
    assert_eq!(first, budget::MOST as usize);
    let mut spent = 0;
    for _ in 0..1_000 {
        budget.earn();
        spent += u32::from(budget.spend());
    }
    assert!((95..=100).contains(&spent), "{spent}");
}

/// An endpoint fails every request. Its callers get errors until it is ejected;
/// if it came back with full load every time, they would get them again.
#[test]
fn an_endpoint_that_keeps_failing_rests_longer_each_time() {
    let mut now = Instant::now();
    let mut ejection = Ejection::new(now);
    assert!(!ejection.fail());
    assert!(!ejection.fail());
    assert!(ejection.fail());
    let mut last = Duration::ZERO;
    for _ in 0..8 {
        ejection.eject(now);
        let until = ejection.until().expect("it rests");
        assert!(until - now >= last);
        last = until - now;
        assert!(!ejection.wake(now));
        now = until;
        assert!(ejection.wake(now));
        assert_eq!(ejection.state(), State::Probing);
        assert!(ejection.fail());
    }
    assert_eq!(last, Duration::from_secs(30));
    ejection.eject(now);
    ejection.wake(now + last);
    assert!(
        ejection.succeed(now + last, true),
        "a slow probe is no success"
    );
    assert!(!ejection.succeed(now + last, false));
    assert_eq!(ejection.state(), State::Open);
}

/// A fault common to all endpoints makes each look bad. If all were ejected, the
/// whole service would be down.
#[test]
fn at_least_half_of_the_endpoints_stay_open() {
    for all in 0..50 {
        let mut out = 0;
        while may_eject(out, all) {
            out += 1;
        }
        assert!(out * 2 <= all);
        assert!(all < 1 || out < all);
    }
}

/// Some requests fail whatever the load is. If each shrank the limit, a healthy
/// endpoint would end with one request at a time.
#[test]
fn only_failures_that_come_with_load_shrink_a_limit() {
    let mut limiter = Limiter::new(64);
    for n in 0..40 {
        limiter.judge(n % 2 == 0, 1);
    }
    for n in 0..2_000_u32 {
        let running = if n % 4 < 2 { limiter.limit() } else { 1 };
        limiter.judge(n % 2 == 0, running);
    }
    assert_eq!(limiter.limit(), Limiter::new(64).limit());
    for n in 0..400 {
        let running = if n % 2 == 0 { limiter.limit() } else { 1 };
        let whole = running <= 4;
        limiter.judge(whole, running);
    }
    assert!(limiter.limit() <= 4, "{}", limiter.limit());
}

/// Overload by other daemons' requests shows in requests that do not end. If only
/// completed ones counted, each daemon would continue to admit requests that will
/// be late.
#[test]
fn requests_that_run_on_show_that_times_are_bad() {
    let now = Instant::now();
    let mut pace = Pace::default();
    let late = [(9.0, 100.0)];
    assert_eq!(pace.now(now, 0.01, late.into_iter()), None);
    for _ in 0..10 {
        pace.add(now, 100.0, 1.0);
    }
    let near = |seconds: Option<f64>, expected: f64| {
        let seconds = seconds.expect("requests have ended");
        assert!((seconds - expected).abs() < 0.001, "{seconds}");
    };
    let short = [(0.2, 100.0), (0.5, 100.0)];
    let long = [(5.0, 100.0), (5.0, 100.0)];
    let one = (0..20).map(|n| (if n == 0 { 99.0 } else { 0.1 }, 100.0));
    near(pace.now(now, 0.004, std::iter::empty()), 0.01);
    near(pace.now(now, 0.004, short.into_iter()), 0.01);
    near(pace.now(now, 0.004, long.into_iter()), 0.05);
    near(pace.now(now, 0.004, one), 0.0105);
    let later = now + Duration::from_secs(5);
    near(pace.now(later, 0.004, std::iter::empty()), 0.004);
    near(pace.now(later, 0.004, long.into_iter()), 0.05);
}

/// A thousand callers of one burst are rejected. They are told to retry no faster
/// than they can be served, and none later than about half a minute.
#[test]
fn callers_are_told_to_come_back_one_after_another() {
    let now = Instant::now();
    let mut comeback = Comeback::new("chat".into(), now);
    let late = Duration::from_secs(1);
    let times: Vec<Duration> = (0..1_000)
        .map(|_| comeback.tell(now, late, 100.0, 10_000.0, 0.0) - now)
        .collect();
    for second in 1..10 {
        let until = Duration::from_secs(second);
        let back = times.iter().filter(|time| **time <= until).count() as u64;
        assert!(back <= second * 100 + 1, "{back} in {second} s");
    }
    assert!(times.iter().all(|time| *time <= Duration::from_secs(30)));
    let later = now + Duration::from_secs(20);
    let next = comeback.tell(later, late, 100.0, 10_000.0, 0.0);
    assert_eq!(next - later, late);
}
