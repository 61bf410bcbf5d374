//! Dumps the tables of the core, for diagnosis.

use actix_web::{HttpResponse, web};
use poplarvale_lib::Code;
use serde_json::{Map, Value};

use super::Shared;
use crate::core::{DumpTable, GetTables};
use crate::problem::Problem;

pub(super) async fn tables(shared: web::Data<Shared>) -> HttpResponse {
    match shared.core.send(GetTables).await {
        Ok(tables) => HttpResponse::Ok().json(tables),
        Err(_) => Problem::new(Code::Internal).response(),
    }
}

pub(super) async fn table(shared: web::Data<Shared>, table: web::Path<String>) -> HttpResponse {
    match rows(&shared, &table).await {
        Ok(rows) => HttpResponse::Ok().json(rows.into_iter().collect::<Map<String, Value>>()),
        Err(problem) => problem.response(),
    }
}

pub(super) async fn row(
    shared: web::Data<Shared>,
    path: web::Path<(String, String)>,
) -> HttpResponse {
    let (table, id) = path.into_inner();
    let rows = match rows(&shared, &table).await {
        Ok(rows) => rows,
        Err(problem) => return problem.response(),
    };
    match rows.into_iter().find(|(row, _)| *row == id) {
        Some((_, row)) => HttpResponse::Ok().json(row),
        None => Problem::new(Code::NoTable)
            .detail(format!("{table}/{id}"))
            .response(),
    }
}

async fn rows(shared: &Shared, table: &str) -> Result<Vec<(String, Value)>, Problem> {
    let dump = shared.core.send(DumpTable(table.to_owned())).await;
    dump.map_err(|_closed| Problem::new(Code::Internal))?
        .ok_or_else(|| Problem::new(Code::NoTable).detail(table))
}
