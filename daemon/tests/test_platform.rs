//! The client of the key-value service against a simulated service, and the other simulated
//! services of the platform, over HTTP.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use poplarvale_lib::Lists;
use poplarvale_lib::claims::{self, Answer, Claimer, Key, KeyedRequest, RunResult};
use poplarvale_lib::config;
use poplarvale_lib::protos::platform as wire;
use poplarvale_lib::store::{
    Condition, Failure, MAX_VALUE_BYTES, Put, Store as _, StoredValue, Write, Written,
};
use poplarvaled::platform::perform;
use poplarvaled::platform::store::StoreClient;
use serde::Serialize;
use serde::de::DeserializeOwned;
use testutils::platform::data::{Counts, Faults, put};
use testutils::platform::store::serve;
use testutils::platform::{cloud, hosts, weights};

/// Starts a simulated key-value service in this process.
fn start_store() -> (SocketAddr, StoreClient) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    actix_web::rt::spawn(serve(listener).unwrap());
    (address, StoreClient::new(address, 1))
}

async fn set_faults(address: SocketAddr, faults: &Faults) {
    let url = format!("http://{address}/faults");
    let answer = awc::Client::new().post(url).send_json(faults).await;
    assert!(answer.unwrap().status().is_success());
}

async fn counts(address: SocketAddr) -> Counts {
    let url = format!("http://{address}/counts");
    let mut answer = awc::Client::new().get(url).send().await.unwrap();
    answer.json().await.unwrap()
}

fn create(key: &str, value: &str) -> Write {
    Write {
        conditions: vec![Condition::Absent(key.into())],
        puts: vec![put(key, value.to_owned())],
    }
}

#[actix_web::test]
async fn a_value_is_created_once_and_replaced_at_its_revision() {
    let (_, client) = start_store();
    let done = client.write(create("a/1", "one")).await.unwrap();
    let Written::Done(revision) = done else {
        panic!("{done:?}");
    };
    let again = client.write(create("a/1", "two")).await.unwrap();
    let Written::Conflict(found) = again else {
        panic!("{again:?}");
    };
    assert_eq!(found.rows[0].value, "one");
    let replace = |revision| Write {
        conditions: vec![Condition::Unchanged("a/1".into(), revision)],
        puts: vec![put("a/1", "three")],
    };
    let wrong = client.write(replace(revision + 1)).await.unwrap();
    assert!(matches!(wrong, Written::Conflict(_)));
    let right = client.write(replace(revision)).await.unwrap();
    assert_eq!(right, Written::Done(revision + 1));
    let rows = client.get("a/1").await.unwrap().rows;
    assert_eq!((rows[0].created, rows[0].changed), (revision, revision + 1));
}

#[actix_web::test]
async fn a_range_has_all_keys_of_a_prefix_and_large_values_are_accepted() {
    let (_, client) = start_store();
    let large = Bytes::from(vec![7; MAX_VALUE_BYTES]);
    for key in ["a/1", "a/2", "b/1"] {
        let write = Write {
            conditions: Vec::new(),
            puts: vec![put(key, large.clone())],
        };
        client.write(write).await.unwrap();
    }
    let found = client.range("a/").await.unwrap();
    assert_eq!(found.rows.len(), 2);
    assert_eq!(found.get("a/2").unwrap().value, large);
    let over = Write {
        conditions: Vec::new(),
        puts: vec![put("a/3", vec![7; MAX_VALUE_BYTES + 1])],
    };
    assert_eq!(client.write(over).await, Err(Failure::NotDone));
}

/// The service does a write and the connection breaks before the response. The outcome is unknown
/// to the writer; if it counted as failed, the write would be repeated and a booking would run
/// twice.
#[actix_web::test]
async fn a_lost_response_is_unknown_and_the_write_is_done() {
    let (address, client) = start_store();
    let lose = Faults {
        lose: 1,
        ..Faults::default()
    };
    set_faults(address, &lose).await;
    let lost = client.write(create("a", "one")).await;
    assert_eq!(lost, Err(Failure::Unknown));
    assert_eq!(client.get("a").await.unwrap().rows[0].value, "one");
}

/// Nothing listens at the address, as when the service's host is gone. Such a call was certainly
/// not done, and may be reported so.
#[actix_web::test]
async fn a_refused_connection_is_not_done() {
    let gone = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = gone.local_addr().unwrap();
    drop(gone);
    let client = StoreClient::new(address, 1);
    let refused = client.write(create("a", "one")).await;
    assert_eq!(refused, Err(Failure::NotDone));
}

/// The service answers every call with an error. After a few failures the client must stop calling,
/// so that waiting callers get an error at once and the service can recover.
#[actix_web::test]
async fn calls_stop_while_the_service_is_down() {
    let (address, client) = start_store();
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    set_faults(address, &down).await;
    for _ in 0..20 {
        client.get("a").await.unwrap_err();
    }
    assert!(client.is_unavailable());
    assert!(counts(address).await.reads < 20);
}

#[actix_web::test]
async fn values_are_removed_with_their_lease() {
    let (_, client) = start_store();
    let ttl = Duration::from_mins(1);
    let lease = client.grant(ttl).await.unwrap();
    let leased = Put {
        lease: lease.id,
        ..put("a", "one")
    };
    let write = Write {
        conditions: Vec::new(),
        puts: vec![leased],
    };
    client.write(write).await.unwrap();
    assert!(client.renew(lease.id).await.unwrap().is_some());
    client.revoke(lease.id).await.unwrap();
    assert!(client.renew(lease.id).await.unwrap().is_none());
    assert!(client.get("a").await.unwrap().rows.is_empty());
}

#[actix_web::test]
async fn a_watch_reports_each_change_and_counts_as_one_call() {
    let (address, client) = start_store();
    let client = Rc::new(client);
    let (sender, mut changes) = tokio::sync::mpsc::unbounded_channel();
    let watcher = Rc::clone(&client);
    actix_web::rt::spawn(async move {
        let on_change = |stored: StoredValue| sender.send(stored.value).unwrap();
        watcher.watch("a", 1, on_change).await
    });
    for value in ["one", "two"] {
        let write = Write {
            conditions: Vec::new(),
            puts: vec![put("a", value)],
        };
        client.write(write).await.unwrap();
        assert_eq!(changes.recv().await.unwrap(), value);
    }
    assert_eq!(counts(address).await.watches, 1);
}

/// Binds an address for a simulated service.
fn bind() -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    (listener.local_addr().unwrap(), listener)
}

async fn post<A: DeserializeOwned>(address: SocketAddr, path: &str, ask: &impl Serialize) -> A {
    let url = format!("http://{address}{path}");
    let mut answer = awc::Client::new().post(url).send_json(ask).await.unwrap();
    answer.json().await.unwrap()
}

async fn command(address: SocketAddr, orders: &impl Serialize) {
    let url = format!("http://{address}/orders");
    let answer = awc::Client::new().post(url).send_json(orders).await;
    assert!(answer.unwrap().status().is_success());
}

async fn get<A: DeserializeOwned>(address: SocketAddr, path: &str) -> A {
    let url = format!("http://{address}{path}");
    let mut answer = awc::Client::new().get(url).send().await.unwrap();
    answer.json().await.unwrap()
}

/// Two daemons request the same replacement, or one retries after a lost response. Two hosts would
/// be started and paid for.
#[actix_web::test]
async fn the_cloud_starts_one_host_for_a_token() {
    let (address, listener) = bind();
    actix_web::rt::spawn(cloud::serve(listener).unwrap());
    let ask = wire::StartHost {
        token: "replaces-host-7".into(),
        class: "small".into(),
        zone: "espoo".into(),
        reclaimable: true,
        ..wire::StartHost::default()
    };
    let first: wire::CloudHost = post(address, "/hosts", &ask).await;
    let again: wire::CloudHost = post(address, "/hosts", &ask).await;
    assert_eq!(first.id, again.id);
    let reclaim = cloud::Orders {
        reclaim_zones: vec!["espoo".into()],
        notice_ms: 60_000,
        ..cloud::Orders::default()
    };
    command(address, &reclaim).await;
    let found: wire::CloudHosts = get(address, "/hosts").await;
    assert_eq!(found.hosts.len(), 1);
    assert!(found.hosts[0].left_ms.is_some());
}

/// Many reclaims leave no capacity of a class in a zone, and starts there must be rejected.
#[actix_web::test]
async fn the_cloud_rejects_starts_without_capacity() {
    let (address, listener) = bind();
    actix_web::rt::spawn(cloud::serve(listener).unwrap());
    let refuse = cloud::Orders {
        refuse: Some(vec![("small".into(), "espoo".into())]),
        ..cloud::Orders::default()
    };
    command(address, &refuse).await;
    let ask = wire::StartHost {
        class: "small".into(),
        zone: "espoo".into(),
        ..wire::StartHost::default()
    };
    let url = format!("http://{address}/hosts");
    let answer = awc::Client::new().post(url).send_json(&ask).await;
    assert_eq!(answer.unwrap().status(), 503);
}

#[actix_web::test]
async fn the_host_list_lags() {
    let (address, listener) = bind();
    actix_web::rt::spawn(hosts::serve(listener).unwrap());
    let host = wire::ListedHost {
        id: "w1".into(),
        ..wire::ListedHost::default()
    };
    let put = hosts::Orders {
        put: vec![host],
        ..hosts::Orders::default()
    };
    command(address, &put).await;
    let found: wire::ListedHosts = get(address, "/hosts").await;
    assert_eq!(found.hosts.len(), 1);
    let gone = hosts::Orders {
        lag_ms: Some(3_600_000),
        gone: vec!["w1".into()],
        ..hosts::Orders::default()
    };
    command(address, &gone).await;
    let found: wire::ListedHosts = get(address, "/hosts").await;
    assert!(
        found.hosts.is_empty(),
        "the list must be as it was an hour ago"
    );
}

#[actix_web::test]
async fn the_weight_store_sends_all_bytes() {
    let (address, listener) = bind();
    actix_web::rt::spawn(weights::serve(listener).unwrap());
    let model = wire::Weights {
        model: "lakes-7b".into(),
        bytes: 200_000,
    };
    let orders = weights::Orders {
        rate: 10_000_000,
        weights: vec![model],
    };
    command(address, &orders).await;
    let url = format!("http://{address}/weights/lakes-7b");
    let mut answer = awc::Client::new().get(url).send().await.unwrap();
    assert_eq!(answer.body().await.unwrap().len(), 200_000);
}

/// Executes the keeper's commands until it issues no more.
async fn run_keeper(
    keeper: &mut config::Keeper,
    client: &StoreClient,
    now: Instant,
    mut inputs: Vec<config::Input>,
) -> Vec<config::Command> {
    let mut rest = Vec::new();
    loop {
        let commands = keeper.tick(now, std::mem::take(&mut inputs));
        for command in commands {
            match perform::config(client, now, command).await {
                Ok(input) => inputs.push(input),
                Err(other) => rest.push(other),
            }
        }
        if inputs.is_empty() {
            return rest;
        }
    }
}

#[actix_web::test]
async fn an_edit_reaches_another_daemon_through_the_store() {
    let (_, client) = start_store();
    let now = Instant::now();
    let keeper = |incarnation| {
        let zone = "espoo".into();
        let me = config::Peer { incarnation, zone };
        config::Keeper::new(me, incarnation)
    };
    let mut first = keeper(1);
    run_keeper(&mut first, &client, now, Vec::new()).await;
    let edit = config::Input::Edit(config::Proposal {
        id: "first".into(),
        base: 0,
        lists: Lists::default(),
    });
    let commands = run_keeper(&mut first, &client, now, vec![edit]).await;
    let verdict = config::Command::Reply {
        edit: "first".into(),
        verdict: config::Verdict::Accepted(1),
    };
    assert!(commands.contains(&verdict));
    let mut second = keeper(2);
    run_keeper(&mut second, &client, now, Vec::new()).await;
    assert_eq!(second.accepted().revision, 1);
}

/// Executes the claimer's commands until it issues no more.
async fn run_claimer(
    claimer: &mut Claimer,
    client: &StoreClient,
    now: Instant,
    input: claims::Input,
) -> Vec<claims::Command> {
    let mut rest = Vec::new();
    let mut inputs = vec![input];
    while !inputs.is_empty() {
        for command in claimer.tick(now, std::mem::take(&mut inputs)) {
            match perform::claims(client, command).await {
                Ok(input) => inputs.push(input),
                Err(other) => rest.push(other),
            }
        }
    }
    rest
}

/// A request with an idempotency key is retried at another daemon, after the first one has answered
/// and is gone. The stored answer must come from the key-value service.
#[actix_web::test]
async fn a_retry_gets_the_stored_answer() {
    let (_, client) = start_store();
    let now = Instant::now();
    let ask = |request| {
        claims::Input::Begin(KeyedRequest {
            id: request,
            customer: "a".into(),
            key: Key::parse("board-7").unwrap(),
            digest: 1,
            deadline: now + Duration::from_mins(1),
            forwarded: false,
        })
    };
    let mut first = Claimer::new(1, 1);
    let mut commands = run_claimer(&mut first, &client, now, ask(10)).await;
    let Some(claims::Command::Dispatch(permit)) = commands.pop() else {
        panic!("{commands:?}");
    };
    let answer = Answer {
        status: 200,
        content: "text/plain".into(),
        body: b"board 7 is yours".to_vec(),
    };
    let end = claims::Input::Ended(permit, RunResult::Answered(answer.clone()));
    run_claimer(&mut first, &client, now, end).await;
    let later = now + Duration::from_secs(1);
    let none = claims::Input::Peers(Vec::new());
    run_claimer(&mut first, &client, later, none).await;
    let mut second = Claimer::new(2, 2);
    let commands = run_claimer(&mut second, &client, later, ask(11)).await;
    let [
        claims::Command::Answer {
            request,
            answer: kept,
        },
    ] = &*commands
    else {
        panic!("{commands:?}");
    };
    assert_eq!((*request, kept), (11, &answer));
}
