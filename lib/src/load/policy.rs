//! Selects for each kind of decision the adaptive or the plain method.
//!
//! Every adaptive decision has to show on the same trace that it beats the plain
//! one, so the plain ones can still be run. Daemons use the adaptive one for all.

/// Method for one kind of decision.
#[proc_macros::kind]
#[derive(Default)]
pub enum Choice {
    /// By fixed limits and in order of arrival.
    Plain,
    /// By measurements.
    #[default]
    Adaptive,
}

/// Method for each kind of decision.
#[proc_macros::row]
#[derive(Copy, Default)]
pub struct Policy {
    /// Whether requests that would be late are rejected.
    pub admission: Choice,
    /// Order in which waiting requests are sent.
    pub queue: Choice,
    /// Requests sent to one endpoint at the same time.
    pub concurrency: Choice,
    /// Whether failed requests are retried.
    pub retry: Choice,
    /// Which endpoints are ejected.
    pub ejection: Choice,
}

impl Policy {
    /// The plain method for every decision.
    pub fn plain() -> Self {
        Self {
            admission: Choice::Plain,
            queue: Choice::Plain,
            concurrency: Choice::Plain,
            retry: Choice::Plain,
            ejection: Choice::Plain,
        }
    }
}
