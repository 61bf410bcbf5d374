//! The tables of a process as JSON, for debugging by operators.
//!
//! Points in time are written as milliseconds relative to now, since a monotonic clock
//! has no meaning outside its process.

use std::time::Instant;

use serde_json::{Value, json};

use crate::endpoint::Endpoint;
use crate::ids::hex;
use crate::request::{Order, Request, Running};
use crate::systems::allowance::Allowance;
use crate::table::{Row, Table};
use crate::world::World;

/// Names of the tables that can be dumped.
pub const TABLES: [&str; 6] = [
    "allowances",
    "customers",
    "endpoints",
    "plans",
    "requests",
    "services",
];

impl World {
    /// Rows of one table with their ids; none if there is no such table.
    pub fn dump(&self, table: &str, now: Instant) -> Option<Vec<(String, Value)>> {
        let rows = match table {
            "allowances" => rows(&self.allowances, |a| allowance(a, now)),
            "customers" => rows(&self.customers, plain),
            "endpoints" => rows(&self.endpoints, |e| self.endpoint(e, now)),
            "plans" => rows(&self.plans, plain),
            "requests" => self
                .requests
                .iter()
                .map(|r| (hex(*r.id()).to_string(), request(r, now)))
                .collect(),
            "services" => rows(&self.services, plain),
            _ => return None,
        };
        Some(rows)
    }

    fn endpoint(&self, row: &Endpoint, now: Instant) -> Value {
        let mut value = endpoint(row, now);
        if let Some(info) = self.routing.get(&row.id) {
            let report = info.load.last_report();
            value["load"] = json!({
                "running": report.running,
                "slots": report.slots,
                "pending": info.load.pending(now),
                "export": report.export,
                "age_ms": -millis(report.at, now),
                "blocks": info.cache.len(),
            });
        }
        value
    }
}

fn rows<R>(table: &Table<R>, show: impl Fn(&R) -> Value) -> Vec<(String, Value)>
where
    R: Row,
    R::Id: ToString,
{
    table
        .iter()
        .map(|row| (row.id().to_string(), show(row)))
        .collect()
}

fn plain<R: serde::Serialize>(row: &R) -> Value {
    serde_json::to_value(row).unwrap_or(Value::Null)
}

/// Milliseconds relative to now; negative for times in the past.
fn millis(at: Instant, now: Instant) -> i64 {
    match at.checked_duration_since(now) {
        Some(ahead) => ahead.as_millis() as i64,
        None => -(now.duration_since(at).as_millis() as i64),
    }
}

fn allowance(row: &Allowance, now: Instant) -> Value {
    json!({
        "customer": row.customer,
        "requests": row.requests,
        "tokens": row.tokens,
        "running": row.running,
        "filled_ms": millis(row.filled, now),
    })
}

fn endpoint(row: &Endpoint, now: Instant) -> Value {
    json!({
        "id": row.id,
        "service": row.service,
        "zone": row.zone,
        "address": row.address,
        "version": row.version,
        "running": row.running,
        "leaving_ms": row.leaving.map(|at| millis(at, now)),
        "shunned_ms": row.ejected_until.map(|at| millis(at, now)),
        "failures": row.failures,
    })
}

fn request(row: &Request, now: Instant) -> Value {
    let mut value = order(row.order(), now);
    let state = match row {
        Request::Waiting(r) => json!({
            "state": "waiting", "tries": r.tries, "delivered": r.delivered, "failed": r.failed,
        }),
        Request::Idempotent(r) => running(r, now),
        Request::NonIdempotent(r) => running(r, now),
    };
    if let (Value::Object(all), Value::Object(state)) = (&mut value, state) {
        all.extend(state);
    }
    value
}

fn order(order: &Order, now: Instant) -> Value {
    json!({
        "id": hex(order.id),
        "customer": order.customer,
        "service": order.service,
        "route": order.route,
        "repeatable": order.idempotent,
        "prompt": order.prompt,
        "answer": order.answer,
        "arrived_ms": millis(order.arrived, now),
        "deadline_ms": millis(order.deadline, now),
    })
}

fn running<K>(row: &Running<K>, now: Instant) -> Value {
    json!({
        "state": "running",
        "attempt": hex(row.attempt),
        "endpoint": row.endpoint,
        "version": row.version,
        "sent_ms": millis(row.sent, now),
        "first_ms": row.first.map(|at| millis(at, now)),
        "delivered": row.delivered,
        "tries": row.tries,
        "failed": row.failed,
    })
}
