//! Reads the files that a daemon needs to start: settings, credentials and lists.

use std::fs;
use std::path::{Path, PathBuf};

use compact_str::CompactString;
use error_stack::{Report, ResultExt as _};
use poplarvale_lib::{Accepted, Code, ListFiles, Lists, Settings};

use crate::peers::Token;

/// A file that could not be read at the start.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StartError {
    /// The settings file could not be read.
    #[error("{code}: settings file {path} could not be read", code = Code::NoSettings.number(), path = .0.display())]
    File(PathBuf),
    /// The settings file is invalid.
    #[error("settings file {path} is invalid", path = .0.display())]
    Settings(PathBuf),
    /// A credential file could not be read or is empty.
    #[error("{code}: credential file {file} could not be read or is empty", code = Code::BadSetting.number(), file = .0)]
    Credential(CompactString),
    /// One of the lists could not be read or is invalid.
    #[error("{code}: list {file} could not be read or is invalid", code = Code::BadLists.number(), file = .0)]
    List(CompactString),
}

/// Reads and checks a settings file.
///
/// # Errors
/// If the file cannot be read or is invalid; names the file and every invalid field.
pub fn read_settings(path: &Path) -> Result<Settings, Report<StartError>> {
    let text = fs::read_to_string(path).change_context_lazy(|| StartError::File(path.into()))?;
    let mut settings =
        Settings::parse(&text).change_context_lazy(|| StartError::Settings(path.into()))?;
    if let Some(folder) = path.parent() {
        settings.resolve(folder);
    }
    Ok(settings)
}

/// Reads a token from a credential file.
pub(crate) fn read_token(file: &CompactString) -> Result<Token, Report<StartError>> {
    let error = || StartError::Credential(file.clone());
    let text = fs::read_to_string(file.as_str()).change_context_lazy(error)?;
    Token::new(&text).ok_or_else(|| Report::new(error()))
}

/// Reads and checks the two lists from their files.
pub(crate) fn read_lists(files: &ListFiles) -> Result<Accepted, Report<StartError>> {
    let customers = read_list(&files.customers)?;
    let plans = read_list(&files.plans)?;
    let lists = Lists { customers, plans };
    let errors = lists.check();
    if let Some(invalid) = errors.first() {
        let error = StartError::List(files.customers.clone());
        return Err(Report::new(invalid.clone()).change_context(error));
    }
    Ok(Accepted { revision: 1, lists })
}

fn read_list<T: serde::de::DeserializeOwned>(
    file: &CompactString,
) -> Result<T, Report<StartError>> {
    let error = || StartError::List(file.clone());
    let text = fs::read_to_string(file.as_str()).change_context_lazy(error)?;
    serde_json::from_str(&text).change_context_lazy(error)
}
