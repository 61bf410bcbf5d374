//! Runs the model engine's stand-in as a program.

use std::net::SocketAddr;

use testutils::engine::{Engine, EngineSpeed};
use testutils::serve::serve;

mod flags {
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Model engine for tests.
        cmd engine {
            /// Address to listen at; port 0 picks one.
            optional --listen address: SocketAddr
            /// Version it runs.
            optional --version version: String
            /// Microseconds a token takes.
            optional --token-us micros: u64
            /// Tokens of KV cache it gives out a second.
            optional --export rate: u32
            /// Takes no KV cache in.
            optional --no-import
            /// Ignores old fencing numbers.
            optional --unfenced
        }
    }
}

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let flags = flags::Engine::from_env_or_exit();
    let listen = flags
        .listen
        .unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
    let mut speed = EngineSpeed::default();
    if let Some(micros) = flags.token_us {
        speed.token_us = micros;
    }
    if let Some(rate) = flags.export {
        speed.export = rate;
    }
    speed.import = !flags.no_import;
    let version = flags.version.unwrap_or_else(|| "v1".to_owned());
    let engine = Engine::new(speed, &version, !flags.unfenced);
    serve(listen, move |config| engine.routes(config)).await
}
