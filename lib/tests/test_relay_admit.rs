//! What joins the queue of an engine when there are more prompts than can be read.

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
/// Prompt tokens that an engine reads in a second.
const READ: f64 = 50_000.0;
const SLOTS: u32 = 200;
const URGENT: u8 = 3;
const PATIENT: u8 = 5;

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

/// What became of the requests of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    asked: u32,
    in_time: u32,
    late: u32,
    refused: u32,
}

/// Plays ten seconds of prompts, twice as many as the engines can read: one long urgent
/// prompt for each three short patient ones. Engines read one after the other.
fn play(limited: bool) -> [Tally; 2] {
    let (service, mut table) = (service(), engines(ENGINES as u32, SLOTS));
    let start = Instant::now();
    let mut free = [start; ENGINES];
    let mut first: Vec<(Instant, String, u64)> = Vec::new();
    let mut tallies = [Tally::default(); 2];
    let mut now = start;
    let mut number = 0;
    while now < start + Duration::from_secs(10) {
        number += 1;
        let urgent = number % 4 == 0;
        let (input, rank) = if urgent {
            (20_000, URGENT)
        } else {
            (4000, PATIENT)
        };
        let prompt = Prompt {
            input,
            output: 100,
            guess: None,
            parts: vec![(number, input)],
        };
        first.sort();
        while let Some((at, id, began)) = first.first().cloned().filter(|row| row.0 <= now) {
            table.record_first_event(&id, began, at);
            if let Some(row) = table.get_mut(&id) {
                row.remove_request(began);
            }
            first.remove(0);
        }
        let wanted = Criteria {
            service: &service,
            prompt: Some(&prompt),
            target: TARGET,
            zone: "hanko",
            avoid: &[],
            versions: &Versions::Any,
            limits: limited.then(|| Limits::new(TARGET, rank, DEADLINE)),
            seed: 0,
            now,
        };
        let tally = &mut tallies[usize::from(urgent)];
        tally.asked += 1;
        match choose(&table, &wanted) {
            Ok(choice) => {
                book(&mut table, &wanted, &choice, number);
                let at = choice.id[1..].parse::<usize>().expect("its number");
                let begin = free[at].max(now);
                free[at] = begin + Duration::from_secs_f64(f64::from(input) / READ + 0.02);
                first.push((free[at], choice.id.to_string(), number));
                if free[at] <= now + TARGET {
                    tally.in_time += 1;
                } else {
                    tally.late += 1;
                }
            }
            Err(SelectError::Busy(again)) => {
                assert!(again > Duration::ZERO && again <= Duration::from_secs(2));
                tally.refused += 1;
            }
            Err(other) => panic!("{other:?}"),
        }
        // 50 prompts a second of 8,000 tokens on average: 400,000 of the 200,000.
        now += Duration::from_millis(20);
    }
    tallies
}

/// Twice as many prompts come as the engines can read, for ten seconds. Whatever is sent
/// waits behind all that was sent before: after two seconds nothing is in time any more,
/// and callers wait for an answer that comes too late.
#[test]
fn a_lasting_overload_leaves_what_is_let_in_on_time() {
    let [patient, urgent] = play(false);
    let plain = patient.in_time + urgent.in_time;
    let [patient_now, urgent_now] = play(true);
    let ours = patient_now.in_time + urgent_now.in_time;
    assert!(
        ours >= plain * 3 / 2,
        "{ours} in time, {plain} without limits"
    );
    let late = patient_now.late + urgent_now.late;
    assert!(late * 3 <= ours, "{late} late of {ours}");
    assert_eq!(patient.refused + urgent.refused, 0);
}

/// In the same overload the urgent prompts are the long ones. They must not be turned
/// away more often than patient ones, whose requests fill the queue by their number.
#[test]
fn in_an_overload_the_less_urgent_step_back_first() {
    let [patient, urgent] = play(true);
    let share = |tally: Tally| f64::from(tally.refused) / f64::from(tally.asked);
    assert!(share(urgent) < share(patient), "{urgent:?} {patient:?}");
}

/// An answer would take longer than its caller has, though nobody waits before it. It is
/// refused at once; waiting for the deadline would only hold the caller back.
#[test]
fn what_cannot_be_done_by_its_deadline_is_refused_at_once() {
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
