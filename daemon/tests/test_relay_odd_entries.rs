//! Entries of other writers in the lists that a daemon reads: deeply nested, with numbers that are too
//! large, or with bytes that are no text.

use std::time::Duration;

use poplarvale_standin::{Cloud, Endpoint, Store, ask, config, plain, request, settings};
use serde_json::{Value, json};
use testutils::folder::Folder;

use crate::relay_site::{ROUTES, is_ready, store_with, until};
use crate::soak::{Daemon, daemon, free_ports};

/// Nesting beyond what a parser that calls itself for each level bears.
const DEPTH: usize = 50_000;
/// Time until a daemon is ready, or has a change in force.
const SOON: Duration = Duration::from_secs(5);
/// Time for which a daemon runs beside odd entries.
const RUN_TIME: Duration = Duration::from_secs(2);
/// Prefixes of lists and keys that daemons read.
const KEYS: [&str; 9] = [
    "servers/odd",
    "op/rollout/odd",
    "op/evacuate/odd",
    "status/rollout/odd",
    "poplarvale/odd",
    "poplarvale/crashes/",
    "poplarvale/eras/",
    "poplarvale/usage",
    "poplarvale/checkpoint",
];
/// Numbers as text, as some are out of the range of all number types.
const NUMBERS: [&str; 9] = [
    "1e400",
    "1e30",
    "9.3e18",
    "1.8e19",
    "18446744073709551615",
    "18446744073709551616",
    "-1",
    "-1e300",
    "0.5",
];

/// Values that are no valid entry, or one with an extreme number.
fn odd_values() -> Vec<Vec<u8>> {
    let mut texts = vec![
        "[".repeat(DEPTH),
        "{\"a\":".repeat(DEPTH),
        format!("{{\"unknown\":{}{}}}", "[".repeat(DEPTH), "]".repeat(DEPTH)),
        "null".into(),
        "[]".into(),
        String::new(),
        "\u{0}".repeat(64),
        "z".repeat(10_000),
    ];
    for number in NUMBERS {
        texts.push(format!(
            r#"{{"service":"app","target":"v9","durationS":{number},"state":"running"}}"#
        ));
        for field in ["slots", "coldLeftMs", "seq", "born"] {
            texts.push(listing("127.0.0.1:9", field, number));
        }
    }
    for address in [
        "127.0.0.1:99999",
        "127.0.0.1:0",
        "127.0.0.1",
        "[::1]:9",
        "0.0.0.0:0",
    ] {
        texts.push(listing(address, "slots", "8"));
    }
    let mut values: Vec<Vec<u8>> = texts.into_iter().map(String::into_bytes).collect();
    values.push(vec![0xff; 64]);
    values
}

/// A valid registry entry of another service, but for the address and one field.
fn listing(address: &str, field: &str, value: &str) -> String {
    let mut fields = vec![
        ("service", "\"idle\"".to_owned()),
        ("address", format!("\"{address}\"")),
        ("zone", "\"hanko\"".into()),
        ("version", "\"v1\"".into()),
        ("state", "\"ready\"".into()),
        ("slots", "8".into()),
        ("coldLeftMs", "0".into()),
        ("seq", "1".into()),
        ("born", "1".into()),
    ];
    for row in &mut fields {
        if row.0 == field {
            value.clone_into(&mut row.1);
        }
    }
    let fields: Vec<String> = fields
        .into_iter()
        .map(|(name, value)| format!("\"{name}\":{value}"))
        .collect();
    format!("{{{}}}", fields.join(","))
}

/// Writes each odd value into each list.
fn write_odd_values(store: &Store) {
    for (number, value) in odd_values().iter().enumerate() {
        for key in KEYS {
            store.put(&format!("{key}{number}"), value);
            store.put(key, value);
        }
    }
}

/// Configurations with extreme numbers, of the versions from 2 on.
fn odd_configs() -> Vec<String> {
    let text = config(0, &ROUTES, 0);
    let fields = [
        ("timeoutMs", "/routes/0"),
        ("targetLatencyMs", "/routes/0"),
        ("gapTargetMs", "/routes/2"),
        ("maxAttempts", "/routes/0"),
        ("priority", "/routes/0"),
        ("maxConns", "/services/0"),
        ("coldStartS", "/services/0"),
        ("coldPerS", "/services/0"),
        ("ratePerS", "/tenants/0"),
        ("burst", "/tenants/0"),
        ("idleTimeoutMs", "/limits"),
        ("headerTimeoutMs", "/limits"),
        ("maxBodyBytes", "/limits"),
    ];
    let mut configs = Vec::new();
    for (field, at) in fields {
        for number in NUMBERS {
            let mut config: Value = serde_json::from_str(&text).expect("the configuration is JSON");
            config["version"] = json!(configs.len() + 2);
            let row = config.pointer_mut(at).expect("the part exists");
            row[field] = json!("NUMBER");
            configs.push(config.to_string().replace("\"NUMBER\"", number));
        }
    }
    configs
}

struct Site {
    store: Store,
    daemon: Daemon,
    endpoint: Endpoint,
    _cloud: Cloud,
    _folder: Folder,
}

impl Site {
    /// Starts a daemon on a store with one endpoint, into which `write` has written.
    async fn start(write: impl Fn(&Store)) -> Self {
        let folder = Folder::new();
        let endpoint = Endpoint::start("i-1", |seen| vec![plain(seen, 200, "done")]).await;
        let store = store_with(&[&endpoint]).await;
        write(&store);
        let cloud = Cloud::start().await;
        let text = settings(store.address, cloud.address);
        let daemon = daemon(&folder, 0, &text, free_ports());
        until(SOON, async || is_ready(daemon.ready).await).await;
        Self {
            store,
            daemon,
            endpoint,
            _cloud: cloud,
            _folder: folder,
        }
    }

    async fn serves(&self, path: &str) -> bool {
        let text = request("GET", path, "r1", "");
        let answer = ask(self.daemon.callers, &text).await;
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Checks that the daemon has not ended, follows the registry and the configuration, and serves.
    async fn check(&mut self) {
        tokio::time::sleep(RUN_TIME).await;
        assert!(!self.daemon.process.has_ended(), "the daemon has ended");
        until(SOON, async || self.serves("/safe/a").await).await;
        let late = Endpoint::start("i-2", |seen| vec![plain(seen, 200, "late")]).await;
        self.store
            .put("servers/i-2", late.entry("app", "ready").as_bytes());
        self.store.remove("servers/i-1");
        until(SOON, async || {
            self.serves("/safe/a").await && !late.seen().is_empty()
        })
        .await;
        assert!(!self.endpoint.seen().is_empty());
        let text = config(1_000_000, &ROUTES, 0).replace("/safe/", "/added/");
        self.store.put("op/config", text.as_bytes());
        until(SOON, async || self.serves("/added/a").await).await;
        assert!(!self.daemon.process.has_ended(), "the daemon has ended");
    }
}

/// Guards against a daemon that ends, or stops following a list, when it starts beside odd entries.
#[actix_web::test]
async fn a_daemon_starts_beside_odd_entries() {
    let mut site = Site::start(write_odd_values).await;
    site.check().await;
}

/// Guards against the same for entries that are written while it serves.
#[actix_web::test]
async fn a_daemon_serves_beside_odd_entries() {
    let mut site = Site::start(|_| {}).await;
    write_odd_values(&site.store);
    site.check().await;
}

/// Guards against a daemon that ends under a request of a route with an extreme number.
#[actix_web::test]
async fn a_daemon_bears_configurations_with_extreme_numbers() {
    let mut site = Site::start(|_| {}).await;
    for (number, text) in odd_configs().iter().enumerate() {
        site.store.put("op/config", text.as_bytes());
        tokio::time::sleep(Duration::from_millis(30)).await;
        // Whatever the answer is, it is one.
        let text = request("GET", "/safe/a", "r1", "");
        let answer = ask(site.daemon.callers, &text);
        let answer = tokio::time::timeout(SOON, answer).await;
        assert!(
            answer.is_ok_and(|answer| answer.is_ok()),
            "no answer under version {number}"
        );
        assert!(
            !site.daemon.process.has_ended(),
            "ended under version {number}"
        );
    }
    let text = config(10_000, &ROUTES, 0);
    site.store.put("op/config", text.as_bytes());
    until(SOON, async || site.serves("/safe/a").await).await;
    site.check().await;
}
