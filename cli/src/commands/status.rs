//! `poplarvale status`: prints a summary of a daemon's state.

use poplarvale_lib::protos::operator::Status;

use super::print;
use crate::client::Client;
use crate::failure::Failure;

pub(super) async fn run(client: &Client, json: bool) -> Result<(), Failure> {
    let value = client.get("/status").await?;
    if json {
        print(&value);
        return Ok(());
    }
    let status: Status =
        serde_json::from_value(value).map_err(|error| Failure::InvalidAnswer(error.to_string()))?;
    print_summary(&status);
    Ok(())
}

fn print_summary(status: &Status) {
    println!(
        "daemon     {} in {} ({})",
        status.incarnation, status.zone, status.region
    );
    let state = if status.draining {
        "shutting down"
    } else {
        "serving"
    };
    println!("state      {state}");
    println!("lists      revision {}", status.revision);
    println!("customers  {} on {} plans", status.customers, status.plans);
    println!(
        "endpoints  {}, {} leaving",
        status.endpoints, status.leaving
    );
    println!(
        "requests   {} waiting, {} running",
        status.waiting, status.running
    );
}
