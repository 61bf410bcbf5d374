//! `poplarvale lists get|check|put|digest`: reads, checks and replaces the lists of customers and
//! plans.

use std::path::Path;
use std::time::{Duration, Instant};

use poplarvale_lib::protos::operator::Spread;
use poplarvale_lib::{Accepted, Code, keys};
use serde_json::Value;

use super::{print, read};
use crate::client::{Client, POLL_INTERVAL};
use crate::failure::Failure;

/// Timeout of `put --wait`. Accepted lists are in force on all daemons within 17 s, unless some
/// daemons are partitioned.
const SPREAD_TIMEOUT: Duration = Duration::from_mins(1);

pub(super) async fn get(client: &Client) -> Result<(), Failure> {
    print(&client.get("/lists").await?);
    Ok(())
}

pub(super) fn check(file: &Path) -> Result<(), Failure> {
    parse(&read(file)?)?;
    println!("{}: lists are fine", file.display());
    Ok(())
}

pub(super) async fn put(
    client: &Client,
    file: &Path,
    wait: bool,
    json: bool,
) -> Result<(), Failure> {
    let text = read(file)?;
    parse(&text)?;
    let answer = client.put("/lists", text).await?;
    if !json {
        println!("lists accepted at revision {}", answer["revision"]);
    } else if !wait {
        print(&answer);
    }
    if wait {
        return wait_in_force(client, &answer["revision"], json).await;
    }
    Ok(())
}

/// Waits until a revision of the lists is in force on all live daemons.
async fn wait_in_force(client: &Client, revision: &Value, json: bool) -> Result<(), Failure> {
    let deadline = Instant::now() + SPREAD_TIMEOUT;
    loop {
        let value = client.get(&format!("/lists/spread/{revision}")).await?;
        let spread: Spread = serde_json::from_value(value.clone())
            .map_err(|error| Failure::InvalidAnswer(error.to_string()))?;
        let text = format!(
            "in force on {} of {} live daemons",
            spread.reached, spread.live
        );
        if spread.reached >= spread.live {
            if json {
                print(&value);
            } else {
                println!("{text}");
            }
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(Failure::NotInForce(text));
        }
        actix_web::rt::time::sleep(POLL_INTERVAL).await;
    }
}

pub(super) fn digest(key: &str) {
    println!("{}", keys::digest(key));
}

fn parse(text: &str) -> Result<(), Failure> {
    let number = Code::BadLists.number();
    let edit: Accepted =
        serde_json::from_str(text).map_err(|error| Failure::Input(format!("{number}: {error}")))?;
    let errors = edit.lists.check();
    if errors.is_empty() {
        return Ok(());
    }
    let lines: Vec<String> = errors
        .iter()
        .map(|error| format!("{number}: {error}"))
        .collect();
    Err(Failure::Input(lines.join("\n")))
}
