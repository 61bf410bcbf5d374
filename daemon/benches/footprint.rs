//! Measures the cost of an idle daemon: processor time, memory and calls to the
//! key-value service, for several fleets of real processes around one store.
//!
//! `cargo bench -p poplarvaled --bench footprint`. The slopes go into
//! `docs/CAPACITY.md`. Reads `/proc`, so it runs on Linux only.

use std::fs;
use std::path::Path;
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};
use testutils::folder::Folder;
use testutils::process::{Process, beside};

const DAEMON: &str = env!("CARGO_BIN_EXE_poplarvaled");
const ZONES: [&str; 4] = ["hanko", "porkkala", "espoo", "kotka"];
/// Time for the daemons to find each other and for the lists to spread.
const SETTLE_TIME: Duration = Duration::from_secs(12);
/// Time over which the fleet is measured.
const WINDOW: Duration = Duration::from_secs(15);
/// Clock ticks per second in which Linux reports processor times (`USER_HZ`).
const TICKS_PER_S: f64 = 100.0;

/// Measured fleets: number of daemons, and of endpoints in the settings of each.
const FLEETS: [(usize, usize); 5] = [(1, 10), (8, 10), (8, 230), (24, 230), (48, 230)];

fn main() {
    println!("| daemons | endpoints | core, mean | core, worst | memory, worst | store calls/s |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for (daemons, endpoints) in FLEETS {
        measure(daemons, endpoints);
    }
}

fn measure(count: usize, endpoints: usize) {
    let folder = Folder::new();
    let store = Process::start(&beside(DAEMON, "store"), &[]);
    let mut daemons: Vec<Process> = Vec::new();
    for at in 0..count {
        let settings = settings(&folder, endpoints, at, &store, &daemons);
        let file = folder.write(&format!("{at}.json"), &settings.to_string());
        let args = ["--settings", &file.to_string_lossy()];
        daemons.push(Process::start(Path::new(DAEMON), &args));
    }
    thread::sleep(SETTLE_TIME);
    let (before, calls) = (times(&daemons), store_calls(&store));
    thread::sleep(WINDOW);
    let (after, later) = (times(&daemons), store_calls(&store));
    let window = WINDOW.as_secs_f64();
    let used = before.iter().zip(&after);
    let cores: Vec<f64> = used.map(|(a, b)| (b - a) / TICKS_PER_S / window).collect();
    let mean = cores.iter().sum::<f64>() / cores.len() as f64;
    let worst = cores.iter().copied().fold(0.0, f64::max);
    let memory = daemons.iter().map(resident).fold(0.0, f64::max);
    println!(
        "| {count} | {endpoints} | {:.2} % | {:.2} % | {memory:.1} MB | {:.1} |",
        mean * 100.0,
        worst * 100.0,
        (later - calls) / window,
    );
}

fn settings(
    folder: &Folder,
    endpoints: usize,
    at: usize,
    store: &Process,
    others: &[Process],
) -> Value {
    folder.write("operators.token", "operators");
    folder.write("peers.token", "peers");
    // Nothing listens at these addresses; only the state kept for an endpoint is measured.
    let endpoints: Vec<Value> = (0..endpoints)
        .map(|n| {
            let zone = ZONES[n % ZONES.len()];
            let address = format!("127.0.0.1:{}", 1 + n);
            json!({"id": format!("engine-{n}"), "zone": zone, "address": address})
        })
        .collect();
    let seeds = others.iter().take(3);
    let seeds: Vec<String> = seeds.map(|d| d.address("peers").to_string()).collect();
    json!({
        "zone": ZONES[at % ZONES.len()], "region": "fi-south",
        "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0",
        "credentials": {"operators": "operators.token", "peers": "peers.token"},
        "platform": {"store": store.address("listening")},
        "seeds": seeds,
        "services": [{"id": "lm", "kind": "model", "models": ["lm"], "endpoints": endpoints}],
        "logs": {"level": "error"},
    })
}

/// Processor time that each process has used, in clock ticks.
fn times(daemons: &[Process]) -> Vec<f64> {
    let ticks = |daemon: &Process| {
        let stat = fs::read_to_string(format!("/proc/{}/stat", daemon.id()));
        let stat = stat.expect("the process runs");
        // The name in parentheses may contain spaces; the fields after it do not.
        let fields = stat
            .rsplit(") ")
            .next()
            .expect("the line has fields after the name");
        let fields: Vec<&str> = fields.split(' ').collect();
        let number = |at: usize| fields[at].parse::<f64>().expect("the field is a number");
        number(11) + number(12)
    };
    daemons.iter().map(ticks).collect()
}

/// Resident memory of a process in megabytes.
fn resident(daemon: &Process) -> f64 {
    let status = fs::read_to_string(format!("/proc/{}/status", daemon.id()));
    let status = status.expect("the process runs");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    let kilobytes = kilobytes.and_then(|n| n.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) / 1024.0
}

/// Number of calls that the store has counted, including watches.
fn store_calls(store: &Process) -> f64 {
    let url = format!("http://{}/counts", store.address("listening"));
    let counts = actix_web::rt::System::new().block_on(async move {
        let response = awc::Client::default().get(url).send().await;
        let json = response.expect("the store answers").json::<Value>().await;
        json.expect("the answer is JSON")
    });
    let counts = counts
        .as_object()
        .expect("the answer is an object of counts by kind");
    counts.values().filter_map(Value::as_f64).sum()
}
