//! Runs the real programs for a test and ends them with it.

use std::fs::File;
use std::io::{BufRead as _, BufReader, Read as _};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};

/// A program that a test started; it is killed when the test lets go of it.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// What it writes, unless that goes to a file.
    out: Option<BufReader<ChildStdout>>,
    /// First line that it wrote.
    pub first: String,
}

impl Process {
    /// Starts a program and waits for its first line.
    pub fn start(program: &Path, args: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap_or_else(|error| panic!("{} does not start: {error}", program.display()));
        let mut out = BufReader::new(child.stdout.take().expect("standard output is a pipe"));
        let mut first = String::new();
        out.read_line(&mut first).expect("the program writes text");
        Self {
            child,
            out: Some(out),
            first: first.trim().to_owned(),
        }
    }

    /// Starts a program with one more variable in its environment; what it writes is
    /// added to a file.
    pub fn start_logged(program: &Path, variable: (&str, &Path), log: &Path) -> Self {
        let file = File::options().create(true).append(true).open(log);
        let child = Command::new(program)
            .env(variable.0, variable.1)
            .stdin(Stdio::null())
            .stdout(file.expect("the log can be written"))
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap_or_else(|error| panic!("{} does not start: {error}", program.display()));
        Self {
            child,
            out: None,
            first: String::new(),
        }
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// The address behind a word of its first line.
    pub fn address(&self, word: &str) -> SocketAddr {
        let mut words = self.first.split_whitespace();
        words
            .find(|w| *w == word)
            .unwrap_or_else(|| panic!("no {word} in {:?}", self.first));
        let address = words.next().expect("an address follows");
        address.parse().expect("it is an address")
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        let id = self.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "{name} was not sent to {id}"
        );
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        // One that has ended already cannot be killed, which is as good.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for its end.
    pub fn wait(&mut self) -> ExitStatus {
        let mut rest = String::new();
        // Reading to the end keeps a full pipe from holding the program up.
        if let Some(out) = &mut self.out {
            let _ = out.read_to_string(&mut rest);
        }
        self.child.wait().expect("the program was started here")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Program of the workspace, beside the one that a test knows the path of.
pub fn beside(known: &str, name: &str) -> PathBuf {
    let program = Path::new(known).with_file_name(name);
    assert!(
        program.exists(),
        "{} is missing: run `cargo build --workspace --bins`",
        program.display()
    );
    program
}
