//! Runs the workspace's programs as child processes of a test.

use std::fs::File;
use std::io::{BufRead as _, BufReader, Read as _};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};

/// A child process; it is killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Its standard output, unless that goes to a file.
    out: Option<BufReader<ChildStdout>>,
    /// First line of its output; empty if the output goes to a file.
    pub first: String,
}

impl Process {
    /// Starts a program and waits for its first line of output.
    pub fn start(program: &Path, args: &[&str]) -> Self {
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap_or_else(|error| panic!("{} does not start: {error}", program.display()));
        let mut out = BufReader::new(child.stdout.take().expect("the standard output is a pipe"));
        let mut first = String::new();
        out.read_line(&mut first)
            .expect("the first line of the output is text");
        Self {
            child,
            out: Some(out),
            first: first.trim().to_owned(),
        }
    }

    /// Starts a program with one additional environment variable; its output is
    /// appended to a file.
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

    /// Whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// The address that follows a word in the first line of output.
    pub fn address(&self, word: &str) -> SocketAddr {
        let mut words = self.first.split_whitespace();
        words
            .find(|w| *w == word)
            .unwrap_or_else(|| panic!("no {word} in {:?}", self.first));
        let address = words.next().expect("an address follows the word");
        address
            .parse()
            .expect("the text after the word is an address")
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        let id = self.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "{name} was not sent to {id}"
        );
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        // Killing fails only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process exits.
    pub fn wait(&mut self) -> ExitStatus {
        let mut rest = String::new();
        // Reading to the end prevents the process from blocking on a full pipe.
        if let Some(out) = &mut self.out {
            let _ = out.read_to_string(&mut rest);
        }
        self.child
            .wait()
            .expect("the child process can be waited for")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Path of another program of the workspace, in the directory of the program `known`.
pub fn beside(known: &str, name: &str) -> PathBuf {
    let program = Path::new(known).with_file_name(name);
    assert!(
        program.exists(),
        "{} is missing: run `cargo build --workspace --bins`",
        program.display()
    );
    program
}
