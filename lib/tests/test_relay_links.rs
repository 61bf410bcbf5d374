//! Whether a daemon's attempts are answered as often as those of the others.

use std::time::{Duration, Instant};

use poplarvale_lib::ServiceId;
use poplarvale_lib::relay::links::{LinkChange, Links, Results, without_own};
use poplarvale_lib::relay::load_reports::Reporter;
use poplarvale_lib::relay::quota::name_hash;
use proptest::prelude::*;

fn app() -> ServiceId {
    "app".into()
}

/// Links that know these results of all other daemons.
fn links(attempts: u32, answered: u32, now: Instant) -> Links {
    let mut links = Links::default();
    let results = Results { attempts, answered };
    links.merge(Reporter::Fleet, vec![(name_hash("app"), results)], now);
    links
}

/// Records results one after the other; returns whether the links are impaired then.
fn record(links: &mut Links, results: impl IntoIterator<Item = bool>, now: Instant) -> bool {
    for answered in results {
        links.record(&app(), answered, false, now);
    }
    links.impaired_since("app").is_some()
}

/// Guards against forwarding while the endpoints are at fault and no daemon fares better.
#[test]
fn links_are_sound_while_all_daemons_fare_alike() {
    let now = Instant::now();
    for answered in [0, 10, 30, 50] {
        let mut links = links(100, answered, now);
        let own = (0..60).map(|number| number % 10 < answered / 10);
        assert!(!record(&mut links, own, now), "{answered} of 100");
    }
    let mut unknown = Links::default();
    assert!(!record(&mut unknown, [false; 60], now), "nobody is heard");
}

/// Guards against a daemon that does not notice that only its own attempts fail.
#[test]
fn links_are_impaired_if_others_are_answered_far_more_often() {
    let now = Instant::now();
    let mut links = links(100, 95, now);
    assert!(!record(&mut links, [false; 3], now));
    assert!(record(&mut links, [false; 3], now));
    assert_eq!(links.impaired().collect::<Vec<_>>(), [&app()]);
}

/// Guards against a daemon that gives up sound links after a few attempts at failing endpoints, while
/// one attempt in five fails everywhere.
#[test]
fn a_few_failures_impair_no_links_while_attempts_fail_elsewhere_too() {
    let now = Instant::now();
    let mut lost_answers = links(30, 24, now);
    assert!(!record(&mut lost_answers, [false; 4], now));
    let mut other_zone_cut = links(40, 36, now);
    let own = [true, false, true, false, false];
    assert!(!record(&mut other_zone_cut, own, now));
    let mut failing = links(30, 24, now);
    assert!(record(&mut failing, [false; 8], now), "all fail here");
}

/// Guards against a daemon that never uses its links again, or at the first answer.
#[test]
fn links_are_used_again_after_sound_trials_in_a_row() {
    let mut now = Instant::now();
    let mut links = links(100, 95, now);
    assert!(record(&mut links, [false; 8], now));
    assert!(!links.take_trial("app", true, now), "not at once");
    let mut sound = 0;
    for answered in [true, false, true, true, true, true] {
        now += Duration::from_secs(3);
        assert!(links.take_trial("app", true, now));
        assert!(!links.take_trial("app", true, now), "one at a time");
        assert!(links.impaired_since("app").is_some());
        let change = links.record(&app(), answered, false, now);
        sound = if answered { sound + 1 } else { 0 };
        assert_eq!(matches!(change, LinkChange::Restored(_)), sound == 4);
    }
    assert_eq!(links.impaired_since("app"), None);
}

/// Guards against requests that are lost on trials though others could be repeated, and against trials
/// that never come where no request may be repeated.
#[test]
fn requests_that_may_not_be_repeated_are_tried_last() {
    let now = Instant::now();
    let mut links = links(100, 95, now);
    assert!(record(&mut links, [false; 8], now));
    assert!(!links.take_trial("app", false, now + Duration::from_secs(4)));
    assert!(links.take_trial("app", false, now + Duration::from_secs(10)));
}

/// Guards against daemons that go on forwarding to each other when the endpoints fail for all.
#[test]
fn links_are_used_again_when_nobody_is_answered() {
    let mut now = Instant::now();
    let mut links = links(100, 95, now);
    assert!(record(&mut links, [false; 8], now));
    now += Duration::from_secs(4);
    let failing = Results {
        attempts: 100,
        answered: 0,
    };
    links.merge(Reporter::Fleet, vec![(name_hash("app"), failing)], now);
    assert_eq!(links.expire(now), [app()]);
    assert_eq!(links.impaired_since("app"), None);
}

/// Guards against a daemon whose own failures hide in the sum that it compares itself with.
#[test]
fn own_results_are_no_part_of_those_elsewhere() {
    let row = |attempts, answered| (name_hash("app"), Results { attempts, answered });
    assert_eq!(without_own(vec![row(30, 20)], &[row(10, 1)]), [row(20, 19)]);
    assert_eq!(without_own(vec![row(3, 2)], &[row(10, 1)]), [row(0, 0)]);
}

proptest! {
    /// Guards against chance: attempts that fail as often as elsewhere hardly ever impair the links.
    #[test]
    fn chance_hardly_ever_impairs_links(share in 0.3_f64..1.0, seed in any::<u64>()) {
        let now = Instant::now();
        let mut random = fastrand::Rng::with_seed(seed);
        let impaired = (0..400).filter(|_| {
            let mut links = links(1000, (share * 1000.0) as u32, now);
            let own: Vec<bool> = (0..12).map(|_| random.f64() < share).collect();
            record(&mut links, own, now)
        });
        let impaired = impaired.count();
        prop_assert!(impaired <= 20, "{impaired} of 400 times at {share}");
    }
}
