//! HTTP stand-in for the cloud: hosts, offers, reclaim notices and lack of capacity.
//!
//! `GET /offers`, `GET /hosts`, `POST /hosts` (idempotent by its token) and
//! `DELETE /hosts/{id}`. A test sets offers and faults with `POST /orders`.

use std::io;
use std::net::TcpListener;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use actix_web::dev::Server;
use actix_web::web::{self, Json};
use actix_web::{App, HttpResponse, HttpServer};
use poplarvale_lib::protos::platform as wire;
use serde::{Deserialize, Serialize};

/// Offers and faults set by a test; an absent field leaves its setting unchanged.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Orders {
    /// Offers that replace the previous ones.
    pub offers: Option<Vec<wire::Offer>>,
    /// Pairs of class and zone without capacity, which replace the previous ones.
    pub refuse: Option<Vec<(String, String)>>,
    /// Time that a host takes to start, in milliseconds.
    pub start_ms: Option<u64>,
    /// Ids of the hosts to reclaim.
    pub reclaim: Vec<String>,
    /// Zones in which all reclaimable hosts are to be reclaimed.
    pub reclaim_zones: Vec<String>,
    /// Time between reclaim notice and reclaim, in milliseconds.
    pub notice_ms: u64,
}

#[derive(Debug)]
struct Host {
    info: wire::CloudHost,
    ready_at: Instant,
    reclaimed_at: Option<Instant>,
}

#[derive(Debug, Default)]
struct Cloud {
    hosts: Vec<Host>,
    /// Number of hosts started so far, so that ids are unique.
    started: u64,
    offers: Vec<wire::Offer>,
    refuse: Vec<(String, String)>,
    start: Duration,
}

type State = web::Data<Mutex<Cloud>>;

/// Serves on a listener until the server is stopped.
pub fn serve(listener: TcpListener) -> io::Result<Server> {
    let state = web::Data::new(Mutex::new(Cloud::default()));
    let app = move || {
        App::new()
            .app_data(State::clone(&state))
            .route("/offers", web::get().to(offers))
            .route("/hosts", web::get().to(hosts))
            .route("/hosts", web::post().to(start))
            .route("/hosts/{id}", web::delete().to(stop))
            .route("/orders", web::post().to(orders))
    };
    let server = HttpServer::new(app).workers(1).disable_signals();
    Ok(server.listen(listener)?.run())
}

fn with<T>(state: &State, act: impl FnOnce(&mut Cloud) -> T) -> T {
    act(&mut state.lock().unwrap_or_else(PoisonError::into_inner))
}

async fn offers(state: State) -> HttpResponse {
    let offers = with(&state, |cloud| cloud.offers.clone());
    HttpResponse::Ok().json(wire::Offers { offers })
}

async fn hosts(state: State) -> HttpResponse {
    let now = Instant::now();
    let hosts = with(&state, |cloud| {
        cloud.hosts.iter().map(|host| host_at(host, now)).collect()
    });
    HttpResponse::Ok().json(wire::CloudHosts { hosts })
}

async fn start(state: State, Json(request): Json<wire::StartHost>) -> HttpResponse {
    let now = Instant::now();
    let started = with(&state, |cloud| cloud.start(now, request));
    match started {
        Some(host) => HttpResponse::Ok().json(host),
        None => HttpResponse::ServiceUnavailable().body("no capacity"),
    }
}

async fn stop(state: State, id: web::Path<String>) -> HttpResponse {
    with(&state, |cloud| cloud.hosts.retain(|h| h.info.id != *id));
    HttpResponse::NoContent().finish()
}

async fn orders(state: State, Json(orders): Json<Orders>) -> HttpResponse {
    with(&state, |cloud| cloud.order(Instant::now(), orders));
    HttpResponse::NoContent().finish()
}

impl Cloud {
    fn start(&mut self, now: Instant, request: wire::StartHost) -> Option<wire::CloudHost> {
        let known = self.hosts.iter().find(|h| h.info.token == request.token);
        if let Some(host) = known {
            return Some(host_at(host, now));
        }
        let class_zone = (request.class.clone(), request.zone.clone());
        if self.refuse.contains(&class_zone) {
            return None;
        }
        self.started += 1;
        let info = wire::CloudHost {
            id: format!("host-{}", self.started),
            token: request.token,
            class: request.class,
            zone: request.zone,
            reclaimable: request.reclaimable,
            service: request.service,
            version: request.version,
            ..wire::CloudHost::default()
        };
        let host = Host {
            info,
            ready_at: now + self.start,
            reclaimed_at: None,
        };
        let answer = host_at(&host, now);
        self.hosts.push(host);
        Some(answer)
    }

    fn order(&mut self, now: Instant, orders: Orders) {
        self.offers = orders.offers.unwrap_or(std::mem::take(&mut self.offers));
        self.refuse = orders.refuse.unwrap_or(std::mem::take(&mut self.refuse));
        if let Some(ms) = orders.start_ms {
            self.start = Duration::from_millis(ms);
        }
        let gone = now + Duration::from_millis(orders.notice_ms);
        for host in &mut self.hosts {
            let named = orders.reclaim.contains(&host.info.id);
            let in_zone = host.info.reclaimable && orders.reclaim_zones.contains(&host.info.zone);
            if named || in_zone {
                host.reclaimed_at.get_or_insert(gone);
            }
        }
    }
}

/// A host as the cloud's API reports it at the time `now`.
fn host_at(host: &Host, now: Instant) -> wire::CloudHost {
    let left = host
        .reclaimed_at
        .map(|gone| gone.saturating_duration_since(now));
    let state = if left == Some(Duration::ZERO) {
        "reclaimed"
    } else if now < host.ready_at {
        "starting"
    } else {
        "running"
    };
    wire::CloudHost {
        state: state.into(),
        left_ms: left.map(|left| left.as_millis() as u64),
        ..host.info.clone()
    }
}
