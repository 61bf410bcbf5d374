//! Thresholds of the verdict, each with its reason. `docs/design/moves.md` gives
//! the figures behind them.

use std::time::Duration;

/// Log-likelihood ratio at which a daemon returns to a small share.
pub const SUSPECT_LLR: f64 = 4.0;

/// Log-likelihood ratio at which the new version is found bad.
pub const BAD_LLR: f64 = 9.0;

/// Log-likelihood ratio of the time since a suspicion arose that clears it: the
/// evidence since then speaks against it more strongly than chance would in one
/// case of three.
pub(super) const REFUTED_LLR: f64 = -1.0;

/// Requests of the old version that must be seen in the window of a suspicion.
pub(super) const MIN_CONTROL_REQUESTS: f64 = 20.0;

/// Responses of the old version whose latency must be seen in that window. With
/// twenty, chance alone shows latencies half as long again in one window of a
/// hundred.
pub(super) const MIN_CONTROL_LATENCIES: f64 = 50.0;

/// How long a suspicion of failures waits for [`MIN_CONTROL_REQUESTS`] where few
/// requests come.
pub(super) const CONTROL_REQUESTS_WAIT: Duration = Duration::from_secs(10);

/// Time after which evidence counts towards a suspicion of failures. A daemon's own
/// failures are current, but the rows of its peers are up to three seconds old;
/// taken together, a fault of both versions would seem to have spared the old one.
pub(super) const GOSSIP_DELAY: Duration = Duration::from_secs(3);

/// Time after which evidence counts towards a suspicion of slowness. A suspicion
/// shifts requests from new endpoints to old ones, as a new stage does the other
/// way; for some seconds latencies show the shift and not the version.
pub(super) const SETTLE_TIME: Duration = Duration::from_secs(10);

/// How long a suspicion of slowness waits for the old version's latencies. It may
/// wait longer than one of failures, as the share is small by then and a slow
/// response is still a response.
pub(super) const CONTROL_LATENCIES_WAIT: Duration = Duration::from_secs(30);

/// Requests over which the old version's rates are averaged.
pub(super) const REFERENCE_REQUESTS: f64 = 500.0;

/// How long a suspicion must have lasted to end a move whose time is up. On a busy
/// route a false one is cleared by chance in seconds; one that lasts a minute has
/// met too few requests to be cleared, and the last thing they showed was a fault.
pub(super) const UNRESOLVED_AFTER: Duration = Duration::from_mins(1);

/// Requests that give the share of idempotent ones to within a twentieth.
pub(super) const MIN_MIX_REQUESTS: f64 = 200.0;

/// Failure rate above the old version's that is tolerated. Below a hundredth a
/// single failure would raise a suspicion: ln(0.41 / 0.005) is above four.
pub(super) const FAILING_SLACK: f64 = 0.01;

/// Fraction of slow requests above the old version's that is tolerated.
pub(super) const TAIL_SLACK: f64 = 0.01;

/// Fraction of the old version's requests that count as slow.
pub(super) const SLOW_FRACTION: f64 = 0.1;

/// Buckets by which a new version may be slower: one, which is 19 %.
pub(super) const SLOWER_BUCKETS: usize = 1;

/// Failure rates above the old version's that are looked for.
pub(super) const FAILING_EXCESS: [f64; 3] = [0.02, 0.10, 0.40];

/// Fractions of slow requests above the old version's that are looked for.
pub(super) const TAIL_EXCESS: [f64; 2] = [0.10, 0.35];

/// Shifts of all latencies that are looked for, in buckets: 2 and 4 times as long.
/// What lies nearer to no shift than to the first one, up to 41 %, is tolerated:
/// equal endpoints differ by that much close to their capacity.
pub(super) const SHIFT_BUCKETS: [f64; 2] = [4.0, 8.0];

/// Largest log-likelihood ratio, in either direction, of a single latency. Without
/// a bound one outlier, in a bucket that the old version never reached, would
/// decide alone.
pub(super) const MAX_LATENCY_LLR: f64 = 1.5;

/// Requests of the old version before its latencies are known well enough.
pub(super) const MIN_REFERENCE_LATENCIES: f64 = 50.0;
