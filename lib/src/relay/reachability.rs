//! Which services this daemon reaches.
//!
//! A host can be partitioned from all endpoints, or from those of a service, while callers, the
//! store and the other daemons still reach it. Every attempt then fails, one circuit breaker after
//! the other opens, and the daemon would reject its callers though the other daemons could serve
//! them. Failures of single endpoints look the same at first. So a failed attempt only has the
//! daemon check a few endpoints of the service at random, by new connections to them. If none
//! accepts one, the fault is most likely on its own side: requests for the service are forwarded to
//! other daemons until an endpoint accepts a connection again.
//!
//! What separates a host from endpoints may accept connections in their place and swallow all data.
//! So a connection that is accepted shows nothing after several attempts in a row at which no
//! endpoint of the service sent anything. Only an answer shows that the service is reached again:
//! from time to time one request is tried at an endpoint.

use std::time::{Duration, Instant};

use crate::ServiceId;

/// Endpoints of one check. If this many chosen at random fail, one fault on this side is more
/// likely than several on theirs.
pub const CHECKED_ENDPOINTS: usize = 3;
/// Shortest time between two checks of a service, so that crashing endpoints do not cause many.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Silent attempts without any answer in between after which accepted connections show nothing.
const MUTE_ATTEMPTS: u32 = 4;
/// Time between two requests that are tried while accepted connections show nothing.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);

/// Whether this daemon reaches a service.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ServiceReach {
    service: ServiceId,
    cut_off_since: Option<Instant>,
    last_check: Option<Instant>,
    /// When the next check is due.
    due: Option<Instant>,
    /// Silent attempts since an endpoint sent something.
    silent: u32,
    /// When the next request may be tried.
    trial_at: Option<Instant>,
}

impl ServiceReach {
    /// Whether an accepted connection does not show that the service is reached.
    fn is_mute(&self) -> bool {
        self.silent >= MUTE_ATTEMPTS
    }
}

/// Services at whose endpoints attempts have failed, sorted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reachability {
    rows: Vec<ServiceReach>,
}

/// Effect of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// The service is not reached any more.
    Lost,
    /// The service is reached again, after this time.
    Regained(Duration),
    /// Nothing changed.
    None,
}

impl Reachability {
    /// Whether a service was not reached in its last check.
    pub fn is_cut_off(&self, service: &str) -> bool {
        let found = self.find(service);
        found.is_ok_and(|at| self.rows[at].cut_off_since.is_some())
    }

    /// Services that are not reached.
    pub fn cut_off(&self) -> impl Iterator<Item = &ServiceId> {
        let rows = self.rows.iter();
        rows.filter(|row| row.cut_off_since.is_some())
            .map(|row| &row.service)
    }

    /// The service that is checked next, and when; `None` if no check is due.
    pub fn next_check(&self) -> Option<(&ServiceId, Instant)> {
        let rows = self.rows.iter();
        rows.filter_map(|row| Some((&row.service, row.due?)))
            .min_by_key(|row| row.1)
    }

    /// Records that an attempt at an endpoint failed or stalled: a check of its service becomes
    /// due.
    pub fn record_failure(&mut self, service: &ServiceId, now: Instant) {
        let row = self.row_mut(service);
        let earliest = row.last_check.map_or(now, |at| at + CHECK_INTERVAL);
        row.due.get_or_insert(earliest.max(now));
    }

    /// Records that an endpoint was silent for longer than expected: a check of its service becomes
    /// due.
    pub fn record_silence(&mut self, service: &ServiceId, now: Instant) {
        let row = self.row_mut(service);
        row.silent = row.silent.saturating_add(1);
        self.record_failure(service, now);
    }

    /// Records that an endpoint of a service sent something.
    pub fn record_answer(&mut self, service: &str, now: Instant) {
        if let Ok(at) = self.find(service) {
            let row = &mut self.rows[at];
            if row.cut_off_since.is_some() && row.is_mute() {
                row.due = Some(now);
            }
            row.silent = 0;
        }
    }

    /// Whether a request is to be tried at an endpoint of a service that is not reached; at most one
    /// in a while.
    pub fn take_trial(&mut self, service: &str, now: Instant) -> bool {
        let Ok(at) = self.find(service) else {
            return false;
        };
        let row = &mut self.rows[at];
        let Some(since) = row.cut_off_since.filter(|_| row.is_mute()) else {
            return false;
        };
        let is_due = now >= row.trial_at.unwrap_or(since + TRIAL_INTERVAL);
        if is_due {
            row.trial_at = Some(now + TRIAL_INTERVAL);
        }
        is_due
    }

    /// Records whether an endpoint of a service accepted a connection in a check; `None` if there
    /// was no endpoint to check, which shows nothing.
    pub fn record_check(
        &mut self,
        service: &ServiceId,
        reached: Option<bool>,
        now: Instant,
    ) -> ReachChange {
        let row = self.row_mut(service);
        row.last_check = Some(now);
        let since = row.cut_off_since;
        if reached.is_some_and(|accepted| !accepted || row.is_mute()) {
            row.due = Some(now + CHECK_INTERVAL);
            row.cut_off_since = since.or(Some(now));
            return match since {
                None => ReachChange::Lost,
                Some(_) => ReachChange::None,
            };
        }
        row.due = None;
        row.cut_off_since = None;
        row.trial_at = None;
        since.map_or(ReachChange::None, |since| {
            ReachChange::Regained(now.saturating_duration_since(since))
        })
    }

    fn row_mut(&mut self, service: &ServiceId) -> &mut ServiceReach {
        let at = self.find(service).unwrap_or_else(|at| {
            let row = ServiceReach {
                service: service.clone(),
                cut_off_since: None,
                last_check: None,
                due: None,
                silent: 0,
                trial_at: None,
            };
            self.rows.insert(at, row);
            at
        });
        &mut self.rows[at]
    }

    fn find(&self, service: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| row.service.as_str().cmp(service))
    }
}
