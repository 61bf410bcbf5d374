//! The need that orders follow.
//!
//! Load: traffic that swings over tens of seconds and bursts on top of it. An order that followed each
//! swing would start and drain endpoints all day, and every new one starts with an empty cache. An
//! order that kept to the highest need would hold what a burst of some seconds needed, at the price of
//! on-demand endpoints, for the rest of a wave of reclaims.
//!
//! The level rises with the need at once, and falls to the highest need of the last ten seconds when that
//! is well below it. On-demand endpoints that stand in for reclaimed ones follow a shorter span: the time
//! in which a rise of the need is noticed and another endpoint has started.

use std::time::{Duration, Instant};

use super::RATE_SPAN;

/// Need, as a multiple of the level, above and below which the level changes.
const RAISE_ABOVE: f64 = 1.25;
const REDUCE_BELOW: f64 = 0.75;
/// How long the need must have been lower before fewer endpoints are ordered: traffic swings
/// over tens of seconds.
const REDUCE_DELAY: Duration = Duration::from_secs(10);
/// Margin of the need that stand-ins follow, when it rises, and the share of it below which it is lowered.
/// Without both, one or two endpoints would be ordered or given up at each look.
const STAND_IN_MARGIN: f64 = 1.15;
const STAND_IN_REDUCE: f64 = 0.9;
/// Time between two needs that are kept.
const SAMPLE_SPAN: Duration = Duration::from_millis(500);

/// Levels of the need of one service.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Level {
    /// When work was first requested.
    since: Instant,
    /// Needed endpoints that orders are based on; `None` until the rate of work is known.
    need: Option<f64>,
    /// Needed endpoints that stand-ins for reclaimed ones are based on; at most `need`.
    stand_in: f64,
    /// When the need was first observed here.
    observed: Option<Instant>,
    /// Needs of the last [`REDUCE_DELAY`], the newest last.
    recent: Vec<(Instant, f64)>,
}

impl Level {
    /// A level that is unknown until there has been work for [`RATE_SPAN`].
    pub(super) fn new(since: Instant) -> Self {
        Self {
            since,
            need: None,
            stand_in: 0.0,
            observed: None,
            recent: Vec::new(),
        }
    }

    /// A level that another daemon knew, with the need that its stand-ins followed.
    pub(super) fn restored(need: f64, stand_in: f64, now: Instant) -> Self {
        Self {
            need: Some(need),
            stand_in: stand_in.min(need),
            ..Self::new(now)
        }
    }

    /// Needed endpoints that orders are based on.
    pub(super) fn need(&self) -> Option<f64> {
        self.need
    }

    /// Needed endpoints that stand-ins for reclaimed ones are based on.
    pub(super) fn stand_in(&self) -> f64 {
        self.stand_in
    }

    /// Updates the level from the current need; `start` is how long an endpoint takes to start.
    pub(super) fn update(&mut self, need: f64, start: Duration, now: Instant) {
        self.sample(need, now);
        let Some(level) = self.need else {
            if now.duration_since(self.since) >= RATE_SPAN {
                (self.need, self.stand_in) = (Some(need), need);
            }
            return;
        };
        if need > level * RAISE_ABOVE {
            self.need = Some(need);
        } else if let Some(high) = self.highest(REDUCE_DELAY, now)
            && high < level * REDUCE_BELOW
        {
            self.need = Some(high);
        }
        self.follow(RATE_SPAN + start, now);
    }

    /// Keeps a need, as the higher one of two that are close together.
    fn sample(&mut self, need: f64, now: Instant) {
        self.observed.get_or_insert(now);
        self.recent
            .retain(|row| now.duration_since(row.0) <= REDUCE_DELAY);
        match self.recent.last_mut() {
            Some(last) if now.duration_since(last.0) < SAMPLE_SPAN => last.1 = last.1.max(need),
            _ => self.recent.push((now, need)),
        }
    }

    /// Highest need of the last `span`; `None` if it was not observed for as long.
    fn highest(&self, span: Duration, now: Instant) -> Option<f64> {
        let since = self.observed?;
        if now.duration_since(since) < span {
            return None;
        }
        let rows = self.recent.iter();
        let rows = rows.filter(|row| now.duration_since(row.0) <= span);
        Some(rows.fold(0.0, |high, row| row.1.max(high)))
    }

    /// Updates the need that stand-ins follow.
    fn follow(&mut self, span: Duration, now: Instant) {
        let level = self.need.unwrap_or_default();
        let high = self.highest(span.min(REDUCE_DELAY), now);
        // Not observed here for long enough: what is followed already may not be too much.
        let rows = self.recent.iter();
        let high = high.unwrap_or_else(|| rows.fold(self.stand_in, |high, row| row.1.max(high)));
        let high = high.min(level);
        if high > self.stand_in {
            self.stand_in = level.min(high * STAND_IN_MARGIN);
        } else if high < self.stand_in * STAND_IN_REDUCE {
            self.stand_in = high;
        }
        self.stand_in = self.stand_in.min(level);
    }
}
