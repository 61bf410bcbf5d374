//! Which endpoint gets a request, under loads that plain counting serves badly.

use std::time::{Duration, Instant};

use poplarvale_lib::relay::ask::Prompt;
use poplarvale_lib::relay::board::{Board, Flight, Others, Teller};
use poplarvale_lib::relay::catalog::{Engine, Service};
use poplarvale_lib::relay::evidence::Evidence;
use poplarvale_lib::relay::listing::Listing;
use poplarvale_lib::relay::place::{Choice, NoPlace, Wanted, book, choose};
use poplarvale_lib::relay::quota::name_hash;
use poplarvale_lib::relay::rollout::Versions;

use crate::relay_engines::engines;

fn service() -> Service {
    Service {
        name: "pool".into(),
        engine: Some(Engine {
            slots: 4,
            tokens: 600_000,
            stride: 5,
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

struct Trial {
    board: Board,
    service: Service,
    number: u64,
    now: Instant,
}

impl Trial {
    fn new(count: u32) -> Self {
        Self {
            board: engines(count, 4),
            service: service(),
            number: 0,
            now: Instant::now(),
        }
    }

    fn choose(&self, prompt: &Prompt) -> Result<Choice, NoPlace> {
        choose(&self.board, &self.wanted(prompt))
    }

    fn wanted<'r>(&'r self, prompt: &'r Prompt) -> Wanted<'r> {
        Wanted {
            versions: &Versions::Any,
            service: &self.service,
            prompt: Some(prompt),
            target: Duration::from_secs(1),
            zone: "hanko",
            avoid: &[],
            limits: None,
            draw: 0,
            now: self.now,
        }
    }

    fn send(&mut self, prompt: &Prompt) -> Choice {
        let choice = self.choose(prompt).expect("there is room");
        self.number += 1;
        let service = self.service.clone();
        let wanted = Wanted {
            versions: &Versions::Any,
            service: &service,
            prompt: Some(prompt),
            target: Duration::from_secs(1),
            zone: "hanko",
            avoid: &[],
            limits: None,
            draw: 0,
            now: self.now,
        };
        book(&mut self.board, &wanted, &choice, self.number);
        choice
    }
}

/// A long plan is being read at one engine. Counting requests, both engines have
/// one, and a short question would wait half a second behind the plan.
#[test]
fn a_short_question_goes_past_a_long_prompt() {
    let mut trial = Trial::new(2);
    let long = trial.send(&prompt(1, 100, 40_000));
    let short = trial.send(&prompt(2, 100, 200));
    assert_ne!(long.id, short.id);
    let next = trial.send(&prompt(3, 100, 200));
    assert_eq!(short.id, next.id);
}

/// Requests of one session share the beginning of their prompts. Read again at
/// every engine, it would take twice the time.
#[test]
fn a_session_stays_where_its_beginning_is_held() {
    let mut trial = Trial::new(6);
    let first = trial.send(&prompt(5, 8000, 500));
    let began = trial.now + Duration::from_millis(200);
    trial.board.began(&first.id, 1, began);
    if let Some(row) = trial.board.get_mut(&first.id) {
        row.end(1);
    }
    let again = trial.choose(&prompt(5, 8000, 700)).expect("there is room");
    assert_eq!(again.id, first.id);
    assert!(again.own <= 700.0);
}

/// One session gets much of the traffic. Kept at its engine at all costs, its
/// requests would wait while other engines are idle.
#[test]
fn a_session_in_great_demand_is_spread() {
    let mut trial = Trial::new(4);
    let mut used = Vec::new();
    for _ in 0..8 {
        used.push(trial.send(&prompt(5, 2000, 6000)).id);
    }
    used.sort();
    used.dedup();
    assert!(used.len() >= 3, "{used:?}");
}

/// Daemons that do not hear each other choose the same engine for a new session,
/// so its beginning is read once.
#[test]
fn daemons_agree_on_an_engine_without_a_word() {
    let one = Trial::new(9).choose(&prompt(11, 5000, 500));
    let other = Trial::new(9).choose(&prompt(11, 5000, 900));
    assert_eq!(one.map(|choice| choice.id), other.map(|choice| choice.id));
}

/// Other daemons fill an engine. One that looks only at its own requests would
/// send there too, and be refused.
#[test]
fn what_other_daemons_sent_counts() {
    let mut trial = Trial::new(2);
    let full = Others {
        requests: 4,
        tokens: 9000.0,
    };
    trial.board.hear(
        Teller::Daemon(1, "b".into()),
        vec![(name_hash("e0"), full)],
        trial.now,
    );
    for session in 20..24 {
        assert_eq!(trial.send(&prompt(session, 100, 100)).id, "e1");
    }
    assert_eq!(trial.choose(&prompt(30, 100, 100)), Err(NoPlace::Full));
}

/// An engine turns ten times slower while it says that it is well. Its first
/// answers show it, and the next requests go elsewhere.
#[test]
fn a_slow_engine_is_left_for_the_others() {
    let mut trial = Trial::new(3);
    let slow = "e1";
    for round in 0..6 {
        let flight = Flight {
            number: 900 + round,
            own: 1000.0,
            ahead: 0.0,
            memory: 1000,
            sent: trial.now,
            began: None,
        };
        let came = trial.now + Duration::from_millis(450);
        if let Some(row) = trial.board.get_mut(slow) {
            row.send(flight);
        }
        trial.board.began(slow, 900 + round, came);
        if let Some(row) = trial.board.get_mut(slow) {
            row.end(900 + round);
        }
        trial.now += Duration::from_millis(round);
    }
    for session in 40..46 {
        let choice = trial.send(&prompt(session, 100, 1000));
        assert_ne!(choice.id, slow);
    }
}

/// An engine fails its requests while its health check passes. It is left out, and
/// comes back by a trial with one real request, not by all of them at once.
#[test]
fn a_failing_endpoint_is_left_out_and_tried_with_one_request() {
    let now = Instant::now();
    let mut evidence = Evidence::default();
    for _ in 0..6 {
        evidence.bad(now);
    }
    assert!(!evidence.is_fit(now));
    let later = now + Duration::from_secs(1);
    assert!(evidence.is_fit(later));
    evidence.sent();
    assert!(!evidence.is_fit(later));
    evidence.good();
    assert!(evidence.is_fit(later));
}

/// Some services fail 14 of 100 requests by themselves. Leaving their endpoints out
/// for it would leave none.
#[test]
fn a_few_failures_leave_no_endpoint_out() {
    let now = Instant::now();
    let mut evidence = Evidence::default();
    for at in 0..700 {
        if at % 7 == 0 {
            evidence.bad(now);
        } else {
            evidence.good();
        }
        assert!(evidence.is_fit(now));
    }
}

/// Plain endpoints of six zones as many daemons see them. Each daemon knows what it sent
/// itself, what those of its zone had in progress at their last words, and the same of each
/// other zone as a whole.
struct Herd {
    service: Service,
    start: Instant,
    boards: Vec<Board>,
    /// When the requests in progress at each endpoint end.
    ends: Vec<Vec<Instant>>,
    random: fastrand::Rng,
    number: u64,
    /// Requests in progress: their end, who sent them and the endpoint's number.
    sent: Vec<(Instant, usize, usize, u64)>,
}

impl Herd {
    const ZONES: usize = 6;
    const DAEMONS: usize = 96;
    const SLOTS: usize = 6;
    /// Milliseconds between two words of a daemon.
    const PERIOD: u64 = 264;

    fn new() -> Self {
        let mut board = Board::default();
        for at in 0..Self::ZONES {
            board.put(Listing {
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
            });
        }
        Self {
            service: Service {
                name: "app".into(),
                ..Service::default()
            },
            start: Instant::now(),
            boards: vec![board; Self::DAEMONS],
            ends: vec![Vec::new(); Self::ZONES],
            random: fastrand::Rng::with_seed(3),
            number: 0,
            sent: Vec::new(),
        }
    }

    /// Tells what one daemon has in progress to its zone, and if it is the first of its
    /// zone what that has as a whole to the others.
    fn tell(&mut self, from: usize, now: Instant) {
        let zone = from % Self::ZONES;
        let own = self.boards[from].rows().iter();
        let own: Vec<_> = own.map(|row| (row.hash, row.own())).collect();
        let word = self.boards[from].tell_zone(zone as u32);
        for to in (0..Self::DAEMONS).filter(|to| *to != from) {
            let board = &mut self.boards[to];
            if to % Self::ZONES == zone {
                let teller = Teller::Daemon(zone as u32, format!("d{from}").into());
                board.hear(teller, own.clone(), now);
            } else if from < Self::ZONES {
                board.hear(Teller::Zone(zone as u32), word.clone(), now);
            }
        }
    }

    fn end(&mut self, now: Instant) {
        for (_, from, to, number) in self.sent.extract_if(.., |row| row.0 <= now) {
            let row = self.boards[from].get_mut(&format!("e{to}"));
            row.expect("it stands").end(number);
        }
    }

    /// Sends a request from a daemon; gives how long it waits at its endpoint for a slot.
    fn send(&mut self, from: usize, work: Duration, now: Instant) -> Duration {
        let zone = format!("z{}", from % Self::ZONES);
        let wanted = Wanted {
            versions: &Versions::Any,
            service: &self.service,
            prompt: None,
            target: Duration::from_millis(300),
            zone: &zone,
            avoid: &[],
            limits: None,
            draw: self.random.u64(..),
            now,
        };
        let choice = choose(&self.boards[from], &wanted).expect("there is room");
        self.number += 1;
        book(&mut self.boards[from], &wanted, &choice, self.number);
        let to: usize = choice.id[1..].parse().expect("a number");
        let ends = &mut self.ends[to];
        ends.retain(|end| *end > now);
        ends.sort_unstable();
        let free = ends.len().checked_sub(Self::SLOTS).map(|at| ends[at]);
        let begin = free.unwrap_or(now);
        ends.push(begin + work);
        self.sent.push((begin + work, from, to, self.number));
        begin - now
    }

    /// Sends so many requests a second of 60 ms for a minute; gives how many there were,
    /// and how many waited for more than 100 ms.
    fn play(&mut self, rate: f64) -> (u32, u32) {
        let (mut all, mut late) = (0, 0);
        for millis in 0..60_000_u64 {
            let now = self.start + Duration::from_millis(millis);
            self.end(now);
            for from in 0..Self::DAEMONS {
                if (millis + from as u64 * 11).is_multiple_of(Self::PERIOD) {
                    self.tell(from, now);
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
/// that come through daemons of six zones that hear one another four times a second. Whoever
/// is told to have nothing to do must not get the requests of all zones until the next word.
#[test]
fn plain_requests_do_not_herd_to_the_endpoint_that_looked_idle() {
    for rate in [150.0, 260.0] {
        let (all, late) = Herd::new().play(rate);
        assert!(late * 200 < all, "{late} of {all} at {rate} a second");
    }
}
