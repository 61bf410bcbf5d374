//! Checks endpoints that are silent until they send something again.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use poplarvale_lib::EndpointId;
use poplarvale_lib::relay::listing::Listing;
use poplarvale_platform::health_request;
use tokio::io::AsyncWriteExt as _;
use tokio::time::timeout;

use super::buffered_stream::fill;
use super::state::State;
use super::upstream;

/// How long the first check waits for an answer; each further one waits twice as long.
const FIRST_WAIT: Duration = Duration::from_millis(700);
/// Longest wait of a check.
const MAX_WAIT: Duration = Duration::from_secs(4);

/// Records that something was received from an endpoint.
pub(crate) fn record_heard(state: &State, endpoint: &EndpointId) {
    let mut table = state.endpoints.borrow_mut();
    let Some(row) = table.get_mut(endpoint) else {
        return;
    };
    if row.silence.record_heard(Instant::now()) {
        row.breaker.retry(Instant::now());
        log::info!("silence: endpoint {endpoint} is heard again and gets requests.");
        state.measure(|metrics| metrics.record_silence("ended"));
    }
}

/// Records that an attempt at an endpoint, sent at some moment, is silent for longer than expected.
pub(crate) fn record_silence(state: &Rc<State>, endpoint: &EndpointId, sent: Instant) {
    let mut table = state.endpoints.borrow_mut();
    let Some(row) = table.get_mut(endpoint) else {
        return;
    };
    if row.silence.record_silence(sent) {
        log::warn!("silence: endpoint {endpoint} is silent and gets no request until it is heard.");
        state.measure(|metrics| metrics.record_silence("begun"));
        drop(table);
        start_checks(state);
    }
}

/// Starts the checks of silent endpoints that are not checked yet.
pub(crate) fn start_checks(state: &Rc<State>) {
    let mut table = state.endpoints.borrow_mut();
    for endpoint in table.begin_silence_checks(Instant::now()) {
        actix_web::rt::spawn(check(Rc::clone(state), endpoint));
    }
}

/// Checks an endpoint again and again until it is heard or gone.
async fn check(state: Rc<State>, endpoint: EndpointId) {
    let mut wait = FIRST_WAIT;
    while let Some(listing) = silent_listing(&state, &endpoint) {
        let began = Instant::now();
        match timeout(wait, ask(&state, &listing)).await {
            Ok(Ok(())) => {
                record_heard(&state, &endpoint);
                break;
            }
            Ok(Err(error)) => {
                log::debug!("silence: the check of endpoint {endpoint} failed, {error}.");
                tokio::time::sleep(wait.saturating_sub(began.elapsed())).await;
            }
            Err(_) => {}
        }
        wait = (wait * 2).min(MAX_WAIT);
    }
    if let Some(row) = state.endpoints.borrow_mut().get_mut(&endpoint) {
        row.silence.end_check();
    }
}

/// The registry entry of an endpoint if it is silent.
fn silent_listing(state: &State, endpoint: &EndpointId) -> Option<Listing> {
    let table = state.endpoints.borrow();
    let now = Instant::now();
    let row = table
        .get(endpoint)
        .filter(|row| row.is_running(now) && row.silence.is_silent());
    row.map(|row| row.listing.clone())
}

/// Sends a health check. Anything that is received shows that the endpoint reads.
///
/// # Errors
/// If no connection can be made, or it breaks before an answer.
async fn ask(state: &State, listing: &Listing) -> io::Result<()> {
    let path = {
        let catalog = state.catalog.borrow();
        let service = catalog
            .as_ref()
            .and_then(|catalog| catalog.service(&listing.service));
        service
            .map(|service| service.health.clone())
            .unwrap_or_default()
    };
    let mut conn = upstream::connect(listing.address).await?;
    let (mut read, mut write) = conn.stream.split();
    write.write_all(&health_request(&path)).await?;
    if fill(&mut read, &mut conn.buffer).await? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(())
}
