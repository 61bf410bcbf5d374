//! A small test site: daemons, simulated endpoints and simulated platform services, each in its own
//! process.

use std::net::SocketAddr;
use std::ops::Deref;
use std::path::Path;
use std::time::Duration;

use awc::Client;
use awc::http::StatusCode;
use awc::http::header::HeaderMap;
use serde_json::{Value, json};
use testutils::folder::Folder;
use testutils::process::{Process, beside};

pub(crate) const DAEMON: &str = env!("CARGO_BIN_EXE_poplarvaled");
/// API key of a customer whose plan includes everything.
pub(crate) const KEY: &str = "surf-demo";
/// API key of a customer whose plan includes the model only.
pub(crate) const READER: &str = "smog-demo";
/// API key of a customer whose plan admits one request, and the next one 50 s later.
pub(crate) const SLOW: &str = "slow-demo";
/// API key of a customer whose plan allows ten running requests.
pub(crate) const FEW: &str = "few-demo";
/// The operators' token.
pub(crate) const TOKEN: &str = "operators";

/// Interval between two checks of an awaited condition.
pub(crate) const PAUSE: Duration = Duration::from_millis(50);

/// Response that a caller received.
#[derive(Debug)]
pub(crate) struct Got {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
}

impl Got {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_else(|e| panic!("{e}: {:?}", self.body))
    }

    /// Numbered code of an error.
    pub(crate) fn code(&self) -> u64 {
        self.json()["code"].as_u64().unwrap_or_default()
    }

    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|h| h.to_str().ok())
            .unwrap_or_default()
    }
}

/// Process of a daemon and its addresses.
pub(crate) struct Daemon {
    pub(crate) process: Process,
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
}

impl Daemon {
    fn start(file: &Path) -> Self {
        let args = ["--settings", &file.to_string_lossy()];
        let process = Process::start(Path::new(DAEMON), &args);
        let callers = process.address("callers");
        let operators = process.address("operators");
        Self {
            process,
            callers,
            operators,
        }
    }

    /// Sends a caller's request.
    pub(crate) async fn post(&self, key: &str, path: &str, body: &Value) -> Got {
        let request = client()
            .post(format!("http://{}{path}", self.callers))
            .insert_header(("authorization", format!("Bearer {key}")));
        read(request.send_json(body).await.expect("the daemon answers")).await
    }

    /// Sends a caller's request without a body.
    pub(crate) async fn get(&self, key: &str, path: &str, last: Option<&str>) -> Got {
        let mut request = client()
            .get(format!("http://{}{path}", self.callers))
            .insert_header(("authorization", format!("Bearer {key}")));
        if let Some(last) = last {
            request = request.insert_header(("last-event-id", last));
        }
        read(request.send().await.expect("the daemon answers")).await
    }

    /// Sends an operator's GET request.
    pub(crate) async fn operate(&self, token: &str, path: &str) -> Got {
        let request = client()
            .get(format!("http://{}{path}", self.operators))
            .insert_header(("authorization", format!("Bearer {token}")));
        read(request.send().await.expect("the daemon answers")).await
    }

    /// Sends an operator's edit of the lists.
    pub(crate) async fn put_lists(&self, lists: &Value) -> Got {
        let request = client()
            .put(format!("http://{}/lists", self.operators))
            .insert_header(("authorization", format!("Bearer {TOKEN}")));
        read(request.send_json(lists).await.expect("the daemon answers")).await
    }

    /// Reads the revision of the lists in force.
    pub(crate) async fn revision(&self) -> u64 {
        let lists = self.operate(TOKEN, "/lists").await.json();
        lists["revision"].as_u64().unwrap_or(0)
    }

    /// Waits until it knows that this number of daemons, itself included, have a revision.
    async fn wait_spread(&self, revision: u64, daemons: usize) {
        let path = format!("/lists/spread/{revision}");
        while self.operate(TOKEN, &path).await.json()["reached"] != daemons {
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Waits until lists of at least this revision are in force.
    pub(crate) async fn wait_revision(&self, revision: u64) {
        while self.revision().await < revision {
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Daemons with two model engines, a booking application and optionally a platform.
pub(crate) struct Site {
    pub(crate) engines: Vec<Process>,
    pub(crate) plain: Process,
    pub(crate) store: Option<Process>,
    pub(crate) hosts: Option<Process>,
    pub(crate) daemons: Vec<Daemon>,
    settings: Value,
    folder: Folder,
}

/// The first daemon, which in most tests is the only one.
impl Deref for Site {
    type Target = Daemon;

    fn deref(&self) -> &Daemon {
        &self.daemons[0]
    }
}

impl Site {
    /// One daemon without a platform.
    pub(crate) fn start() -> Self {
        Self::with(json!({}))
    }

    /// One daemon without a platform, with some settings replaced.
    pub(crate) fn with(changes: Value) -> Self {
        let mut site = Self::endpoints(&[]);
        site.settings["lists"] = json!({"customers": "customers.json", "plans": "plans.json"});
        merge(&mut site.settings, changes);
        site.add(&[]);
        site
    }

    /// Daemons with a key-value service that already holds the lists.
    pub(crate) async fn fleet(daemons: usize) -> Self {
        Self::fleet_with(&vec![false; daemons], &[], |_, _| ()).await
    }

    /// Daemons with a key-value service. `readers` tells which of them read a list of hosts,
    /// `engine` holds the arguments of the engines, and `edit` may change the daemons' settings and
    /// the engines.
    pub(crate) async fn fleet_with(
        readers: &[bool],
        engine: &[&str],
        edit: impl FnOnce(&mut Value, &mut Vec<Process>),
    ) -> Self {
        let mut site = Self::endpoints(engine);
        edit(&mut site.settings, &mut site.engines);
        let store = Process::start(&beside(DAEMON, "store"), &[]);
        let platform = json!({"store": store.address("listening")});
        site.store = Some(store);
        let hosts = Process::start(&beside(DAEMON, "hosts"), &[]);
        for reads in readers {
            site.settings["platform"] = platform.clone();
            if *reads {
                site.settings["platform"]["hosts"] = json!(hosts.address("listening"));
            }
            site.add_joined();
        }
        site.hosts = Some(hosts);
        let daemons = readers.len();
        let read = |name: &str| -> Value {
            let text = std::fs::read_to_string(site.folder.path().join(name));
            serde_json::from_str(&text.expect("it was written")).expect("it is JSON")
        };
        let (customers, plans) = (read("customers.json"), read("plans.json"));
        let lists = json!({"revision": 0, "lists": {"customers": customers, "plans": plans}});
        let mut put = site.put_lists(&lists).await;
        while put.status != 200 {
            tokio::time::sleep(PAUSE).await;
            put = site.put_lists(&lists).await;
        }
        let revision = put.json()["revision"].as_u64().expect("a revision");
        for daemon in &site.daemons {
            daemon.wait_revision(revision).await;
            daemon.wait_spread(revision, daemons).await;
        }
        site
    }

    /// Adds a daemon with the others as its seeds.
    pub(crate) fn add_joined(&mut self) {
        let seeds: Vec<SocketAddr> = self
            .daemons
            .iter()
            .map(|daemon| daemon.process.address("peers"))
            .collect();
        self.add(&seeds);
    }

    fn add(&mut self, seeds: &[SocketAddr]) {
        self.settings["seeds"] = json!(seeds);
        let file = self
            .folder
            .write("settings.json", &self.settings.to_string());
        self.daemons.push(Daemon::start(&file));
    }

    fn endpoints(args: &[&str]) -> Self {
        let engine = beside(DAEMON, "engine");
        let engines: Vec<Process> = (0..2).map(|_| Process::start(&engine, args)).collect();
        let plain = Process::start(&beside(DAEMON, "plain"), &[]);
        let folder = Folder::new();
        let settings = settings(&folder, &engines, &plain);
        Self {
            engines,
            plain,
            store: None,
            hosts: None,
            daemons: Vec::new(),
            settings,
            folder,
        }
    }

    /// Sets faults at the key-value service.
    pub(crate) async fn store_fault(&self, faults: &Value) {
        let store = self.store.as_ref().expect("the site has a platform");
        set_faults(store.address("listening"), faults).await;
    }

    /// Changes the list of hosts.
    pub(crate) async fn list(&self, orders: &Value) {
        let hosts = self.hosts.as_ref().expect("the site has a list of hosts");
        post(hosts.address("listening"), "/orders", orders).await;
    }

    /// Entry of an engine in the list of hosts.
    pub(crate) fn listed(&self, engine: usize) -> Value {
        json!({"id": format!("engine-{engine}"), "zone": "hanko",
               "address": self.engines[engine].address("listening").to_string(),
               "service": "surf-lm", "version": "", "leaving": false, "left_ms": null})
    }

    /// Entry of the booking application in the list of hosts.
    pub(crate) fn listed_plain(&self) -> Value {
        json!({"id": "booking-1", "zone": "hanko",
               "address": self.plain.address("listening").to_string(),
               "service": "bookings", "version": "", "leaving": false, "left_ms": null})
    }

    /// Counters of an engine.
    pub(crate) async fn counts(&self, engine: usize) -> Value {
        let url = format!(
            "http://{}/counts",
            self.engines[engine].address("listening")
        );
        let got = client().get(url).send().await.expect("it answers");
        read(got).await.json()
    }

    /// Sets faults at an engine.
    pub(crate) async fn fault(&self, engine: usize, faults: &Value) {
        set_faults(self.engines[engine].address("listening"), faults).await;
    }

    /// Sets faults at the booking application.
    pub(crate) async fn plain_fault(&self, faults: &Value) {
        set_faults(self.plain.address("listening"), faults).await;
    }

    /// How often a booking ran, as counted by the application.
    pub(crate) async fn ran(&self, booking: &str) -> u64 {
        let url = format!("http://{}/counts", self.plain.address("listening"));
        let counts = read(client().get(url).send().await.expect("it answers"))
            .await
            .json();
        let counts = counts.as_array().cloned().unwrap_or_default();
        let row = counts.iter().find(|row| row["id"] == booking);
        row.and_then(|row| row["ran"].as_u64()).unwrap_or(0)
    }
}

pub(crate) fn client() -> Client {
    Client::builder().timeout(Duration::from_mins(1)).finish()
}

/// Body of a chat completion with a number of tokens.
pub(crate) fn chat(text: &str, tokens: u32, stream: bool) -> Value {
    json!({
        "model": "surf-lm", "stream": stream, "max_tokens": tokens,
        "messages": [{"role": "user", "content": text}],
    })
}

/// The prompt of [`chat`] as the engine hashes it.
pub(crate) fn prompt(text: &str) -> String {
    json!([{"role": "user", "content": text}]).to_string()
}

/// Text and event ids of a stream, and whether its end marker arrived.
pub(crate) fn events(body: &str) -> (String, Vec<String>, bool) {
    let mut text = String::new();
    let mut ids = Vec::new();
    let mut done = false;
    for line in body.lines() {
        if let Some(id) = line.strip_prefix("id: ") {
            ids.push(id.to_owned());
        }
        match line.strip_prefix("data: ") {
            Some("[DONE]") => done = true,
            Some(data) => {
                let data: Value = serde_json::from_str(data).unwrap_or_default();
                text += data["choices"][0]["delta"]["content"]
                    .as_str()
                    .unwrap_or_default();
            }
            None => {}
        }
    }
    (text, ids, done)
}

async fn set_faults(address: SocketAddr, faults: &Value) {
    post(address, "/faults", faults).await;
}

async fn post(address: SocketAddr, path: &str, orders: &Value) {
    let url = format!("http://{address}{path}");
    let response = client().post(url).send_json(orders);
    let response = response.await.expect("it answers");
    assert!(response.status().is_success(), "{path} was rejected");
}

pub(crate) async fn read<S>(mut response: awc::ClientResponse<S>) -> Got
where
    S: futures::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let body = response
        .body()
        .limit(64 << 20)
        .await
        .expect("the response is complete");
    Got {
        status: response.status(),
        headers: response.headers().clone(),
        body: String::from_utf8_lossy(&body).into_owned(),
    }
}

fn settings(folder: &Folder, engines: &[Process], plain: &Process) -> Value {
    folder.write("operators.token", TOKEN);
    folder.write("peers.token", "peers");
    let digest = poplarvale_lib::keys::digest;
    let customers = json!([
        {"id": "desk", "plan": "all", "digests": [digest(KEY)]},
        {"id": "reader", "plan": "model", "digests": [digest(READER)]},
        {"id": "slow", "plan": "slow", "digests": [digest(SLOW)]},
        {"id": "few", "plan": "few", "digests": [digest(FEW)]},
    ]);
    let on = |id: &str, services: Value| {
        json!({"id": id, "priority": 1, "requests": 1e5, "tokens": 1e8, "running": 100,
               "services": services, "models": ["surf-lm"]})
    };
    folder.write("customers.json", &customers.to_string());
    let mut slow = on("slow", json!(["bookings"]));
    slow["requests"] = json!(0.02);
    let mut few = on("few", json!([]));
    few["running"] = json!(10);
    let plans = json!([
        on("all", json!(["bookings"])),
        few,
        on("model", json!([])),
        slow
    ]);
    folder.write("plans.json", &plans.to_string());
    let endpoints: Vec<Value> = engines
        .iter()
        .enumerate()
        .map(|(n, engine)| {
            let address = engine.address("listening");
            json!({"id": format!("engine-{n}"), "zone": "hanko", "address": address})
        })
        .collect();
    json!({
        "zone": "hanko", "region": "fi-south",
        "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0",
        "credentials": {"operators": "operators.token", "peers": "peers.token"},
        "services": [
            {"id": "surf-lm", "kind": "model", "models": ["surf-lm"], "endpoints": endpoints},
            {"id": "bookings", "kind": "plain",
             "routes": [
                {"method": "POST", "path": "/bookings", "deadline_ms": 3_000},
                {"method": "GET", "path": "/bookings/*", "repeatable": true}],
             "endpoints": [{"id": "booking-1", "zone": "hanko",
                            "address": plain.address("listening")}]},
        ],
        "logs": {"level": "warn"},
    })
}

/// Replaces fields of an object, recursively.
fn merge(value: &mut Value, changes: Value) {
    match (value, changes) {
        (Value::Object(old), Value::Object(new)) => {
            for (key, change) in new {
                merge(old.entry(key).or_insert(Value::Null), change);
            }
        }
        (old, new) => *old = new,
    }
}
