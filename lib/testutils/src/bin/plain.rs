//! Runs the booking application's stand-in as a program.

use std::net::SocketAddr;

use testutils::plain::Plain;
use testutils::serve::serve;

mod flags {
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Booking application for tests.
        cmd plain {
            /// Address to listen at; port 0 picks one.
            optional --listen address: SocketAddr
        }
    }
}

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let flags = flags::Plain::from_env_or_exit();
    let listen = flags
        .listen
        .unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
    let plain = Plain::new();
    serve(listen, move |config| plain.routes(config)).await
}
