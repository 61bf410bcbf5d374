//! The breaker before the key-value service, the fake of it, and the text form
//! of bytes.

use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use poplarvale_lib::store::{
    Allow, Breaker, Condition, Failure, PROBE_RATE, RECOVERY_RATE, RECOVERY_TIME, SLOW_ANSWER,
    Store as _, Write, from_base64, to_base64,
};
use proptest::prelude::*;
use testutils::platform::data::{FakeStore, put};

const STEP: Duration = Duration::from_millis(10);

/// Breakers of a fleet, each with a call to make at every step.
struct Fleet {
    breakers: Vec<Breaker>,
    now: Instant,
}

impl Fleet {
    fn new(daemons: u32) -> Self {
        let breaker = |seed| {
            let mut breaker = Breaker::new(seed);
            breaker.set_daemons(daemons);
            breaker
        };
        Self {
            breakers: (0..u64::from(daemons)).map(breaker).collect(),
            now: Instant::now(),
        }
    }

    /// Lets time pass and tells the calls that went out in each second.
    fn run(&mut self, seconds: usize, answered: bool) -> Vec<u32> {
        let mut calls = vec![0; seconds];
        for step in 0..seconds * 100 {
            self.now += STEP;
            for breaker in &mut self.breakers {
                if breaker.allow(self.now) == Allow::Yes {
                    calls[step / 100] += 1;
                    breaker.record(self.now, self.now, answered);
                }
            }
        }
        calls
    }
}

/// The service is out for a minute while every daemon has calls to make, and
/// then returns. If all came back at once they would push it over again, and
/// operators would see a second outage right after the first.
#[test]
fn an_outage_and_the_return_from_it_stay_within_the_stated_rates() {
    for daemons in [8, 40, 400] {
        let mut fleet = Fleet::new(daemons);
        fleet.run(1, true);
        let out = fleet.run(60, false);
        let probes = PROBE_RATE.max(f64::from(daemons));
        let worst = *out[1..].iter().max().unwrap();
        assert!(f64::from(worst) <= probes, "{daemons}: {worst} while out");
        let back = fleet.run(RECOVERY_TIME.as_secs() as usize, true);
        let worst = f64::from(*back.iter().max().unwrap());
        let most = RECOVERY_RATE + PROBE_RATE;
        assert!(worst <= most, "{daemons}: {worst} on return");
    }
}

/// The service still answers, but each answer takes longer than a caller of a
/// booking can wait. Calls fail at once then, in place of each waiting.
#[test]
fn a_slow_service_counts_as_out() {
    let mut breaker = Breaker::new(1);
    let mut now = Instant::now();
    for _ in 0..3 {
        assert_eq!(breaker.allow(now), Allow::Yes);
        let sent = now;
        now += SLOW_ANSWER;
        breaker.record(now, sent, true);
    }
    assert!(breaker.is_open());
    assert!(matches!(breaker.allow(now), Allow::No(_)));
}

/// A probe's task is given up before it can tell how the call went. Without a
/// time limit the breaker would wait for it for ever, and the daemon would never
/// come back to the service.
#[test]
fn a_probe_that_tells_nothing_does_not_keep_the_breaker_open() {
    let mut breaker = Breaker::new(1);
    let mut now = Instant::now();
    for _ in 0..3 {
        breaker.allow(now);
        breaker.record(now, now, false);
    }
    now += Duration::from_secs(3);
    assert_eq!(breaker.allow(now), Allow::Yes);
    assert!(matches!(breaker.allow(now), Allow::No(_)));
    now += Duration::from_secs(3);
    assert_eq!(breaker.allow(now), Allow::Yes);
}

proptest! {
    #![proptest_config(testutils::fixed(64))]

    #[test]
    fn bytes_come_back_from_their_text(bytes in prop::collection::vec(any::<u8>(), 0..100)) {
        prop_assert_eq!(from_base64(&to_base64(&bytes)), Some(bytes));
    }
}

#[test]
fn base64_is_the_standard_one() {
    assert_eq!(to_base64(b"any carnal pleas"), "YW55IGNhcm5hbCBwbGVhcw==");
    for malformed in ["YQ", "Y===", "YQ=a", "Y Q="] {
        assert_eq!(from_base64(malformed), None, "{malformed}");
    }
}

/// Runs a future of the fake, which is ready at once.
fn ready<T>(future: impl Future<Output = T>) -> T {
    let mut context = Context::from_waker(Waker::noop());
    let mut future = std::pin::pin!(future);
    match future.as_mut().poll(&mut context) {
        Poll::Ready(value) => value,
        Poll::Pending => panic!("the fake waits for nothing"),
    }
}

/// The holder of a lease is paused for longer than it lasts. What hung on the
/// lease is gone then, and another daemon may have put its own in its place.
#[test]
fn what_hangs_on_a_lapsed_lease_is_gone() {
    let store = FakeStore::new(Instant::now());
    let lease = ready(store.grant(Duration::from_secs(5))).unwrap();
    let mut put = put("mover", "me");
    put.lease = lease.id;
    let write = Write {
        conditions: vec![Condition::Absent("mover".into())],
        puts: vec![put],
    };
    ready(store.write(write)).unwrap();
    assert_eq!(ready(store.get("mover")).unwrap().rows.len(), 1);
    store.now.set(lease.until);
    assert!(ready(store.get("mover")).unwrap().rows.is_empty());
    assert_eq!(ready(store.renew(lease.id)), Ok(None));
}

/// The service takes longer for a write than the writer waits. It takes effect
/// all the same, as with a lost answer.
#[test]
fn a_write_to_a_slow_service_is_unknown_and_stands() {
    let store = FakeStore::new(Instant::now());
    store.fake.borrow_mut().faults.slow_ms = 2_000;
    let write = Write {
        conditions: Vec::new(),
        puts: vec![put("a", "one")],
    };
    assert_eq!(ready(store.write(write)), Err(Failure::Unknown));
    store.fake.borrow_mut().faults.slow_ms = 0;
    assert_eq!(ready(store.get("a")).unwrap().rows[0].value, "one");
}
