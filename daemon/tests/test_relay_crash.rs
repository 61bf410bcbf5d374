//! Quarantine of requests that crash the endpoints that run them.

use std::cell::RefCell;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use poplarvale_standin::{
    Answer, Cloud, Endpoint, SeenRequest, Step, ask, event, plain, prompt, request, settings,
    stream,
};

use crate::relay_site::{DAEMONS, Site, Zone, store_with, until};

/// Number of endpoint crashes after which a request is quarantined.
const QUARANTINE_CRASHES: usize = 3;
/// Time in which all daemons learn of a quarantine.
const PROPAGATION_TIME: Duration = Duration::from_secs(1);
/// Path of the request that crashes endpoints.
const FATAL_PATH: &str = "/stream/fatal";

/// Times at which the request reached an endpoint.
type Arrivals = Rc<RefCell<Vec<Instant>>>;

/// Starts endpoints that crash a moment after the first event of the fatal request.
async fn endpoints(count: u32, arrivals: &Arrivals) -> Vec<Endpoint> {
    let start = |number: u32| {
        let arrivals = Rc::clone(arrivals);
        let script = move |seen: &SeenRequest| {
            if seen.target() != FATAL_PATH {
                return vec![plain(seen, 200, "done")];
            }
            arrivals.borrow_mut().push(Instant::now());
            let ran = Step::Wait(Duration::from_millis(30));
            vec![stream(seen), event(0), ran, Step::Crash]
        };
        async move { Endpoint::start(&format!("i-{number:02}"), script).await }
    };
    join_all((0..count).map(start)).await
}

/// Whether a request was rejected because endpoints crash under it.
fn is_quarantined(answer: &Answer) -> bool {
    answer.status == 503 && answer.body.contains("2011") && answer.body.contains("\"no\"")
}

/// Part of a prompt that crashes endpoints, and parts that deadly and sound requests share.
const FATAL_PART: u64 = 0xdead;
const SHARED_PARTS: [u64; 2] = [0xaa, 0xbb];
/// Crashes under a part, or fewer if it crashes no more, and the time after them from which on at most [`MOST_LATE`] requests with it
/// may be sent. After twice that time, half of the sound requests must be served.
const KNOWN_CRASHES: usize = 5;
const CONTACT_TIME: Duration = Duration::from_secs(3);
const MOST_LATE: usize = 3;

/// Endpoints that crash a moment after the first event of any request with the fatal part. Sound
/// requests take a while, so that crashes break them off.
async fn endpoints_for_parts(count: u32, arrivals: &Arrivals) -> Vec<Endpoint> {
    let start = |number: u32| {
        let arrivals = Rc::clone(arrivals);
        let script = move |seen: &SeenRequest| {
            if seen.parts().contains(&FATAL_PART) {
                arrivals.borrow_mut().push(Instant::now());
                let ran = Step::Wait(Duration::from_millis(30));
                return vec![stream(seen), event(0), ran, Step::Crash];
            }
            let work = Step::Wait(Duration::from_millis(120));
            let end = Step::Send("0\r\n\r\n".into());
            vec![work, stream(seen), event(0), end]
        };
        async move { Endpoint::start(&format!("i-{number:02}"), script).await }
    };
    join_all((0..count).map(start)).await
}

/// Requests that crash endpoints share one part of their prompts and nothing else that sound requests
/// of the same caller do not have. Once enough endpoints have crashed, none of them may be sent, and
/// the sound ones must be served.
#[actix_web::test]
async fn a_prompt_part_that_crashes_endpoints_stops_reaching_them() {
    let arrivals = Arrivals::default();
    let endpoints = endpoints_for_parts(30, &arrivals).await;
    let all: Vec<&Endpoint> = endpoints.iter().collect();
    let zone = Zone::start(26, store_with(&all).await).await;
    let mut sound = Vec::new();
    for number in 0..240_u64 {
        let (_, relay) = &zone.daemons[(number / 2) as usize % usize::from(DAEMONS)];
        let address = relay.callers();
        let is_fatal = number.is_multiple_of(2);
        let own = 0x1000 + number;
        let parts = if is_fatal {
            vec![SHARED_PARTS[0], FATAL_PART, own]
        } else {
            vec![SHARED_PARTS[0], SHARED_PARTS[1], own]
        };
        let path = format!("/stream/{number}");
        let text = request("GET", &path, &format!("r{number}"), &prompt(&parts));
        let sent = Instant::now();
        let answer = actix_web::rt::spawn(async move { ask(address, &text).await });
        if !is_fatal {
            sound.push((sent, answer));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let arrivals = arrivals.borrow().clone();
    let known = arrivals.iter().take(KNOWN_CRASHES).next_back();
    let known = *known.expect("an endpoint was reached");
    let is_late = |at: &&Instant| **at > known + CONTACT_TIME;
    let late = arrivals.iter().filter(is_late).count();
    let crashed = endpoints.iter().filter(|row| row.has_crashed()).count();
    assert!(
        late <= MOST_LATE,
        "{late} late attempts; {crashed} endpoints crashed in all"
    );
    let (mut asked, mut served) = (0, 0);
    for (sent, answer) in sound {
        let answer = answer.await.expect("the task does not panic");
        if sent > known + CONTACT_TIME * 2 {
            asked += 1;
            served += usize::from(answer.is_ok_and(|answer| answer.status == 200));
        }
    }
    assert!(
        asked > 0 && served * 2 >= asked,
        "{served} of {asked} sound requests served"
    );
}

/// A caller retries a request that crashes every endpoint through one daemon after the other. Once
/// enough endpoints have crashed, no daemon may send it on; otherwise it crashes all of them.
#[actix_web::test]
async fn a_request_that_crashes_endpoints_stops_reaching_them() {
    let arrivals = Arrivals::default();
    let endpoints = endpoints(14, &arrivals).await;
    let all: Vec<&Endpoint> = endpoints.iter().collect();
    let zone = Zone::start(21, store_with(&all).await).await;
    let started = Instant::now();
    for number in 0..30 {
        let (_, relay) = &zone.daemons[number % usize::from(DAEMONS)];
        let text = request("GET", FATAL_PATH, &format!("r{number}"), "");
        let answer = ask(relay.callers(), &text).await;
        assert!(
            answer.is_err() || answer.is_ok_and(|answer| !answer.complete || answer.status != 200)
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(started.elapsed() > PROPAGATION_TIME * 2);
    let arrivals = arrivals.borrow().clone();
    assert!(
        arrivals.len() >= QUARANTINE_CRASHES,
        "too few endpoints were reached"
    );
    let deadline = arrivals[QUARANTINE_CRASHES - 1] + PROPAGATION_TIME;
    let late = arrivals.iter().filter(|at| **at > deadline).count();
    let crashed = endpoints.iter().filter(|row| row.has_crashed()).count();
    assert_eq!(
        late, 0,
        "attempts after {QUARANTINE_CRASHES} endpoints had crashed; {crashed} crashed in all"
    );
}

/// All daemons are killed, or one is partitioned from the others: it must still know which requests
/// are quarantined. Daemons save them to the store and read them there.
#[actix_web::test]
async fn a_daemon_without_peers_reads_quarantined_requests_from_the_store() {
    let arrivals = Arrivals::default();
    let endpoints = endpoints(5, &arrivals).await;
    let all: Vec<&Endpoint> = endpoints.iter().collect();
    let zone = Zone::start(22, store_with(&all).await).await;
    for number in 0..QUARANTINE_CRASHES {
        let text = request("GET", FATAL_PATH, &format!("r{number}"), "");
        // The endpoint crashes and breaks the stream off.
        let _broken = ask(zone.daemons[number].1.callers(), &text).await;
        tokio::time::sleep(PROPAGATION_TIME / 2).await;
    }
    let cloud = Cloud::start().await;
    let text = settings(zone.store.address, cloud.address);
    let site = Site::with_settings(zone.store, cloud, &text).await;
    let (before, text) = (
        arrivals.borrow().len(),
        request("GET", FATAL_PATH, "r9", ""),
    );
    let answer = ask(site.address(), &text).await.expect("a response");
    assert!(is_quarantined(&answer), "{answer:?}");
    assert_eq!(arrivals.borrow().len(), before);
}

/// Endpoints that keep running break a request off again and again, as faulty links do.
/// Quarantining it would reject callers whose retry could succeed.
#[actix_web::test]
async fn a_request_that_breaks_off_at_running_endpoints_is_not_quarantined() {
    let script = |_: &SeenRequest| vec![Step::Close];
    let one = Endpoint::start("i-1", script).await;
    let other = Endpoint::start("i-2", script).await;
    let site = Site::start(&[&one, &other]).await;
    for number in 0..8 {
        let text = request("POST", "/once/a", &format!("r{number}"), "");
        let answer = ask(site.address(), &text).await.expect("a response");
        assert!(!is_quarantined(&answer), "{answer:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// A stream breaks off because another request crashes its endpoint. One that had run for long is
/// not suspected of the crash, however often that happens to it.
#[actix_web::test]
async fn a_long_running_stream_is_not_suspected() {
    let crashes = usize::from(DAEMONS);
    let script = |seen: &SeenRequest| {
        let run_time = Step::Wait(Duration::from_millis(1300));
        vec![stream(seen), event(0), run_time, Step::Crash]
    };
    let start = |number| async move { Endpoint::start(&format!("i-{number}"), script).await };
    let endpoints = join_all((0..crashes).map(start)).await;
    let all: Vec<&Endpoint> = endpoints.iter().collect();
    let site = Site::start(&all).await;
    for number in 0..crashes {
        let text = request("GET", "/stream/a", &format!("r{number}"), "");
        let answer = ask(site.address(), &text).await;
        assert!(answer.is_ok_and(|answer| answer.status == 200), "{number}");
    }
    until(PROPAGATION_TIME, async || {
        endpoints.iter().all(Endpoint::has_crashed)
    })
    .await;
}

/// The port of a crashed stand-in is assigned to a server of another test, which answers requests
/// that are meant to find the endpoint gone.
#[actix_web::test]
async fn a_crashed_stand_in_refuses_connections_and_keeps_its_port() {
    let endpoint = Endpoint::start("i-1", |seen| vec![plain(seen, 200, "done")]).await;
    let text = request("GET", "/safe/a", "r1", "");
    assert!(ask(endpoint.address, &text).await.is_ok());
    endpoint.crash();
    until(PROPAGATION_TIME, async || {
        ask(endpoint.address, &text).await.is_err()
    })
    .await;
    let bound = TcpListener::bind(endpoint.address);
    assert!(
        bound.is_err_and(|error| error.kind() == io::ErrorKind::AddrInUse),
        "another server got the port"
    );
}
