//! Responses of plain services that are malformed or break off, and what their callers get.

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::json;
use socket2::SockRef;

use crate::site::{Got, KEY, Site};

/// Longest head that is read at once, in bytes.
const HEAD_BYTES: usize = 4096;
/// Length of a body that does not fit into the buffers of a connection.
const LONG_BODY_BYTES: usize = 900_000;
/// Time after the begin of an answer.
const PART_TIME: Duration = Duration::from_millis(50);

/// How a service ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// By an end of what it sends.
    Close,
    /// By a reset.
    Reset,
    /// By an end of what it sends, with a reset right behind it.
    CloseAndReset,
}

/// A service that sends the same text to all callers once it has read the begin of their requests.
struct Service {
    site: Site,
    /// Beginnings of the requests.
    seen: Arc<Mutex<Vec<String>>>,
}

impl Service {
    fn start(text: &str, ending: Ending) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let seen = Arc::new(Mutex::new(Vec::new()));
        let (text, record) = (text.to_owned(), Arc::clone(&seen));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let stream = stream.expect("a connection");
                let (text, record) = (text.clone(), Arc::clone(&record));
                thread::spawn(move || answer(stream, &text, ending, &record));
            }
        });
        let services = json!([{
            "id": "bookings", "kind": "plain",
            "routes": [
                {"method": "POST", "path": "/bookings", "deadline_ms": 3_000},
                {"method": "GET", "path": "/bookings/*", "deadline_ms": 3_000}],
            "endpoints": [{"id": "booking-1", "zone": "hanko", "address": address}],
        }]);
        let site = Site::with(json!({"services": services}));
        Self { site, seen }
    }

    async fn book(&self, body_bytes: usize) -> Got {
        let booking = json!({"id": "x".repeat(body_bytes)});
        let path = "/services/bookings/bookings";
        self.site.post(KEY, path, &booking).await
    }
}

fn answer(mut stream: TcpStream, text: &str, ending: Ending, seen: &Mutex<Vec<String>>) {
    let mut bytes = vec![0; HEAD_BYTES];
    let len = stream.read(&mut bytes).expect("the connection is open");
    let begin = String::from_utf8_lossy(&bytes[..len]).into_owned();
    seen.lock().expect("no thread panicked").push(begin);
    let sent = stream.write_all(text.as_bytes());
    sent.expect("the connection is open");
    thread::sleep(PART_TIME);
    if ending != Ending::Reset {
        let ended = stream.shutdown(Shutdown::Write);
        ended.expect("the connection is open");
    }
    if ending == Ending::Close {
        thread::sleep(PART_TIME);
        return;
    }
    let reset = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    reset.expect("a connection can be reset");
}

/// Guards against a malformed response that its caller gets as an answer, with a part of the head as its body or cut
/// where the body broke off.
#[actix_web::test]
async fn malformed_responses_of_plain_services_reach_no_caller() {
    let length = "Content-Length: 4\r\n";
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    let texts = [
        format!("HTTP/1.1 000 X\r\n{length}\r\ndone"),
        format!("HTTP/1.1 099 X\r\n{length}\r\ndone"),
        format!("HTTP/1.1 600 X\r\n{length}\r\ndone"),
        format!("HTTP/1.1 999 X\r\n{length}\r\ndone"),
        format!("HTTP/1.1 200 OK\r\nA Name: b\r\n{length}\r\ndone"),
        format!("HTTP/1.1 200 OK\r\nName\0: b\r\n{length}\r\ndone"),
        format!("HTTP/1.1 200 OK\r\n{length}\nName: b\r\n\r\ndone"),
        format!("HTTP/1.1 200 OK\n{length}\r\ndone"),
        format!("{chunked}\r\n\r\n"),
        format!("{chunked};a=b\r\n\r\n"),
    ];
    for text in texts {
        let service = Service::start(&text, Ending::Close);
        let got = service.book(1).await;
        assert_eq!(got.status, 502, "{text:?}: {}", got.body);
        assert_eq!((got.code(), &got.json()["ran"]), (3002, &json!("unknown")));
    }
}

/// Guards against a part of an answer without a length that looks complete, as its service gave up before it had
/// received the whole request.
#[actix_web::test]
async fn an_answer_of_a_plain_service_to_a_part_of_a_request_is_not_complete() {
    let text = "HTTP/1.1 200 OK\r\n\r\nbegin";
    for ending in [Ending::Close, Ending::Reset, Ending::CloseAndReset] {
        let got = Service::start(text, ending).book(LONG_BODY_BYTES).await;
        assert_eq!(got.status, 502, "{ending:?}: {}", got.body);
    }
    let got = Service::start(text, Ending::Close).book(1).await;
    assert_eq!((got.status.as_u16(), got.body.as_str()), (200, "begin"));
}

/// Guards against a percent-encoded path that adds a field to the request to the service.
#[actix_web::test]
async fn a_path_with_an_encoded_line_end_is_not_sent() {
    let text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let service = Service::start(text, Ending::Close);
    let path = "/services/bookings/bookings/a%20HTTP/1.1%0D%0AX-Own:%20b%0D%0AX-Rest:";
    let got = service.site.get(KEY, path, None).await;
    assert!(!got.status.is_success(), "{}", got.body);
    let seen = service.seen.lock().expect("no thread panicked");
    assert!(seen.is_empty(), "{seen:?}");
}
