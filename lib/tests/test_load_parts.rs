//! The modules of `load`, each tested independently.

use std::time::{Duration, Instant};

use poplarvale_lib::load::ejection::{Ejection, State, may_eject};
use poplarvale_lib::load::fair_queue::{Entry, FairQueue, PRIORITY_RATIO};
use poplarvale_lib::load::limiter::{Limiter, MIN_LIMIT};
use poplarvale_lib::load::retry_after::RetryBacklog;
use poplarvale_lib::load::retry_budget::{self, RetryBudget};
use poplarvale_lib::load::unit_time::UnitTime;
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
        let mut queue = FairQueue::new("chat".into());
        for id in 0..4_000 {
            let work = f64::from(short);
            queue.push(1, &"b".into(), entry(id, origin, 9, work));
        }
        for id in 4_000..4_100 {
            let work = f64::from(long);
            queue.push(1, &"a".into(), entry(id, origin, 9, work));
        }
        let mut sent = [0.0, 0.0];
        while sent[1] < f64::from(short) * 3_900.0 && sent[0] < f64::from(long) * 99.0 {
            let dequeued = queue.pop().expect("both have work left");
            sent[usize::from(dequeued.customer == "b")] += dequeued.entry.work;
            let difference = (sent[0] - sent[1]).abs();
            prop_assert!(difference <= f64::from(long) + 2.0 * 256.0, "{sent:?}");
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
        let mut queue = FairQueue::new("chat".into());
        for id in 0..20_000 {
            queue.push(high, &"high".into(), entry(id, origin, 9, work));
        }
        for id in 0..u128::from(ahead) {
            queue.push(0, &"low".into(), entry(30_000 + id, origin, 9, work));
        }
        let weight = PRIORITY_RATIO.powi(i32::from(high));
        let bound = f64::from(ahead) * work * (1.0 + weight) + work * (1.0 + weight);
        let mut done = 0.0;
        let mut remaining = ahead;
        while remaining > 0 && done < 19_000.0 * work {
            let dequeued = queue.pop().expect("the high priority always has requests waiting");
            done += dequeued.entry.work;
            remaining -= u32::from(dequeued.priority == 0);
        }
        prop_assert!(done <= bound, "{done} of {bound}");
    }

    /// Every entry that is added comes out once, whatever is popped, restored or
    /// removed in between; the caller of a lost entry would never get an answer.
    #[test]
    fn a_fair_queue_loses_no_entry(
        steps in prop::collection::vec((0u8..4, 0u8..4, 0u8..4, 1u32..3_000), 1..300),
    ) {
        let origin = Instant::now();
        let mut queue = FairQueue::new("chat".into());
        let mut queued: Vec<(String, Entry)> = Vec::new();
        for (at, (step, priority, customer, work)) in steps.into_iter().enumerate() {
            let name = format!("c{customer}");
            match step {
                0 | 1 => {
                    let one = entry(at as u128, origin, u64::from(work % 7), f64::from(work));
                    queue.push(priority, &name.as_str().into(), one);
                    queued.push((name, one));
                }
                2 => {
                    if let Some(dequeued) = queue.pop() {
                        if work % 2 == 0 {
                            queue.restore(&dequeued);
                        } else {
                            queued.retain(|(_, e)| e.id != dequeued.entry.id);
                        }
                    }
                }
                _ => {
                    if let Some((name, one)) = queued.pop() {
                        prop_assert!(queue.remove(&name.as_str().into(), &one));
                    }
                }
            }
            prop_assert_eq!(queue.len() as usize, queued.len());
            let total: f64 = queued.iter().map(|(_, e)| e.work).sum();
            prop_assert!((queue.work() - total).abs() < 1e-6);
        }
        let mut out = Vec::new();
        while let Some(dequeued) = queue.pop() {
            out.push(dequeued.entry.id);
        }
        out.sort_unstable();
        let mut expected: Vec<u128> = queued.iter().map(|(_, e)| e.id).collect();
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
        for (elapsed, work, concurrency) in samples {
            limiter.record(elapsed, work, concurrency);
            prop_assert!((MIN_LIMIT..=ceiling).contains(&limiter.limit()));
        }
    }
}

/// Within a customer the earliest deadline goes first; otherwise a request with
/// little time left waits behind one that has an hour.
#[test]
fn the_earliest_deadline_of_a_customer_goes_first() {
    let origin = Instant::now();
    let mut queue = FairQueue::new("chat".into());
    for (id, seconds) in [(1, 30), (2, 3), (3, 8)] {
        queue.push(1, &"a".into(), entry(id, origin, seconds, 100.0));
    }
    let ids: Vec<u128> = std::iter::from_fn(|| queue.pop())
        .map(|t| t.entry.id)
        .collect();
    assert_eq!(ids, [2, 3, 1]);
}

/// Feeds a limiter with an endpoint that runs up to `knee` requests at full speed
/// and is shared evenly by more.
fn feed(limiter: &mut Limiter, knee: f64, speed: f64, rounds: usize) {
    for _ in 0..rounds {
        let running = f64::from(limiter.limit());
        let elapsed = 100.0 / speed * (running / knee).max(1.0);
        limiter.record(elapsed, 100.0, running);
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
    let mut budget = RetryBudget::new("chat".into());
    let first = (0..100).filter(|_| budget.withdraw()).count();
    assert_eq!(first, retry_budget::MAX_BALANCE as usize);
    let mut spent = 0;
    for _ in 0..1_000 {
        budget.deposit();
        spent += u32::from(budget.withdraw());
    }
    assert!((95..=100).contains(&spent), "{spent}");
}

/// An endpoint fails every request. Its callers get errors until it is ejected;
/// if it came back with full load every time, they would get them again.
#[test]
fn an_endpoint_that_keeps_failing_is_ejected_for_longer_each_time() {
    let mut now = Instant::now();
    let mut ejection = Ejection::new(now);
    assert!(!ejection.record_failure());
    assert!(!ejection.record_failure());
    assert!(ejection.record_failure());
    let mut last = Duration::ZERO;
    for _ in 0..8 {
        ejection.eject(now);
        let until = ejection.until().expect("it is ejected");
        assert!(until - now >= last);
        last = until - now;
        assert!(!ejection.start_probe(now));
        now = until;
        assert!(ejection.start_probe(now));
        assert_eq!(ejection.state(), State::Probing);
        assert!(ejection.record_failure());
    }
    assert_eq!(last, Duration::from_secs(30));
    ejection.eject(now);
    ejection.start_probe(now + last);
    assert!(
        ejection.record_success(now + last, true),
        "a slow probe is no success"
    );
    assert!(!ejection.record_success(now + last, false));
    assert_eq!(ejection.state(), State::Healthy);
}

/// A fault common to all endpoints makes each look bad. If all were ejected, the
/// whole service would be down.
#[test]
fn at_least_half_of_the_endpoints_stay_in_use() {
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
        limiter.record_outcome(n % 2 == 0, 1);
    }
    for n in 0..2_000_u32 {
        let running = if n % 4 < 2 { limiter.limit() } else { 1 };
        limiter.record_outcome(n % 2 == 0, running);
    }
    assert_eq!(limiter.limit(), Limiter::new(64).limit());
    for n in 0..400 {
        let running = if n % 2 == 0 { limiter.limit() } else { 1 };
        let succeeded = running <= 4;
        limiter.record_outcome(succeeded, running);
    }
    assert!(limiter.limit() <= 4, "{}", limiter.limit());
}

/// Overload by other daemons' requests shows in requests that do not end. If only
/// completed ones counted, each daemon would continue to admit requests that will
/// be late.
#[test]
fn long_running_requests_raise_the_unit_time() {
    let now = Instant::now();
    let mut unit_time = UnitTime::default();
    let late = [(9.0, 100.0)];
    assert_eq!(unit_time.estimate(now, 0.01, late.into_iter()), None);
    for _ in 0..10 {
        unit_time.record(now, 100.0, 1.0);
    }
    let near = |seconds: Option<f64>, expected: f64| {
        let seconds = seconds.expect("requests have ended");
        assert!((seconds - expected).abs() < 0.001, "{seconds}");
    };
    let short = [(0.2, 100.0), (0.5, 100.0)];
    let long = [(5.0, 100.0), (5.0, 100.0)];
    let one = (0..20).map(|n| (if n == 0 { 99.0 } else { 0.1 }, 100.0));
    near(unit_time.estimate(now, 0.004, std::iter::empty()), 0.01);
    near(unit_time.estimate(now, 0.004, short.into_iter()), 0.01);
    near(unit_time.estimate(now, 0.004, long.into_iter()), 0.05);
    near(unit_time.estimate(now, 0.004, one), 0.0105);
    let later = now + Duration::from_secs(5);
    near(unit_time.estimate(later, 0.004, std::iter::empty()), 0.004);
    near(unit_time.estimate(later, 0.004, long.into_iter()), 0.05);
}

/// A thousand callers of one burst are rejected. They are told to retry no faster
/// than they can be served, and none later than about half a minute.
#[test]
fn rejected_callers_are_told_to_retry_one_after_another() {
    let now = Instant::now();
    let mut backlog = RetryBacklog::new("chat".into(), now);
    let late = Duration::from_secs(1);
    let times: Vec<Duration> = (0..1_000)
        .map(|_| backlog.schedule(now, late, 100.0, 10_000.0, 0.0) - now)
        .collect();
    for second in 1..10 {
        let until = Duration::from_secs(second);
        let back = times.iter().filter(|time| **time <= until).count() as u64;
        assert!(back <= second * 100 + 1, "{back} in {second} s");
    }
    assert!(times.iter().all(|time| *time <= Duration::from_secs(30)));
    let later = now + Duration::from_secs(20);
    let next = backlog.schedule(later, late, 100.0, 10_000.0, 0.0);
    assert_eq!(next - later, late);
}
