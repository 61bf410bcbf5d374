//! Endpoints that fail when they have to reject too many requests within a second.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use poplarvale_standin::{Endpoint, SeenRequest, Step, announcing, ask, rejection_with, request};

use crate::relay_site::{Zone, store_with};

/// Requests that an endpoint processes at the same time; as many as its entry states.
const SLOTS: usize = 8;
const WORK: Duration = Duration::from_millis(100);
/// Rejections within a second that an endpoint bears.
const BEARABLE: usize = 12;
/// Concurrent callers of each daemon.
const CALLERS: usize = 10;
/// Time after which all daemons know that the endpoints are brittle.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);

/// An endpoint without a queue, and when it rejected requests.
struct BrittleEndpoint {
    endpoint: Endpoint,
    rejections: Rc<RefCell<Vec<Instant>>>,
}

impl BrittleEndpoint {
    async fn start(id: &str) -> Self {
        let rejections: Rc<RefCell<Vec<Instant>>> = Rc::default();
        let busy: Rc<RefCell<Vec<Instant>>> = Rc::default();
        let script = {
            let rejections = Rc::clone(&rejections);
            move |seen: &SeenRequest| {
                let now = Instant::now();
                let mut busy = busy.borrow_mut();
                busy.retain(|end| now < *end);
                let fields = format!("Server-Brittle: {BEARABLE}\r\n");
                if busy.len() >= SLOTS {
                    rejections.borrow_mut().push(now);
                    return vec![rejection_with(seen, &fields)];
                }
                busy.push(now + WORK);
                vec![Step::Wait(WORK), announcing(seen, &fields, "done")]
            }
        };
        Self {
            endpoint: Endpoint::start(id, script).await,
            rejections,
        }
    }

    /// Most rejections within a second, of those at `since` or later.
    fn most_since(&self, since: Instant) -> usize {
        let rejections = self.rejections.borrow();
        let late: Vec<Instant> = rejections
            .iter()
            .copied()
            .filter(|at| *at >= since)
            .collect();
        let second = Duration::from_secs(1);
        let counts = late.iter().map(|first| {
            let within = late
                .iter()
                .filter(|at| *at >= first && **at < *first + second);
            within.count()
        });
        counts.max().unwrap_or(0)
    }
}

/// Many callers overload a service whose endpoints are brittle. An endpoint that has to reject more
/// requests within a second than it bears ends, and its load falls on the others.
#[actix_web::test]
async fn brittle_endpoints_get_no_more_requests_to_reject_than_they_bear() {
    let (one, other) = (
        BrittleEndpoint::start("i-1").await,
        BrittleEndpoint::start("i-2").await,
    );
    let store = store_with(&[&one.endpoint, &other.endpoint]).await;
    let zone = Zone::start(95, store).await;
    let (stopped, answered) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(0)));
    let callers = zone
        .daemons
        .iter()
        .enumerate()
        .flat_map(|(at, (_, relay))| {
            let address = relay.callers();
            let (stopped, answered) = (Rc::clone(&stopped), Rc::clone(&answered));
            (0..CALLERS).map(move |caller| {
                let (stopped, answered) = (Rc::clone(&stopped), Rc::clone(&answered));
                async move {
                    let mut number = 0;
                    while !stopped.get() {
                        number += 1;
                        let text =
                            request("GET", "/safe/a", &format!("r{at}-{caller}-{number}"), "");
                        match ask(address, &text).await {
                            Ok(answer) if answer.status == 200 => answered.set(answered.get() + 1),
                            // Callers that are rejected come back soon.
                            _ => tokio::time::sleep(Duration::from_millis(100)).await,
                        }
                    }
                }
            })
        });
    let callers = join_all(callers.collect::<Vec<_>>());
    let check = async {
        tokio::time::sleep(CONTACT_TIME).await;
        let (since, before) = (Instant::now(), answered.get());
        tokio::time::sleep(WINDOW).await;
        stopped.set(true);
        let most = [one.most_since(since), other.most_since(since)];
        let capacity = 2 * SLOTS * (WINDOW.as_millis() / WORK.as_millis()) as usize;
        (most, answered.get() - before, capacity)
    };
    let ((most, answered, capacity), _) = tokio::join!(check, callers);
    println!("most rejections within a second {most:?}, answered {answered} of {capacity}");
    assert!(
        most.iter().all(|most| *most <= BEARABLE),
        "{most:?} rejections within a second"
    );
    assert!(
        answered * 4 >= capacity,
        "{answered} of {capacity} possible requests are answered"
    );
}
