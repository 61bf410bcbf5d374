//! Endpoint selection under loads for which the fewest requests are a bad criterion.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use poplarvale_lib::relay::breaker::CircuitBreaker;
use poplarvale_lib::relay::catalog::{Engine, Service};
use poplarvale_lib::relay::endpoint_table::{EndpointTable, InFlight};
use poplarvale_lib::relay::limit::{AnnouncedLimit, Source};
use poplarvale_lib::relay::listing::Listing;
use poplarvale_lib::relay::load_reports::{Load, Reporter};
use poplarvale_lib::relay::quota::name_hash;
use poplarvale_lib::relay::request::Prompt;
use poplarvale_lib::relay::rollout::Versions;
use poplarvale_lib::relay::selection::{Choice, Criteria, SelectError, book, choose, sharers};
use poplarvale_lib::relay::sharers::Sharers;

use crate::relay_engines::engines;

fn service() -> Service {
    Service {
        name: "pool".into(),
        engine: Some(Engine {
            slots: 4,
            kv_tokens: 600_000,
            event_tokens: 5,
        }),
        ..Service::default()
    }
}

fn prompt(session: u64, shared: u32, own: u32) -> Prompt {
    Prompt {
        input: shared + own,
        output: 100,
        guess: None,
        parts: vec![(session, shared), (session * 1000 + 7, own)],
    }
}

struct Fixture {
    table: EndpointTable,
    service: Service,
    number: u64,
    now: Instant,
}

impl Fixture {
    fn new(count: u32) -> Self {
        Self {
            table: engines(count, 4),
            service: service(),
            number: 0,
            now: Instant::now(),
        }
    }

    fn choose(&self, prompt: &Prompt) -> Result<Choice, SelectError> {
        choose(&self.table, &self.criteria(prompt))
    }

    fn criteria<'r>(&'r self, prompt: &'r Prompt) -> Criteria<'r> {
        Criteria {
            versions: &Versions::Any,
            service: &self.service,
            prompt: Some(prompt),
            target: Duration::from_secs(1),
            zone: "hanko",
            avoid: &[],
            homes: None,
            limits: None,
            sound_since: None,
            seed: 0,
            now: self.now,
        }
    }

    fn send(&mut self, prompt: &Prompt) -> Choice {
        let choice = self.choose(prompt).expect("an endpoint has room");
        self.number += 1;
        let service = self.service.clone();
        let criteria = Criteria {
            versions: &Versions::Any,
            service: &service,
            prompt: Some(prompt),
            target: Duration::from_secs(1),
            zone: "hanko",
            avoid: &[],
            homes: None,
            limits: None,
            sound_since: None,
            seed: 0,
            now: self.now,
        };
        book(&mut self.table, &criteria, &choice, self.number);
        choice
    }
}

/// One engine prefills a long prompt. By number of requests, both engines are equal after a
/// short prompt was sent to the other, and the next short one would wait half a second behind
/// the long prompt.
#[test]
fn a_short_prompt_avoids_the_engine_with_a_long_one() {
    let mut fixture = Fixture::new(2);
    let long = fixture.send(&prompt(1, 100, 40_000));
    let short = fixture.send(&prompt(2, 100, 200));
    assert_ne!(long.id, short.id);
    let next = fixture.send(&prompt(3, 100, 200));
    assert_eq!(short.id, next.id);
}

/// Requests of one session share a prefix of their prompts. If every engine had to prefill it
/// again, that would take twice the time.
#[test]
fn a_session_stays_where_its_prefix_is_cached() {
    let mut fixture = Fixture::new(6);
    let first = fixture.send(&prompt(5, 8000, 500));
    let began = fixture.now + Duration::from_millis(200);
    fixture.table.record_first_event(&first.id, 1, began);
    if let Some(row) = fixture.table.get_mut(&first.id) {
        row.remove_request(1);
    }
    let again = fixture
        .choose(&prompt(5, 8000, 700))
        .expect("an endpoint has room");
    assert_eq!(again.id, first.id);
    assert!(again.prefill <= 700.0);
}

/// One session has much of the traffic. If all its requests were sent to the same engine, they
/// would wait while other engines are idle.
#[test]
fn a_busy_session_is_spread_over_engines() {
    let mut fixture = Fixture::new(4);
    let mut used = Vec::new();
    for _ in 0..8 {
        used.push(fixture.send(&prompt(5, 2000, 6000)).id);
    }
    used.sort();
    used.dedup();
    assert!(used.len() >= 3, "{used:?}");
}

/// Daemons that receive nothing from each other choose the same engine for a new session, so
/// that its prefix is prefilled once.
#[test]
fn daemons_agree_on_an_engine_without_messages() {
    let one = Fixture::new(9).choose(&prompt(11, 5000, 500));
    let other = Fixture::new(9).choose(&prompt(11, 5000, 900));
    assert_eq!(one.map(|choice| choice.id), other.map(|choice| choice.id));
}

/// Other daemons fill an engine. A daemon that counts only its own requests would send to that
/// engine too, and be rejected.
#[test]
fn load_from_other_daemons_counts() {
    let mut fixture = Fixture::new(2);
    let full = Load {
        requests: 4,
        tokens: 9000.0,
    };
    fixture.table.apply_report(
        Reporter::Daemon(1, "b".into()),
        vec![(name_hash("e0"), full)],
        fixture.now,
    );
    for session in 20..24 {
        assert_eq!(fixture.send(&prompt(session, 100, 100)).id, "e1");
    }
    assert_eq!(
        fixture.choose(&prompt(30, 100, 100)),
        Err(SelectError::Full)
    );
}

/// Guards against requests that are rejected while other daemons have a share of an endpoint's
/// limit left, and against requests that are forwarded in vain.
#[test]
fn requests_beyond_a_share_go_to_the_other_sharers_of_endpoints_with_room() {
    let mut fixture = Fixture::new(1);
    let others: Vec<Ipv4Addr> = (2..=9).map(|host| Ipv4Addr::new(10, 0, 0, host)).collect();
    let daemons = Sharers {
        me: Ipv4Addr::new(10, 0, 0, 1),
        others: others.clone(),
        is_isolated: false,
    };
    fixture.table.set_sharers(daemons, fixture.now);
    let row = &fixture.table.rows()[0];
    let (hash, id) = (row.hash, row.listing.id.clone());
    let limit = AnnouncedLimit {
        rate: Some(1.0),
        at: fixture.now,
    };
    fixture.table.merge_limit(hash, limit, Source::Zone);
    let prompt = prompt(1, 2_000, 100);
    assert!(matches!(
        fixture.choose(&prompt),
        Err(SelectError::Shares(_))
    ));
    let found = sharers(&fixture.table, &fixture.criteria(&prompt)).expect("some share it");
    assert!((3..=4).contains(&found.len()), "{found:?}");
    assert!(found.iter().all(|daemon| others.contains(daemon)));
    let until = fixture.now + Duration::from_secs(1);
    let row = fixture.table.get_mut(&id).expect("it is known");
    row.full_until = Some(until);
    assert!(matches!(fixture.choose(&prompt), Err(SelectError::Busy(_))));
    let row = fixture.table.get_mut(&id).expect("it is known");
    row.full_until = None;
    row.rest_until = Some(until);
    let criteria = fixture.criteria(&prompt);
    assert!(matches!(
        choose(&fixture.table, &criteria),
        Err(SelectError::Busy(_))
    ));
    assert!(sharers(&fixture.table, &criteria).is_err());
}

/// An engine becomes ten times slower while its health check passes. Its first answers show
/// that, and the next requests go to other engines.
#[test]
fn a_slow_engine_is_avoided() {
    let mut fixture = Fixture::new(3);
    let slow = "e1";
    for round in 0..6 {
        let request = InFlight {
            number: 900 + round,
            prefill: 1000.0,
            ahead: 0.0,
            kv_tokens: 1000,
            pace: 1.0,
            sent: fixture.now,
            first_event: None,
        };
        let came = fixture.now + Duration::from_millis(450);
        if let Some(row) = fixture.table.get_mut(slow) {
            row.add_request(request);
        }
        fixture.table.record_first_event(slow, 900 + round, came);
        if let Some(row) = fixture.table.get_mut(slow) {
            row.remove_request(900 + round);
        }
        fixture.now += Duration::from_millis(round);
    }
    for session in 40..46 {
        let choice = fixture.send(&prompt(session, 100, 1000));
        assert_ne!(choice.id, slow);
    }
}

/// An engine fails its requests while its health check passes. It is excluded, and comes back
/// after a trial with one real request, not with all requests at once.
#[test]
fn a_failing_endpoint_is_excluded_and_tried_with_one_request() {
    let now = Instant::now();
    let mut breaker = CircuitBreaker::default();
    for _ in 0..6 {
        breaker.record_failure(now);
    }
    assert!(!breaker.allows_request(now));
    let later = now + Duration::from_secs(1);
    assert!(breaker.allows_request(later));
    breaker.record_sent();
    assert!(!breaker.allows_request(later));
    breaker.record_success();
    assert!(breaker.allows_request(later));
}

/// Some services usually fail 14 of 100 requests. If their endpoints were excluded for that,
/// none would be left.
#[test]
fn a_few_failures_exclude_no_endpoint() {
    let now = Instant::now();
    let mut breaker = CircuitBreaker::default();
    for at in 0..700 {
        if at % 7 == 0 {
            breaker.record_failure(now);
        } else {
            breaker.record_success();
        }
        assert!(breaker.allows_request(now));
    }
}

/// Simulation of many daemons that send plain requests to endpoints of six zones. Each daemon
/// knows its own load, the last reported load of each daemon of its zone, and that of each other
/// zone as a whole.
struct Simulation {
    service: Service,
    start: Instant,
    tables: Vec<EndpointTable>,
    /// When the requests in progress at each endpoint end.
    ends: Vec<Vec<Instant>>,
    random: fastrand::Rng,
    number: u64,
    /// Requests in progress: end, number of the daemon, number of the endpoint, and number of
    /// the request.
    in_flight: Vec<(Instant, usize, usize, u64)>,
}

impl Simulation {
    const ZONES: usize = 6;
    const DAEMONS: usize = 96;
    const SLOTS: usize = 6;
    /// Milliseconds between two reports of a daemon.
    const PERIOD_MS: u64 = 264;

    fn new() -> Self {
        let mut table = EndpointTable::default();
        for at in 0..Self::ZONES {
            table.put(Listing {
                id: format!("e{at}").into(),
                service: "app".into(),
                address: format!("10.0.0.{at}:1").parse().expect("an address"),
                zone: format!("z{at}").into(),
                version: "v1".into(),
                slots: Self::SLOTS as u32,
                leaving: false,
                spot: false,
                born: None,
                count: 1,
                cold: None,
            });
        }
        Self {
            service: Service {
                name: "app".into(),
                ..Service::default()
            },
            start: Instant::now(),
            tables: vec![table; Self::DAEMONS],
            ends: vec![Vec::new(); Self::ZONES],
            random: fastrand::Rng::with_seed(3),
            number: 0,
            in_flight: Vec::new(),
        }
    }

    /// Reports the load of one daemon to the daemons of its zone, and, if it is the first daemon
    /// of its zone, the load of the zone to all others.
    fn report(&mut self, from: usize, now: Instant) {
        let zone = from % Self::ZONES;
        let local = self.tables[from].rows().iter();
        let local: Vec<_> = local.map(|row| (row.hash, row.local_load())).collect();
        let zone_load = self.tables[from].zone_load(zone as u32);
        for to in (0..Self::DAEMONS).filter(|to| *to != from) {
            let table = &mut self.tables[to];
            if to % Self::ZONES == zone {
                let reporter = Reporter::Daemon(zone as u32, format!("d{from}").into());
                table.apply_report(reporter, local.clone(), now);
            } else if from < Self::ZONES {
                table.apply_report(Reporter::Zone(zone as u32), zone_load.clone(), now);
            }
        }
    }

    fn end(&mut self, now: Instant) {
        for (_, from, to, number) in self.in_flight.extract_if(.., |row| row.0 <= now) {
            let row = self.tables[from].get_mut(&format!("e{to}"));
            row.expect("the endpoint is in the table")
                .remove_request(number);
        }
    }

    /// Sends a request from a daemon; returns how long it waits for a slot at its endpoint.
    fn send(&mut self, from: usize, work: Duration, now: Instant) -> Duration {
        let zone = format!("z{}", from % Self::ZONES);
        let criteria = Criteria {
            versions: &Versions::Any,
            service: &self.service,
            prompt: None,
            target: Duration::from_millis(300),
            zone: &zone,
            avoid: &[],
            homes: None,
            limits: None,
            sound_since: None,
            seed: self.random.u64(..),
            now,
        };
        let choice = choose(&self.tables[from], &criteria).expect("an endpoint has room");
        self.number += 1;
        book(&mut self.tables[from], &criteria, &choice, self.number);
        let to: usize = choice.id[1..].parse().expect("a number");
        let ends = &mut self.ends[to];
        ends.retain(|end| *end > now);
        ends.sort_unstable();
        let free = ends.len().checked_sub(Self::SLOTS).map(|at| ends[at]);
        let begin = free.unwrap_or(now);
        ends.push(begin + work);
        self.in_flight.push((begin + work, from, to, self.number));
        begin - now
    }

    /// Sends `rate` requests a second of 60 ms on average for a minute; returns how many there
    /// were, and how many waited for more than 100 ms.
    fn run(&mut self, rate: f64) -> (u32, u32) {
        let (mut all, mut late) = (0, 0);
        for millis in 0..60_000_u64 {
            let now = self.start + Duration::from_millis(millis);
            self.end(now);
            for from in 0..Self::DAEMONS {
                if (millis + from as u64 * 11).is_multiple_of(Self::PERIOD_MS) {
                    self.report(from, now);
                }
            }
            if self.random.f64() < rate / 1000.0 {
                let from = self.random.usize(..Self::DAEMONS);
                let work = Duration::from_millis(self.random.u64(30..90));
                all += 1;
                late += u32::from(self.send(from, work, now) > Duration::from_millis(100));
            }
        }
        (all, late)
    }
}

/// Six endpoints of six slots each are a quarter busy, and then nearly half, with requests
/// that come through daemons of six zones which report to each other four times a second. An
/// endpoint that is reported idle must not get the requests of all zones until the next report.
#[test]
fn plain_requests_do_not_herd_to_the_endpoint_that_looked_idle() {
    for rate in [150.0, 260.0] {
        let (all, late) = Simulation::new().run(rate);
        assert!(late * 200 < all, "{late} of {all} at {rate} a second");
    }
}
