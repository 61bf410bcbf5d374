//! Version moves in the soak, some of them to a version that fails.

use std::rc::Rc;
use std::time::{Duration, Instant};

use poplarvale_standin::{SeenRequest, Step, plain};

use super::{ENDPOINTS, Soak, Work, put_entry};

/// Store keys of the order for a move and of its state.
const ORDER: &str = "op/rollout/app";
const STATUS: &str = "status/rollout/app";
/// Time in which a move is due.
const MOVE_TIME: Duration = Duration::from_secs(8);
/// Time after the order in which a version that fails most requests must be rolled back.
const ROLL_BACK_TIME: Duration = Duration::from_secs(6);
/// Share of its requests that the bad version fails, in percent.
const FAILED_SHARE: u64 = 70;

/// Whether an endpoint runs the version of the moves.
fn is_new(number: usize) -> bool {
    number >= ENDPOINTS / 2
}

/// Version of an endpoint, by its number.
pub(super) fn version_of(number: usize) -> &'static str {
    if is_new(number) { "v2" } else { "v1" }
}

/// Answer of an endpoint whose version fails this request; `None` if it does not.
pub(super) fn fail(work: &Work, number: usize, seen: &SeenRequest) -> Option<Vec<Step>> {
    let is_bad = work.bad_version.get() && is_new(number);
    let fails = is_bad && super::roll(&seen.id(), number) < FAILED_SHARE;
    fails.then(|| vec![plain(seen, 500, "the version fails")])
}

/// Orders a move to the new version, which may be bad until the faults end.
pub(super) fn order(soak: &Rc<Soak>, is_bad: bool) {
    soak.work.bad_version.set(is_bad);
    let seconds = MOVE_TIME.as_secs();
    let order = format!(r#"{{"service":"app","target":"v2","durationS":{seconds}}}"#);
    soak.store.put(ORDER, order.as_bytes());
}

/// Ends what the new version fails.
pub(super) fn restore(soak: &Soak) {
    soak.work.bad_version.set(false);
    soak.store.remove(ORDER);
}

/// Orders a move to a bad version without other faults: it must be rolled back in time.
pub(super) async fn check_roll_back(soak: &Rc<Soak>) {
    for number in 0..ENDPOINTS {
        put_entry(soak, number, "ready");
    }
    // An earlier move to the same version may have left its state.
    soak.store.remove(STATUS);
    order(soak, true);
    let end = Instant::now() + ROLL_BACK_TIME;
    let mut is_rolled_back = false;
    while !is_rolled_back && Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let status = soak.store.get(STATUS).unwrap_or_default();
        is_rolled_back = String::from_utf8_lossy(&status).contains("rolled_back");
    }
    if !is_rolled_back {
        soak.violation("a version that fails was not rolled back".into());
    }
    restore(soak);
}
