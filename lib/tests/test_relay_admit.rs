//! Admission to the queues of engines when more prompts come than they can prefill.

use std::time::{Duration, Instant};

use poplarvale_lib::relay::admit::Limits;
use poplarvale_lib::relay::catalog::{Engine, Service};
use poplarvale_lib::relay::request::Prompt;
use poplarvale_lib::relay::rollout::Versions;
use poplarvale_lib::relay::selection::{Criteria, SelectError, book, choose};

use crate::relay_engines::engines;

const ENGINES: usize = 4;
const TARGET: Duration = Duration::from_secs(1);
const DEADLINE: Duration = Duration::from_secs(8);
/// Prompt tokens that an engine prefills in a second.
const PREFILL_RATE: f64 = 50_000.0;
const SLOTS: u32 = 200;
const URGENT: u8 = 3;
const RELAXED: u8 = 5;

fn service() -> Service {
    Service {
        name: "pool".into(),
        engine: Some(Engine {
            slots: SLOTS,
            kv_tokens: 6_000_000,
            event_tokens: 5,
        }),
        target: Some(TARGET),
        ..Service::default()
    }
}

/// Outcomes of the requests of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    sent: u32,
    in_time: u32,
    late: u32,
    rejected: u32,
}

/// Simulates ten seconds of prompts, twice as many as the engines can prefill: one long
/// urgent prompt for each three short, less urgent ones. An engine prefills one prompt after
/// the other.
fn simulate(limited: bool) -> [Tally; 2] {
    let (service, mut table) = (service(), engines(ENGINES as u32, SLOTS));
    let start = Instant::now();
    let mut free = [start; ENGINES];
    let mut running: Vec<(Instant, String, u64)> = Vec::new();
    let mut tallies = [Tally::default(); 2];
    let mut now = start;
    let mut number = 0;
    while now < start + Duration::from_secs(10) {
        number += 1;
        let urgent = number % 4 == 0;
        let (input, rank) = if urgent {
            (20_000, URGENT)
        } else {
            (4000, RELAXED)
        };
        let prompt = Prompt {
            input,
            output: 100,
            guess: None,
            parts: vec![(number, input)],
        };
        running.sort();
        while let Some((at, id, began)) = running.first().cloned().filter(|row| row.0 <= now) {
            table.record_first_event(&id, began, at);
            if let Some(row) = table.get_mut(&id) {
                row.remove_request(began);
            }
            running.remove(0);
        }
        let wanted = Criteria {
            service: &service,
            prompt: Some(&prompt),
            target: TARGET,
            zone: "hanko",
            avoid: &[],
            versions: &Versions::Any,
            homes: None,
            limits: limited.then(|| Limits::new(TARGET, rank, DEADLINE)),
            sound_since: None,
            seed: 0,
            now,
        };
        let tally = &mut tallies[usize::from(urgent)];
        tally.sent += 1;
        match choose(&table, &wanted) {
            Ok(choice) => {
                book(&mut table, &wanted, &choice, number);
                let at = choice.id[1..]
                    .parse::<usize>()
                    .expect("the number of an engine");
                let begin = free[at].max(now);
                free[at] = begin + Duration::from_secs_f64(f64::from(input) / PREFILL_RATE + 0.02);
                running.push((free[at], choice.id.to_string(), number));
                if free[at] <= now + TARGET {
                    tally.in_time += 1;
                } else {
                    tally.late += 1;
                }
            }
            Err(SelectError::Busy(retry_after)) => {
                assert!(retry_after > Duration::ZERO && retry_after <= Duration::from_secs(2));
                tally.rejected += 1;
            }
            Err(other) => panic!("{other:?}"),
        }
        // 50 prompts a second of 8,000 tokens on average: 400,000 tokens a second, where the
        // engines prefill 200,000.
        now += Duration::from_millis(20);
    }
    tallies
}

/// Twice as many prompts come as the engines can prefill, for ten seconds. Without limits
/// each waits behind all that were sent before: after two seconds none is in time any more,
/// and callers wait for answers that come too late.
#[test]
fn a_lasting_overload_leaves_admitted_requests_on_time() {
    let [relaxed, urgent] = simulate(false);
    let unlimited = relaxed.in_time + urgent.in_time;
    let [relaxed_limited, urgent_limited] = simulate(true);
    let limited = relaxed_limited.in_time + urgent_limited.in_time;
    assert!(
        limited >= unlimited * 3 / 2,
        "{limited} in time, {unlimited} without limits"
    );
    let late = relaxed_limited.late + urgent_limited.late;
    assert!(late * 3 <= limited, "{late} late, {limited} in time");
    assert_eq!(relaxed.rejected + urgent.rejected, 0);
}

/// In the same overload the urgent prompts are the long ones. They must not be rejected
/// more often than the less urgent ones, which fill the queue by their number.
#[test]
fn in_an_overload_the_less_urgent_are_rejected_first() {
    let [relaxed, urgent] = simulate(true);
    let share = |tally: Tally| f64::from(tally.rejected) / f64::from(tally.sent);
    assert!(share(urgent) < share(relaxed), "{urgent:?} {relaxed:?}");
}

/// A request would miss its deadline even with an empty queue. It is rejected at once;
/// waiting until the deadline would only delay its caller.
#[test]
fn a_request_that_cannot_meet_its_deadline_is_rejected_at_once() {
    let limits = Limits::new(TARGET, URGENT, Duration::from_secs(1));
    assert!(
        limits
            .check(Duration::ZERO, Duration::from_millis(900))
            .is_ok()
    );
    assert!(
        limits
            .check(Duration::ZERO, Duration::from_secs(5))
            .is_err()
    );
}
