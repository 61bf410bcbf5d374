//! Endpoints that announce in their answers that they leave, or that they want no requests.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use poplarvale_standin::{
    Endpoint, Mode, SeenRequest, Step, announcing, ask, paced, plain, rejection_with, request,
};

use crate::relay_site::{Site, Zone, store_with};

/// Time after which a daemon must send nothing more to an endpoint that it knows to leave.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(15);

/// An endpoint that announces something once it is told to, and when it got requests.
struct Announcer {
    endpoint: Endpoint,
    announces: Rc<Cell<bool>>,
    arrivals: Rc<RefCell<Vec<Instant>>>,
}

impl Announcer {
    /// `respond` is its answer while it announces.
    async fn start(id: &str, respond: impl Fn(&SeenRequest) -> Step + 'static) -> Self {
        let (announces, arrivals) = (Rc::new(Cell::new(false)), Rc::default());
        let script = {
            let (announces, arrivals) = (Rc::clone(&announces), Rc::clone(&arrivals));
            move |seen: &SeenRequest| {
                let arrivals: &RefCell<Vec<Instant>> = &arrivals;
                arrivals.borrow_mut().push(Instant::now());
                if announces.get() {
                    vec![respond(seen)]
                } else {
                    vec![plain(seen, 200, "done")]
                }
            }
        };
        Self {
            endpoint: Endpoint::start(id, script).await,
            announces,
            arrivals,
        }
    }

    fn arrivals_between(&self, start: Instant, end: Instant) -> usize {
        let arrivals = self.arrivals.borrow();
        arrivals
            .iter()
            .filter(|at| **at >= start && **at < end)
            .count()
    }
}

async fn steady(id: &str) -> Endpoint {
    Endpoint::start(id, |seen| vec![plain(seen, 200, "done")]).await
}

/// Sends requests one after the other until a moment; returns how many were not served.
async fn ask_until(relay: &poplarvaled::Relay, name: &str, end: Instant) -> usize {
    let mut failed = 0;
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        let text = request("GET", "/safe/a", &format!("{name}-{number}"), "");
        let answer = ask(relay.callers(), &text).await;
        failed += usize::from(!answer.is_ok_and(|answer| answer.status == 200));
        tokio::time::sleep(PAUSE).await;
    }
    failed
}

/// An endpoint leaves while the store is out, so that only its answers tell. A request that
/// reaches it later than it may expect is lost when its process ends. The store may still have its
/// older entry when it is back.
#[actix_web::test]
async fn an_endpoint_that_announces_its_departure_gets_nothing_more() {
    let leaving = Announcer::start("i-1", |seen| {
        announcing(seen, "Server-Leaving: 1\r\n", "done")
    })
    .await;
    let other = steady("i-2").await;
    let zone = Zone::start(96, store_with(&[&leaving.endpoint, &other]).await).await;
    let (_, relay) = &zone.daemons[0];
    assert_eq!(
        ask_until(relay, "before", Instant::now() + DRAIN_TIME / 2).await,
        0
    );
    zone.store.set(Mode::Unresponsive);
    leaving.announces.set(true);
    let announced = Instant::now();
    assert_eq!(ask_until(relay, "out", announced + DRAIN_TIME * 2).await, 0);
    zone.store.set(Mode::Healthy);
    let entry = leaving.endpoint.entry("app", "ready");
    zone.store.put("servers/i-1", entry.as_bytes());
    let end = announced + DRAIN_TIME * 4;
    assert_eq!(ask_until(relay, "back", end).await, 0);
    let late = leaving.arrivals_between(announced + DRAIN_TIME, end);
    assert_eq!(
        late, 0,
        "requests later than {DRAIN_TIME:?} after the announcement"
    );
    assert!(
        leaving.arrivals_between(announced, end) > 0,
        "no answer announced it"
    );
}

/// An endpoint rejects a request and asks for a rest. Requests that reach it meanwhile are rejected
/// too, and their callers wait in vain.
#[actix_web::test]
async fn an_endpoint_that_asks_for_a_rest_gets_it() {
    /// Time within which requests may still arrive that were sent before.
    const MARGIN: Duration = Duration::from_millis(500);
    /// Most requests in the rest of the time.
    const MOST: usize = 2;
    let rest = Duration::from_secs(3);
    let tired = Announcer::start("i-1", |seen| rejection_with(seen, "Retry-After: 3\r\n")).await;
    let other = steady("i-2").await;
    let site = Site::start(&[&tired.endpoint, &other]).await;
    tired.announces.set(true);
    let started = Instant::now();
    ask_until(&site.relay, "r", started + rest * 3).await;
    let arrivals = tired.arrivals.borrow().clone();
    let first = *arrivals
        .iter()
        .find(|at| **at >= started)
        .expect("it is asked");
    let within = tired.arrivals_between(first + MARGIN, first + rest);
    assert!(within <= MOST, "{within} requests within the rest");
    assert!(
        arrivals.iter().any(|at| *at >= first + rest),
        "it is asked again after the rest"
    );
}

/// All endpoints of a service ask for a rest. Callers must be rejected at once, and told when it
/// is over.
#[actix_web::test]
async fn callers_learn_when_the_rest_of_all_endpoints_is_over() {
    let tired = Announcer::start("i-1", |seen| rejection_with(seen, "Retry-After: 1.5\r\n")).await;
    let site = Site::start(&[&tired.endpoint]).await;
    tired.announces.set(true);
    for number in 0..3 {
        let started = Instant::now();
        let text = request("GET", "/safe/a", &format!("r{number}"), "");
        let answer = ask(site.address(), &text).await.expect("an answer");
        assert!(started.elapsed() < Duration::from_millis(100));
        assert_eq!(answer.status, 503);
        let retry_after = answer.head.fields.text("Retry-After");
        let retry_after = retry_after.and_then(|text| text.parse::<f64>().ok());
        assert!(
            retry_after.is_some_and(|time| time > 1.0),
            "{retry_after:?}"
        );
    }
    assert_eq!(tired.endpoint.seen().len(), 1);
}

/// An endpoint announces paces that cannot be true. Requests would be kept away from it, or all be
/// drawn to it, and nobody would see why.
#[actix_web::test]
async fn paces_that_cannot_be_true_are_ignored_and_counted() {
    let endpoint = Endpoint::start("i-1", |seen| {
        let Some(pace) = seen.id().strip_prefix("pace-").map(str::to_owned) else {
            return vec![plain(seen, 200, "done")];
        };
        vec![paced(seen, &pace, "done")]
    })
    .await;
    let site = Site::start(&[&endpoint]).await;
    for pace in ["170", "0", "fast", "99999"] {
        let text = request("GET", "/safe/a", &format!("pace-{pace}"), "");
        let answer = ask(site.address(), &text).await;
        assert_eq!(answer.expect("an answer").status, 200, "{pace}");
    }
    let status = site.relay.status().expect("the daemon shows its metrics");
    let page = ask(status, &request("GET", "/metrics", "page", "")).await;
    let page = page.expect("the page").body;
    let count = page
        .lines()
        .find(|line| line.starts_with("poplarvale_relay_ignored_paces_total"))
        .and_then(|line| line.rsplit(' ').next());
    assert_eq!(count, Some("3"), "{page}");
    let dump = ask(status, &request("GET", "/dump", "dump", "")).await;
    let dump = dump.expect("the dump").body;
    assert!(dump.contains("\"pace_percent\":170"), "{dump}");
}
