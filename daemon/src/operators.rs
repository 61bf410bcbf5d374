//! HTTP interface for operators. All its routes require the operators' token.

mod dump;
mod lists;
mod moves;
mod status;
mod token;

use std::sync::Arc;

use actix::Addr;
use actix_web::middleware::from_fn;
use actix_web::web;

use crate::config::Config;
use crate::core::Core;
use crate::fleet::Fleet;
use crate::metrics::Metrics;
use crate::moves::Moves;
use crate::peers::Token;

/// State shared by the request handlers.
#[derive(Clone)]
pub struct Shared {
    pub(crate) core: Addr<Core>,
    pub(crate) config: Option<Addr<Config>>,
    pub(crate) fleet: Addr<Fleet>,
    pub(crate) moves: Addr<Moves>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) token: Token,
}

impl std::fmt::Debug for Shared {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Shared").finish_non_exhaustive()
    }
}

/// Registers the routes of the operators' port.
pub fn routes(config: &mut web::ServiceConfig) {
    let guarded = web::scope("")
        .wrap(from_fn(token::check))
        .route("/metrics", web::get().to(status::metrics))
        .route("/status", web::get().to(status::get))
        .route("/lists", web::get().to(lists::get))
        .route("/lists", web::put().to(lists::put))
        .route("/lists/spread/{revision}", web::get().to(lists::spread))
        .route("/moves", web::post().to(moves::start))
        .route("/moves/{service}", web::get().to(moves::get))
        .route("/moves/{service}", web::delete().to(moves::cancel))
        .route("/dump", web::get().to(dump::tables))
        .route("/dump/{table}", web::get().to(dump::table))
        .route("/dump/{table}/{id}", web::get().to(dump::row));
    config.service(guarded);
}
