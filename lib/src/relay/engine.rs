//! Cost model of a model engine: how long until the first event.
//!
//! An engine reads prompts in chunks between the tokens of the requests that
//! run. Counting requests tells little: a season's plan is thirty times a chat.
//! What waits at an engine is counted here in prompt tokens still to be read, and
//! the time that a token takes is learned from the first events that come back,
//! so an engine that turns slow is seen as slow within a few answers.

use std::time::Duration;

/// Prompt tokens that a healthy engine reads in a millisecond, before anything was
/// learned; between the published 48.2 and 56.6 of the two deployments.
const READ_RATE: f64 = 50.0;
/// Time from the end of a prompt to its first event when nothing else runs, in
/// milliseconds: the engine's own 16 ms and the way there and back.
const FIRST: f64 = 20.0;
/// What each running request adds to a chunk's time, in milliseconds: about one
/// decode step (2.6 to 3.8 ms and 0.09 for each request) in every chunk of 2,048
/// tokens, shared out.
const STEP: f64 = 5.0;
/// Prompt tokens in one chunk.
const CHUNK: f64 = 2048.0;
/// Weight of a new observation of an engine's speed; one in five makes a lasting
/// change known within ten answers and a single odd one harmless.
const LEARN: f64 = 0.2;
/// Bounds of the learned factor.
const SLOWEST: f64 = 40.0;
const FASTEST: f64 = 0.5;

/// Learned speed of one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// Measured time over the model's, smoothed.
    factor: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Self { factor: 1.0 }
    }
}

impl Speed {
    /// Predicted time until the first event of a request with `own` tokens to read,
    /// behind `ahead` tokens of others.
    pub fn first(&self, own: f64, ahead: f64) -> Duration {
        Duration::from_secs_f64(self.factor * model(own, ahead) / 1000.0)
    }

    /// Learns from a first event that came after `took`.
    pub fn learn(&mut self, own: f64, ahead: f64, took: Duration) {
        let seen = took.as_secs_f64() * 1000.0 / model(own, ahead);
        let factor = self.factor + LEARN * (seen - self.factor);
        self.factor = factor.clamp(FASTEST, SLOWEST);
    }

    /// Learned factor; 1 for an engine as published.
    pub fn factor(&self) -> f64 {
        self.factor
    }

    /// Lets an unfavourable factor fade, so that an engine that nobody asks any
    /// more is tried again.
    pub fn fade(&mut self) {
        self.factor += (1.0 - self.factor) * 0.02;
    }
}

/// Milliseconds until the first event at an engine as published.
fn model(own: f64, ahead: f64) -> f64 {
    let tokens = own + ahead;
    FIRST + tokens / READ_RATE + (tokens / CHUNK).ceil() * STEP
}
