//! The moves that are played: good versions and bad ones of every kind.

use poplarvale_lib::moves::FULL_SHARE;
use poplarvale_lib::moves::stages::Scale;

use crate::{ENDPOINTS, REPEATS};

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Harm {
    None,
    /// This share of requests fails.
    Fail(f64),
    /// Requests take this many times as long.
    Slow(f64),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum When {
    Once,
    /// From some time on.
    Late,
    /// When an endpoint has this part of the load it had before the move.
    Loaded(f64),
    /// On one route only.
    Route(usize),
}

/// What else happens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Trouble {
    None,
    /// For ten seconds a fifth of all requests fails, at both versions.
    Incident,
    /// The load rises by two fifths.
    Rise,
    /// The lease's holder stops, and another one goes on after a lapse.
    Holder,
    /// The store is out for a tenth of the time.
    StoreOut,
}

pub(crate) struct Route {
    pub(crate) name: &'static str,
    pub(crate) part: f64,
    pub(crate) repeatable: bool,
    /// Median in milliseconds without load.
    pub(crate) median: f64,
}

pub(crate) const BOOKING: &[Route] = &[
    Route {
        name: "GET /lessons",
        part: 0.60,
        repeatable: true,
        median: 20.0,
    },
    Route {
        name: "GET /station",
        part: 0.25,
        repeatable: true,
        median: 60.0,
    },
    Route {
        name: "POST /tags",
        part: 0.10,
        repeatable: true,
        median: 35.0,
    },
    Route {
        name: "POST /confirm",
        part: 0.05,
        repeatable: false,
        median: 90.0,
    },
];

pub(crate) const REGISTRY: &[Route] = &[
    Route {
        name: "GET /status",
        part: 0.50,
        repeatable: true,
        median: 8.0,
    },
    Route {
        name: "POST /calibration",
        part: 0.45,
        repeatable: false,
        median: 40.0,
    },
    Route {
        name: "GET /summary",
        part: 0.05,
        repeatable: true,
        median: 400.0,
    },
];

#[derive(Clone, Copy)]
pub(crate) struct Case {
    pub(crate) seed: u64,
    pub(crate) mix: usize,
    /// Requests a second over all daemons.
    pub(crate) rate: f64,
    /// Part of their capacity at which the old endpoints work.
    pub(crate) load: f64,
    pub(crate) harm: Harm,
    pub(crate) when: When,
    pub(crate) trouble: Trouble,
    /// Part of the time at which trouble or a late fault begins.
    pub(crate) from: f64,
}

impl Case {
    pub(crate) fn routes(&self) -> &'static [Route] {
        if self.mix == 0 { BOOKING } else { REGISTRY }
    }

    pub(crate) fn scale(&self) -> Scale {
        let once = self.routes().iter().filter(|route| !route.repeatable);
        let part: f64 = once.map(|route| route.part).sum();
        Scale {
            endpoints: ENDPOINTS,
            idempotent: ((1.0 - part) * f64::from(FULL_SHARE)) as u32,
        }
    }

    pub(crate) fn good(&self) -> bool {
        self.harm == Harm::None
    }
}

pub(crate) fn cases(seed: u64) -> Vec<Case> {
    let mut cases = Vec::new();
    let loads = [(8.0, 0.2), (80.0, 0.5), (400.0, 0.7)];
    for mix in 0..2 {
        for (rate, load) in loads {
            for repeat in 0..REPEATS {
                let base = Case {
                    seed: repeat,
                    mix,
                    rate,
                    load,
                    harm: Harm::None,
                    when: When::Once,
                    trouble: Trouble::None,
                    from: 0.0,
                };
                add_good(&mut cases, base);
                add_bad(&mut cases, base);
            }
        }
    }
    for (at, case) in cases.iter_mut().enumerate() {
        case.seed = seed + at as u64 + 1;
        case.from = 0.1 + 0.65 * fastrand::Rng::with_seed(case.seed).f64();
    }
    cases
}

pub(crate) fn add_good(cases: &mut Vec<Case>, base: Case) {
    let troubles = [
        Trouble::None,
        Trouble::Incident,
        Trouble::Rise,
        Trouble::Holder,
        Trouble::StoreOut,
    ];
    cases.extend(troubles.map(|trouble| Case { trouble, ..base }));
}

pub(crate) fn add_bad(cases: &mut Vec<Case>, base: Case) {
    let routes = base.routes().len();
    let whens = [
        When::Once,
        When::Late,
        When::Loaded(0.8),
        When::Route(base.seed as usize % routes),
        When::Route((base.seed as usize + 1) % routes),
    ];
    for when in whens {
        let harms = [
            Harm::Fail(1.0),
            Harm::Fail(0.1),
            Harm::Slow(3.0),
            Harm::Slow(1.6),
        ];
        cases.extend(harms.map(|harm| Case { harm, when, ..base }));
    }
}
