//! Calls of the duty holder that are delayed on their way.

use std::io::{ErrorKind, Read as _};
use std::net::TcpListener;
use std::time::Duration;

use poplarvale_platform::read_settings;
use poplarvale_standin::{Store, config, settings};
use poplarvaled::Relay;

use crate::relay_site::ROUTES;

/// A partition delays a call of the duty holder until it times out. If the call still arrived when
/// the partition heals, the platform would carry out the order of a former duty holder after that
/// of its successor. So the daemon resets the connection, which discards the delayed bytes.
#[actix_web::test]
async fn a_call_that_times_out_resets_its_connection() {
    let store = Store::start().await;
    store.put("op/config", config(1, &ROUTES, 0).as_bytes());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let cloud = listener.local_addr().expect("the listener is bound");
    let received = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the duty holder connects");
        std::thread::sleep(Duration::from_millis(1500));
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).map_err(|error| error.kind())
    });
    let settings = read_settings(&settings(store.address, cloud)).expect("valid settings");
    let relay = Relay::start(settings).await.expect("the daemon starts");
    while !received.is_finished() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let end = received.join().expect("the thread did not panic");
    assert_eq!(end.map(|_| ()), Err(ErrorKind::ConnectionReset));
    drop(relay);
}
