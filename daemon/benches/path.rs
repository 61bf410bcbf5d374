//! Measures the latency that a daemon adds, and the requests per second through one daemon.
//!
//! The stand-ins for a model engine and for a booking application and one daemon run as
//! processes. The same callers send requests to the stand-in directly and through the daemon,
//! in turns within one run (direct, daemon, daemon, direct), so that other load on
//! the machine affects both. The stand-ins take no time beyond the resolution of
//! their timers, about a millisecond per token, so the difference
//! is the latency added by the daemon; it is not the latency of a loaded site.
//!
//! `cargo bench -p poplarvaled --bench path` takes about a minute.

use std::any::Any;
use std::env;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use actix_web::dev::Extensions;
use actix_web::rt::net::TcpStream;
use actix_web::web::ServiceConfig;
use actix_web::{App, HttpServer};
use awc::Client;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use testutils::engine::{Engine, EngineSpeed};
use testutils::folder::Folder;
use testutils::plain::Plain;
use testutils::process::Process;

const DAEMON: &str = env!("CARGO_BIN_EXE_poplarvaled");
const KEY: &str = "bench";
/// Numbers of concurrent callers.
const CALLERS: [usize; 3] = [1, 8, 32];
/// Maximum of threads for the callers, so that they do not limit the result.
const THREADS: usize = 4;
/// Duration of a turn after its warm-up.
const TURN: Duration = Duration::from_millis(1_200);
const WARM_UP: Duration = Duration::from_millis(200);
/// Maximum of requests that one caller sends in a turn.
const MAX_REQUESTS: usize = 200_000;

fn main() {
    // This program also runs as the stand-ins, so the benchmark needs no other programs.
    let mut words = env::args().skip_while(|word| word != "--stand-in").skip(1);
    match words.next().as_deref() {
        Some("engine") => stand_in_engine(),
        Some("plain") => stand_in_plain(),
        Some(other) => panic!("no stand-in is called {other}"),
        None => measure(),
    }
}

fn stand_in_engine() {
    let speed = EngineSpeed {
        block_us: 0,
        token_us: 0,
        slots: 64,
        cache: 4_096,
        ..EngineSpeed::default()
    };
    let engine = Engine::new(speed, "v1", true);
    stand_in(move |config| engine.routes(config));
}

fn stand_in_plain() {
    let plain = Plain::new();
    stand_in(move |config| plain.routes(config));
}

/// Serves routes at an address that it prints.
///
/// Sets `TCP_NODELAY`. Without it the kernel holds a small packet back until
/// the previous one is acknowledged, which a reader delays by 40 ms, and the
/// results would show this delay instead of the daemon's.
fn stand_in(routes: impl Fn(&mut ServiceConfig) + Clone + Send + 'static) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    println!(
        "listening {}",
        listener.local_addr().expect("the listener has an address")
    );
    let serving = async move {
        HttpServer::new(move || App::new().configure(routes.clone()))
            .workers(1)
            .on_connect(send_at_once)
            .listen(listener)?
            .run()
            .await
    };
    let served = actix_web::rt::System::new().block_on(serving);
    served.expect("the stand-in serves");
}

fn send_at_once(connection: &dyn Any, _: &mut Extensions) {
    if let Some(stream) = connection.downcast_ref::<TcpStream>() {
        stream.set_nodelay(true).expect("the socket takes options");
    }
}

/// A kind of request.
#[derive(Clone)]
struct Kind {
    name: &'static str,
    /// Path for requests to the stand-in.
    direct: &'static str,
    /// Path for requests to the daemon.
    through: &'static str,
    /// Body; `None` for a GET request.
    body: Option<String>,
    /// Text that a complete answer contains.
    mark: &'static str,
}

impl Kind {
    fn chat(name: &'static str, tokens: u32) -> Self {
        let body = json!({
            "model": "surf-lm", "stream": true, "max_tokens": tokens,
            "messages": [{"role": "user", "content": "Any waves?"}],
        });
        Self {
            name,
            direct: "/v1/chat/completions",
            through: "/v1/chat/completions",
            body: Some(body.to_string()),
            mark: "[DONE]",
        }
    }

    fn status() -> Self {
        Self {
            name: "GET status",
            direct: "/bookings/b-1",
            through: "/services/bookings/bookings/b-1",
            body: None,
            mark: "ran",
        }
    }
}

/// Results of callers: latencies in microseconds, failures and the measured time.
struct Results {
    micros: Histogram<u64>,
    failed: u64,
    span: Duration,
}

impl Results {
    fn new() -> Self {
        Self {
            micros: Histogram::new(3).expect("three digits are allowed"),
            failed: 0,
            span: Duration::ZERO,
        }
    }

    /// Adds the results of other callers of the same turn.
    fn merge(&mut self, other: &Self) {
        self.micros
            .add(&other.micros)
            .expect("the histograms have the same bounds");
        self.failed += other.failed;
    }

    /// Adds the results of a later turn.
    fn add_turn(&mut self, other: &Self) {
        self.merge(other);
        self.span += other.span;
    }

    fn rate(&self) -> f64 {
        self.micros.len() as f64 / self.span.as_secs_f64()
    }

    fn millis(&self, share: f64) -> f64 {
        self.micros.value_at_quantile(share) as f64 / 1_000.0
    }
}

fn measure() {
    let own = env::current_exe().expect("the program knows its own path");
    let engine = Process::start(&own, &["--stand-in", "engine"]);
    let plain = Process::start(&own, &["--stand-in", "plain"]);
    let (to_engine, to_plain) = (engine.address("listening"), plain.address("listening"));
    let folder = Folder::new();
    let file = settings(&folder, to_engine, to_plain);
    let daemon = Process::start(Path::new(DAEMON), &["--settings", &file]);
    let callers = daemon.address("callers");
    let operators = daemon.address("operators");
    book(to_plain);

    println!("p50, p95, p99 in milliseconds; `failed` are answers that were not whole");
    println!(
        "{:<16} {:>7} {:<7} {:>9} {:>8} {:>8} {:>8} {:>7}",
        "calls", "callers", "to", "a second", "p50", "p95", "p99", "failed"
    );
    let kinds = [
        (Kind::chat("chat, 1 token", 1), to_engine),
        (Kind::chat("chat, 32 tokens", 32), to_engine),
        (Kind::status(), to_plain),
    ];
    for (kind, stand_in) in &kinds {
        for count in CALLERS {
            let before = Ticks::read(operators);
            compare(kind, count, *stand_in, callers);
            Ticks::read(operators).print_since(&before);
        }
    }
}

/// Number and total duration of the daemon's ticks, from its metrics.
struct Ticks {
    count: f64,
    seconds: f64,
}

impl Ticks {
    fn read(operators: SocketAddr) -> Self {
        let page = actix_web::rt::System::new().block_on(async move {
            let request = Client::default()
                .get(format!("http://{operators}/metrics"))
                .insert_header(("authorization", "Bearer operators"));
            let mut response = request.send().await.expect("the daemon answers");
            response.body().await.expect("the page is complete")
        });
        let page = String::from_utf8_lossy(&page);
        let value = |name: &str| {
            let line = page.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(|rest| rest.trim().parse().ok())
                .unwrap_or(0.0)
        };
        Self {
            count: value("poplarvale_tick_seconds_count"),
            seconds: value("poplarvale_tick_seconds_sum"),
        }
    }

    fn print_since(&self, before: &Self) {
        let (count, seconds) = (self.count - before.count, self.seconds - before.seconds);
        let mean = 1e6 * seconds / count.max(1.0);
        println!("  ticks of the daemon: {count:.0} of {mean:.0} us, {seconds:.2} s in all");
    }
}

/// Measures one kind of request directly and through the daemon, in turns, and prints the rows.
fn compare(kind: &Kind, count: usize, stand_in: SocketAddr, daemon: SocketAddr) {
    let (mut direct, mut through) = (Results::new(), Results::new());
    for is_direct in [true, false, false, true] {
        if is_direct {
            direct.add_turn(&turn(kind, count, stand_in, kind.direct));
        } else {
            through.add_turn(&turn(kind, count, daemon, kind.through));
        }
    }
    print(kind.name, count, "direct", &direct);
    print(kind.name, count, "daemon", &through);
    println!(
        "{:<16} {:>7} {:<7} {:>8.2}x {:>+8.2} {:>+8.2} {:>+8.2}",
        kind.name,
        count,
        "differ",
        through.rate() / direct.rate(),
        through.millis(0.50) - direct.millis(0.50),
        through.millis(0.95) - direct.millis(0.95),
        through.millis(0.99) - direct.millis(0.99),
    );
}

fn print(name: &str, count: usize, to: &str, got: &Results) {
    println!(
        "{name:<16} {count:>7} {to:<7} {:>9.0} {:>8.2} {:>8.2} {:>8.2} {:>7}",
        got.rate(),
        got.millis(0.50),
        got.millis(0.95),
        got.millis(0.99),
        got.failed,
    );
}

/// Runs the callers for one turn, spread over threads.
fn turn(kind: &Kind, count: usize, to: SocketAddr, path: &str) -> Results {
    let threads = count.min(THREADS);
    let start = |thread: usize| {
        let share = count / threads + usize::from(thread < count % threads);
        let (kind, url) = (kind.clone(), format!("http://{to}{path}"));
        thread::spawn(move || actix_web::rt::System::new().block_on(callers(share, kind, url)))
    };
    let running: Vec<_> = (0..threads).map(start).collect();
    let mut all = Results::new();
    for thread in running {
        all.merge(&thread.join().expect("the callers do not panic"));
    }
    all.span = TURN;
    all
}

async fn callers(count: usize, kind: Kind, url: String) -> Results {
    let client = Client::builder().timeout(Duration::from_secs(10)).finish();
    let one = |_| caller(&client, &kind, &url);
    let mut all = Results::new();
    for got in futures::future::join_all((0..count).map(one)).await {
        all.merge(&got);
    }
    all
}

/// One caller, which sends the next request as soon as it has an answer.
async fn caller(client: &Client, kind: &Kind, url: &str) -> Results {
    let begin = Instant::now() + WARM_UP;
    let end = begin + TURN;
    let mut got = Results::new();
    for _ in 0..MAX_REQUESTS {
        let asked = Instant::now();
        if asked >= end {
            break;
        }
        let whole = request(client, kind, url).await;
        let answered = Instant::now();
        if answered < begin || answered >= end {
            continue;
        }
        if whole {
            let micros = (answered - asked).as_micros() as u64;
            got.micros.record(micros).expect("the histogram grows");
        } else {
            got.failed += 1;
        }
    }
    got
}

/// Sends one request; returns whether the answer is complete.
async fn request(client: &Client, kind: &Kind, url: &str) -> bool {
    let bearer = ("authorization", format!("Bearer {KEY}"));
    let sent = match &kind.body {
        Some(body) => {
            let request = client.post(url).insert_header(bearer);
            let request = request.insert_header(("content-type", "application/json"));
            request.send_body(body.clone()).await
        }
        None => client.get(url).insert_header(bearer).send().await,
    };
    let Ok(mut response) = sent else {
        return false;
    };
    let Ok(body) = response.body().await else {
        return false;
    };
    response.status().is_success() && String::from_utf8_lossy(&body).contains(kind.mark)
}

/// Makes the booking whose status is requested.
fn book(plain: SocketAddr) {
    let booked = actix_web::rt::System::new().block_on(async move {
        let request = Client::default().post(format!("http://{plain}/bookings"));
        request.send_json(&json!({"id": "b-1"})).await.is_ok()
    });
    assert!(booked, "the application rejected the booking");
}

/// Writes the settings of a daemon with one endpoint per service and a plan whose limits
/// are never reached; returns the path of the file.
fn settings(folder: &Folder, engine: SocketAddr, plain: SocketAddr) -> String {
    folder.write("operators.token", "operators");
    folder.write("peers.token", "peers");
    let digest = poplarvale_lib::keys::digest(KEY);
    let customers = json!([{"id": "bench", "plan": "all", "digests": [digest]}]);
    let plans = json!([{"id": "all", "priority": 1, "requests": 1e9, "tokens": 1e9,
        "running": 10_000, "services": ["bookings"], "models": ["surf-lm"]}]);
    folder.write("customers.json", &customers.to_string());
    folder.write("plans.json", &plans.to_string());
    let endpoint = |id: &str, address| json!([{"id": id, "zone": "hanko", "address": address}]);
    let settings: Value = json!({
        "zone": "hanko", "region": "fi-south",
        "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0",
        "credentials": {"operators": "operators.token", "peers": "peers.token"},
        "lists": {"customers": "customers.json", "plans": "plans.json"},
        "services": [
            {"id": "surf-lm", "kind": "model", "models": ["surf-lm"],
             "endpoints": endpoint("engine", engine)},
            {"id": "bookings", "kind": "plain",
             "routes": [{"method": "GET", "path": "/bookings/*", "repeatable": true}],
             "endpoints": endpoint("booking", plain)},
        ],
        "logs": {"level": "warn"},
    });
    let file = folder.write("settings.json", &settings.to_string());
    file.to_string_lossy().into_owned()
}
