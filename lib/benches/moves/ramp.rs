//! A fixed ramp, as the baseline of the comparison.

use std::collections::VecDeque;
use std::time::Instant;

use poplarvale_lib::moves::evidence::{Sample, VersionSide};
use poplarvale_lib::moves::stages::{LAST_STAGE, Scale, due, shares};
use poplarvale_lib::moves::{Counter, Pick, Time};

use crate::policy::{End, Policy, Score};
use crate::{DAEMONS, ENDPOINTS, TERM_MS, WALL_START_MS};

/// A fixed ramp with a single threshold on the fraction of failures in the last ten seconds.
/// It receives the evidence of all daemons without delay.
pub(crate) struct Ramp {
    pub(crate) scale: Scale,
    pub(crate) stage: u8,
    pub(crate) due: u64,
    pub(crate) counters: Vec<Counter>,
    pub(crate) window: VecDeque<(u64, u64)>,
    pub(crate) current: (u64, u64),
}

impl Ramp {
    pub(crate) const THRESHOLD: f64 = 0.05;
    pub(crate) const MIN_REQUESTS: u64 = 20;
    pub(crate) const WINDOW_STEPS: usize = 200;

    pub(crate) fn new(scale: Scale) -> Self {
        Self {
            scale,
            stage: 0,
            due: due(0, WALL_START_MS, WALL_START_MS + TERM_MS),
            counters: vec![Counter::default(); DAEMONS],
            window: VecDeque::new(),
            current: (0, 0),
        }
    }
}

impl Policy for Ramp {
    fn pick(&mut self, daemon: usize, _now: Instant, _idempotent: bool, sample_point: u32) -> Pick {
        let share = shares(self.stage, self.scale).idempotent;
        if self.counters[daemon].take(share, sample_point) {
            Pick::New
        } else {
            Pick::Old
        }
    }

    fn record(&mut self, _daemon: usize, sample: &Sample) {
        if sample.which == VersionSide::New {
            self.current.0 += 1;
            self.current.1 += u64::from(sample.time.is_none());
        }
    }

    fn tick(&mut self, time: Time, _score: &mut Score) -> End {
        self.window.push_back(std::mem::take(&mut self.current));
        if self.window.len() > Self::WINDOW_STEPS {
            self.window.pop_front();
        }
        let all: u64 = self.window.iter().map(|w| w.0).sum();
        let failed: u64 = self.window.iter().map(|w| w.1).sum();
        if all >= Self::MIN_REQUESTS && failed as f64 > all as f64 * Self::THRESHOLD {
            return End::Back;
        }
        if time.wall >= self.due {
            if self.stage >= LAST_STAGE {
                return End::Done;
            }
            self.stage += 1;
            self.due = due(self.stage, time.wall, WALL_START_MS + TERM_MS);
        }
        End::Open
    }

    fn endpoint_counts(&self, _daemon: usize, _now: Instant) -> [u32; 2] {
        [ENDPOINTS; 2]
    }

    fn compared(&self, _daemon: usize) -> [u32; 2] {
        [ENDPOINTS; 2]
    }
}
