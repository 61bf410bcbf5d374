//! Retry budgets of all daemons together, on virtual time, against the stated bound.

use std::time::{Duration, Instant};

use poplarvale_lib::ServiceId;
use poplarvale_lib::relay::budget::Budget;
use poplarvale_lib::relay::request::Origin;
use proptest::prelude::*;

const DAEMONS: usize = 7;
const RATIO: f64 = 0.2;
const SLACK: f64 = 54.0;
const WINDOW: Duration = Duration::from_secs(10);
const STEP_MS: u64 = 20;
/// Requests in a step, over all daemons.
const REQUESTS: usize = 3;
/// Retries that a failed request asks for.
const RETRIES: usize = 2;

/// What happens at a moment.
#[derive(Clone, Debug)]
enum Event {
    /// Daemons are killed, and start at once.
    Restart(Vec<usize>),
    /// All callers use these daemons from now on.
    Move(Vec<usize>),
    /// Whether requests fail from now on.
    Fail(bool),
}

/// Daemons that share the budgets of one service.
struct Fleet {
    service: ServiceId,
    start: Instant,
    budgets: Vec<Budget>,
    /// Daemons that callers use.
    used: Vec<usize>,
    fails: bool,
    /// Milliseconds after the start.
    now: u64,
    requests: Vec<u64>,
    retries: Vec<u64>,
}

fn budget() -> Budget {
    Budget::new(RATIO, SLACK, WINDOW)
}

impl Fleet {
    fn new() -> Self {
        Self {
            service: "pool".into(),
            start: Instant::now(),
            budgets: (0..DAEMONS).map(|_| budget()).collect(),
            used: (0..DAEMONS).collect(),
            fails: false,
            now: 0,
            requests: Vec::new(),
            retries: Vec::new(),
        }
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Restart(daemons) => {
                for daemon in daemons {
                    self.budgets[*daemon] = budget();
                }
            }
            Event::Move(daemons) => self.used.clone_from(daemons),
            Event::Fail(fails) => self.fails = *fails,
        }
    }

    /// Plays traffic until a moment, in milliseconds after the start.
    fn play(&mut self, until: u64) {
        while self.now < until {
            let now = self.start + Duration::from_millis(self.now);
            for number in 0..REQUESTS {
                let turn = self.now / STEP_MS * REQUESTS as u64 + number as u64;
                let daemon = self.used[turn as usize % self.used.len()];
                let budget = &mut self.budgets[daemon];
                budget.record_fleet(Some(DAEMONS), now);
                budget.record_request(&self.service, Origin::Caller, now);
                self.requests.push(self.now);
                for _ in 0..if self.fails { RETRIES } else { 0 } {
                    if budget.try_retry(&self.service, now).granted {
                        self.retries.push(self.now);
                    }
                }
            }
            self.now += STEP_MS;
        }
    }

    /// Plays the events at their times and checks every window.
    fn run(mut self, events: &[(u64, Event)], end: u64) {
        for (at, event) in events {
            self.play(*at);
            self.apply(event);
        }
        self.play(end);
        let window = WINDOW.as_millis() as u64;
        let count = |rows: &[u64], from: u64, until: u64| {
            rows.partition_point(|at| *at <= until) - rows.partition_point(|at| *at < from)
        };
        for from in &self.retries {
            let retries = count(&self.retries, *from, from + window);
            let starts = [
                *from,
                from.saturating_sub(window),
                from.saturating_sub(window / 2),
            ];
            let requests = starts.map(|start| count(&self.requests, start, start + window));
            let requests = requests.into_iter().max().unwrap_or_default();
            let allowed = RATIO * requests as f64 + SLACK;
            assert!(
                retries as f64 <= allowed,
                "{retries} retries in the window from {from} ms on, {allowed} allowed"
            );
        }
    }
}

fn all() -> Vec<usize> {
    (0..DAEMONS).collect()
}

/// Guards against retries that are granted again after each restart within a window.
#[test]
fn daemons_that_restart_grant_no_retries_again() {
    let events = [
        (12_000, Event::Fail(true)),
        (13_000, Event::Restart(all())),
        (17_000, Event::Restart(all())),
    ];
    Fleet::new().run(&events, 30_000);
}

/// Guards against retries that two daemons grant for the same callers within a window.
#[test]
fn callers_that_change_daemons_are_granted_no_retries_again() {
    let events = [
        (0, Event::Move(vec![0, 1, 2])),
        (12_000, Event::Fail(true)),
        (14_000, Event::Move(vec![3, 4, 5, 6])),
        (17_000, Event::Move(vec![0])),
    ];
    Fleet::new().run(&events, 40_000);
}

/// Guards against a fixed number that each daemon takes for itself, as it started behind a cut and
/// knows no other one.
#[test]
fn daemons_that_hear_nobody_use_none_of_the_fixed_number() {
    let service = "pool".into();
    let start = Instant::now();
    let mut budget = budget();
    budget.record_fleet(None, start);
    budget.record_request(&service, Origin::Caller, start);
    let later = start + 2 * WINDOW;
    budget.record_fleet(None, later);
    assert!(!budget.try_retry(&service, later).granted);
}

/// Guards against first requests after the start of a whole deployment that are not retried.
#[test]
fn retries_are_granted_from_the_start_if_no_daemon_ran_before() {
    let service = "pool".into();
    let start = Instant::now() + WINDOW;
    for (is_idle, granted) in [(true, true), (false, false)] {
        let mut budget = budget();
        budget.record_fleet(Some(DAEMONS), start);
        if is_idle {
            budget.record_idle(start);
        }
        budget.record_request(&service, Origin::Caller, start);
        assert_eq!(budget.try_retry(&service, start).granted, granted);
    }
}

/// Guards against a fixed number that is divided by the few daemons on one side of a cut.
#[test]
fn daemons_that_are_cut_off_keep_their_part_of_the_fixed_number() {
    let service = "pool".into();
    let start = Instant::now();
    let mut budget = budget();
    budget.record_fleet(Some(DAEMONS), start);
    budget.record_request(&service, Origin::Caller, start);
    let mut retries = 0;
    for second in 0..40 {
        let now = start + Duration::from_secs(second);
        budget.record_fleet(Some(if second < 5 { DAEMONS } else { 1 }), now);
        retries += usize::from(budget.try_retry(&service, now).granted);
    }
    let windows = 4.0 + 1.0;
    assert!(
        retries > 0 && retries as f64 <= SLACK / DAEMONS as f64 * windows,
        "{retries}"
    );
}

/// Guards against retries that two daemons grant for the same request, after one forwarded it to
/// the other.
#[test]
fn a_forwarded_request_grants_no_retry_at_the_daemon_that_takes_it() {
    let service = "pool".into();
    let start = Instant::now();
    let mut budget = Budget::new(RATIO, 0.0, WINDOW);
    for step in 0..1000 {
        let now = start + Duration::from_millis(step * 5);
        budget.record_request(&service, Origin::Daemon, now);
    }
    let decision = budget.try_retry(&service, start + Duration::from_secs(5));
    assert!(!decision.granted);
}

fn event() -> impl Strategy<Value = Event> {
    let some = || prop::sample::subsequence(all(), 1..=DAEMONS);
    prop_oneof![
        some().prop_map(Event::Restart),
        some().prop_map(Event::Move),
        any::<bool>().prop_map(Event::Fail),
    ]
}

proptest! {
    #![proptest_config(testutils::fixed(64))]

    /// Whatever restarts, wherever callers go and whenever requests fail, no window has more retries
    /// than the budget.
    #[test]
    fn retries_stay_in_the_budget_whatever_restarts(
        rows in prop::collection::vec((100_u64..4000, event()), 1..16),
    ) {
        let mut at = 10_000;
        let mut events = vec![(at, Event::Fail(true))];
        for (pause, event) in rows {
            at += pause;
            events.push((at, event));
        }
        Fleet::new().run(&events, at + 12_000);
    }
}
