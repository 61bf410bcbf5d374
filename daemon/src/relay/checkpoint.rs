//! What the fleet would forget if all daemons were killed at once, kept in the store.
//!
//! Daemons have no disk, and all of them may be killed in the same moment. What they
//! know only together would be gone: how much teams were let in, so everyone was
//! refused for a second or two; the runs of the current usage windows, so reports came
//! out wrong; how many endpoints the work needs. The holder of the duties writes it
//! under its own fence, and a daemon reads it when it starts or takes the duties up.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use poplarvale_lib::protos::relay::{Checkpoint, checkpoint};
use poplarvale_lib::relay::fleet::Orders;
use poplarvale_lib::relay::quota::Spent;
use poplarvale_lib::relay::usage::WindowId;
use prost::Message as _;

use super::state::State;

/// Key of the checkpoint.
pub(crate) const CHECKPOINT: &str = "poplarvale/checkpoint";
/// Digests of a daemon to its zone between two checkpoints: half a second.
/// What is let in meanwhile is reckoned by the last rate.
pub(crate) const DIGESTS: u32 = 2;
/// Age up to which a daemon that starts takes what teams used from a checkpoint. It
/// covers the restart of all daemons; what lay in the store longer says nothing of the
/// last seconds, and the allowances begin at nothing then. So they do if the clock of
/// this host has jumped.
const CURRENT: Duration = Duration::from_secs(8);

/// Checkpoint of what this daemon knows, with the usage of windows from `first` on.
pub(crate) fn checkpoint(state: &State, orders: &Orders, first: WindowId) -> Checkpoint {
    let now = Instant::now();
    let spent = state.quota.borrow().checkpoint(now);
    let spent = spent.into_iter().map(|row| checkpoint::Spent {
        team: row.team,
        steps: row.steps,
        rate: row.rate as u32,
    });
    let mut written = Checkpoint {
        wall_ms: state.unix_ms(),
        daemons: state.peers.borrow().recent_addresses(now).len() as u32 + 1,
        spent: spent.collect(),
        ..Checkpoint::default()
    };
    for ((name, incarnation), number, counts) in state.usage.borrow().since(first) {
        let mut runs = vec![0; written.teams.len()];
        for (team, count) in counts {
            let at = written.teams.iter().position(|held| held == team);
            let at = at.unwrap_or_else(|| {
                written.teams.push(team.to_string());
                runs.push(0);
                runs.len() - 1
            });
            runs[at] = *count;
        }
        let window = checkpoint::Runs { number, runs };
        let mut rows = written.counters.iter_mut();
        match rows.find(|row| row.name == *name && row.incarnation == *incarnation) {
            Some(row) => row.windows.push(window),
            None => written.counters.push(checkpoint::Counter {
                name: name.to_string(),
                incarnation: *incarnation,
                windows: vec![window],
            }),
        }
    }
    let need = |(service, endpoints): (&CompactString, f64)| checkpoint::Need {
        service: service.to_string(),
        endpoints,
    };
    written.needs = orders.needs().map(need).collect();
    written
}

/// Reads a checkpoint; one that cannot be read is as good as none.
pub(crate) fn read(value: &[u8]) -> Option<Checkpoint> {
    match Checkpoint::decode(value) {
        Ok(read) => Some(read),
        Err(error) => {
            log::warn!("checkpoint: not read, {error}.");
            None
        }
    }
}

/// Takes in, when this daemon starts, what all let in before.
pub(crate) fn restore_quota(state: &State, read: &Checkpoint) {
    let age = State::wall_ms().abs_diff(read.wall_ms);
    if u128::from(age) > CURRENT.as_millis() {
        log::info!("checkpoint: allowances begin at nothing, it is {age} ms old.");
        return;
    }
    let spent = read.spent.iter().map(|row| Spent {
        team: row.team,
        steps: row.steps.clone(),
        rate: f64::from(row.rate),
    });
    log::info!(
        "checkpoint: allowances of {} teams go on after {age} ms, {} daemons were there.",
        read.spent.len(),
        read.daemons
    );
    let now = Instant::now();
    let mut quota = state.quota.borrow_mut();
    quota.restore(spent.collect(), read.daemons, now);
}

/// Takes in runs that daemons counted which may be gone.
pub(crate) fn restore_usage(state: &State, read: &Checkpoint) {
    let mut usage = state.usage.borrow_mut();
    for row in &read.counters {
        for window in &row.windows {
            let counts = read.teams.iter().zip(&window.runs);
            let counts = counts.filter(|(_, runs)| **runs > 0);
            let counts = counts.map(|(team, runs)| (CompactString::from(team), *runs));
            let mut counts: Vec<_> = counts.collect();
            counts.sort();
            let counter = (CompactString::from(&row.name), row.incarnation);
            usage.merge(window.number, counter, counts);
        }
    }
}

/// Takes in how many endpoints the work needed.
pub(crate) fn restore_needs(orders: &mut Orders, read: &Checkpoint) {
    let now = Instant::now();
    for row in &read.needs {
        orders.restore(CompactString::from(&row.service), row.endpoints, now);
    }
}
