//! Runs the command as a subprocess, alone or against a daemon.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};

use serde_json::Value;
use testutils::folder::Folder;
use testutils::process::{Process, beside};

pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_poplarvale");
const EMBEDDED: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../demos/embedded");

/// Formats what a user sees: exit code, standard output and standard error.
pub(crate) fn format_output(output: &Output) -> String {
    format!(
        "exit {}\n{}{}",
        output.status.code().unwrap_or(-1),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

/// Runs the command in a working directory.
pub(crate) fn run(folder: &Path, args: &[&str]) -> String {
    let output = Command::new(PROGRAM)
        .current_dir(folder)
        .args(args)
        .output();
    format_output(&output.expect("the command should start"))
}

/// Reads a file of the embedded default configuration.
pub(crate) fn embedded(name: &str) -> String {
    let path = Path::new(EMBEDDED).join(name);
    std::fs::read_to_string(path).expect("the file should be in the repository")
}

/// A running daemon with the lists of the embedded default configuration, on free ports.
pub(crate) struct Daemon {
    pub(crate) folder: Folder,
    pub(crate) at: SocketAddr,
    _process: Process,
}

impl Daemon {
    pub(crate) fn start() -> Self {
        let folder = Folder::new();
        for name in [
            "customers.json",
            "plans.json",
            "operators.token",
            "peers.token",
        ] {
            folder.write(name, &embedded(name));
        }
        let mut settings: Value =
            serde_json::from_str(&embedded("settings.json")).expect("the settings should be JSON");
        for port in ["callers", "operators", "peers"] {
            settings[port] = Value::from("127.0.0.1:0");
        }
        let file = folder.write("settings.json", &settings.to_string());
        let program = beside(PROGRAM, "poplarvaled");
        let process = Process::start(&program, &["--settings", &file.to_string_lossy()]);
        let at = process.address("operators");
        Self {
            folder,
            at,
            _process: process,
        }
    }

    /// Runs the command against this daemon, with the valid operator token.
    pub(crate) fn run(&self, args: &[&str]) -> String {
        let at = self.at.to_string();
        let mut flags = vec!["--at", &at, "--token-file", "operators.token"];
        flags.extend(args);
        run(self.folder.path(), &flags)
    }
}
