//! Endpoints that send bytes without end.

use std::time::{Duration, Instant};

use futures::future::join_all;
use poplarvale_standin::{Endpoint, SeenRequest, Step, ask, head, request, stream};

use crate::relay_site::{Site, until};
use crate::test_relay_cut_off::respond;
use crate::test_relay_log::LoggedDaemon;

/// Longest time until a request is served elsewhere.
const ANSWER_TIME: Duration = Duration::from_secs(2);
/// Time in which a connection is closed once its request is answered.
const CLOSE_TIME: Duration = Duration::from_millis(500);
/// Requests at a daemon, and most of them that an endpoint may get that answers none.
const REQUESTS: usize = 40;
const MOST_CHARGED: usize = 12;
/// Most memory that responses may take, in kilobytes: what a daemon may use for control.
const MOST_MEMORY_KB: u64 = 32 * 1024;

/// What is sent first, and then without end.
#[derive(Clone, Copy, Debug)]
struct Endless {
    begin: fn(&SeenRequest) -> Step,
    text: &'static str,
    pause: Duration,
    path: &'static str,
}

fn chunked(seen: &SeenRequest) -> Step {
    head(&seen.id(), "Transfer-Encoding: chunked\r\n")
}

fn unframed(seen: &SeenRequest) -> Step {
    head(&seen.id(), "")
}

fn trailers(seen: &SeenRequest) -> Step {
    match head(&seen.id(), "Transfer-Encoding: chunked\r\n") {
        Step::Send(text) => Step::Send(text + "0\r\n"),
        step => step,
    }
}

fn other_response(_: &SeenRequest) -> Step {
    head("other", "")
}

fn nothing(_: &SeenRequest) -> Step {
    Step::Send(String::new())
}

/// Each kind, as fast as it is read and slowly.
fn kinds() -> Vec<Endless> {
    let kind = |begin, text, path| {
        [Duration::ZERO, Duration::from_millis(10)].map(|pause| Endless {
            begin,
            text,
            pause,
            path,
        })
    };
    let kinds = [
        kind(nothing, "x", "/safe/a"),
        kind(nothing, "HTTP/1.1 100 Continue\r\n\r\n", "/safe/a"),
        kind(nothing, "HTTP/1.1 200 OK\r\nX: y", "/safe/a"),
        kind(other_response, "x", "/safe/a"),
        kind(chunked, "1\r\nx\r\n", "/safe/a"),
        kind(unframed, "x", "/safe/a"),
        kind(trailers, "X: y\r\n", "/safe/a"),
        kind(stream, "3\r\n: c\r\n", "/resume/a"),
        kind(stream, "3\r\n:\n\n\r\n", "/resume/a"),
        kind(nothing, "HTTP/1.1 100 Continue\r\n\r\n", "/resume/a"),
    ];
    kinds.into_iter().flatten().collect()
}

impl Endless {
    fn steps(self, seen: &SeenRequest) -> Vec<Step> {
        vec![(self.begin)(seen), Step::Endless(self.text, self.pause)]
    }
}

/// Guards against a daemon that waits for the end of what an endpoint sends, keeps such connections open,
/// and goes on sending requests there.
#[actix_web::test]
async fn requests_are_served_elsewhere_while_an_endpoint_sends_without_end() {
    let checks = kinds().into_iter().map(|kind| async move {
        let faulty = Endpoint::start("i-1", move |seen| kind.steps(seen)).await;
        let sound = Endpoint::start("i-2", respond).await;
        let site = Site::start(&[&faulty, &sound]).await;
        let mut problems = Vec::new();
        for number in 0..REQUESTS {
            let began = Instant::now();
            let text = request("GET", kind.path, &format!("r{number}"), "");
            let answer = ask(site.address(), &text).await;
            let is_served = answer.is_ok_and(|answer| answer.status == 200 && answer.complete);
            if !is_served || began.elapsed() > ANSWER_TIME {
                problems.push(format!("r{number} after {:?}", began.elapsed()));
            }
        }
        tokio::time::sleep(CLOSE_TIME).await;
        let (seen, open) = (faulty.seen().len(), faulty.endless());
        let is_good = problems.is_empty() && seen <= MOST_CHARGED && open == 0;
        (!is_good).then(|| format!("{kind:?}: {problems:?}, {seen} sent there, {open} still open"))
    });
    let failed: Vec<String> = join_all(checks).await.into_iter().flatten().collect();
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against endless responses that are each held in memory up to the limit of one.
#[actix_web::test]
async fn endless_responses_take_bounded_memory_over_all_attempts() {
    let large: &'static str = Box::leak("x".repeat(64 * 1024).into_boxed_str());
    let faulty = join_all(["i-1", "i-2"].map(|id| async move {
        Endpoint::start(id, move |seen| {
            let pause = Duration::from_millis(20);
            vec![unframed(seen), Step::Endless(large, pause)]
        })
        .await
    }));
    let faulty = faulty.await;
    let daemon = LoggedDaemon::start(&faulty.iter().collect::<Vec<_>>()).await;
    let before = daemon.peak_memory_kb();
    let callers = daemon.callers();
    let sent = (0..REQUESTS).map(|number| async move {
        let text = request("GET", "/safe/a", &format!("r{number}"), "");
        ask(callers, &text).await.is_ok()
    });
    join_all(sent).await;
    let taken = daemon.peak_memory_kb() - before;
    until(ANSWER_TIME, async || {
        faulty.iter().all(|row| row.endless() == 0)
    })
    .await;
    daemon.end().await;
    println!("{taken} kB");
    assert!(taken <= MOST_MEMORY_KB, "{taken} kB");
}
