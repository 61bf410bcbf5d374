//! HTTP stand-in for the weight store; all readers together share one transfer rate.
//!
//! `GET /weights` lists the models, `GET /weights/{model}` sends the bytes, and
//! `POST /orders` sets the models and the rate.

use std::io;
use std::net::TcpListener;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use actix_web::dev::Server;
use actix_web::web::{self, Bytes, Json};
use actix_web::{App, HttpResponse, HttpServer};
use futures::stream;
use poplarvale_lib::protos::platform as wire;
use serde::{Deserialize, Serialize};

/// Largest chunk of a response in bytes.
const CHUNK: u64 = 64 << 10;

/// Contents and transfer rate of the store, set by a test.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Orders {
    /// Bytes per second over all readers; 0 for no limit.
    pub rate: u64,
    /// Models with their sizes.
    pub weights: Vec<wire::Weights>,
}

#[derive(Debug, Default)]
struct Weights {
    orders: Orders,
    /// Earliest time of the next chunk to any reader.
    next: Option<Instant>,
}

type State = web::Data<Mutex<Weights>>;

/// Serves on a listener until the server is stopped.
pub fn serve(listener: TcpListener) -> io::Result<Server> {
    let state = web::Data::new(Mutex::new(Weights::default()));
    let app = move || {
        App::new()
            .app_data(State::clone(&state))
            .route("/weights", web::get().to(list))
            .route("/weights/{model}", web::get().to(read))
            .route("/orders", web::post().to(orders))
    };
    let server = HttpServer::new(app).workers(1).disable_signals();
    Ok(server.listen(listener)?.run())
}

fn with<T>(state: &State, act: impl FnOnce(&mut Weights) -> T) -> T {
    act(&mut state.lock().unwrap_or_else(PoisonError::into_inner))
}

async fn list(state: State) -> HttpResponse {
    let weights = with(&state, |store| store.orders.weights.clone());
    HttpResponse::Ok().json(wire::WeightList { weights })
}

async fn orders(state: State, Json(orders): Json<Orders>) -> HttpResponse {
    with(&state, |store| store.orders = orders);
    HttpResponse::NoContent().finish()
}

async fn read(state: State, model: web::Path<String>) -> HttpResponse {
    let found = with(&state, |store| {
        let mut weights = store.orders.weights.iter();
        weights.find(|w| w.model == *model).map(|w| w.bytes)
    });
    let Some(bytes) = found else {
        return HttpResponse::NotFound().finish();
    };
    HttpResponse::Ok().streaming(stream::unfold((state, bytes), next_chunk))
}

async fn next_chunk(
    (state, left): (State, u64),
) -> Option<(Result<Bytes, io::Error>, (State, u64))> {
    if left == 0 {
        return None;
    }
    let size = left.min(CHUNK);
    let at = with(&state, |store| store.reserve(Instant::now(), size));
    actix_web::rt::time::sleep(at.saturating_duration_since(Instant::now())).await;
    let chunk = Bytes::from(vec![0; size as usize]);
    Some((Ok(chunk), (state, left - size)))
}

impl Weights {
    /// Reserves the time at which a chunk may be sent; the chunks of all readers share one queue.
    fn reserve(&mut self, now: Instant, size: u64) -> Instant {
        let at = self.next.map_or(now, |next| next.max(now));
        if self.orders.rate > 0 {
            let time = Duration::from_secs_f64(size as f64 / self.orders.rate as f64);
            self.next = Some(at + time);
        }
        at
    }
}
