//! `poplarvale settings check`: validates a settings file as a daemon does at startup.

use std::path::Path;

use poplarvale_lib::Settings;

use super::read;
use crate::failure::Failure;

pub(super) fn check(file: &Path) -> Result<(), Failure> {
    let text = read(file)?;
    Settings::parse(&text).map_err(|error| Failure::Input(error.to_string()))?;
    println!("{}: settings are fine", file.display());
    Ok(())
}
