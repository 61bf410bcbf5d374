//! Stand-in for a model engine.
//!
//! It implements the OpenAI completion API and the extensions that poplarvale needs: an
//! attempt id in every event, resumption after a number of tokens, cancellation,
//! priorities, load reports, cache events, KV cache export and import, and orders
//! with a fencing token. Answers are a function of the prompt (see `words`), so that
//! a test can compute each word.

mod cache;
mod faults;
mod routes;
mod state;
mod stream;

pub use faults::Faults;
pub use state::{Counts, Engine, EngineSpeed, Order};
