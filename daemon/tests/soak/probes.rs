//! Which version of the configuration the daemons in the soak have in force, as their callers see it.
//!
//! Each version adds a route of its own. A daemon that has served the route of one must not answer that
//! there is none to a request that was sent later.

use std::rc::Rc;
use std::time::{Duration, Instant};

use poplarvale_standin::{ask, request};
use serde_json::{Value, json};

use super::{DAEMONS, Soak, unix_ms};

/// Versions whose routes a configuration has, itself included.
const KEPT_VERSIONS: u64 = 12;
/// Time after the answer that showed a version from which on requests must be handled by it.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);
/// Time between two requests to one daemon, and how long each may take.
const PAUSE: Duration = Duration::from_millis(40);
const TIMEOUT: Duration = Duration::from_secs(3);
/// Statuses of a request whose route there is, and of one whose route there is not.
const SERVED: u16 = 200;
const NO_ROUTE: u16 = 404;

/// Adds the routes of a version and the ones before it to a configuration.
pub(super) fn with_version_routes(config: &str, version: u64) -> String {
    let mut config: Value = serde_json::from_str(config).expect("the configuration is JSON");
    let routes = config["routes"].as_array_mut().expect("the routes");
    let template = routes.first().expect("a route").clone();
    let first = version.saturating_sub(KEPT_VERSIONS - 1);
    routes.extend((first..=version).map(|version| {
        let mut route = template.clone();
        route["name"] = json!(format!("version-{version}"));
        route["pathPrefix"] = json!(format!("/version-{version}/"));
        route
    }));
    config.to_string()
}

/// The newest version that a process has shown, and when.
#[derive(Clone, Copy)]
struct Shown {
    process: u32,
    version: u64,
    at: Instant,
}

/// Asks a daemon for the route of the newest version again and again.
pub(super) async fn probe(soak: Rc<Soak>, daemon: usize) {
    let mut shown: Option<Shown> = None;
    for number in 0.. {
        if soak.stopped.get() {
            return;
        }
        tokio::time::sleep(PAUSE).await;
        let (process, callers) = {
            let daemon = soak.daemons[daemon].borrow();
            (daemon.process.id(), daemon.callers)
        };
        shown = shown.filter(|shown| shown.process == process);
        // Every other request is for the newest one that the daemon has shown.
        let newest = soak.version.get();
        let version = match shown {
            Some(shown) if number % 2 == 0 => shown.version,
            _ => newest,
        };
        let id = format!("probe-{daemon}-{number}");
        soak.record_sent(&id, unix_ms(), "/safe/", false);
        let sent = Instant::now();
        let text = request("GET", &format!("/version-{version}/a"), &id, "");
        let asked = tokio::time::timeout(TIMEOUT, ask(callers, &text)).await;
        let status = asked.ok().and_then(Result::ok).map(|answer| answer.status);
        if soak.daemons[daemon].borrow().process.id() != process {
            continue;
        }
        let is_known =
            shown.is_some_and(|shown| version <= shown.version && sent > shown.at + ROLLBACK_SLACK);
        let is_dropped = soak.version.get() >= version + KEPT_VERSIONS;
        if status == Some(NO_ROUTE) && is_known && !is_dropped {
            soak.violation(format!(
                "{id} to daemon {daemon} was handled as before version {version}, which it had shown"
            ));
        }
        if status == Some(SERVED) && shown.is_none_or(|shown| shown.version < version) {
            let at = Instant::now();
            shown = Some(Shown {
                process,
                version,
                at,
            });
        }
    }
}

/// Starts the probes of all daemons.
pub(super) fn start(soak: &Rc<Soak>) -> Vec<actix_web::rt::task::JoinHandle<()>> {
    let probes = (0..DAEMONS).map(|daemon| probe(Rc::clone(soak), daemon));
    probes.map(actix_web::rt::spawn).collect()
}
