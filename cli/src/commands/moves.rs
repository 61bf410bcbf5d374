//! `poplarvale move start|status|wait|cancel`: controls the version moves of a service.

use poplarvale_lib::protos::operator::{MoveAsk, MoveState};

use super::print;
use crate::client::{Client, POLL_INTERVAL};
use crate::failure::Failure;
use crate::flags::{Move, MoveAction};

pub(super) async fn run(client: &Client, args: &Move, json: bool) -> Result<(), Failure> {
    let path = format!("/moves/{}", args.service);
    match args.action {
        MoveAction::Start => start(client, args, json).await,
        MoveAction::Status => print_state(&decode(client.get(&path).await?)?, json),
        MoveAction::Cancel => print_state(&decode(client.delete(&path).await?)?, json),
        MoveAction::Wait => wait(client, &path, json).await,
    }
}

async fn start(client: &Client, args: &Move, json: bool) -> Result<(), Failure> {
    let missing = |flag: &str| Failure::Input(format!("move start needs --{flag}"));
    let request = MoveAsk {
        id: format!("{:032x}", fastrand::u128(..)),
        service: args.service.clone(),
        to: args.to.clone().ok_or_else(|| missing("to"))?,
        within_s: args.within.ok_or_else(|| missing("within"))?,
    };
    let body =
        serde_json::to_string(&request).map_err(|error| Failure::Input(error.to_string()))?;
    print_state(&decode(client.post("/moves", body).await?)?, json)
}

/// Waits until a move ends. A move that was rolled back or cancelled is a failure, with its reason.
async fn wait(client: &Client, path: &str, json: bool) -> Result<(), Failure> {
    loop {
        let state = decode(client.get(path).await?)?;
        if state.ended && state.state == "done" {
            return print_state(&state, json);
        }
        if state.ended {
            return Err(Failure::MoveNotDone(state.text));
        }
        actix_web::rt::time::sleep(POLL_INTERVAL).await;
    }
}

fn decode(value: serde_json::Value) -> Result<MoveState, Failure> {
    serde_json::from_value(value).map_err(|error| Failure::InvalidAnswer(error.to_string()))
}

fn print_state(state: &MoveState, json: bool) -> Result<(), Failure> {
    if json {
        print(
            &serde_json::to_value(state)
                .map_err(|error| Failure::InvalidAnswer(error.to_string()))?,
        );
    } else {
        println!("{}", state.text);
    }
    Ok(())
}
