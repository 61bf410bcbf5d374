//! Executes the commands of the keeper of the lists and of the claimer at the key-value service,
//! and turns the results into their inputs.
//!
//! Commands that are not for the service are returned as errors.

use std::time::Instant;

use poplarvale_lib::config::{self, HEAD_KEY, KEY_PREFIX};
use poplarvale_lib::store::Store;
use poplarvale_lib::{Revision, claims};

/// Executes a command that the keeper issued at `sent`.
///
/// Not for watches, which run until they break: see [`watch`].
pub async fn config(
    store: &impl Store,
    sent: Instant,
    command: config::Command,
) -> Result<config::Input, config::Command> {
    match command {
        config::Command::ReadHead => {
            let result = store.get(HEAD_KEY).await;
            Ok(config::Input::HeadRead { sent, result })
        }
        config::Command::ReadLists => {
            let result = store.range(KEY_PREFIX).await;
            Ok(config::Input::ListsRead { sent, result })
        }
        config::Command::Write { edit, write } => {
            let result = store.write(write).await;
            Ok(config::Input::Written { edit, result })
        }
        other => Err(other),
    }
}

/// Runs the keeper's watch from a revision on, until it breaks.
pub async fn watch(
    store: &impl Store,
    from: Revision,
    mut send: impl FnMut(config::Input),
) -> config::Input {
    let on_change = |value| send(config::Input::HeadChanged(value));
    store.watch(HEAD_KEY, from, on_change).await;
    config::Input::WatchEnded
}

/// Executes a command of the claimer.
pub async fn claims(
    store: &impl Store,
    command: claims::Command,
) -> Result<claims::Input, claims::Command> {
    match command {
        claims::Command::Write { number, write } => {
            let result = store.write(write).await;
            Ok(claims::Input::Written { number, result })
        }
        claims::Command::Lease(ttl) => {
            let result = store.grant(ttl).await;
            Ok(claims::Input::Leased(result))
        }
        other => Err(other),
    }
}
