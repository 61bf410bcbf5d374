//! Endpoints that announce in their answers that they leave.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use poplarvale_standin::{Endpoint, Mode, SeenRequest, Step, announcing, ask, plain, request};

use crate::relay_site::{Zone, store_with};

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
