//! Calls of the duties that are held up on their way.

use std::io::{ErrorKind, Read as _};
use std::net::TcpListener;
use std::time::Duration;

use poplarvale_platform::read_settings;
use poplarvale_standin::{Store, config, settings};
use poplarvaled::Relay;

use crate::relay_site::ROUTES;

/// A partition holds a call of the holder of the duties up, and the holder gives it up
/// when its time is over. If the call still arrived when the partition heals, the
/// platform would act on the order of a former holder after its successor's. The
/// platform sees the connection reset, which takes held-up bytes with it.
#[actix_web::test]
async fn a_call_that_is_given_up_is_taken_back() {
    let store = Store::start().await;
    store.put("op/config", config(1, &ROUTES, 0).as_bytes());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let cloud = listener.local_addr().expect("it is bound");
    let seen = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the holder calls");
        std::thread::sleep(Duration::from_millis(1500));
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).map_err(|error| error.kind())
    });
    let settings = read_settings(&settings(store.address, cloud)).expect("they are good");
    let relay = Relay::start(settings).await.expect("it listens");
    while !seen.is_finished() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let end = seen.join().expect("it ran to its end");
    assert_eq!(end.map(|_| ()), Err(ErrorKind::ConnectionReset));
    drop(relay);
}
