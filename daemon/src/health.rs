//! Health endpoints `/live` and `/ready` for the platform's load balancer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use actix_web::{HttpResponse, web};

/// Readiness of the daemon for callers' requests; shared by the servers of all ports.
#[derive(Clone, Debug, Default)]
pub struct Ready(Arc<State>);

#[derive(Debug, Default)]
struct State {
    lists: AtomicBool,
    draining: AtomicBool,
}

impl Ready {
    /// Whether the load balancer should send callers to this daemon.
    pub fn get(&self) -> bool {
        self.0.lists.load(Ordering::Relaxed) && !self.0.draining.load(Ordering::Relaxed)
    }

    /// Marks that the daemon has lists of customers and plans.
    pub fn set_lists(&self) {
        self.0.lists.store(true, Ordering::Relaxed);
    }

    /// Marks that the daemon is shutting down. This can't be undone.
    pub fn set_draining(&self) {
        self.0.draining.store(true, Ordering::Relaxed);
    }
}

/// Adds the health endpoints, which need no token.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/live", web::get().to(live))
        .route("/ready", web::get().to(ready));
}

async fn live() -> HttpResponse {
    HttpResponse::Ok().body("live\n")
}

async fn ready(ready: web::Data<Ready>) -> HttpResponse {
    if ready.get() {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("not ready\n")
    }
}
