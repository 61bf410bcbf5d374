//! `poplarvale`, the command-line client for operators.

mod client;
mod commands;
mod failure;
mod flags;

use std::process::ExitCode;

use failure::Failure;

#[actix_web::main]
async fn main() -> ExitCode {
    let flags = flags::Poplarvale::from_env_or_exit();
    let json = flags.json;
    match commands::run(flags).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => report(&failure, json),
    }
}

fn report(failure: &Failure, json: bool) -> ExitCode {
    if json {
        println!("{}", failure.json());
    } else {
        eprintln!("{failure}");
    }
    failure.exit_code()
}
