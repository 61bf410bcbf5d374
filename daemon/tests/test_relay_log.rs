//! The log of a daemon process: the id of a failed request leads to the cause of the failure.

use std::io::{BufRead as _, BufReader};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::Duration;

use poplarvale_standin::{Cloud, Endpoint, Step, Store, ask, config, request, settings};
use serde_json::Value;

use crate::relay_site::{ROUTES, until};

/// An endpoint closes the connection during a request that may run only once. Without log lines
/// under the id of the request, nobody could tell a caller who complains which endpoint failed and
/// whether the request may have run. The caller's key must not be in the log.
#[actix_web::test]
async fn the_log_leads_from_a_failed_request_to_its_cause() {
    let broken = Endpoint::start("i-1", |_| vec![Step::Close]).await;
    let (store, cloud) = (Store::start().await, Cloud::start().await);
    store.put("op/config", config(1, &ROUTES, 0).as_bytes());
    store.put("servers/i-1", broken.entry("app", "ready").as_bytes());
    let folder = testutils::folder::Folder::new();
    folder.write("node.json", &settings(store.address, cloud.address));
    let mut daemon = Command::new(env!("CARGO_BIN_EXE_poplarvaled"))
        .env(
            poplarvale_platform::SETTINGS_VARIABLE,
            folder.path().join("node.json"),
        )
        .stdout(Stdio::piped())
        .spawn()
        .expect("the daemon starts");
    let output = daemon.stdout.take().expect("stdout is piped");
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            if sender.send(line).is_err() {
                return;
            }
        }
    });
    let mut log = Vec::new();
    let mut address = None;
    until(Duration::from_secs(10), async || {
        log.extend(receiver.try_iter());
        address = log.iter().find_map(|line| callers(line));
        address.is_some()
    })
    .await;
    let address = address.expect("the log names the address for callers");
    let text = request("POST", "/once/a", "r-77", "");
    until(Duration::from_secs(10), async || {
        ask(address, &text)
            .await
            .is_ok_and(|answer| answer.status == 502)
    })
    .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    daemon.kill().expect("the daemon was running");
    daemon.wait().expect("the daemon has ended");
    log.extend(receiver.iter());
    let lines: Vec<Value> = log
        .iter()
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect();
    let of_request: Vec<&Value> = lines
        .iter()
        .filter(|line| line["kvs"]["request"] == "r-77")
        .collect();
    let find = |part: &str| {
        of_request.iter().find(|line| {
            line["message"]
                .as_str()
                .is_some_and(|text| text.starts_with(part))
        })
    };
    let failed = find("send: failed").expect("the failed attempt is logged");
    assert_eq!(failed["kvs"]["endpoint"], "i-1");
    let refused = find("refuse: The endpoint failed").expect("the rejection is logged");
    assert_eq!(refused["kvs"]["ran"], "unknown");
    assert_eq!(refused["kvs"]["code"], 3002);
    assert!(refused["kvs"]["store_heard_ms"].is_u64());
    assert!(!log.concat().contains("k1"));
}

/// The address for callers, if the line contains it.
fn callers(line: &str) -> Option<SocketAddr> {
    let line: Value = serde_json::from_str(line).ok()?;
    line["kvs"]["callers"].as_str()?.parse().ok()
}
