//! Retry budget: how many failed requests may be retried.
//!
//! Answers endpoints that fail under load. With three attempts for each request,
//! overloaded endpoints get up to three times the load, fail all the more and
//! stay down after the cause is gone. It would show as many more attempts than
//! requests while few are answered. A budget that only successes fill keeps
//! retries a small share of the work, whatever fails.

use crate::ids::ServiceId;
use crate::table::Row;

/// Retries earned by each success: retries add at most a tenth to the load.
pub const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Most retries saved up, and the initial balance: enough for the requests that
/// one endpoint of many was running when it failed.
pub const MAX_BALANCE: f64 = 10.0;

/// Retry budget of a service.
#[proc_macros::row]
pub struct RetryBudget {
    service: ServiceId,
    balance: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(service: ServiceId) -> Self {
        Self {
            service,
            balance: MAX_BALANCE,
        }
    }

    /// Adds what a successful request earns.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRIES_PER_SUCCESS).min(MAX_BALANCE);
    }

    /// Takes one retry out; false if there is none.
    pub fn withdraw(&mut self) -> bool {
        let enough = self.balance >= 1.0;
        if enough {
            self.balance -= 1.0;
        }
        enough
    }
}

impl Row for RetryBudget {
    type Id = ServiceId;
    fn id(&self) -> &ServiceId {
        &self.service
    }
}
