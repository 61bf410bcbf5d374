//! HTTP stand-in for the platform's host list, whose answers are outdated by a set lag.
//!
//! `GET /hosts` returns the list as it was one lag ago; `POST /orders` changes the current list
//! and the lag.

use std::io;
use std::net::TcpListener;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use actix_web::dev::Server;
use actix_web::web::{self, Json};
use actix_web::{App, HttpResponse, HttpServer};
use poplarvale_lib::protos::platform as wire;
use serde::{Deserialize, Serialize};

/// Changes to the list, made by a test.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Orders {
    /// New lag in milliseconds; unchanged if absent.
    pub lag_ms: Option<u64>,
    /// New or changed hosts.
    pub put: Vec<wire::ListedHost>,
    /// Ids of removed hosts.
    pub gone: Vec<String>,
}

#[derive(Debug, Default)]
struct List {
    lag: Duration,
    /// Each version of the list with the time since which it was current, oldest first.
    history: Vec<(Instant, Vec<wire::ListedHost>)>,
}

type State = web::Data<Mutex<List>>;

/// Serves on a listener until the server is stopped.
pub fn serve(listener: TcpListener) -> io::Result<Server> {
    let state = web::Data::new(Mutex::new(List::default()));
    let app = move || {
        App::new()
            .app_data(State::clone(&state))
            .route("/hosts", web::get().to(hosts))
            .route("/orders", web::post().to(orders))
    };
    let server = HttpServer::new(app).workers(1).disable_signals();
    Ok(server.listen(listener)?.run())
}

async fn hosts(state: State) -> HttpResponse {
    let mut list = state.lock().unwrap_or_else(PoisonError::into_inner);
    let hosts = list.delayed(Instant::now());
    HttpResponse::Ok().json(wire::ListedHosts { hosts })
}

async fn orders(state: State, Json(orders): Json<Orders>) -> HttpResponse {
    let mut list = state.lock().unwrap_or_else(PoisonError::into_inner);
    list.order(Instant::now(), orders);
    HttpResponse::NoContent().finish()
}

impl List {
    fn order(&mut self, now: Instant, orders: Orders) {
        if let Some(ms) = orders.lag_ms {
            self.lag = Duration::from_millis(ms);
        }
        let mut hosts = self
            .history
            .last()
            .map(|(_, h)| h.clone())
            .unwrap_or_default();
        let named =
            |id: &String| orders.gone.contains(id) || orders.put.iter().any(|p| p.id == *id);
        hosts.retain(|host| !named(&host.id));
        hosts.extend(orders.put);
        hosts.sort_by(|a, b| a.id.cmp(&b.id));
        self.history.push((now, hosts));
    }

    /// The list as it was one lag ago; drops the older versions.
    fn delayed(&mut self, now: Instant) -> Vec<wire::ListedHost> {
        let is_old = |(since, _): &(Instant, _)| now.duration_since(*since) >= self.lag;
        let old = self.history.partition_point(is_old);
        if old == 0 {
            return Vec::new();
        }
        self.history.drain(..old - 1);
        self.history[0].1.clone()
    }
}
