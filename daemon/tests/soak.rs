//! A fleet of real daemons under random faults, and what callers and endpoints see.
//!
//! The daemons are processes of their own on addresses of loopback. Faults come from
//! outside of them: signals, and proxies in front of the store and the endpoints.
//! Everything random comes from the seed, but the machine's timing does not, so a
//! seed that failed once may pass again; it is kept all the same.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use poplarvale_platform::SETTINGS_VARIABLE;
use poplarvale_standin::{
    Answer, Caller, Cloud, Endpoint, Fault, Mode, Proxy, SeenRequest, Step, Store, config, event,
    plain, rejection, request, settings, stream,
};
use testutils::folder::Folder;
use testutils::process::Process;

use crate::relay_site::{ROUTES, is_ready, until};
use crate::site::DAEMON;

const DAEMONS: usize = 3;
const ENDPOINTS: usize = 4;
const CALLERS: usize = 8;
/// Events of a stream.
const EVENTS: u64 = 6;
/// Time from SIGTERM to SIGKILL, in seconds.
const GRACE: u64 = 6;
/// How long a caller waits; as long as its requests allow.
const PATIENCE: Duration = Duration::from_secs(3);
/// How long after the last fault everything must be well again: leases, missing
/// entries and endpoints left out by evidence are back within a few seconds.
const RECOVERY: Duration = Duration::from_secs(8);

/// What became of the requests of one run.
#[derive(Debug, Default)]
pub(crate) struct Report {
    pub(crate) answered: usize,
    pub(crate) refused: usize,
    pub(crate) failed: usize,
    /// Promises that were broken, in words.
    pub(crate) broken: Vec<String>,
}

/// A request and how its caller saw it end.
#[derive(Debug)]
struct Sent {
    id: String,
    once: bool,
    /// Whether the caller was told that it did not and will not run.
    promised: bool,
}

/// What all tasks of a run share.
struct Soak {
    store: Store,
    cloud: Cloud,
    endpoints: Vec<Endpoint>,
    proxies: Vec<Proxy>,
    store_proxy: Proxy,
    daemons: Vec<RefCell<Daemon>>,
    sent: RefCell<Vec<Sent>>,
    report: RefCell<Report>,
    work: Work,
    /// Whether answers that break off count, as nothing but planned work goes on.
    calm: Cell<bool>,
    over: Cell<bool>,
    numbers: Cell<u64>,
}

struct Daemon {
    process: Process,
    settings: std::path::PathBuf,
    log: std::path::PathBuf,
    callers: SocketAddr,
    ready: SocketAddr,
}

impl Daemon {
    fn start_again(&mut self) {
        self.process = start(&self.settings, &self.log);
    }
}

fn start(settings: &Path, log: &Path) -> Process {
    Process::start_logged(Path::new(DAEMON), (SETTINGS_VARIABLE, settings), log)
}

/// What the endpoints share.
#[derive(Clone, Default)]
struct Work {
    /// How often each request ran.
    runs: Rc<RefCell<BTreeMap<String, usize>>>,
    /// Whether they answer as they should, whatever the seed says.
    sound: Rc<Cell<bool>>,
}

/// An endpoint that misbehaves on some requests, by their ids.
async fn endpoint(number: usize, work: Work) -> Endpoint {
    Endpoint::start(&format!("i-{number}"), move |seen| {
        let chance = if work.sound.get() {
            99
        } else {
            chance(&seen.id(), number)
        };
        let streams = ["/resume/", "/stream/"];
        let is_stream = streams
            .iter()
            .any(|prefix| seen.target().starts_with(prefix));
        if !is_stream && chance < 4 {
            return vec![rejection(seen)];
        }
        *work.runs.borrow_mut().entry(seen.id()).or_default() += 1;
        match chance {
            _ if is_stream => events(seen, chance),
            4..6 => vec![Step::Close],
            6..8 => vec![plain(seen, 500, "failed")],
            8..10 => vec![answer(seen), plain(seen, 200, "a second answer")],
            _ => vec![Step::Wait(Duration::from_millis(chance % 20)), answer(seen)],
        }
    })
    .await
}

fn chance(id: &str, number: usize) -> u64 {
    let sum = id.bytes().fold(number as u64, |sum, byte| {
        sum.wrapping_mul(131).wrapping_add(u64::from(byte))
    });
    Rng::with_seed(sum).u64(..100)
}

fn answer(seen: &SeenRequest) -> Step {
    plain(seen, 200, &format!("answer to {}", seen.id()))
}

fn events(seen: &SeenRequest, chance: u64) -> Vec<Step> {
    let first = seen.last_event().parse::<u64>().map_or(0, |last| last + 1);
    let mut steps = vec![stream(seen)];
    for number in first..EVENTS {
        if chance < 5 && number == first + 2 {
            steps.push(Step::Close);
            return steps;
        }
        steps.push(event(number));
        steps.push(Step::Wait(Duration::from_millis(15)));
    }
    steps.push(Step::Send("0\r\n\r\n".into()));
    steps
}

/// A port that is free on loopback now.
pub(crate) fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("it listens").port()
}

impl Soak {
    async fn start(folder: &Folder) -> Self {
        let store = Store::start().await;
        let cloud = Cloud::start().await;
        let store_proxy = Proxy::start(store.address).await;
        store.put("op/config", config(1, &ROUTES, 0).as_bytes());
        let work = Work::default();
        let mut endpoints = Vec::new();
        let mut proxies = Vec::new();
        for number in 0..ENDPOINTS {
            let endpoint = endpoint(number, work.clone()).await;
            let proxy = Proxy::start(endpoint.address).await;
            store.put(
                &format!("servers/i-{number}"),
                entry(&endpoint, &proxy, "ready").as_bytes(),
            );
            endpoints.push(endpoint);
            proxies.push(proxy);
        }
        let ports = [free_port(), free_port(), free_port(), free_port()];
        let daemons = (0..DAEMONS).map(|number| {
            let text = settings(store_proxy.address, cloud.address);
            RefCell::new(daemon(folder, number, &text, ports))
        });
        Self {
            daemons: daemons.collect(),
            store,
            cloud,
            endpoints,
            proxies,
            store_proxy,
            work,
            sent: RefCell::default(),
            report: RefCell::default(),
            calm: Cell::new(false),
            over: Cell::new(false),
            numbers: Cell::new(0),
        }
    }

    fn broken(&self, what: String) {
        self.report.borrow_mut().broken.push(what);
    }

    async fn until_ready(&self) {
        for daemon in &self.daemons {
            let ready = daemon.borrow().ready;
            until(RECOVERY, async || is_ready(ready).await).await;
        }
    }
}

fn entry(endpoint: &Endpoint, proxy: &Proxy, state: &str) -> String {
    let entry = endpoint.entry("app", state);
    entry.replace(&endpoint.address.to_string(), &proxy.address.to_string())
}

/// Each daemon has an address of loopback of its own, as ports are the same on all.
fn daemon(folder: &Folder, number: usize, text: &str, ports: [u16; 4]) -> Daemon {
    let ip = |number: usize| format!("127.0.0.{}", number + 10);
    let me = ip(number);
    let [callers, ready, status, peers] = ports;
    let text = text
        .replace("\"front-hanko-1\"", &format!("\"front-{number}\""))
        .replace(
            "\"front\":\"127.0.0.1:0\"",
            &format!("\"front\":\"{me}:{callers}\""),
        )
        .replace(
            "\"ready\":\"127.0.0.1:0\"",
            &format!("\"ready\":\"{me}:{ready}\""),
        )
        .replace(
            "\"control\":\"127.0.0.1:0\"",
            &format!("\"control\":\"{me}:{status}\""),
        )
        .replace("\"ip\":\"127.0.0.1\"", &format!("\"ip\":\"{me}\""))
        .replace("[0,0]", &format!("[{peers},{peers}]"))
        .replace(
            "\"seeds\":[]",
            &format!("\"seeds\":[\"{}:{status}\"]", ip(0)),
        )
        .replace("\"graceS\":3", &format!("\"graceS\":{GRACE}"));
    let settings = folder.write(&format!("settings-{number}.json"), &text);
    let log = folder.path().join(format!("daemon-{number}.log"));
    Daemon {
        process: start(&settings, &log),
        settings,
        log,
        callers: SocketAddr::new(me.parse().expect("an address"), callers),
        ready: SocketAddr::new(me.parse().expect("an address"), ready),
    }
}

/// Seeds to play: those of a range such as `100..150` in the environment, or the kept ones.
pub(crate) fn seeds(variable: &str, kept: &[u64]) -> Vec<u64> {
    let Ok(range) = std::env::var(variable) else {
        return kept.to_vec();
    };
    let bounds = range.split_once("..");
    let (first, end) = bounds.expect("a range such as 100..150");
    let number = |text: &str| text.parse::<u64>().expect("a number");
    (number(first)..number(end)).collect()
}

/// Plays one seed: faults for `time`, then a quiet end in which every daemon is
/// stopped and started in turn.
pub(crate) async fn play(seed: u64, time: Duration) -> Report {
    let folder = Folder::new();
    let soak = Rc::new(Soak::start(&folder).await);
    soak.until_ready().await;
    let mut random = Rng::with_seed(seed);
    let mut tasks = Vec::new();
    for _ in 0..CALLERS {
        let random = random.fork();
        tasks.push(actix_web::rt::spawn(call(Rc::clone(&soak), random)));
    }
    trouble(&soak, &mut random, time).await;
    heal(&soak);
    until_well(&soak).await;
    soak.calm.set(true);
    stop_in_turn(&soak).await;
    stop_overlapping(&soak).await;
    soak.over.set(true);
    for task in tasks {
        task.await.expect("a caller ends in order");
    }
    check_runs(&soak);
    check_reports(&soak);
    let report = std::mem::take(&mut *soak.report.borrow_mut());
    if !report.broken.is_empty() {
        for daemon in &soak.daemons {
            let log = std::fs::read_to_string(&daemon.borrow().log);
            println!("{}", log.expect("the daemon logged"));
        }
    }
    report
}

/// One fault after the other, each over a while later, so that they overlap.
async fn trouble(soak: &Rc<Soak>, random: &mut Rng, time: Duration) {
    let end = Instant::now() + time;
    let mut version = 1;
    while Instant::now() < end {
        let lasts = Duration::from_millis(random.u64(200..1500));
        let daemon = random.usize(..DAEMONS);
        let endpoint = random.usize(..ENDPOINTS);
        match random.u32(..15) {
            0 => soak.daemons[daemon].borrow_mut().process.kill(),
            1 => pause(soak, daemon, lasts),
            2 => soak.daemons[daemon].borrow().process.signal("TERM"),
            3 => signal_if_alive(soak, daemon, "HUP"),
            4 => spoil(&soak.proxies[endpoint], Fault::Blocked, lasts),
            5 => spoil(&soak.proxies[endpoint], Fault::ResponsesBlocked, lasts),
            6 => spoil(&soak.proxies[endpoint], Fault::Reset, lasts),
            7 => spoil(&soak.store_proxy, Fault::Blocked, lasts),
            8 => spoil(&soak.store_proxy, Fault::Delay(lasts / 4), lasts),
            9 => misbehave(soak, random, lasts),
            10 => {
                version += random.u64(1..4);
                soak.store
                    .put("op/config", config(version, &ROUTES, 0).as_bytes());
            }
            11 => leave(soak, endpoint, lasts),
            12 => end_all(soak),
            13 => end_twice(soak, daemon, lasts),
            _ => end_by_force(soak, daemon),
        }
        let pause = Duration::from_millis(random.u64(50..400));
        tokio::time::sleep(pause).await;
        start_ended(soak);
    }
}

/// What the platform does: a process that ended is started again.
fn start_ended(soak: &Soak) {
    for daemon in &soak.daemons {
        let mut daemon = daemon.borrow_mut();
        if daemon.process.has_ended() {
            daemon.start_again();
        }
    }
}

fn signal_if_alive(soak: &Soak, daemon: usize, name: &str) {
    let mut daemon = soak.daemons[daemon].borrow_mut();
    if !daemon.process.has_ended() {
        daemon.process.signal(name);
    }
}

fn pause(soak: &Rc<Soak>, daemon: usize, lasts: Duration) {
    signal_if_alive(soak, daemon, "STOP");
    let soak = Rc::clone(soak);
    actix_web::rt::spawn(async move {
        tokio::time::sleep(lasts).await;
        signal_if_alive(&soak, daemon, "CONT");
    });
}

/// All daemons are told to end at once.
fn end_all(soak: &Soak) {
    for daemon in 0..DAEMONS {
        signal_if_alive(soak, daemon, "TERM");
    }
}

/// A daemon is told to end a second time while it ends.
fn end_twice(soak: &Rc<Soak>, daemon: usize, lasts: Duration) {
    signal_if_alive(soak, daemon, "TERM");
    let soak = Rc::clone(soak);
    actix_web::rt::spawn(async move {
        tokio::time::sleep(lasts).await;
        signal_if_alive(&soak, daemon, "TERM");
    });
}

/// A daemon is told to end, and killed if it still runs when its grace is over.
fn end_by_force(soak: &Rc<Soak>, daemon: usize) {
    let told = soak.daemons[daemon].borrow().process.id();
    signal_if_alive(soak, daemon, "TERM");
    let soak = Rc::clone(soak);
    actix_web::rt::spawn(async move {
        tokio::time::sleep(Duration::from_secs(GRACE)).await;
        let mut daemon = soak.daemons[daemon].borrow_mut();
        if daemon.process.id() == told && !daemon.process.has_ended() {
            daemon.process.kill();
        }
    });
}

fn spoil(proxy: &Proxy, fault: Fault, lasts: Duration) {
    proxy.set(fault);
    let proxy = proxy.clone();
    actix_web::rt::spawn(async move {
        tokio::time::sleep(lasts).await;
        proxy.set(Fault::None);
    });
}

/// The store itself refuses, loses answers or forgets its history.
fn misbehave(soak: &Rc<Soak>, random: &mut Rng, lasts: Duration) {
    let mode = match random.u32(..3) {
        0 => Mode::Rejecting,
        1 => Mode::LosesReplies,
        _ => return soak.store.compact(),
    };
    soak.store.set(mode);
    let store = soak.store.clone();
    actix_web::rt::spawn(async move {
        tokio::time::sleep(lasts).await;
        store.set(Mode::Healthy);
    });
}

/// An endpoint says that it leaves, and comes back later.
fn leave(soak: &Rc<Soak>, endpoint: usize, lasts: Duration) {
    put_entry(soak, endpoint, "draining");
    let soak = Rc::clone(soak);
    actix_web::rt::spawn(async move {
        tokio::time::sleep(lasts).await;
        put_entry(&soak, endpoint, "ready");
    });
}

fn put_entry(soak: &Soak, number: usize, state: &str) {
    let entry = entry(&soak.endpoints[number], &soak.proxies[number], state);
    soak.store
        .put(&format!("servers/i-{number}"), entry.as_bytes());
}

fn heal(soak: &Soak) {
    for proxy in soak.proxies.iter().chain([&soak.store_proxy]) {
        proxy.set(Fault::None);
    }
    soak.store.set(Mode::Healthy);
    for daemon in 0..DAEMONS {
        signal_if_alive(soak, daemon, "CONT");
    }
    for number in 0..ENDPOINTS {
        put_entry(soak, number, "ready");
    }
}

/// Waits until every daemon is ready and serves again.
async fn until_well(soak: &Rc<Soak>) {
    // Faults that were still to end do so, and daemons that were told to end do.
    let end = Instant::now() + Duration::from_secs(GRACE + 1);
    while Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(200)).await;
        start_ended(soak);
    }
    heal(soak);
    soak.work.sound.set(true);
    soak.until_ready().await;
    tokio::time::sleep(RECOVERY / 2).await;
    let before = served(soak);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let (answered, failed) = served(soak);
    let (answered, failed) = (answered - before.0, failed - before.1);
    if answered < 20 || answered < failed * 5 {
        soak.broken(format!(
            "after the faults {answered} are answered, {failed} not"
        ));
    }
}

fn served(soak: &Soak) -> (usize, usize) {
    let report = soak.report.borrow();
    (report.answered, report.failed + report.refused)
}

/// Stops and starts every daemon in turn while callers keep their connections.
async fn stop_in_turn(soak: &Rc<Soak>) {
    for daemon in 0..DAEMONS {
        soak.daemons[daemon].borrow().process.signal("TERM");
        let soak = Rc::clone(soak);
        until(Duration::from_secs(GRACE), async || {
            soak.daemons[daemon].borrow_mut().process.has_ended()
        })
        .await;
        start_ended(&soak);
        soak.until_ready().await;
    }
}

/// Stops two daemons, the second while the first still ends; callers find the others.
async fn stop_overlapping(soak: &Rc<Soak>) {
    for daemon in 0..2 {
        soak.daemons[daemon].borrow().process.signal("TERM");
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    until(Duration::from_secs(GRACE), async || {
        (0..2).all(|daemon| soak.daemons[daemon].borrow_mut().process.has_ended())
    })
    .await;
    start_ended(soak);
    soak.until_ready().await;
}

/// A caller: requests on a kept connection until it ends, then on another one.
async fn call(soak: Rc<Soak>, mut random: Rng) {
    let mut kept: Option<(usize, Caller)> = None;
    while !soak.over.get() {
        let (at, mut caller) = match kept.take() {
            Some(kept) => kept,
            None => match connect(&soak, &mut random).await {
                Some(made) => made,
                None => continue,
            },
        };
        let prefix = ["/safe/", "/once/", "/resume/", "/stream/"][random.usize(..4)];
        let number = soak.numbers.get() + 1;
        soak.numbers.set(number);
        let id = format!("r{number:x}");
        let method = if prefix == "/once/" { "POST" } else { "GET" };
        let text = request(method, &format!("{prefix}{id}"), &id, "");
        let calm = soak.calm.get();
        let asked = tokio::time::timeout(PATIENCE, caller.exchange(&text)).await;
        let answer = asked.ok().and_then(Result::ok);
        let whole = answer.as_ref().is_some_and(|answer| answer.complete);
        take(&soak, &id, prefix, answer.as_ref(), calm);
        if whole && answer.is_some_and(|answer| answer.head.keep_alive) {
            kept = Some((at, caller));
        }
        tokio::time::sleep(Duration::from_millis(random.u64(1..20))).await;
    }
}

async fn connect(soak: &Soak, random: &mut Rng) -> Option<(usize, Caller)> {
    let at = random.usize(..DAEMONS);
    let (callers, ready) = {
        let daemon = soak.daemons[at].borrow();
        (daemon.callers, daemon.ready)
    };
    // The balancer sends new connections to daemons that say they are ready.
    let asked = tokio::time::timeout(Duration::from_millis(300), is_ready(ready)).await;
    if asked != Ok(true) {
        tokio::time::sleep(Duration::from_millis(30)).await;
        return None;
    }
    let made = tokio::time::timeout(Duration::from_secs(1), Caller::connect(callers)).await;
    Some((at, made.ok()?.ok()?))
}

/// Checks an answer and notes how the request ended.
fn take(soak: &Soak, id: &str, prefix: &str, answer: Option<&Answer>, calm: bool) {
    let status = answer.map_or(0, |answer| answer.status);
    let promised = matches!(status, 408 | 421 | 429 | 503);
    soak.sent.borrow_mut().push(Sent {
        id: id.into(),
        once: prefix == "/once/" || prefix == "/stream/",
        promised,
    });
    let Some(answer) = answer.filter(|answer| answer.complete) else {
        soak.report.borrow_mut().failed += 1;
        if calm {
            soak.broken(format!("{prefix}{id} got no whole answer in a calm time"));
        }
        return;
    };
    match status {
        200 => {
            soak.report.borrow_mut().answered += 1;
            check_body(soak, id, prefix, &answer.body);
        }
        503 | 429 => soak.report.borrow_mut().refused += 1,
        500 | 502 | 504 => soak.report.borrow_mut().failed += 1,
        other => soak.broken(format!("{prefix}{id} got status {other}")),
    }
}

fn check_body(soak: &Soak, id: &str, prefix: &str, body: &str) {
    let expected = if prefix == "/resume/" || prefix == "/stream/" {
        let piece = |number: u64| format!("id: {number}\ndata: piece {number}\n\n");
        (0..EVENTS).map(piece).collect()
    } else {
        format!("answer to {id}")
    };
    if body != expected {
        soak.broken(format!("{prefix}{id} got {body:?}"));
    }
}

/// What must run once ran once, and what was said not to have run did not.
fn check_runs(soak: &Soak) {
    let runs = soak.work.runs.borrow();
    for sent in soak.sent.borrow().iter() {
        let runs = runs.get(&sent.id).copied().unwrap_or(0);
        if sent.once && runs > 1 {
            soak.broken(format!("{} ran {runs} times", sent.id));
        }
        if sent.once && sent.promised && runs > 0 {
            soak.broken(format!(
                "{} ran, and its caller was told that it did not",
                sent.id
            ));
        }
    }
}

/// No window of usage is reported with two different counts.
fn check_reports(soak: &Soak) {
    let mut reports: BTreeMap<String, String> = BTreeMap::new();
    for call in soak.cloud.seen() {
        let body = String::from_utf8_lossy(&call.body).into_owned();
        let window = body.split(',').next().unwrap_or_default().to_owned();
        let first = reports.entry(window).or_insert_with(|| body.clone());
        if *first != body {
            soak.broken(format!("two reports: {first} and {body}"));
        }
    }
}
