//! `/live` and `/ready`, for the platform's balancer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use actix_web::{HttpResponse, web};

/// Whether callers should be sent here; shared by all ports.
#[derive(Clone, Debug, Default)]
pub struct Ready(Arc<State>);

#[derive(Debug, Default)]
struct State {
    lists: AtomicBool,
    draining: AtomicBool,
}

impl Ready {
    /// Whether callers should be sent here.
    pub fn get(&self) -> bool {
        self.0.lists.load(Ordering::Relaxed) && !self.0.draining.load(Ordering::Relaxed)
    }

    /// Notes that lists are in force.
    pub fn set_lists(&self) {
        self.0.lists.store(true, Ordering::Relaxed);
    }

    /// Notes that the daemon shuts down, which nothing takes back.
    pub fn set_draining(&self) {
        self.0.draining.store(true, Ordering::Relaxed);
    }
}

/// Routes of the probes, which need no token.
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
