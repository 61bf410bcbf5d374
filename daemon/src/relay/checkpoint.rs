//! Checkpoints of what only the daemons' memory holds, for when all daemons are killed at once.
//!
//! Daemons have no disk, and all of them may be killed at the same moment. Then everything that
//! they only know from each other would be lost: the requests admitted for each team, so that all
//! teams were rejected for a second or two; the runs of the current usage windows, so that usage
//! reports were wrong; the number of endpoints that the work needs. The duty holder writes a
//! checkpoint to the store under its fencing token, and a daemon reads it when it starts or
//! acquires the duties.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use poplarvale_lib::protos::relay::{Checkpoint, checkpoint};
use poplarvale_lib::relay::fleet::Orders;
use poplarvale_lib::relay::quota::Spent;
use poplarvale_lib::relay::usage::WindowId;
use prost::Message as _;

use super::peers::{own_link, roster};
use super::state::State;

/// Store key of the checkpoint.
pub(crate) const CHECKPOINT_KEY: &str = "poplarvale/checkpoint";
/// Time between two checkpoints. Requests that are admitted after the last one are estimated from
/// the last rate.
pub(crate) const CHECKPOINT_PERIOD: Duration = Duration::from_millis(500);
/// Maximum age of a checkpoint from which a starting daemon restores what teams used. It covers
/// the restart of all daemons. An older checkpoint says nothing about the last seconds, so the
/// allowances then start empty, as they do if the clock of this host has jumped.
const MAX_ALLOWANCE_AGE: Duration = Duration::from_secs(8);

/// Builds a checkpoint of what this daemon knows, with the usage of windows from `first` on.
pub(crate) fn build(state: &State, orders: &Orders, first: WindowId) -> Checkpoint {
    let now = Instant::now();
    let spent = state.quota.borrow().checkpoint(now);
    let spent = spent.into_iter().map(|row| checkpoint::Spent {
        team: row.team,
        steps: row.steps,
        rate: row.rate as u32,
    });
    let peers = state.peers.borrow();
    let candidates = peers.candidates(peers.own_location().zone, now);
    let mut roster = roster(Vec::new(), candidates);
    for row in &mut roster.candidates {
        let address = Ipv4Addr::from(row.address);
        row.link = if address == peers.own_address() {
            own_link(state)
        } else {
            peers.link(address)
        };
    }
    let mut written = Checkpoint {
        wall_ms: state.unix_ms(),
        daemons: peers.recent_addresses(now).len() as u32 + 1,
        spent: spent.collect(),
        endpoints: state.endpoints.borrow().rows().len() as u32,
        entries: entries(state),
        roster: Some(roster),
        silent: state.endpoints.borrow().silent(),
        ..Checkpoint::default()
    };
    for ((name, incarnation), number, counts) in state.usage.borrow().since(first) {
        let mut runs = vec![0; written.teams.len()];
        for (team, count) in counts {
            let at = written.teams.iter().position(|known| known == team);
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
    let table = state.endpoints.borrow();
    let need = |(service, endpoints): (&CompactString, f64)| {
        let speed = table.service_speed(service).observed();
        checkpoint::Need {
            service: service.to_string(),
            endpoints,
            prefill_s: speed.map(|speed| speed.0),
            step_s: speed.map(|speed| speed.1),
            recent: orders.stand_in(service),
        }
    };
    written.needs = orders.needs().map(need).collect();
    written
}

/// Number of routes, services, teams and keys of the configuration.
fn entries(state: &State) -> u32 {
    let catalog = state.catalog.borrow();
    catalog.as_ref().map_or(0, |catalog| {
        let teams = catalog.teams.len() + catalog.keys.len();
        (catalog.routes.len() + catalog.services.len() + teams) as u32
    })
}

/// Decodes a checkpoint; an invalid one is treated as missing.
pub(crate) fn decode(value: &[u8]) -> Option<Checkpoint> {
    match Checkpoint::decode(value) {
        Ok(saved) => Some(saved),
        Err(error) => {
            log::warn!("checkpoint: invalid and ignored, {error}.");
            None
        }
    }
}

/// Restores, when this daemon starts, what all daemons admitted before.
pub(crate) fn restore_quota(state: &State, saved: &Checkpoint) {
    let age = State::wall_ms().abs_diff(saved.wall_ms);
    if u128::from(age) > MAX_ALLOWANCE_AGE.as_millis() {
        log::info!("checkpoint: {age} ms old and ignored; allowances start empty.");
        return;
    }
    let spent = saved.spent.iter().map(|row| Spent {
        team: row.team,
        steps: row.steps.clone(),
        rate: f64::from(row.rate),
    });
    log::info!(
        "checkpoint: allowances of {} teams restored after {age} ms; {} daemons shared them.",
        saved.spent.len(),
        saved.daemons
    );
    let now = Instant::now();
    let mut quota = state.quota.borrow_mut();
    quota.restore(spent.collect(), saved.daemons, now);
}

/// Lets retries of the fixed number be made from the start if no daemon can have made any within the
/// last windows: there is no checkpoint, or an old one.
pub(crate) fn restore_retries(state: &State, saved: Option<&Checkpoint>) {
    let window = state.settings.bounds.retry_window;
    let age = saved.map(|saved| State::wall_ms().abs_diff(saved.wall_ms));
    // Twice the window, as the clock of this host may have jumped.
    if age.is_none_or(|age| u128::from(age) > 2 * window.as_millis()) {
        log::info!("checkpoint: none of the last seconds; retries are made from the start.");
        state.budget.borrow_mut().record_idle(Instant::now());
    }
}

/// Restores which endpoints were silent. The age of the checkpoint does not count, as one that is heard
/// again answers its check at once.
pub(crate) fn restore_silent(state: &State, saved: &Checkpoint) {
    if !saved.silent.is_empty() {
        log::info!(
            "checkpoint: {} endpoints were silent and are checked first.",
            saved.silent.len()
        );
        let mut table = state.endpoints.borrow_mut();
        table.restore_silent(saved.silent.clone());
    }
}

/// Restores runs counted by daemons that may no longer exist.
pub(crate) fn restore_usage(state: &State, saved: &Checkpoint) {
    let mut usage = state.usage.borrow_mut();
    for row in &saved.counters {
        for window in &row.windows {
            let counts = saved.teams.iter().zip(&window.runs);
            let counts = counts.filter(|(_, runs)| **runs > 0);
            let counts = counts.map(|(team, runs)| (CompactString::from(team), *runs));
            let mut counts: Vec<_> = counts.collect();
            counts.sort();
            let counter = (CompactString::from(&row.name), row.incarnation);
            usage.merge(window.number, counter, counts);
        }
    }
}

/// Restores how many endpoints the work needed, and the engines' speed from which that follows. Without
/// the speed, a holder that has just started would compute the need of engines of the usual speed.
pub(crate) fn restore_needs(state: &State, orders: &mut Orders, saved: &Checkpoint) {
    let now = Instant::now();
    let mut table = state.endpoints.borrow_mut();
    for row in &saved.needs {
        let service = CompactString::from(&row.service);
        if let (Some(prefill), Some(step)) = (row.prefill_s, row.step_s) {
            table.restore_speed(&service, prefill, step);
        }
        log::info!(
            service = service.as_str(), prefill_s = row.prefill_s, step_s = row.step_s;
            "fleet: a need of {:.1} endpoints restored.", row.endpoints
        );
        let recent = row.recent.unwrap_or(row.endpoints);
        orders.restore_both(service, row.endpoints, recent, now);
    }
}
