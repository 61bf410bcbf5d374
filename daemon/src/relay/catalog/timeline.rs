//! When this daemon was told of a configuration, asked for it, received it and put it into force.
//!
//! A configuration that is in force too late may have been announced late, asked for late, or have
//! taken long to arrive. The log, the metrics and the dump tell these apart.

use std::fmt::{self, Display, Formatter};
use std::time::Instant;

use poplarvale_lib::Revision;
use poplarvale_lib::relay::catalog::CatalogVersion;
use serde_json::{Value, json};

use crate::relay::state::State;

/// Where a configuration comes from.
#[derive(Clone, Copy)]
pub(crate) enum Source<'n> {
    Store,
    /// Another daemon, by its name or address.
    Daemon(&'n dyn Display),
}

impl Source<'_> {
    /// Label of the metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Daemon(_) => "daemon",
        }
    }
}

impl Display for Source<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("the store"),
            Self::Daemon(name) => name.fmt(f),
        }
    }
}

/// The last time of each step towards the newest configuration.
#[derive(Clone, Debug, Default)]
pub(crate) struct Timeline {
    /// Revision that another daemon announced, and when.
    told: Option<(Revision, Instant)>,
    asked: Option<Instant>,
    received: Option<Instant>,
    applied: Option<Instant>,
}

impl Timeline {
    /// The age of each step, in milliseconds.
    pub(crate) fn dump(&self, now: Instant) -> Value {
        let age = |at: Option<Instant>| at.map(|at| millis(at, now));
        json!({
            "told_revision": self.told.map(|row| row.0),
            "told_ms": age(self.told.map(|row| row.1)),
            "asked_ms": age(self.asked),
            "received_ms": age(self.received),
            "applied_ms": age(self.applied),
        })
    }
}

fn millis(from: Instant, to: Instant) -> u64 {
    to.saturating_duration_since(from).as_millis() as u64
}

/// Records that another daemon announced a newer change of the operators.
pub(crate) fn told(state: &State, revision: Revision, by: Source<'_>) {
    let mut timeline = state.config.timeline.borrow_mut();
    if revision <= timeline.told.map_or(0, |known| known.0) {
        return;
    }
    timeline.told = Some((revision, Instant::now()));
    log::info!("config: {by} announces revision {revision}.");
    state.measure(|metrics| metrics.record_catalog("told", by.label()));
}

/// Records that this daemon asks for a newer configuration.
pub(crate) fn asked(state: &State, from: Source<'_>) {
    state.config.timeline.borrow_mut().asked = Some(Instant::now());
    log::info!("config: asking {from} for changes.");
    state.measure(|metrics| metrics.record_catalog("asked", from.label()));
}

/// Records that an answer of so many bytes has arrived.
pub(crate) fn received(state: &State, from: Source<'_>, bytes: usize) {
    let now = Instant::now();
    let mut timeline = state.config.timeline.borrow_mut();
    timeline.received = Some(now);
    let took_ms = timeline.asked.map(|at| millis(at, now));
    log::info!(bytes, took_ms:? = took_ms; "config: received the answer of {from}.");
    state.measure(|metrics| metrics.record_catalog("received", from.label()));
}

/// Records that no complete answer arrived.
pub(crate) fn failed(state: &State, from: Source<'_>, error: &dyn Display) {
    let timeline = state.config.timeline.borrow();
    let after_ms = timeline.asked.map(|at| millis(at, Instant::now()));
    log::info!(
        after_ms:? = after_ms;
        "config: no complete answer from {from}, {error}; asking again."
    );
    state.measure(|metrics| metrics.record_catalog("failed", from.label()));
}

/// Records that a configuration is in force.
pub(crate) fn applied(state: &State, source: Source<'_>, version: CatalogVersion) {
    let now = Instant::now();
    let mut timeline = state.config.timeline.borrow_mut();
    timeline.applied = Some(now);
    let told_ms = timeline.told.map(|row| millis(row.1, now));
    log::info!(told_ms:? = told_ms; "config: version {version} in force, from {source}.");
    state.measure(|metrics| metrics.record_catalog("applied", source.label()));
}
