//! Cost of sending a request to an endpoint, as the expected seconds until its
//! first token.
//!
//! Endpoints often differ in several respects: one has the prompt cached but a
//! queue, another is idle but in another zone. Rules in a fixed order (own zone
//! first, then least loaded) would recompute a prompt for seconds to save a
//! millisecond of distance. All terms are therefore in seconds and are added up:
//! the result is the time that a caller waits, not a score.
//!
//! Price is not a time. The host of an endpoint is paid for whether it works or
//! not, so choosing a cheaper one only helps to release an on-demand endpoint
//! later. [`PRICE_S`] sets what that is worth: for an endpoint twice as expensive
//! as the cheapest of its service, a tenth of a second of the 1.5 s that a first
//! token may take.

use crate::routing::endpoint_load::LoadReport;

/// Seconds for leaving the own availability zone: three round trips (connect,
/// send, first token) of 2 to 3 ms between zones.
pub const CROSS_ZONE_S: f64 = 0.010;
/// Seconds for leaving the own region: three round trips of 50 ms.
pub const CROSS_REGION_S: f64 = 0.150;
/// Seconds added for an endpoint that costs twice as much as the cheapest one.
pub const PRICE_S: f64 = 0.100;
/// Seconds added per running stream, as a larger batch makes each step of the
/// engine slower. Also balances endpoints that report no load.
pub const STREAM_S: f64 = 0.010;
/// Costs that differ by at most this many seconds are tied, and one of the tied
/// endpoints is chosen at random. Otherwise all daemons with the same outdated
/// reports would send to the same endpoint. 5 ms is half of [`STREAM_S`], below
/// the accuracy of any report.
pub const TIE_S: f64 = 0.005;

/// Terms of the cost of an endpoint, in seconds.
#[proc_macros::row]
#[derive(Copy)]
pub struct Cost {
    /// Predicted wait until the endpoint starts on the request.
    pub wait: f64,
    /// Prefill of the part of the prompt that is not cached.
    pub prefill: f64,
    /// Network distance.
    pub distance: f64,
    /// Penalty for a higher price.
    pub price: f64,
}

impl Cost {
    /// Sum of all terms.
    pub fn seconds(&self) -> f64 {
        self.wait + self.prefill + self.distance + self.price
    }
}

/// Penalty in seconds for a price above the cheapest one.
pub fn price_penalty(price: f64, cheapest: f64) -> f64 {
    if cheapest > 0.0 {
        PRICE_S * (price / cheapest - 1.0).max(0.0)
    } else {
        0.0
    }
}

/// Predicted wait at an endpoint, in seconds.
///
/// `pending` is the number of prompt tokens queued before the request, `running`
/// the number of streams there, `answer` the number of tokens that a stream
/// delivers in total. Streams beyond the engine's slots wait until as many others
/// have ended.
pub fn predicted_wait(report: &LoadReport, pending: f64, running: u32, answer: u32) -> f64 {
    let over = running.saturating_add(1).saturating_sub(report.slots);
    let hold = f64::from(answer) / report.decode.max(1.0);
    let slots = f64::from(report.slots.max(1));
    pending / report.prefill.max(1.0)
        + f64::from(over) * hold / slots
        + f64::from(running) * STREAM_S
}
