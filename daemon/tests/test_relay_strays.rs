//! Responses that belong to no request, and statuses that promise more than their endpoint stated.

use std::time::Duration;

use poplarvale_standin::{Endpoint, SeenRequest, Step, ask, plain, rejection_without_id, request};

use crate::relay_site::Site;

/// Time from a stray response to the endpoint's own one.
const RUN_TIME: Duration = Duration::from_millis(40);

/// Sends a stray response without an id where the response to any request but the first is due.
fn with_stray(seen: &SeenRequest, stray: Step) -> Vec<Step> {
    if seen.id() == "r0" {
        return vec![plain(seen, 200, "done")];
    }
    vec![stray, Step::Wait(RUN_TIME), plain(seen, 200, "done")]
}

/// Guards against a rejection that belongs to no request and is taken for the one in progress: its
/// caller is told that it did not run, while it runs.
#[actix_web::test]
async fn a_rejection_without_an_id_rejects_no_request() {
    for status in [503, 421, 429, 408] {
        let script = move |seen: &SeenRequest| with_stray(seen, rejection_without_id(status));
        let endpoint = Endpoint::start("i-1", script).await;
        let site = Site::start(&[&endpoint]).await;
        for id in ["r0", "r1", "r2"] {
            let answer = ask(site.address(), &request("POST", "/once/a", id, "")).await;
            let answer = answer.expect("an answer");
            assert_eq!(
                (answer.status, answer.body.as_str()),
                (200, "done"),
                "{status} {id}"
            );
        }
    }
}

/// Guards against such a rejection having the request sent to a second endpoint while it runs.
#[actix_web::test]
async fn a_rejection_without_an_id_repeats_no_request() {
    let script = |seen: &SeenRequest| with_stray(seen, rejection_without_id(503));
    let one = Endpoint::start("i-1", script).await;
    let other = Endpoint::start("i-2", script).await;
    let site = Site::start(&[&one, &other]).await;
    for number in 0..6 {
        let id = format!("r{number}");
        let answer = ask(site.address(), &request("POST", "/once/a", &id, "")).await;
        assert_eq!(answer.expect("an answer").status, 200);
        let seen = [one.seen(), other.seen()].concat();
        let runs = seen.iter().filter(|seen| seen.id() == id).count();
        assert_eq!(runs, 1, "{id} ran {runs} times");
    }
}

/// Guards against a status that callers read as a promise that the request did not run, from an endpoint
/// that did not state so.
#[actix_web::test]
async fn a_status_of_an_endpoint_that_may_have_run_the_request_promises_nothing() {
    for status in [408, 429, 503] {
        for is_sealed in [true, false] {
            let script = move |seen: &SeenRequest| match plain(seen, status, "failed") {
                Step::Send(text) if !is_sealed => {
                    vec![Step::Send(text.replace("Response-Seal", "Other-Field"))]
                }
                step => vec![step],
            };
            let endpoint = Endpoint::start("i-1", script).await;
            let site = Site::start(&[&endpoint]).await;
            let answer = ask(site.address(), &request("POST", "/once/a", "r1", "")).await;
            let answer = answer.expect("an answer");
            assert_eq!(answer.status, 502, "{status}, sealed: {is_sealed}");
        }
    }
}
