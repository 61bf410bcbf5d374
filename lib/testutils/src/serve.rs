//! Serves a stand-in that runs as a separate program.

use std::io::{self, Write as _};
use std::net::{SocketAddr, TcpListener};

use actix_web::{App, HttpServer, web};

/// Serves routes at an address. Prints `listening ADDRESS` as the first line, so that the
/// caller learns the port if it asked for port 0.
///
/// # Errors
/// Fails if it cannot listen at the address.
pub async fn serve<C>(listen: SocketAddr, routes: C) -> io::Result<()>
where
    C: Fn(&mut web::ServiceConfig) + Clone + Send + 'static,
{
    let listener = TcpListener::bind(listen)?;
    let address = listener.local_addr()?;
    let mut out = io::stdout();
    writeln!(out, "listening {address}")?;
    out.flush()?;
    let app = move || {
        App::new()
            .app_data(web::PayloadConfig::new(64 << 20))
            .app_data(web::JsonConfig::default().limit(64 << 20))
            .configure(routes.clone())
    };
    HttpServer::new(app)
        .workers(1)
        .tcp_nodelay(true)
        .listen(listener)?
        .run()
        .await
}
