//! Runs a stand-in as a separate program.

use std::io;
use std::net::TcpListener;

use actix_web::dev::Server;

use flags::StandIn;

#[allow(missing_docs, reason = "generated")]
mod flags {
    xflags::xflags! {
        /// Runs a stand-in of the platform until it is killed.
        cmd stand-in {
            /// Address to listen on; port 0 lets one be drawn.
            optional --listen address: String
        }
    }
}

/// Prints `listening ADDRESS` as the first line, then serves until the process is killed.
pub fn run(serve: impl FnOnce(TcpListener) -> io::Result<Server>) -> io::Result<()> {
    let flags = StandIn::from_env_or_exit();
    let listen = flags.listen.unwrap_or_else(|| "127.0.0.1:0".to_owned());
    let listener = TcpListener::bind(listen)?;
    println!("listening {}", listener.local_addr()?);
    actix_web::rt::System::new().block_on(async { serve(listener)?.await })
}
