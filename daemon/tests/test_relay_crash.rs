//! Requests that crash the endpoints that run them.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use poplarvale_standin::{Endpoint, Seen, Step, ask, event, plain, request, stream};

use crate::relay_site::{DAEMONS, Zone, store_with};

/// Endpoints that one request may end.
const ENOUGH: usize = 3;
/// Time in which all daemons know of it.
const SPREAD: Duration = Duration::from_secs(1);
/// Path of the request that crashes endpoints.
const FATAL: &str = "/stream/fatal";

/// When the request reached an endpoint.
type Arrivals = Rc<RefCell<Vec<Instant>>>;

/// Endpoints that crash a moment after they have begun the fatal request.
async fn endpoints(count: u32, arrivals: &Arrivals) -> Vec<Endpoint> {
    let start = |number: u32| {
        let arrivals = Rc::clone(arrivals);
        let script = move |seen: &Seen| {
            if seen.target() != FATAL {
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

/// A request that crashes whatever runs it is asked through one daemon after the other and
/// ends one endpoint after the other.
#[actix_web::test]
async fn a_request_that_crashes_endpoints_stops_reaching_them() {
    let arrivals = Arrivals::default();
    let endpoints = endpoints(14, &arrivals).await;
    let all: Vec<&Endpoint> = endpoints.iter().collect();
    let zone = Zone::start(21, store_with(&all).await).await;
    let begin = Instant::now();
    for number in 0..30 {
        let (_, relay) = &zone.daemons[number % usize::from(DAEMONS)];
        let text = request("GET", FATAL, &format!("r{number}"), "");
        let answer = ask(relay.callers(), &text).await;
        assert!(
            answer.is_err() || answer.is_ok_and(|answer| !answer.whole || answer.status != 200)
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(begin.elapsed() > SPREAD * 2);
    let arrivals = arrivals.borrow();
    assert!(arrivals.len() >= ENOUGH, "it was tried");
    let known = arrivals[ENOUGH - 1] + SPREAD;
    let late = arrivals.iter().filter(|at| **at > known).count();
    let crashed = endpoints.iter().filter(|row| row.has_crashed()).count();
    assert_eq!(
        late, 0,
        "sent on after {ENOUGH} had ended; {crashed} ended in all"
    );
}
