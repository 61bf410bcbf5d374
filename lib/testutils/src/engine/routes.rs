//! HTTP API of an engine.

use std::time::{Duration, Instant};

use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, Responder, web};
use actix_web_lab::sse;
use poplarvale_lib::protos::platform::EngineLoad;
use poplarvale_lib::routing::BLOCK_TOKENS;
use serde::Deserialize;
use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::faults::Faults;
use super::state::{Engine, EngineSpeed, Order, State};
use super::stream::{Job, run};

/// Bytes of a prompt block; engines and daemons must use the same size.
const BLOCK_BYTES: usize = 256;
/// Length of an answer in tokens if the request sets none.
const DEFAULT_TOKENS: u32 = 16;
/// Events buffered for a slow reader before the stream waits for it.
const EVENT_BUFFER: usize = 64;

impl Engine {
    /// Registers the HTTP routes of the engine.
    pub fn routes(&self, config: &mut web::ServiceConfig) {
        config
            .app_data(web::Data::new(self.clone()))
            .route("/v1/chat/completions", web::post().to(chat))
            .route("/v1/completions", web::post().to(text))
            .route("/attempts/{attempt}", web::delete().to(cancel))
            .route("/load", web::get().to(load))
            .route("/counts", web::get().to(counts))
            .route("/cache/events", web::get().to(cache_events))
            .route("/kv/export", web::post().to(export))
            .route("/kv/import", web::post().to(import))
            .route("/orders", web::get().to(get_order))
            .route("/orders", web::post().to(put_order))
            .route("/faults", web::post().to(set_faults));
    }
}

async fn chat(
    engine: web::Data<Engine>,
    request: HttpRequest,
    body: web::Json<Value>,
) -> HttpResponse {
    complete(&engine, &request, &body, true)
}

async fn text(
    engine: web::Data<Engine>,
    request: HttpRequest,
    body: web::Json<Value>,
) -> HttpResponse {
    complete(&engine, &request, &body, false)
}

fn complete(engine: &Engine, request: &HttpRequest, body: &Value, chat: bool) -> HttpResponse {
    let status = engine.lock().faults.status;
    if let Some(status) = status.and_then(|s| StatusCode::from_u16(s).ok()) {
        return HttpResponse::build(status).json(json!({"error": "ordered"}));
    }
    let job = job(request, body, chat);
    let (out, events) = tokio::sync::mpsc::channel(EVENT_BUFFER);
    actix_web::rt::spawn(run(engine.clone(), job, out));
    sse::Sse::from_infallible_receiver(events)
        .respond_to(request)
        .map_into_boxed_body()
}

fn job(request: &HttpRequest, body: &Value, chat: bool) -> Job {
    let prompt = &body[if chat { "messages" } else { "prompt" }];
    let prompt = prompt.to_string();
    let count = body["max_tokens"]
        .as_u64()
        .unwrap_or(u64::from(DEFAULT_TOKENS));
    Job {
        attempt: header(request, "x-attempt-id").unwrap_or_default(),
        prefix_hashes: prefix_hashes(prompt.as_bytes()),
        prompt,
        model: body["model"].as_str().unwrap_or_default().to_owned(),
        chat,
        from: number(request, "x-resume-from"),
        count: count as u32,
        priority: number(request, "x-priority") as u8,
    }
}

fn header(request: &HttpRequest, name: &str) -> Option<String> {
    Some(request.headers().get(name)?.to_str().ok()?.to_owned())
}

fn number(request: &HttpRequest, name: &str) -> u32 {
    header(request, name)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

fn prefix_hashes(prompt: &[u8]) -> Vec<u64> {
    let mut hash = 0;
    let mut prefix_hashes = Vec::new();
    for block in prompt.chunks_exact(BLOCK_BYTES) {
        hash = xxh3_64_with_seed(block, hash);
        prefix_hashes.push(hash);
    }
    prefix_hashes
}

async fn cancel(engine: web::Data<Engine>, attempt: web::Path<String>) -> HttpResponse {
    engine.lock().cancelled.push(attempt.into_inner());
    HttpResponse::NoContent().finish()
}

/// Returns the load as it was when the last report was due.
async fn load(engine: web::Data<Engine>) -> HttpResponse {
    let mut state = engine.lock();
    let now = Instant::now();
    if now >= state.report_due {
        state.reported = state.counts.clone();
        state.measured = now;
        state.report_due = now + Duration::from_millis(state.faults.lag_ms);
    }
    HttpResponse::Ok().json(report(&state, &engine.speed, now))
}

fn report(state: &State, speed: &EngineSpeed, now: Instant) -> EngineLoad {
    let token_us = speed.token_us + state.faults.slow_ms * 1_000;
    let age = now.duration_since(state.measured);
    EngineLoad {
        epoch: state.epoch,
        age_ms: age.as_millis() as u32,
        running: state.reported.running as u32,
        waiting: state.reported.waiting as u32,
        pending: state.reported.pending as u32,
        slots: speed.slots as u32,
        prefill: rate(u64::from(BLOCK_TOKENS), speed.block_us),
        decode: rate(1, token_us),
        export: speed.export,
    }
}

/// Rate per second of an amount that takes this many microseconds.
fn rate(amount: u64, micros: u64) -> u32 {
    (amount * 1_000_000 / micros.max(1)) as u32
}

async fn counts(engine: web::Data<Engine>) -> HttpResponse {
    let counts = engine.lock().counts.clone();
    HttpResponse::Ok().json(counts)
}

#[derive(Debug, Deserialize)]
struct EventsQuery {
    #[serde(default)]
    after: u64,
}

async fn cache_events(engine: web::Data<Engine>, query: web::Query<EventsQuery>) -> HttpResponse {
    let events = engine.lock().cache.events(query.after);
    HttpResponse::Ok().json(events)
}

/// Returns the leading requested blocks that are cached.
async fn export(engine: web::Data<Engine>, blocks: web::Json<Vec<u64>>) -> HttpResponse {
    let hit = engine.lock().cache.hit(&blocks);
    HttpResponse::Ok().json(&blocks[..hit])
}

async fn import(engine: web::Data<Engine>, blocks: web::Json<Vec<u64>>) -> HttpResponse {
    if !engine.speed.import {
        return HttpResponse::InsufficientStorage().finish();
    }
    let mut state = engine.lock();
    let mut missing = state.faults.missing;
    state.cache.insert(&blocks, &mut missing);
    state.faults.missing = missing;
    HttpResponse::NoContent().finish()
}

async fn get_order(engine: web::Data<Engine>) -> HttpResponse {
    let order = engine.lock().order.clone();
    HttpResponse::Ok().json(order)
}

async fn put_order(engine: web::Data<Engine>, order: web::Json<Order>) -> HttpResponse {
    let mut state = engine.lock();
    if engine.checks_fence && order.fence < state.order.fence {
        return HttpResponse::Conflict().json(&state.order);
    }
    state.order = order.into_inner();
    HttpResponse::Ok().json(&state.order)
}

async fn set_faults(engine: web::Data<Engine>, faults: web::Json<Faults>) -> HttpResponse {
    engine.lock().faults = faults.into_inner();
    HttpResponse::NoContent().finish()
}
