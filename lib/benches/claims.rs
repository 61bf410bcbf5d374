//! Calls to the key-value service per booking and the latency that claims add, by the
//! rate of bookings and the size of the fleet.
//!
//! Runs on virtual time in steps of 5 ms, with 1 to 5 ms each way to the service. A
//! booking whose writes are shared with no other takes two writes, one for its claim
//! and one for its result.

use std::time::{Duration, Instant};

use poplarvale_lib::claims::{Claimer, Input, Key, KeyedRequest};
use testutils::platform::bookings::Bookings;

/// Virtual seconds in which bookings are sent.
const SECONDS: u64 = 30;
const SEED: u64 = 11;
/// Ticks of which the mean time is taken.
const TICKS: u32 = 1_000;
const MILLISECOND: Duration = Duration::from_millis(1);

/// Time of a tick with nothing to do, by the number of remembered claims.
fn ticks() {
    println!("{:>7} {:>10}", "claims", "tick us");
    for claims in [0, 1_000, 10_000] {
        let now = Instant::now();
        let mut claimer = Claimer::new(1, 1);
        let requests = (0..claims).map(|n| Input::Begin(request(now, n)));
        claimer.tick(now, requests.collect());
        let later = now + Duration::from_secs(3);
        claimer.tick(later, Vec::new());
        let before = Instant::now();
        for _ in 0..TICKS {
            claimer.tick(later, Vec::new());
        }
        let each = before.elapsed().as_secs_f64() * 1e6 / f64::from(TICKS);
        println!("{claims:>7} {each:>10.2}");
    }
}

fn request(now: Instant, n: u128) -> KeyedRequest {
    KeyedRequest {
        id: n,
        customer: "a".into(),
        key: Key::parse(&format!("k{n}")).expect("the key is well-formed"),
        digest: 1,
        deadline: now + Duration::from_secs(10),
        forwarded: false,
    }
}

fn main() {
    ticks();
    println!(
        "{:>7} {:>10} {:>14} {:>9} {:>10} {:>10} {:>10}",
        "daemons", "bookings/s", "calls/booking", "writes/s", "median ms", "99th ms", "worst ms"
    );
    for daemons in [8, 40, 400] {
        for rate in [1, 10, 100, 1_000] {
            measure(daemons, rate);
        }
    }
}

fn measure(daemons: usize, rate: u64) {
    let mut rng = fastrand::Rng::with_seed(SEED);
    let mut bookings = Bookings::new(daemons, SEED);
    let mut booked = 0_u64;
    for _ in 0..SECONDS * 200 {
        // Bookings to expect in a step of 5 ms; a fraction is the probability of one.
        let mut expected = rate as f64 / 200.0;
        while rng.f64() < expected {
            let key = Key::parse(&format!("k{booked}")).expect("the key is well-formed");
            bookings.book(rng.usize(0..daemons), "a", &key, 1);
            booked += 1;
            expected -= 1.0;
        }
        bookings.run(5 * MILLISECOND);
    }
    bookings.run(Duration::from_secs(5));
    assert_eq!(bookings.ran.len() as u64, booked, "all bookings ran");
    let mut waits = bookings.waits.clone();
    waits.sort();
    let percentile = |percent: usize| waits[(waits.len() - 1) * percent / 100].as_millis();
    let calls = bookings.store.counts.total() as f64;
    println!(
        "{daemons:>7} {rate:>10} {:>14.2} {:>9.1} {:>10} {:>10} {:>10}",
        calls / booked as f64,
        bookings.store.counts.writes as f64 / SECONDS as f64,
        percentile(50),
        percentile(99),
        percentile(100),
    );
}
