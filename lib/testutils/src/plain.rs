//! Stand-in for a plain service: a booking application.
//!
//! It counts how often each booking ran, so that a test can check that none ran twice.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_web::{HttpResponse, web};
use serde::{Deserialize, Serialize};
use serde_json::json;

/// Faults, set with `POST /faults`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Time that each call takes in milliseconds.
    pub slow_ms: u64,
    /// Number of coming bookings that run but get no answer.
    pub mute: u32,
    /// Breaks the connection during each answer.
    pub cut: bool,
    /// Answers all bookings with this status, without running them.
    pub status: Option<u16>,
}

/// How often a booking ran.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Count {
    /// Id of the booking.
    pub id: String,
    /// Number of times that it ran.
    pub ran: u32,
}

#[derive(Debug, Default)]
struct State {
    counts: Vec<Count>,
    faults: Faults,
}

/// A booking application.
#[derive(Clone, Debug, Default)]
pub struct Plain {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Deserialize)]
struct Booking {
    id: String,
}

impl Plain {
    /// Creates an application without bookings and faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers the HTTP routes of the application.
    pub fn routes(&self, config: &mut web::ServiceConfig) {
        config
            .app_data(web::Data::new(self.clone()))
            .route("/faults", web::post().to(set_faults))
            .route("/counts", web::get().to(counts))
            .route("/bookings", web::post().to(book))
            .route("/bookings/{id}", web::get().to(status));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs a booking; returns how often it has run, including this time.
    fn run(&self, id: &str) -> u32 {
        let counts = &mut self.lock().counts;
        match counts.binary_search_by(|c| c.id.as_str().cmp(id)) {
            Ok(at) => {
                counts[at].ran += 1;
                counts[at].ran
            }
            Err(at) => {
                counts.insert(
                    at,
                    Count {
                        id: id.to_owned(),
                        ran: 1,
                    },
                );
                1
            }
        }
    }

    /// Whether this booking gets no answer; counts it down from `mute`.
    fn take_mute(&self) -> bool {
        let faults = &mut self.lock().faults;
        let mute = faults.mute > 0;
        faults.mute = faults.mute.saturating_sub(1);
        mute
    }
}

async fn set_faults(plain: web::Data<Plain>, faults: web::Json<Faults>) -> HttpResponse {
    plain.lock().faults = faults.into_inner();
    HttpResponse::NoContent().finish()
}

async fn counts(plain: web::Data<Plain>) -> HttpResponse {
    let counts = plain.lock().counts.clone();
    HttpResponse::Ok().json(counts)
}

async fn book(plain: web::Data<Plain>, booking: web::Json<Booking>) -> HttpResponse {
    let faults = plain.lock().faults.clone();
    if let Some(status) = faults
        .status
        .and_then(|s| actix_web::http::StatusCode::from_u16(s).ok())
    {
        return HttpResponse::build(status).json(json!({"booking": booking.id, "ran": 0}));
    }
    let ran = plain.run(&booking.id);
    tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    if plain.take_mute() {
        std::future::pending::<()>().await;
    }
    if faults.cut {
        return broken_response();
    }
    HttpResponse::Created().json(json!({"booking": booking.id, "ran": ran}))
}

/// A chunked response that breaks off after the first chunk.
fn broken_response() -> HttpResponse {
    let half = Ok(web::Bytes::from_static(b"{\"booking\": "));
    let parts = [half, Err(std::io::Error::other("ordered"))];
    HttpResponse::Ok().streaming(futures::stream::iter(parts))
}

async fn status(plain: web::Data<Plain>, id: web::Path<String>) -> HttpResponse {
    let faults = plain.lock().faults.clone();
    tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    if faults.cut {
        return broken_response();
    }
    let state = plain.lock();
    match state.counts.binary_search_by(|c| c.id.as_str().cmp(&id)) {
        Ok(at) => HttpResponse::Ok().json(&state.counts[at]),
        Err(_) => HttpResponse::NotFound().json(json!({"booking": id.as_str(), "ran": 0})),
    }
}
