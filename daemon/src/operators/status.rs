//! Status summary and metrics page.

use actix_web::{HttpResponse, web};
use poplarvale_lib::Code;

use super::Shared;
use crate::core::GetStatus;
use crate::problem::Problem;

pub(super) async fn get(shared: web::Data<Shared>) -> HttpResponse {
    match shared.core.send(GetStatus).await {
        Ok(status) => HttpResponse::Ok().json(status),
        Err(_) => Problem::new(Code::Internal).response(),
    }
}

pub(super) async fn metrics(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(shared.metrics.page())
}
