//! Requests in the soak that crash endpoints by a part of their prompts.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use poplarvale_standin::{Fault, SeenRequest, Step, ask, event, prompt, request, stream};

use super::{CLIENT_TIMEOUT, DAEMONS, Soak, Work, put_entry};

/// Part of a prompt that crashes endpoints, and parts that such requests and sound ones share.
const FATAL_PART: u64 = 0xdead;
const SHARED_PARTS: [u64; 2] = [0xaa, 0xbb];
/// Time from the first event of such a request to the crash, and from that to the next start.
const CRASH_TIME: Duration = Duration::from_millis(30);
const RESTART_TIME: Duration = Duration::from_millis(700);
/// Time from a crash, after which new connections are refused, until the request breaks off.
const CLOSE_DELAY: Duration = Duration::from_millis(10);
/// Crashes under a part, and the time after them from which on at most [`MOST_LATE`] requests with
/// it may be sent. After twice that time, half of the sound requests must be served.
const KNOWN_CRASHES: usize = 5;
const CONTACT_TIME: Duration = Duration::from_secs(3);
const MOST_LATE: usize = 3;
/// Number of requests of each kind, and the time between two.
const REQUESTS: u64 = 100;
const PAUSE: Duration = Duration::from_millis(100);

/// Answer of an endpoint that crashes under this request; `None` if it does not.
pub(super) fn fail(work: &Work, number: usize, seen: &SeenRequest) -> Option<Vec<Step>> {
    if !seen.parts().contains(&FATAL_PART) {
        return None;
    }
    work.crashes.borrow_mut().push((Instant::now(), number));
    work.crashed.notify_one();
    let ran = Step::Wait(CRASH_TIME + CLOSE_DELAY);
    Some(vec![stream(seen), event(0), ran, Step::Close])
}

/// Crashes the endpoints that got such a request, and starts them again later, until `end`.
async fn crash_endpoints(soak: &Rc<Soak>, end: Instant) {
    let mut done = 0;
    while Instant::now() < end {
        let wait = tokio::time::timeout(PAUSE, soak.work.crashed.notified());
        if wait.await.is_err() {
            continue;
        }
        tokio::time::sleep(CRASH_TIME).await;
        let numbers: Vec<usize> = {
            let crashes = soak.work.crashes.borrow();
            crashes[done..].iter().map(|crash| crash.1).collect()
        };
        done += numbers.len();
        for number in numbers {
            soak.proxies[number].set_refusing(true);
            soak.proxies[number].set(Fault::Reset);
            let soak = Rc::clone(soak);
            actix_web::rt::spawn(async move {
                tokio::time::sleep(RESTART_TIME).await;
                soak.born[number].set(soak.born[number].get() + 1);
                soak.proxies[number].set(Fault::None);
                soak.proxies[number].set_refusing(false);
                put_entry(&soak, number, "ready");
            });
        }
    }
}

/// Has requests crash endpoints by a part of their prompts while nothing else is wrong: soon no more
/// of them may be sent, and sound ones that share the other parts must be served.
pub(super) async fn check_part(soak: &Rc<Soak>) {
    soak.no_faults.set(false);
    // Answers that began before are not to be broken off.
    tokio::time::sleep(CLIENT_TIMEOUT).await;
    let end = Instant::now() + PAUSE * REQUESTS as u32;
    let callers = (0..REQUESTS * 2).map(|number| async move {
        tokio::time::sleep(PAUSE / 2 * number as u32).await;
        let is_fatal = number.is_multiple_of(2);
        let second = if is_fatal {
            FATAL_PART
        } else {
            SHARED_PARTS[1]
        };
        let parts = prompt(&[SHARED_PARTS[0], second, 0x1000 + number]);
        let id = format!("part-{number}");
        let text = request("GET", &format!("/stream/{id}"), &id, &parts);
        let address = {
            let daemon = soak.daemons[number as usize / 2 % DAEMONS].borrow();
            daemon.callers
        };
        let sent = Instant::now();
        let answer = ask(address, &text).await;
        let served = answer.is_ok_and(|answer| answer.complete && answer.status == 200);
        (is_fatal, sent, served)
    });
    let (answers, ()) = futures::join!(join_all(callers), crash_endpoints(soak, end));
    tokio::time::sleep(RESTART_TIME * 2).await;
    soak.no_faults.set(true);
    let crashes = soak.work.crashes.borrow();
    let Some((known, _)) = crashes.iter().take(KNOWN_CRASHES).next_back().copied() else {
        return soak.violation("no request with the part was sent".into());
    };
    let is_late = |crash: &&(Instant, usize)| crash.0 > known + CONTACT_TIME;
    let late = crashes.iter().filter(is_late).count();
    if late > MOST_LATE {
        soak.violation(format!("{late} requests that crash endpoints were sent"));
    }
    let sound = answers.iter().filter(|row| !row.0);
    let after: Vec<_> = sound
        .filter(|row| row.1 > known + CONTACT_TIME * 2)
        .collect();
    let served = after.iter().filter(|row| row.2).count();
    if served * 2 < after.len() {
        let all = after.len();
        soak.violation(format!("{served} of {all} sound requests were served"));
    }
}
