//! Issues idempotency keys.

use actix_web::{HttpRequest, HttpResponse, web};
use poplarvale_lib::Code;
use poplarvale_lib::protos::caller::IssuedKey;

use super::{Shared, api_key};
use crate::claims::IssueKey;
use crate::core::Authenticate;
use crate::problem::Problem;

/// Issues a key under which a request runs at most once, even while the platform's key-value
/// service is unavailable.
pub(super) async fn issue(shared: web::Data<Shared>, request: HttpRequest) -> HttpResponse {
    match key(&shared, &request).await {
        Ok(key) => HttpResponse::Created().json(IssuedKey { key }),
        Err(problem) => problem.response(),
    }
}

async fn key(shared: &Shared, request: &HttpRequest) -> Result<String, Problem> {
    let key = api_key(request).ok_or_else(|| Problem::new(Code::NoCustomer))?;
    let internal = || Problem::new(Code::Internal);
    let customer = shared.core.send(Authenticate(key)).await;
    let customer = customer
        .map_err(|_closed| internal())?
        .map_err(Problem::new)?;
    let issued = shared.claims.send(IssueKey(customer)).await;
    let issued = issued.map_err(|_closed| internal())?;
    let issued = issued.ok_or_else(|| Problem::new(Code::Draining))?;
    Ok(issued.text().into())
}
