//! Findings of the tests, and their text for operators.

use compact_str::{CompactString, format_compact};

use crate::moves::evidence::RouteId;
use crate::moves::verdict::reference::latency_ratio;

/// Kind of fault that a test looks for.
#[proc_macros::kind]
pub enum Fault {
    /// The new version fails more often.
    Failing,
    /// All its responses are slower.
    Slow,
    /// More of its responses are among the slowest.
    Tail,
}

/// Why a version is bad.
#[proc_macros::row]
pub struct Finding {
    /// Kind of fault.
    pub fault: Fault,
    /// Route; none if only all routes together show it.
    pub route: Option<RouteId>,
    /// Fraction of the new version's requests that show the fault; their mean
    /// bucket if all are slower.
    pub new: f64,
    /// Requests of the new version that the finding is based on.
    pub count: f64,
    /// The same fraction or mean bucket for the old version.
    pub old: f64,
}

impl Finding {
    /// The finding as a sentence for operators.
    pub fn text(&self) -> CompactString {
        let place = match &self.route {
            Some(route) => format_compact!("on {route}"),
            None => CompactString::const_new("over all routes"),
        };
        if self.count < 1.0 {
            return format_compact!("nothing came {place} to settle it");
        }
        let what = match self.fault {
            Fault::Failing => "failed",
            Fault::Tail => "were slower than nine tenths of the old version's",
            Fault::Slow if self.old <= 0.0 => {
                return format_compact!("{:.0} requests {place} were slower", self.count);
            }
            Fault::Slow => {
                return format_compact!(
                    "{:.0} requests {place} took {:.1} times as long as with the old version",
                    self.count,
                    latency_ratio(self.new - self.old)
                );
            }
        };
        format_compact!(
            "{:.0} % of {:.0} requests {place} {what}; with the old version {:.1} %",
            self.new * 100.0,
            self.count,
            self.old * 100.0
        )
    }
}
