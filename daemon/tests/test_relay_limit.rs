//! Endpoints in need that name how many requests a second they take.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use poplarvale_standin::{Endpoint, Seen, Step, ask, limited, plain, request};

use crate::relay_site::{Site, Zone, store_with};

/// Span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time in which all daemons know of a limit.
const SPREAD: Duration = Duration::from_secs(3);
/// Time between two requests at one daemon.
const PAUSE: Duration = Duration::from_millis(40);
/// What an endpoint names, in requests a second.
const RATE: f64 = 1.0;

/// Most requests that an endpoint with a limit gets within [`WINDOW`].
fn allowed(rate: f64) -> usize {
    (rate * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

/// An endpoint that names a limit while it is in need, and when requests came.
struct Needy {
    endpoint: Endpoint,
    needs: Rc<Cell<bool>>,
    arrivals: Rc<RefCell<Vec<Instant>>>,
}

impl Needy {
    async fn start(id: &str, rate: f64) -> Self {
        let (needs, arrivals) = (Rc::new(Cell::new(false)), Rc::default());
        let script = {
            let (needs, arrivals) = (Rc::clone(&needs), Rc::clone(&arrivals));
            move |seen: &Seen| {
                let arrivals: &RefCell<Vec<Instant>> = &arrivals;
                arrivals.borrow_mut().push(Instant::now());
                let work = Step::Wait(Duration::from_millis(10));
                if needs.get() {
                    vec![work, limited(seen, rate, "done")]
                } else {
                    vec![work, plain(seen, 200, "done")]
                }
            }
        };
        Self {
            endpoint: Endpoint::start(id, script).await,
            needs,
            arrivals,
        }
    }

    /// Most requests that came within a window, of those that came after a moment.
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

/// Asks all daemons at once, again and again; gives how many requests were not served.
async fn ask_all(zone: &Zone, span: Duration) -> usize {
    let end = Instant::now() + span;
    let callers = zone
        .daemons
        .iter()
        .enumerate()
        .map(|(at, (_, relay))| async move {
            let mut bad = 0;
            for number in 0.. {
                if Instant::now() >= end {
                    break;
                }
                let text = request("GET", "/safe/a", &format!("r{at}-{number}"), "");
                let answer = ask(relay.callers(), &text).await;
                bad += usize::from(!answer.is_ok_and(|answer| answer.status == 200));
                tokio::time::sleep(PAUSE).await;
            }
            bad
        });
    join_all(callers).await.into_iter().sum()
}

/// An endpoint in need names how little it takes, and each of many daemons that hear it goes
/// on as before, or takes what is named for itself alone.
#[actix_web::test]
async fn all_daemons_together_keep_the_limit_that_an_endpoint_names() {
    let needy = Needy::start("i-1", RATE).await;
    let calm = Needy::start("i-2", RATE).await;
    let zone = Zone::start(23, store_with(&[&needy.endpoint, &calm.endpoint]).await).await;
    let before = ask_all(&zone, Duration::from_secs(1)).await;
    needy.needs.set(true);
    let since = Instant::now() + SPREAD;
    let during = ask_all(&zone, SPREAD + WINDOW * 2).await;
    let most = needy.most_since(since);
    assert!(
        most <= allowed(RATE),
        "{most} in {WINDOW:?} with a limit of {RATE} a second"
    );
    assert!(most > 0, "what it takes is not used");
    assert_eq!(
        (before, during),
        (0, 0),
        "not served though an endpoint has room"
    );
}

/// An endpoint's need is over, and nobody notices, as those who may ask it are few.
#[actix_web::test]
async fn an_endpoint_whose_need_is_over_is_used_again() {
    let needy = Needy::start("i-1", RATE).await;
    let calm = Needy::start("i-2", RATE).await;
    let zone = Zone::start(24, store_with(&[&needy.endpoint, &calm.endpoint]).await).await;
    needy.needs.set(true);
    ask_all(&zone, SPREAD).await;
    needy.needs.set(false);
    ask_all(&zone, Duration::from_secs(6)).await;
    let since = Instant::now();
    ask_all(&zone, Duration::from_secs(2)).await;
    let most = needy.most_since(since);
    assert!(most > allowed(RATE) * 3, "{most} in {WINDOW:?}");
}

/// All endpoints of a service are in need. Who cannot be served hears so at once, and when
/// to come back; waiting for room would hold callers until their deadline.
#[actix_web::test]
async fn callers_beyond_all_limits_are_refused_at_once() {
    let needy = Needy::start("i-1", RATE).await;
    needy.needs.set(true);
    let site = Site::start(&[&needy.endpoint]).await;
    let text = request("GET", "/safe/a", "r1", "");
    let first = ask(site.address(), &text).await.expect("an answer");
    assert_eq!(first.status, 200);
    let begin = Instant::now();
    let answer = ask(site.address(), &text).await.expect("an answer");
    assert!(begin.elapsed() < PAUSE, "{:?}", begin.elapsed());
    assert_eq!(answer.status, 503);
    assert!(answer.body.contains("\"no\""), "{answer:?}");
    let again = answer.head.fields.text("Retry-After");
    let again: f64 = again.and_then(|text| text.parse().ok()).expect("a time");
    assert!((0.5..=2.0).contains(&again), "{again}");
}
