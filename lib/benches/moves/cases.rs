//! The simulated version moves: to good versions, and to versions with faults of every kind.

use poplarvale_lib::moves::FULL_SHARE;
use poplarvale_lib::moves::stages::Scale;

use crate::{ENDPOINTS, REPEATS};

/// Fault of the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    None,
    /// This fraction of the requests fails.
    Fail(f64),
    /// Requests take this many times as long.
    Slow(f64),
}

/// Condition under which the fault acts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Onset {
    /// From the start.
    Once,
    /// From the time `from` of the case on.
    Late,
    /// While the load of an endpoint is at least this fraction of its load before the move.
    Loaded(f64),
    /// On one route only.
    Route(usize),
}

/// Event during a move that is no fault of the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Disturbance {
    None,
    /// For ten seconds a fifth of all requests fails, at both versions.
    Incident,
    /// The request rate rises by two fifths.
    Rise,
    /// The lease holder stops; another daemon takes over after the lease has expired.
    Holder,
    /// The store is unavailable for a tenth of the time.
    StoreOut,
}

/// A route of a service.
pub(crate) struct Route {
    pub(crate) name: &'static str,
    /// Fraction of the requests that use it.
    pub(crate) part: f64,
    pub(crate) idempotent: bool,
    /// Median latency without load in milliseconds.
    pub(crate) median: f64,
}

pub(crate) const BOOKING: &[Route] = &[
    Route {
        name: "GET /lessons",
        part: 0.60,
        idempotent: true,
        median: 20.0,
    },
    Route {
        name: "GET /station",
        part: 0.25,
        idempotent: true,
        median: 60.0,
    },
    Route {
        name: "POST /tags",
        part: 0.10,
        idempotent: true,
        median: 35.0,
    },
    Route {
        name: "POST /confirm",
        part: 0.05,
        idempotent: false,
        median: 90.0,
    },
];

pub(crate) const REGISTRY: &[Route] = &[
    Route {
        name: "GET /status",
        part: 0.50,
        idempotent: true,
        median: 8.0,
    },
    Route {
        name: "POST /calibration",
        part: 0.45,
        idempotent: false,
        median: 40.0,
    },
    Route {
        name: "GET /summary",
        part: 0.05,
        idempotent: true,
        median: 400.0,
    },
];

/// One simulated move.
#[derive(Clone, Copy)]
pub(crate) struct Case {
    pub(crate) seed: u64,
    /// Route mix: 0 for `BOOKING`, otherwise `REGISTRY`.
    pub(crate) mix: usize,
    /// Requests per second over all daemons.
    pub(crate) rate: f64,
    /// Utilization of the old endpoints before the move, as a fraction of their capacity.
    pub(crate) load: f64,
    pub(crate) fault: Fault,
    pub(crate) onset: Onset,
    pub(crate) disturbance: Disturbance,
    /// Fraction of the time of the move at which the disturbance or a late fault starts.
    pub(crate) from: f64,
}

impl Case {
    pub(crate) fn routes(&self) -> &'static [Route] {
        if self.mix == 0 { BOOKING } else { REGISTRY }
    }

    pub(crate) fn scale(&self) -> Scale {
        let non_idempotent = self.routes().iter().filter(|route| !route.idempotent);
        let part: f64 = non_idempotent.map(|route| route.part).sum();
        Scale {
            endpoints: ENDPOINTS,
            idempotent: ((1.0 - part) * f64::from(FULL_SHARE)) as u32,
        }
    }

    pub(crate) fn good(&self) -> bool {
        self.fault == Fault::None
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
                    fault: Fault::None,
                    onset: Onset::Once,
                    disturbance: Disturbance::None,
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
    let disturbances = [
        Disturbance::None,
        Disturbance::Incident,
        Disturbance::Rise,
        Disturbance::Holder,
        Disturbance::StoreOut,
    ];
    cases.extend(disturbances.map(|disturbance| Case {
        disturbance,
        ..base
    }));
}

pub(crate) fn add_bad(cases: &mut Vec<Case>, base: Case) {
    let routes = base.routes().len();
    let onsets = [
        Onset::Once,
        Onset::Late,
        Onset::Loaded(0.8),
        Onset::Route(base.seed as usize % routes),
        Onset::Route((base.seed as usize + 1) % routes),
    ];
    for onset in onsets {
        let faults = [
            Fault::Fail(1.0),
            Fault::Fail(0.1),
            Fault::Slow(3.0),
            Fault::Slow(1.6),
        ];
        cases.extend(faults.map(|fault| Case {
            fault,
            onset,
            ..base
        }));
    }
}
