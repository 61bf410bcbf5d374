//! Starts, cancels and shows version moves.

use actix_web::{HttpResponse, web};
use poplarvale_lib::moves::ask::Refusal;
use poplarvale_lib::protos::operator::{MoveAsk, MoveState};
use poplarvale_lib::{Code, ServiceId};

use super::Shared;
use crate::moves::{Cancel, Start, StateOf};
use crate::problem::Problem;

pub(super) async fn start(shared: web::Data<Shared>, body: web::Bytes) -> HttpResponse {
    let order: MoveAsk = match serde_json::from_slice(&body) {
        Ok(order) => order,
        Err(error) => {
            return Problem::new(Code::BadMove)
                .detail(error.to_string())
                .response();
        }
    };
    log::info!(
        "operators: an operator requests a version move of {} to {}.",
        order.service,
        order.to
    );
    respond(shared.moves.send(Start(order)).await)
}

pub(super) async fn cancel(shared: web::Data<Shared>, service: web::Path<String>) -> HttpResponse {
    log::info!("operators: an operator requests to cancel the version move of {service}.");
    respond(shared.moves.send(Cancel(id(&service))).await)
}

pub(super) async fn get(shared: web::Data<Shared>, service: web::Path<String>) -> HttpResponse {
    match shared.moves.send(StateOf(id(&service))).await {
        Ok(Some(state)) => HttpResponse::Ok().json(state),
        Ok(None) => Problem::new(Code::NoMove)
            .detail(service.as_str())
            .response(),
        Err(_) => Problem::new(Code::Internal).response(),
    }
}

fn id(service: &str) -> ServiceId {
    service.into()
}

fn respond(result: Result<Result<MoveState, Refusal>, actix::MailboxError>) -> HttpResponse {
    match result {
        Ok(Ok(state)) => HttpResponse::Ok().json(state),
        Ok(Err(refusal)) => Problem::new(refusal.code)
            .detail(refusal.reason.as_str())
            .response(),
        Err(_) => Problem::new(Code::Internal).response(),
    }
}
