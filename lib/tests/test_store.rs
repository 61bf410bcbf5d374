//! The circuit breaker for the key-value service, the fake of the service, and base64.

use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use poplarvale_lib::store::{
    Allow, Breaker, Condition, Failure, PROBE_RATE, RECOVERY_RATE, RECOVERY_TIME, SLOW_ANSWER,
    Store as _, Write, from_base64, to_base64,
};
use proptest::prelude::*;
use testutils::platform::data::{FakeStore, put};

const STEP: Duration = Duration::from_millis(10);

/// Breakers of a fleet; every daemon tries a call at every step.
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

    /// Lets time pass and returns the number of calls that were sent in each second.
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

/// The service is down for a minute while every daemon has calls to make, and then
/// recovers. If all daemons called at once they would overload it again, and operators
/// would see a second outage right after the first.
#[test]
fn calls_stay_within_the_stated_rates_during_an_outage_and_the_recovery() {
    for daemons in [8, 40, 400] {
        let mut fleet = Fleet::new(daemons);
        fleet.run(1, true);
        let out = fleet.run(60, false);
        let probes = PROBE_RATE.max(f64::from(daemons));
        let worst = *out[1..].iter().max().unwrap();
        assert!(
            f64::from(worst) <= probes,
            "{daemons}: {worst} calls per second during the outage"
        );
        let back = fleet.run(RECOVERY_TIME.as_secs() as usize, true);
        let worst = f64::from(*back.iter().max().unwrap());
        let most = RECOVERY_RATE + PROBE_RATE;
        assert!(
            worst <= most,
            "{daemons}: {worst} calls per second during the recovery"
        );
    }
}

/// The service still responds, but each response takes longer than the caller of a
/// booking can wait. Calls must then fail at once instead of waiting each.
#[test]
fn a_slow_service_counts_as_unavailable() {
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

/// The task of a probe is cancelled before it records the result of the call. Without a
/// time limit the breaker would wait for the result forever, and the daemon would never
/// use the service again.
#[test]
fn a_probe_without_a_result_does_not_keep_the_breaker_open() {
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
    fn bytes_round_trip_through_base64(bytes in prop::collection::vec(any::<u8>(), 0..100)) {
        prop_assert_eq!(from_base64(&to_base64(&bytes)), Some(bytes));
    }
}

#[test]
fn base64_has_the_standard_alphabet_and_padding() {
    assert_eq!(to_base64(b"any carnal pleas"), "YW55IGNhcm5hbCBwbGVhcw==");
    for malformed in ["YQ", "Y===", "YQ=a", "Y Q="] {
        assert_eq!(from_base64(malformed), None, "{malformed}");
    }
}

/// Output of a future of the fake, which is always ready at once.
fn ready<T>(future: impl Future<Output = T>) -> T {
    let mut context = Context::from_waker(Waker::noop());
    let mut future = std::pin::pin!(future);
    match future.as_mut().poll(&mut context) {
        Poll::Ready(value) => value,
        Poll::Pending => panic!("futures of the fake are always ready"),
    }
}

/// The holder of a lease is paused until the lease has expired. The values attached to
/// the lease are deleted then, and another daemon may have written its own instead.
#[test]
fn values_of_an_expired_lease_are_deleted() {
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

/// The service takes longer for a write than the writer waits. The write takes effect all
/// the same, as with a lost response.
#[test]
fn a_write_to_a_slow_service_is_unknown_and_takes_effect() {
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
