//! The subcommands, one module each.

mod dump;
mod explain;
mod lists;
mod moves;
mod settings;
mod status;

use std::fs;
use std::path::Path;

use serde_json::Value;

use crate::client::Client;
use crate::failure::Failure;
use crate::flags::{ListsCmd, Poplarvale, PoplarvaleCmd, SettingsAction};

/// Runs the subcommand that the flags select.
pub(crate) async fn run(flags: Poplarvale) -> Result<(), Failure> {
    match &flags.subcommand {
        PoplarvaleCmd::Settings(settings) => match settings.action {
            SettingsAction::Check => settings::check(&settings.file),
        },
        PoplarvaleCmd::Lists(lists) => match &lists.subcommand {
            ListsCmd::Check(check) => lists::check(&check.file),
            ListsCmd::Digest(digest) => {
                lists::digest(&digest.key);
                Ok(())
            }
            ListsCmd::Get(_) => lists::get(&Client::new(&flags)?).await,
            ListsCmd::Put(put) => {
                let client = Client::new(&flags)?;
                lists::put(&client, &put.file, put.wait, flags.json).await
            }
        },
        PoplarvaleCmd::Move(args) => moves::run(&Client::new(&flags)?, args, flags.json).await,
        PoplarvaleCmd::Explain(args) => explain::run(&args.id, &args.logs),
        PoplarvaleCmd::Status(_) => status::run(&Client::new(&flags)?, flags.json).await,
        PoplarvaleCmd::Dump(dump) => {
            let client = Client::new(&flags)?;
            dump::run(&client, dump.table.as_deref(), dump.id.as_deref()).await
        }
    }
}

fn read(file: &Path) -> Result<String, Failure> {
    fs::read_to_string(file).map_err(|error| Failure::File(file.into(), error))
}

fn print(value: &Value) {
    println!("{value:#}");
}
