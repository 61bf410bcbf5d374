//! Faults of the soak test that concern what endpoints announce, and partitions from all of them.

use std::rc::Rc;
use std::time::Duration;

use poplarvale_standin::Fault;

use super::{ENDPOINTS, Soak, Work, put_entry};

/// How long an endpoint announces its departure before its next incarnation starts.
const LEAVING_TIME: Duration = Duration::from_secs(2);
/// Rejections a second that brittle endpoints tolerate.
const TOLERATED: u32 = 50;

/// Header lines by which an endpoint announces something in its answers.
pub(super) fn fields(work: &Work, number: usize) -> String {
    let is_leaving = work.leaving.borrow().contains(&number);
    let leaving = if is_leaving {
        "Server-Leaving: 1\r\n"
    } else {
        ""
    };
    let brittle = if work.brittle.get() {
        format!("Server-Brittle: {TOLERATED}\r\n")
    } else {
        String::new()
    };
    brittle + leaving
}

/// Partitions all daemons from all endpoints: new connections are refused, and open ones have this
/// fault.
pub(super) fn cut_off(soak: &Rc<Soak>, open: Fault, duration: Duration) {
    for proxy in &soak.proxies {
        proxy.set_refusing(true);
        proxy.set(open);
    }
    let soak = Rc::clone(soak);
    actix_web::rt::spawn(async move {
        tokio::time::sleep(duration).await;
        reconnect(&soak);
    });
}

/// Ends the partition from all endpoints.
pub(super) fn reconnect(soak: &Soak) {
    for proxy in &soak.proxies {
        proxy.set(Fault::None);
        proxy.set_refusing(false);
    }
}

/// Has an endpoint announce in its answers that it leaves, while its registry entry says nothing,
/// and later start again under the same id.
pub(super) fn leave(soak: &Rc<Soak>, endpoint: usize) {
    soak.work.leaving.borrow_mut().push(endpoint);
    let soak = Rc::clone(soak);
    actix_web::rt::spawn(async move {
        tokio::time::sleep(LEAVING_TIME).await;
        restart(&soak, endpoint);
    });
}

fn restart(soak: &Soak, endpoint: usize) {
    soak.work
        .leaving
        .borrow_mut()
        .retain(|known| *known != endpoint);
    let born = &soak.born[endpoint];
    born.set(born.get() + 1);
    put_entry(soak, endpoint, "ready");
}

/// Has all endpoints announce that they are brittle.
pub(super) fn become_brittle(soak: &Rc<Soak>, duration: Duration) {
    soak.work.brittle.set(true);
    let soak = Rc::clone(soak);
    actix_web::rt::spawn(async move {
        tokio::time::sleep(duration).await;
        soak.work.brittle.set(false);
    });
}

/// Ends all that endpoints announce, and the partitions.
pub(super) fn restore(soak: &Soak) {
    reconnect(soak);
    soak.work.brittle.set(false);
    let leaving = soak.work.leaving.borrow().clone();
    for endpoint in leaving.into_iter().filter(|number| *number < ENDPOINTS) {
        restart(soak, endpoint);
    }
}
