//! Endpoints in the soak that pause in the middle of their streams, or have no room.

use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use poplarvale_standin::{SeenRequest, Step, event, event_text, rejection, stream, without_length};

use super::{DAEMONS, ENDPOINTS, Soak, Work, config, signal_if_alive};

/// Pause of a stream, longer than a daemon waits before it asks another endpoint.
const PAUSE: Duration = Duration::from_millis(700);
/// Event before which a stream pauses, counted from its first one.
const PAUSED_EVENT: u64 = 2;
/// Number of changes in a row while streams pause, and the time between two.
const ROUNDS: usize = 5;
const ROUND_TIME: Duration = Duration::from_millis(600);

/// Answer of an endpoint that has no room; `None` if it has.
pub(super) fn reject(work: &Work, number: usize, seen: &SeenRequest) -> Option<Vec<Step>> {
    let is_full = work.full.borrow().contains(&number);
    is_full.then(|| vec![rejection(seen)])
}

/// A stream from `first` to the event before `end`, which pauses if streams pause now.
pub(super) fn events(work: &Work, seen: &SeenRequest, first: u64, end: u64) -> Vec<Step> {
    let is_unframed = super::ends_with_connection(seen);
    let mut steps = vec![if is_unframed {
        without_length(seen, "")
    } else {
        stream(seen)
    }];
    for number in first..end {
        if work.pausing.get() && number == first + PAUSED_EVENT {
            steps.push(Step::Wait(PAUSE));
        }
        steps.push(if is_unframed {
            Step::Send(event_text(number))
        } else {
            event(number)
        });
        steps.push(Step::Wait(super::EVENT_TIME));
    }
    steps.push(if is_unframed {
        Step::Close
    } else {
        Step::Send("0\r\n\r\n".into())
    });
    steps
}

/// Has streams that begin now pause, for a while.
pub(super) fn pause(soak: &Rc<Soak>, duration: Duration) {
    soak.work.pausing.set(true);
    let soak = Rc::clone(soak);
    actix_web::rt::spawn(async move {
        tokio::time::sleep(duration).await;
        soak.work.pausing.set(false);
    });
}

/// Leaves room at one endpoint only, for a while.
pub(super) fn fill(soak: &Rc<Soak>, free: usize, duration: Duration) {
    fill_others(soak, free);
    let soak = Rc::clone(soak);
    actix_web::rt::spawn(async move {
        tokio::time::sleep(duration).await;
        soak.work.full.borrow_mut().clear();
    });
}

fn fill_others(soak: &Soak, free: usize) {
    let others = (0..ENDPOINTS).filter(|number| *number != free);
    *soak.work.full.borrow_mut() = others.collect();
}

/// Ends the pauses, and all endpoints have room again.
pub(super) fn restore(soak: &Soak) {
    soak.work.pausing.set(false);
    soak.work.full.borrow_mut().clear();
}

/// Has streams pause while the other endpoints are full, configurations come in series and
/// settings are read again. No answer may be broken off.
pub(super) async fn check_pauses(soak: &Soak, random: &mut Rng) {
    soak.work.pausing.set(true);
    for _ in 0..ROUNDS {
        fill_others(soak, random.usize(..ENDPOINTS));
        config::change(soak, random.u64(1..4), 0);
        signal_if_alive(soak, random.usize(..DAEMONS), "HUP");
        tokio::time::sleep(ROUND_TIME).await;
    }
    restore(soak);
    // Streams that pause now end before something else is checked.
    tokio::time::sleep(PAUSE * 2).await;
}
