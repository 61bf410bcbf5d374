//! Checks of the usage reports that the platform received.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use poplarvale_standin::{Cloud, SeenRequest, Store};
use serde_json::Value;

/// Length of a usage window of the stand-in platform.
const WINDOW: Duration = Duration::from_secs(1);
/// How long after its end a window is reported at the earliest: two seconds, less one by which the
/// clocks of two daemons may be apart.
const EARLIEST_REPORT: Duration = Duration::from_secs(1);
/// How long after it goes on the calls of a paused daemon do not count.
const THAW_TIME: Duration = Duration::from_millis(300);

/// Window and counts of a report.
pub(crate) fn window_and_counts(call: &SeenRequest) -> (u64, String) {
    let body: Value = serde_json::from_slice(&call.body).expect("the text is JSON");
    let window = body["windowSeq"].as_u64().expect("the window is a number");
    (window, body["counts"].to_string())
}

/// Counts of each window that was reported, different ones only.
pub(crate) fn by_window(cloud: &Cloud) -> BTreeMap<u64, Vec<String>> {
    let mut windows: BTreeMap<u64, Vec<String>> = BTreeMap::new();
    for call in cloud.seen() {
        let (window, counts) = window_and_counts(&call);
        let known = windows.entry(window).or_default();
        if !known.contains(&counts) {
            known.push(counts);
        }
    }
    windows
}

/// Windows that were reported with different counts, windows between the first and the last that
/// were not reported though none can have been before a restore, and fencing tokens that fall, but
/// for calls right after a daemon was paused.
pub(crate) fn violations(cloud: &Cloud, store: &Store, thawed: &[Instant]) -> Vec<String> {
    let windows = by_window(cloud);
    let twice = windows.iter().filter(|row| row.1.len() > 1);
    let mut found: Vec<String> = twice
        .map(|(window, counts)| format!("window {window} was reported as {counts:?}"))
        .collect();
    let bounds = windows.keys().next().zip(windows.keys().next_back());
    let (first, last) = bounds.map_or((0, 0), |(first, last)| (*first, *last));
    let missing = (first..last).filter(|window| !windows.contains_key(window));
    let missing = missing.filter(|window| !may_be_lost(*window, store));
    found.extend(missing.map(|window| format!("window {window} was not reported")));
    let mut highest = 0;
    for (at, call) in cloud.arrivals() {
        let token = call.fencing_token().unwrap_or(0);
        let is_thawed = thawed
            .iter()
            .any(|thaw| at >= *thaw && at < *thaw + THAW_TIME);
        if token < highest && !is_thawed {
            found.push(format!("token {token} follows {highest}"));
        }
        highest = highest.max(token);
    }
    found
}

/// Whether a report of a window may have been sent and lost with a restore: it was due when a daemon
/// had first seen the new era.
fn may_be_lost(window: u64, store: &Store) -> bool {
    let end = UNIX_EPOCH + WINDOW * (window as u32 + 1);
    let is_due = |seen: &SystemTime| end + EARLIEST_REPORT <= *seen;
    store.first_writes().iter().any(is_due)
}
