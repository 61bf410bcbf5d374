//! The last moments of a daemon that is told to end, as callers see them who go on
//! sending until its process is gone.
//!
//! More seeds are played with a range in the environment, one after the other:
//! `POPLARVALE_ENDINGS=100..150 cargo test -p poplarvaled --test runner drops_nothing`.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use futures::future::join_all;
use poplarvale_platform::SETTINGS_VARIABLE;
use poplarvale_standin::{
    Answer, Caller, Cloud, Endpoint, Seen, Step, Store, event, plain, request, settings, stream,
};
use testutils::folder::Folder;
use testutils::process::Process;

use crate::relay_site::{is_ready, store_with, until};
use crate::site::DAEMON;
use crate::soak::{free_port, seeds};

/// Daemons that end in one run, each at a moment of its own.
const ENDINGS: usize = 8;
/// Callers of each kind at one daemon.
const CALLERS: usize = 2;
/// How long an endpoint works on a request.
const WORK: Duration = Duration::from_millis(30);
/// Parts in which a slow caller sends a body, and the pause before each.
const PARTS: [&str; 4] = ["four", "slow", "body", "part"];
const UPLOAD: Duration = Duration::from_millis(40);
/// How long after its last byte a request may be unread when its connection ends.
const CROSSED: Duration = Duration::from_millis(200);
/// Longest time for a process to start, and to end after it was told to.
const START: Duration = Duration::from_secs(10);

/// How a caller sends.
#[derive(Clone, Copy, Debug)]
enum Way {
    /// Small requests on a connection that it keeps.
    Kept,
    /// Small requests, each on a new connection.
    Fresh,
    /// Bodies that come in parts.
    Upload,
    /// Streams.
    Stream,
}

/// A request and how its caller saw it end.
#[derive(Debug)]
struct Sent {
    id: String,
    /// Whether all of it was written.
    written: bool,
    /// Status, and whether the answer was whole; `None` if none came.
    answer: Option<(u16, bool)>,
    /// From the last byte written to the end.
    waited: Duration,
}

/// Calls of one daemon.
#[derive(Clone)]
struct Calls {
    to: SocketAddr,
    sent: Rc<RefCell<Vec<Sent>>>,
    over: Rc<Cell<bool>>,
}

impl Calls {
    /// Sends requests in one way until the process is gone.
    async fn go(self, way: Way, name: String, mut random: Rng) {
        let mut kept = None;
        for number in 0.. {
            if self.over.get() {
                return;
            }
            let pause = Duration::from_millis(random.u64(..40));
            tokio::time::sleep(pause).await;
            let caller = match kept.take() {
                Some(caller) => Ok(caller),
                None => Caller::connect(self.to).await,
            };
            if let Ok(mut caller) = caller {
                let id = format!("{name}-{number}");
                let keeps = self.one(way, &mut caller, id).await;
                kept = (keeps && matches!(way, Way::Kept)).then_some(caller);
            }
        }
    }

    /// Sends one request; tells whether the connection can be kept.
    async fn one(&self, way: Way, caller: &mut Caller, id: String) -> bool {
        let written = write(way, caller, &id).await;
        let last = Instant::now();
        let answer = caller.answer().await;
        let keeps = answer.as_ref().is_ok_and(|answer| answer.head.keep_alive);
        let seen = answer
            .ok()
            .map(|answer: Answer| (answer.status, answer.whole));
        self.sent.borrow_mut().push(Sent {
            id,
            written: written.is_ok(),
            answer: seen,
            waited: last.elapsed(),
        });
        keeps
    }
}

/// A request with so little time that an ending daemon can still serve it.
fn hasty(method: &str, path: &str, id: &str, more: &str) -> String {
    request(method, path, id, more).replace("Deadline-Ms: 3000", "Deadline-Ms: 400")
}

async fn write(way: Way, caller: &mut Caller, id: &str) -> io::Result<()> {
    match way {
        Way::Kept | Way::Fresh => caller.send(&hasty("GET", "/safe/a", id, "")).await,
        Way::Stream => caller.send(&hasty("GET", "/stream/a", id, "")).await,
        Way::Upload => {
            let length = PARTS.concat().len();
            let more = format!("Content-Length: {length}\r\n");
            caller.send(&hasty("POST", "/once/a", id, &more)).await?;
            for part in PARTS {
                tokio::time::sleep(UPLOAD).await;
                caller.send(part).await?;
            }
            Ok(())
        }
    }
}

async fn endpoint() -> Endpoint {
    Endpoint::start("i-1", |seen| {
        if seen.target().starts_with("/stream/") {
            let end = Step::Send("0\r\n\r\n".into());
            let work = Step::Wait(WORK);
            return vec![stream(seen), event(0), work.clone(), event(1), work, end];
        }
        vec![Step::Wait(WORK), plain(seen, 200, "done")]
    })
    .await
}

/// Starts a daemon as a process; gives it with the address of callers.
async fn daemon(folder: &Folder, number: usize, store: &Store) -> (Process, SocketAddr) {
    let cloud = Cloud::start().await;
    let at = |port: u16| SocketAddr::from(([127, 0, 2, number as u8], port));
    let (callers, ready) = (at(free_port()), at(free_port()));
    let text = settings(store.address, cloud.address)
        .replace(
            "\"front\":\"127.0.0.1:0\"",
            &format!("\"front\":\"{callers}\""),
        )
        .replace(
            "\"ready\":\"127.0.0.1:0\"",
            &format!("\"ready\":\"{ready}\""),
        )
        .replace(
            "\"ip\":\"127.0.0.1\"",
            &format!("\"ip\":\"{}\"", callers.ip()),
        )
        .replace("\"graceS\":3", "\"graceS\":5");
    let file = folder.write(&format!("settings-{number}.json"), &text);
    let log = folder.path().join(format!("daemon-{number}.log"));
    let process = Process::start_logged(Path::new(DAEMON), (SETTINGS_VARIABLE, &file), &log);
    until(START, async || is_ready(ready).await).await;
    (process, callers)
}

/// Tells a daemon to end while callers go on; gives what became of their requests.
async fn end_one(folder: &Folder, number: usize, seed: u64) -> Vec<String> {
    let mut random = Rng::with_seed(seed + number as u64);
    let endpoint = endpoint().await;
    let store = store_with(&[&endpoint]).await;
    let (mut process, to) = daemon(folder, number, &store).await;
    let calls = Calls {
        to,
        sent: Rc::default(),
        over: Rc::default(),
    };
    let mut callers = Vec::new();
    for way in [Way::Kept, Way::Fresh, Way::Upload, Way::Stream] {
        for caller in 0..CALLERS {
            let name = format!("{way:?}-{caller}");
            let random = random.fork();
            callers.push(actix_web::rt::spawn(calls.clone().go(way, name, random)));
        }
    }
    tokio::time::sleep(Duration::from_millis(random.u64(200..600))).await;
    process.signal("TERM");
    until(START, async || process.has_ended()).await;
    calls.over.set(true);
    for caller in callers {
        caller.await.expect("a caller ends in order");
    }
    let reached: Vec<String> = endpoint.seen().iter().map(Seen::id).collect();
    let sent = calls.sent.borrow();
    sent.iter()
        .filter_map(|sent| broken(sent, &reached))
        .collect()
}

/// What is wrong with how a request ended, if anything is.
fn broken(sent: &Sent, reached: &[String]) -> Option<String> {
    let ran = reached.contains(&sent.id);
    let what = match sent.answer {
        Some((503, _)) if ran => "was told that it did not run, and it did",
        Some((_, false)) => "got a part of its answer",
        None if ran => "ran and got no answer",
        None if sent.written && sent.waited > CROSSED => "was left without an answer",
        Some((_, true)) | None => return None,
    };
    Some(format!("{} {what}", sent.id))
}

/// Seeds that showed a dropped request.
const KEPT: [u64; 1] = [1];
const SEEDS: &str = "POPLARVALE_ENDINGS";

/// A daemon is told to end while callers keep sending: on connections that they keep, on
/// new ones, bodies that come slowly, and streams. It looks whether requests are in
/// progress, sees none and ends; what came between that look and the end of the process
/// was taken, sent to an endpoint and dropped. A caller's booking ran, and its
/// connection closed without an answer. Before the process is gone some 100 ms pass in
/// which the last log lines are written, long enough for a request of 30 ms to begin.
#[actix_web::test]
async fn a_daemon_drops_nothing_that_it_took_before_its_end() {
    let mut broken = Vec::new();
    for seed in seeds(SEEDS, &KEPT) {
        let folder = Folder::new();
        let endings = (1..=ENDINGS).map(|number| end_one(&folder, number, seed));
        let found = join_all(endings).await.concat();
        println!("seed {seed}: {found:?}");
        broken.extend(found);
    }
    assert!(broken.is_empty(), "{broken:#?}");
}
