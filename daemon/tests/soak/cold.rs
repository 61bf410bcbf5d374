//! Cold endpoints and evacuated zones in the soak.

use std::rc::Rc;
use std::time::Duration;

use poplarvale_standin::{Endpoint, Proxy};

use super::{COLD_RATE, COLD_TIME, Soak, endpoint, entry};

/// Most requests that a cold endpoint gets in one second, with the tolerance of the settings.
const COLD_BOUND: usize = (COLD_RATE * 1.5) as usize + 5;
/// Zone that is evacuated; half of the endpoints are in it.
pub(super) const EVACUATED_ZONE: &str = "espoo";
/// Time after which no request reaches an evacuated zone.
const EVACUATION_TIME: Duration = Duration::from_secs(2);

fn evacuation_key() -> String {
    format!("op/evacuate/{EVACUATED_ZONE}")
}

/// Registers a new endpoint that is cold, and removes it after a while. Daemons that know of it
/// know that it is cold, so whatever else is wrong, it must not get too many requests.
pub(super) async fn add_cold_endpoint(soak: &Rc<Soak>, duration: Duration) {
    let number = soak.next_endpoint();
    let added = endpoint(number, soak.work.clone()).await;
    let proxy = Proxy::start(added.address).await;
    added.chill(COLD_TIME, COLD_BOUND);
    let key = format!("servers/{}", added.id);
    let text = entry(&added, &proxy, number, "ready");
    soak.store.put(&key, text.as_bytes());
    let soak = Rc::clone(soak);
    actix_web::rt::spawn(async move {
        tokio::time::sleep(COLD_TIME + duration).await;
        soak.store.remove(&key);
        check_cold(&soak, &added);
        // Requests that are in progress there end before it goes.
        tokio::time::sleep(EVACUATION_TIME * 2).await;
        drop(proxy);
    });
}

fn check_cold(soak: &Soak, cold: &Endpoint) {
    if cold.has_crashed() {
        soak.violation(format!(
            "the cold endpoint {} got more than {COLD_BOUND} requests in a second",
            cold.id
        ));
    }
}

/// Evacuates a zone for a while.
pub(super) fn evacuate(soak: &Rc<Soak>, duration: Duration) {
    soak.store.put(&evacuation_key(), b"{}");
    let soak = Rc::clone(soak);
    actix_web::rt::spawn(async move {
        tokio::time::sleep(duration).await;
        restore(&soak);
    });
}

/// Ends the evacuation of the zone, if it is evacuated.
pub(super) fn restore(soak: &Soak) {
    soak.store.remove(&evacuation_key());
}

/// Evacuates a zone while nothing else is wrong: its endpoints must get no new requests.
pub(super) async fn check_evacuation(soak: &Soak) {
    let seen = || {
        let endpoints = soak.endpoints.iter().zip(0..);
        let inside = endpoints.filter(|(_, number)| super::zone_of(*number) == EVACUATED_ZONE);
        inside.map(|(row, _)| row.seen().len()).sum::<usize>()
    };
    soak.store.put(&evacuation_key(), b"{}");
    tokio::time::sleep(EVACUATION_TIME).await;
    let before = seen();
    tokio::time::sleep(EVACUATION_TIME / 2).await;
    let late = seen() - before;
    if late > 0 {
        soak.violation(format!("{late} requests reached the evacuated zone"));
    }
    restore(soak);
}
