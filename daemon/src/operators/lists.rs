//! Reads and edits the two lists: customers and plans.

use actix_web::{HttpRequest, HttpResponse, web};
use compact_str::format_compact;
use poplarvale_lib::config::{Difference, Proposal, Verdict};
use poplarvale_lib::protos::operator;
use poplarvale_lib::{Accepted, Code, Revision, ValidationError};

use super::Shared;
use crate::config::Edit;
use crate::core::{GetLists, GetStatus, PutError, PutLists};
use crate::fleet::GetSpread;
use crate::problem::Problem;

pub(super) async fn get(shared: web::Data<Shared>) -> HttpResponse {
    match shared.core.send(GetLists).await {
        Ok(lists) => HttpResponse::Ok().json(lists),
        Err(_) => Problem::new(Code::Internal).response(),
    }
}

/// Accepts an edit; its revision is the one on which the edit is based. An `Idempotency-Key`
/// identifies the edit, so that it can be retried after a lost answer.
pub(super) async fn put(
    shared: web::Data<Shared>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    let edit: Accepted = match serde_json::from_slice(&body) {
        Ok(edit) => edit,
        Err(error) => {
            return Problem::new(Code::BadLists)
                .detail(error.to_string())
                .response();
        }
    };
    match accept(&shared, &request, edit).await {
        Ok(revision) => {
            log::info!("operators: lists accepted at revision {revision}.");
            HttpResponse::Ok().json(operator::Put { revision })
        }
        Err(problem) => problem.response(),
    }
}

async fn accept(
    shared: &Shared,
    request: &HttpRequest,
    edit: Accepted,
) -> Result<Revision, Problem> {
    let internal = || Problem::new(Code::Internal);
    let Some(config) = &shared.config else {
        let put = PutLists {
            base: edit.revision,
            lists: edit.lists,
        };
        let put = shared.core.send(put).await.map_err(|_closed| internal())?;
        return put.map_err(put_problem);
    };
    let named = request.headers().get("idempotency-key");
    let id = match named.and_then(|id| id.to_str().ok()) {
        Some(id) => id.into(),
        None => format_compact!("{:032x}", fastrand::u128(..)),
    };
    let proposal = Proposal {
        id,
        base: edit.revision,
        lists: edit.lists,
    };
    let verdict = config.send(Edit(proposal)).await;
    verdict_result(verdict.map_err(|_closed| internal())?)
}

/// Reports how many of the live daemons have a revision.
pub(super) async fn spread(
    shared: web::Data<Shared>,
    revision: web::Path<Revision>,
) -> HttpResponse {
    let revision = *revision;
    let others = shared.fleet.send(GetSpread(revision)).await;
    let own = shared.core.send(GetStatus).await;
    let (Ok(others), Ok(own)) = (others, own) else {
        return Problem::new(Code::Internal).response();
    };
    HttpResponse::Ok().json(operator::Spread {
        revision,
        live: others.live + 1,
        reached: others.reached + u32::from(own.revision >= revision),
    })
}

fn verdict_result(verdict: Verdict) -> Result<Revision, Problem> {
    match verdict {
        Verdict::Accepted(revision) => Ok(revision),
        Verdict::Conflict {
            base,
            revision,
            difference,
        } => {
            let head = format!("edited was revision {base}, in force is {revision}");
            let what = difference.map_or_else(String::new, |d| describe(&d));
            Err(Problem::new(Code::Conflict).detail(head + &what))
        }
        Verdict::Invalid(errors) => Err(Problem::new(Code::BadLists).detail(join_errors(&errors))),
        Verdict::NotDone => Err(Problem::new(Code::StoreOut).detail("the edit was not accepted")),
        Verdict::Unknown => {
            let mut problem = Problem::new(Code::StoreOut);
            problem.ran = poplarvale_lib::Ran::Unknown;
            Err(problem.detail("the edit may have been accepted: read the lists"))
        }
    }
}

fn put_problem(error: PutError) -> Problem {
    match error {
        PutError::Invalid(errors) => Problem::new(Code::BadLists).detail(join_errors(&errors)),
        PutError::Conflict { .. } => Problem::new(Code::Conflict).detail(error.to_string()),
    }
}

/// Changes of another edit, one line for each kind of change.
fn describe(difference: &Difference) -> String {
    let Difference { customers, plans } = difference;
    let kinds = [
        ("customers added", &customers.added),
        ("customers removed", &customers.removed),
        ("customers changed", &customers.changed),
        ("plans added", &plans.added),
        ("plans removed", &plans.removed),
        ("plans changed", &plans.changed),
    ];
    let mut text = String::new();
    for (kind, ids) in kinds.iter().filter(|(_, ids)| !ids.is_empty()) {
        text.push('\n');
        text.push_str(kind);
        text.push_str(": ");
        text.push_str(&ids.join(", "));
    }
    text
}

fn join_errors(errors: &[ValidationError]) -> String {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
