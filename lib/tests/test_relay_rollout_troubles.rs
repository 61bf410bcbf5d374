//! Version moves on virtual time beside faults that have nothing to do with the version.

use poplarvale_lib::relay::rollout::Outcome;

use crate::rollout_fleet::{Behaviour, GOOD, MoveResult, Setting, Trouble, simulate};

/// Versions that are bad in the ways that operators know.
const BAD: [Behaviour; 5] = [
    Behaviour { fails: 0.3, ..GOOD },
    Behaviour {
        fails: 0.15,
        ..GOOD
    },
    Behaviour {
        slow: 0.4,
        factor: 6.0,
        ..GOOD
    },
    Behaviour {
        fails: 0.35,
        one_route: true,
        ..GOOD
    },
    Behaviour {
        fails: 0.5,
        from: 0.6,
        ..GOOD
    },
];

/// Moves of 20 s beside a trouble, which begins and ends at various times.
fn beside(trouble: Trouble, new: Behaviour, seeds: u64) -> impl Iterator<Item = (u64, MoveResult)> {
    (0..seeds).map(move |seed| {
        let begin = seed % 4 * 3500;
        let setting = Setting {
            length_ms: 20_000,
            routes: 8,
            gap_ms: 30,
            new,
            trouble,
            span: (begin, begin + 3000 + seed % 3 * 2500),
        };
        (seed, simulate(setting, seed))
    })
}

/// Checks what callers may notice of bad versions beside a trouble.
fn assert_contained(trouble: Trouble) {
    let mut violations = Vec::new();
    for new in BAD {
        for (seed, result) in beside(trouble, new, 20) {
            let is_found = result.outcomes.contains(&Outcome::RolledBack);
            if result.late > 0 || result.moved > result.allowed() || !is_found {
                violations.push((new, seed, result));
            }
        }
    }
    let count = violations.len();
    assert!(violations.is_empty(), "{count}: {violations:#?}");
}

/// Checks that no good version is rolled back beside a trouble.
fn assert_kept(trouble: Trouble) {
    let results = beside(trouble, GOOD, 40);
    let wrong = results.filter(|(_, result)| result.outcomes.contains(&Outcome::RolledBack));
    let wrong: Vec<_> = wrong.map(|(seed, result)| (seed, result.found)).collect();
    assert!(wrong.is_empty(), "{trouble:?}: {wrong:?}");
}

/// A version turns bad some time after it got all requests. What it got before that is no measure, but
/// it must be rolled back in time after its first failures.
#[test]
fn a_version_that_turns_bad_with_all_requests_is_rolled_back_in_time() {
    let mut violations = Vec::new();
    for trouble in [Trouble::None, Trouble::Outage(0.4)] {
        let new = Behaviour {
            fails: 0.5,
            from: 0.65,
            ..GOOD
        };
        for (seed, result) in beside(trouble, new, 20) {
            if result.late > 0 || !result.outcomes.contains(&Outcome::RolledBack) {
                violations.push((trouble, seed, result));
            }
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Each trouble may neither hide a bad version nor get a good one rolled back.
macro_rules! beside_troubles {
    ($($name:ident: $trouble:expr,)*) => {
        mod a_bad_version_is_contained_beside {
            use super::*;
            $(
                #[test]
                fn $name() {
                    assert_contained($trouble);
                }
            )*
        }

        mod a_good_version_is_not_rolled_back_beside {
            use super::*;
            $(
                #[test]
                fn $name() {
                    assert_kept($trouble);
                }
            )*
        }
    };
}

beside_troubles! {
    nothing: Trouble::None,
    an_outage_of_a_fifth: Trouble::Outage(0.2),
    an_outage_of_two_fifths: Trouble::Outage(0.4),
    an_outage_of_half: Trouble::Outage(0.5),
    a_slowdown: Trouble::Slowdown(4.0),
    failing_endpoints: Trouble::Grey,
    slow_endpoints: Trouble::SlowEndpoints,
    crashes: Trouble::Crashes,
    daemons_that_are_cut_off: Trouble::CutOff,
    a_partition: Trouble::Partition,
    restarts: Trouble::Restarts,
    resets: Trouble::Resets,
}
