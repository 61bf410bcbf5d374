//! Carries out what the keeper of the lists and the claimer ask of the
//! key-value service, and turns the outcomes into their inputs.
//!
//! Commands that are not for the service are given back to the caller.

use std::time::Instant;

use poplarvale_lib::config::{self, HEAD_KEY, KEY_PREFIX};
use poplarvale_lib::store::Store;
use poplarvale_lib::{Revision, claims};

/// Carries out a command of the keeper that was given at a time.
///
/// A watch runs until it breaks and has a function of its own, [`watch`].
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

/// Holds the keeper's watch from a revision on, until it breaks.
pub async fn watch(
    store: &impl Store,
    from: Revision,
    mut tell: impl FnMut(config::Input),
) -> config::Input {
    let on_change = |held| tell(config::Input::HeadChanged(held));
    store.watch(HEAD_KEY, from, on_change).await;
    config::Input::WatchEnded
}

/// Carries out a command of the claimer.
pub async fn claims(
    store: &impl Store,
    command: claims::Command,
) -> Result<claims::Input, claims::Command> {
    match command {
        claims::Command::Write { number, write } => {
            let result = store.write(write).await;
            Ok(claims::Input::Written { number, result })
        }
        claims::Command::Lease(lasts) => {
            let result = store.grant(lasts).await;
            Ok(claims::Input::Leased(result))
        }
        other => Err(other),
    }
}
