//! Overloaded endpoints that announce a limit of requests a second.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use poplarvale_standin::{Endpoint, SeenRequest, Step, ask, limited, plain, request};

use crate::relay_site::{Site, Zone, share_served, shares_evenly_and_at_one, store_with};

/// Time span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after which all daemons know of a limit.
const SPREAD_TIME: Duration = Duration::from_secs(3);
/// Time between two requests at one daemon.
const PAUSE: Duration = Duration::from_millis(40);
/// Limit that an endpoint announces, in requests a second.
const RATE: f64 = 1.0;

/// Most requests that an endpoint with a limit gets within [`WINDOW`].
fn allowed(rate: f64) -> usize {
    (rate * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

/// An endpoint that announces a limit while it is overloaded, and when it got requests.
struct LimitedEndpoint {
    endpoint: Endpoint,
    overloaded: Rc<Cell<bool>>,
    arrivals: Rc<RefCell<Vec<Instant>>>,
}

impl LimitedEndpoint {
    async fn start(id: &str, rate: f64) -> Self {
        let (overloaded, arrivals) = (Rc::new(Cell::new(false)), Rc::default());
        let script = {
            let (overloaded, arrivals) = (Rc::clone(&overloaded), Rc::clone(&arrivals));
            move |seen: &SeenRequest| {
                let arrivals: &RefCell<Vec<Instant>> = &arrivals;
                arrivals.borrow_mut().push(Instant::now());
                let work = Step::Wait(Duration::from_millis(10));
                if overloaded.get() {
                    vec![work, limited(seen, rate, "done")]
                } else {
                    vec![work, plain(seen, 200, "done")]
                }
            }
        };
        Self {
            endpoint: Endpoint::start(id, script).await,
            overloaded,
            arrivals,
        }
    }

    /// Largest number of requests within a window, of those that arrived at `since` or later.
    fn most_since(&self, since: Instant) -> usize {
        let arrivals = self.arrivals.borrow();
        let late: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= since).collect();
        let counts = late.iter().map(|first| {
            let within = late
                .iter()
                .filter(|at| *at >= first && **at < *first + WINDOW);
            within.count()
        });
        counts.max().unwrap_or(0)
    }
}

/// Sends requests to all daemons at the same time, for a time span. Returns how many were not
/// served.
async fn ask_all(zone: &Zone, span: Duration) -> usize {
    let end = Instant::now() + span;
    let callers = zone
        .daemons
        .iter()
        .enumerate()
        .map(|(at, (_, relay))| async move {
            let mut failed = 0;
            for number in 0.. {
                if Instant::now() >= end {
                    break;
                }
                let text = request("GET", "/safe/a", &format!("r{at}-{number}"), "");
                let answer = ask(relay.callers(), &text).await;
                failed += usize::from(!answer.is_ok_and(|answer| answer.status == 200));
                tokio::time::sleep(PAUSE).await;
            }
            failed
        });
    join_all(callers).await.into_iter().sum()
}

/// An overloaded endpoint announces a limit. Guards against daemons that ignore it, and against
/// many daemons that each send as much as all of them together may.
#[actix_web::test]
async fn all_daemons_together_keep_the_limit_that_an_endpoint_announces() {
    let busy = LimitedEndpoint::start("i-1", RATE).await;
    let healthy = LimitedEndpoint::start("i-2", RATE).await;
    let zone = Zone::start(23, store_with(&[&busy.endpoint, &healthy.endpoint]).await).await;
    let before = ask_all(&zone, Duration::from_secs(1)).await;
    busy.overloaded.set(true);
    let since = Instant::now() + SPREAD_TIME;
    let during = ask_all(&zone, SPREAD_TIME + WINDOW * 2).await;
    let most = busy.most_since(since);
    assert!(
        most <= allowed(RATE),
        "{most} in {WINDOW:?} with a limit of {RATE} a second"
    );
    assert!(most > 0, "the endpoint gets no request at all");
    assert_eq!(
        (before, during),
        (0, 0),
        "requests failed although an endpoint has room"
    );
}

/// The overload of an endpoint is over. Only a few daemons still send to it, and the others must
/// learn of it too.
#[actix_web::test]
async fn an_endpoint_whose_overload_is_over_is_used_again() {
    let busy = LimitedEndpoint::start("i-1", RATE).await;
    let healthy = LimitedEndpoint::start("i-2", RATE).await;
    let zone = Zone::start(24, store_with(&[&busy.endpoint, &healthy.endpoint]).await).await;
    busy.overloaded.set(true);
    ask_all(&zone, SPREAD_TIME).await;
    busy.overloaded.set(false);
    ask_all(&zone, Duration::from_secs(6)).await;
    let since = Instant::now();
    ask_all(&zone, Duration::from_secs(2)).await;
    let most = busy.most_since(since);
    assert!(most > allowed(RATE) * 3, "{most} in {WINDOW:?}");
}

/// All endpoints of a service are overloaded. Requests over the limit must be rejected at once,
/// with the time when to retry; if they waited for room, callers would be held until their
/// deadline.
#[actix_web::test]
async fn callers_beyond_all_limits_are_rejected_at_once() {
    let busy = LimitedEndpoint::start("i-1", RATE).await;
    busy.overloaded.set(true);
    let site = Site::start(&[&busy.endpoint]).await;
    let text = request("GET", "/safe/a", "r1", "");
    let first = ask(site.address(), &text).await.expect("an answer");
    assert_eq!(first.status, 200);
    let started = Instant::now();
    let answer = ask(site.address(), &text).await.expect("an answer");
    assert!(started.elapsed() < PAUSE, "{:?}", started.elapsed());
    assert_eq!(answer.status, 503);
    assert!(answer.body.contains("\"no\""), "{answer:?}");
    let retry_after = answer.head.fields.text("Retry-After");
    let retry_after: f64 = retry_after
        .and_then(|text| text.parse().ok())
        .expect("a time");
    assert!((0.5..=2.0).contains(&retry_after), "{retry_after}");
}

/// The load balancer hands all new connections of a zone to one daemon, and all endpoints announce
/// limits. Guards against a daemon that rejects callers because others hold the shares.
#[actix_web::test]
async fn a_daemon_that_gets_all_callers_uses_the_limits_of_all() {
    /// Announced by each endpoint, in requests a second.
    const EACH: f64 = 15.0;
    /// Requests a second of all callers: two thirds of what the endpoints take.
    const DEMAND: f64 = 40.0;
    let mut busy = Vec::new();
    for number in 1..=4 {
        busy.push(LimitedEndpoint::start(&format!("i-{number}"), EACH).await);
    }
    let endpoints: Vec<&Endpoint> = busy.iter().map(|row| &row.endpoint).collect();
    let zone = Zone::start(25, store_with(&endpoints).await).await;
    for row in &busy {
        row.overloaded.set(true);
    }
    let all: Vec<_> = zone.daemons.iter().map(|(_, relay)| relay).collect();
    share_served(&all, DEMAND, SPREAD_TIME).await;
    let since = Instant::now();
    let (evenly, at_one) = shares_evenly_and_at_one(&zone, DEMAND, WINDOW).await;
    assert!(
        at_one >= evenly * 0.75,
        "{at_one} served at one daemon, {evenly} evenly"
    );
    let most: Vec<usize> = busy.iter().map(|row| row.most_since(since)).collect();
    assert!(
        most.iter().all(|most| *most <= allowed(EACH)),
        "{most:?} in {WINDOW:?}"
    );
}

/// All callers come to one daemon and ask for more than the endpoints take. Guards against
/// requests that are offered to one daemon after the other in place of a rejection at once.
#[actix_web::test]
async fn requests_beyond_the_shares_of_all_daemons_are_rejected_at_once() {
    const EACH: f64 = 10.0;
    const CALLERS: usize = 12;
    let (one, two) = (
        LimitedEndpoint::start("i-1", EACH).await,
        LimitedEndpoint::start("i-2", EACH).await,
    );
    let endpoints = [&one.endpoint, &two.endpoint];
    let zone = Zone::start(28, store_with(&endpoints).await).await;
    one.overloaded.set(true);
    two.overloaded.set(true);
    let (_, relay) = &zone.daemons[0];
    let end = Instant::now() + SPREAD_TIME + WINDOW;
    let callers = (0..CALLERS).map(|_| async {
        let mut rejected = Vec::new();
        while Instant::now() < end {
            let started = Instant::now();
            let answer = ask(relay.callers(), &request("GET", "/safe/a", "r1", "")).await;
            if answer.is_ok_and(|answer| answer.status == 503) {
                rejected.push(started.elapsed());
            }
            tokio::time::sleep(PAUSE).await;
        }
        rejected
    });
    let since = Instant::now() + SPREAD_TIME;
    let mut rejected = join_all(callers).await.concat();
    rejected.sort_unstable();
    let median = rejected[rejected.len() / 2];
    assert!(median < PAUSE, "{median:?}");
    let most = [&one, &two].map(|row| row.most_since(since));
    assert!(
        most.iter().all(|most| *most <= allowed(EACH)),
        "{most:?} in {WINDOW:?}"
    );
    let least = (EACH * WINDOW.as_secs_f64() * 0.75) as usize;
    assert!(
        most.iter().all(|most| *most >= least),
        "{most:?} in {WINDOW:?}"
    );
}
