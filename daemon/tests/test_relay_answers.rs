//! Endpoints that fail while they run a request, and the response that the caller gets.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use poplarvale_standin::{
    Endpoint, SeenRequest, Step, ask, config, event, event_text, head, id_field, plain, rejection,
    request, response, stream, without_length,
};

use socket2::SockRef;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::relay_site::{ROUTES, Site, store_with};

/// Body that does not fit into the receive buffer of a silent endpoint.
const LONG_BODY_BYTES: usize = 60_000;
/// Longest body that a configuration allows; longer than what connections hold.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Time for which an endpoint keeps a connection whose bytes it does not read.
const UNREAD_TIME: Duration = Duration::from_millis(300);
/// Time after the begin of an answer.
const PART_TIME: Duration = Duration::from_millis(50);

fn end() -> Step {
    Step::Send("0\r\n\r\n".into())
}

/// An engine stalls for a moment in the middle of a stream, and there is no other engine that
/// could resume it. If the daemon ended the stream because of the stall, it would cut off a
/// response that the engine would still have completed.
#[actix_web::test]
async fn a_stall_does_not_end_a_stream_that_cannot_be_resumed_elsewhere() {
    let slow = Endpoint::start("i-1", |seen| {
        let pause = Step::Wait(Duration::from_millis(900));
        vec![stream(seen), event(0), pause, event(1), end()]
    })
    .await;
    let site = Site::start(&[&slow]).await;
    let answer = ask(site.address(), &request("GET", "/resume/a", "r1", "")).await;
    let answer = answer.expect("an answer");
    assert!(answer.complete);
    assert!(answer.body.contains("piece 1"));
    assert_eq!(slow.seen().len(), 1);
}

/// An engine sends nothing more in the middle of a stream that another engine can resume. The
/// caller must get the rest from that one, and each event once.
#[actix_web::test]
async fn a_stalled_stream_is_resumed_at_another_engine() {
    let script = |seen: &poplarvale_standin::SeenRequest| {
        if seen.last_event() == "0" {
            return vec![stream(seen), event(1), event(2), end()];
        }
        let half_event = Step::Send("8\r\nid: 1\nda\r\n".into());
        vec![
            stream(seen),
            event(0),
            half_event,
            Step::Wait(Duration::from_mins(1)),
        ]
    };
    let one = Endpoint::start("i-1", script).await;
    let other = Endpoint::start("i-2", script).await;
    let site = Site::start(&[&one, &other]).await;
    let answer = ask(site.address(), &request("GET", "/resume/a", "r1", "")).await;
    let answer = answer.expect("an answer");
    assert!(answer.complete);
    let pieces: Vec<&str> = answer
        .body
        .lines()
        .filter(|line| line.starts_with("data"))
        .collect();
    assert_eq!(pieces, ["data: piece 0", "data: piece 1", "data: piece 2"]);
}

/// A non-idempotent request was sent, and the connection broke before a response. A retry might
/// run it twice, and reporting it as not run might be wrong.
#[actix_web::test]
async fn a_non_idempotent_request_is_not_retried() {
    let script = |_: &poplarvale_standin::SeenRequest| vec![Step::Close];
    let one = Endpoint::start("i-1", script).await;
    let other = Endpoint::start("i-2", script).await;
    let site = Site::start(&[&one, &other]).await;
    let answer = ask(site.address(), &request("POST", "/once/a", "r1", "")).await;
    assert_eq!(answer.expect("an answer").status, 502);
    assert_eq!(one.seen().len() + other.seen().len(), 1);
}

/// An endpoint is full and states that it did not run the request. The request must be sent to
/// another one, also if it is non-idempotent.
#[actix_web::test]
async fn a_request_that_was_not_run_is_sent_to_another_endpoint() {
    let full = Endpoint::start("i-1", |seen| vec![rejection(seen)]).await;
    let free = Endpoint::start("i-2", |seen| vec![plain(seen, 200, "done")]).await;
    let site = Site::start(&[&full, &free]).await;
    for number in 0..8 {
        let id = format!("r{number}");
        let answer = ask(site.address(), &request("POST", "/once/a", &id, "")).await;
        assert_eq!(answer.expect("an answer").status, 200);
    }
    assert_eq!(free.finished(), 8);
}

/// An endpoint sends a second response to an earlier request late, just when the response to the
/// next request on that connection is due. The next caller must not get it.
#[actix_web::test]
async fn a_late_second_response_reaches_no_caller() {
    let twice = Endpoint::start("i-1", |seen| {
        let pause = Step::Wait(Duration::from_millis(40));
        if seen.id() == "r1" {
            return vec![plain(seen, 200, "first")];
        }
        let Step::Send(own) = plain(seen, 200, "second") else {
            return Vec::new();
        };
        let stray = own.replace("r2", "r1").replace("second", "sprawl");
        vec![Step::Send(stray), pause, Step::Send(own)]
    })
    .await;
    let site = Site::start(&[&twice]).await;
    let first = ask(site.address(), &request("GET", "/safe/a", "r1", "")).await;
    assert_eq!(first.expect("an answer").body, "first");
    let second = ask(site.address(), &request("GET", "/safe/a", "r2", "")).await;
    assert_eq!(second.expect("an answer").body, "second");
}

/// The connection breaks in the middle of a response. An idempotent request is retried at another
/// endpoint; the caller must never get the half response as if it were complete.
#[actix_web::test]
async fn an_incomplete_response_is_never_forwarded() {
    let script = |seen: &poplarvale_standin::SeenRequest| {
        let Step::Send(text) = plain(seen, 200, "0123456789") else {
            return Vec::new();
        };
        let half = text[..text.len() - 4].to_owned();
        vec![Step::Send(half), Step::Close]
    };
    let broken = Endpoint::start("i-1", script).await;
    let whole = Endpoint::start("i-2", |seen| vec![plain(seen, 200, "whole")]).await;
    let site = Site::start(&[&broken, &whole]).await;
    for number in 0..6 {
        let id = format!("r{number}");
        let answer = ask(site.address(), &request("GET", "/safe/a", &id, "")).await;
        assert_eq!(answer.expect("an answer").body, "whole");
    }
    let answer = ask(site.address(), &request("POST", "/once/a", "r9", "")).await;
    let answer = answer.expect("an answer");
    assert!(answer.status == 502 || answer.body == "whole");
}

/// A caller disconnects before it gets its response. The endpoint must not go on working on a
/// request that nobody waits for.
#[actix_web::test]
async fn work_stops_when_the_caller_leaves() {
    let slow = Endpoint::start("i-1", |seen| {
        vec![Step::Wait(Duration::from_secs(2)), plain(seen, 200, "late")]
    })
    .await;
    let site = Site::start(&[&slow]).await;
    let text = request("GET", "/safe/a", "r1", "");
    let answer = tokio::time::timeout(Duration::from_millis(200), ask(site.address(), &text)).await;
    assert!(answer.is_err());
    tokio::time::sleep(Duration::from_millis(2500)).await;
    assert_eq!(slow.seen().len(), 1);
    assert_eq!(slow.finished(), 0);
}

/// The timeout of the route passes while the endpoint works. The caller must get an error at once,
/// and not one that claims that the request did not run.
#[actix_web::test]
async fn a_request_is_rejected_at_its_deadline() {
    let slow = Endpoint::start("i-1", |_| vec![Step::Wait(Duration::from_mins(1))]).await;
    let site = Site::start(&[&slow]).await;
    let start = std::time::Instant::now();
    let answer = ask(site.address(), &request("POST", "/once/a", "r1", "")).await;
    assert_eq!(answer.expect("an answer").status, 504);
    assert!(start.elapsed() < Duration::from_millis(3400));
}

/// A listener whose connections receive little before it is read.
fn listen_with_short_buffer() -> TcpListener {
    const RECEIVE_BUFFER_BYTES: u32 = 4096;
    let socket = TcpSocket::new_v4().expect("a socket");
    let sized = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    sized.expect("the buffer size is allowed");
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(any).expect("a free port");
    socket.listen(8).expect("a free port")
}

/// Starts an endpoint that reads nothing for a time after it accepted a connection, and then
/// answers its request. Its receive buffer is too small for a long request.
fn start_silent(silence: Duration) -> SocketAddr {
    let listener = listen_with_short_buffer();
    let address = listener.local_addr().expect("it is bound");
    actix_web::rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a daemon connects");
        tokio::time::sleep(silence).await;
        let (mut seen, mut bytes) = (0, vec![0; 8192]);
        while seen < LONG_BODY_BYTES {
            seen += stream
                .read(&mut bytes)
                .await
                .expect("the connection is open");
        }
        let answer = response("r1", 200, "done");
        stream
            .write_all(answer.as_bytes())
            .await
            .expect("the connection is open");
        tokio::time::sleep(silence).await;
    });
    address
}

/// A sound endpoint falls silent for more than a second and goes on. Its host's kernel takes no
/// more of a long request meanwhile. If the daemon gave the connection up, the caller of a
/// request that must not be repeated would never learn what came of it.
#[actix_web::test]
async fn a_long_request_survives_the_silence_of_its_endpoint() {
    let address = start_silent(Duration::from_secs(2));
    let other = Endpoint::start("i-1", |seen| vec![plain(seen, 200, "done")]).await;
    let entry = other.entry("app", "ready");
    let entry = entry.replace(&other.address.to_string(), &address.to_string());
    let store = store_with(&[]).await;
    store.put("servers/i-1", entry.as_bytes());
    let site = Site::with_grace(store, 3).await;
    let text = long_request("/once/a", "r1", LONG_BODY_BYTES);
    let answer = ask(site.address(), &text).await.expect("an answer");
    assert_eq!((answer.status, answer.body.as_str()), (200, "done"));
}

/// Text of a request with a body of this many bytes.
fn long_request(path: &str, id: &str, body_bytes: usize) -> String {
    let length = format!("Content-Length: {body_bytes}\r\n");
    request("POST", path, id, &length) + &"x".repeat(body_bytes)
}

/// An answer has neither a length nor chunks and ends with its connection. It is whole.
#[actix_web::test]
async fn an_answer_without_length_is_passed_on_whole() {
    let script = |seen: &SeenRequest| {
        let rest = Step::Send("the rest".into());
        let pause = Step::Wait(Duration::from_millis(50));
        vec![without_length(seen, "begin, "), pause, rest, Step::Close]
    };
    let endpoint = Endpoint::start("i-1", script).await;
    let site = Site::start(&[&endpoint]).await;
    for number in 0..2 {
        let text = request("GET", "/safe/a", &format!("r{number}"), "");
        let answer = ask(site.address(), &text).await.expect("an answer");
        assert!(answer.complete);
        assert_eq!(
            (answer.status, answer.body.as_str()),
            (200, "begin, the rest")
        );
    }
}

/// The connection of an answer without length is reset. What came of it must not look complete.
#[actix_web::test]
async fn an_answer_without_length_that_is_reset_is_not_complete() {
    let script = |seen: &SeenRequest| {
        let pause = Step::Wait(Duration::from_millis(50));
        vec![without_length(seen, "begin, "), pause, Step::Reset]
    };
    let endpoint = Endpoint::start("i-1", script).await;
    let site = Site::start(&[&endpoint]).await;
    let answer = ask(site.address(), &request("POST", "/once/a", "r1", "")).await;
    assert_eq!(answer.expect("an answer").status, 502);
}

/// A stream without length that ends after an event is whole.
#[actix_web::test]
async fn a_stream_without_length_ends_with_its_connection() {
    let script = |seen: &SeenRequest| {
        let pause = Step::Wait(Duration::from_millis(50));
        let events = Step::Send(event_text(1) + &event_text(2));
        vec![
            without_length(seen, &event_text(0)),
            pause,
            events,
            Step::Close,
        ]
    };
    let endpoint = Endpoint::start("i-1", script).await;
    let site = Site::start(&[&endpoint]).await;
    let answer = ask(site.address(), &request("GET", "/stream/a", "r1", "")).await;
    let answer = answer.expect("an answer");
    assert!(answer.complete);
    assert_eq!(answer.body, event_text(0) + &event_text(1) + &event_text(2));
    assert_eq!(endpoint.seen().len(), 1);
}

/// A stream without length that ends inside an event was broken off: it is continued elsewhere if it
/// may be, and does not look complete otherwise.
#[actix_web::test]
async fn a_stream_without_length_that_ends_inside_an_event_is_broken_off() {
    let script = |seen: &SeenRequest| {
        if seen.last_event() == "0" {
            return vec![without_length(seen, &event_text(1)), Step::Close];
        }
        let half = event_text(0) + "id: 1\nda";
        vec![without_length(seen, &half), Step::Close]
    };
    let one = Endpoint::start("i-1", script).await;
    let other = Endpoint::start("i-2", script).await;
    let site = Site::start(&[&one, &other]).await;
    let answer = ask(site.address(), &request("GET", "/resume/a", "r1", "")).await;
    let answer = answer.expect("an answer");
    assert!(answer.complete);
    assert_eq!(answer.body, event_text(0) + &event_text(1));
    let answer = ask(site.address(), &request("GET", "/stream/a", "r2", "")).await;
    assert!(answer.is_ok_and(|answer| !answer.complete && answer.body == event_text(0)));
}

/// An endpoint ends the connection of a stream before its first event. Without a length nothing
/// says that this is the whole stream.
#[actix_web::test]
async fn a_stream_without_length_and_events_is_no_answer() {
    let script = |seen: &SeenRequest| vec![without_length(seen, ""), Step::Close];
    let endpoint = Endpoint::start("i-1", script).await;
    let site = Site::start(&[&endpoint]).await;
    let answer = ask(site.address(), &request("GET", "/stream/a", "r1", "")).await;
    assert!(answer.is_ok_and(|answer| answer.status == 502));
}

/// How an endpoint ends a connection after the begin of an answer.
#[derive(Clone, Copy, Debug)]
enum Ending {
    /// By a reset.
    Reset,
    /// By an end of what it sends, with a reset right behind it.
    EndAndReset,
    /// By an end of what it sends, with a reset after a time in which it reads nothing.
    End,
    /// By an end of what it sends, and after a long time by closing a connection with unread bytes.
    EndAndClose,
}

/// How much a host receives that its endpoint does not read.
#[derive(Clone, Copy, Debug)]
enum ReceiveBuffer {
    /// A few kilobytes.
    Short,
    /// What the system has by default.
    Usual,
}

/// Starts an endpoint that answers each request without a length once it has read its head, and gives the connection
/// up in the middle of the answer. It runs in a thread of its own, so that the daemon may see the end before the reset.
fn start_hasty(ending: Ending, buffer: ReceiveBuffer) -> SocketAddr {
    let (send, receive) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        actix_web::rt::System::new().block_on(async move {
            let listener = match buffer {
                ReceiveBuffer::Short => listen_with_short_buffer(),
                ReceiveBuffer::Usual => {
                    let bound = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
                    bound.expect("a free port")
                }
            };
            let address = listener.local_addr().expect("it is bound");
            send.send(address).expect("the test waits");
            while let Ok((stream, _)) = listener.accept().await {
                actix_web::rt::spawn(answer_hastily(stream, ending));
            }
        });
    });
    receive.recv().expect("the thread listens")
}

async fn answer_hastily(mut stream: TcpStream, ending: Ending) {
    let mut bytes = vec![0; 1024];
    // Some connections are only opened, to see whether the endpoint accepts them.
    if !matches!(stream.read(&mut bytes).await, Ok(len) if len > 0) {
        return;
    }
    let text = String::from_utf8_lossy(&bytes);
    let id = text
        .lines()
        .find_map(|line| line.strip_prefix(&id_field("")));
    let Step::Send(begin) = head(id.expect("the request has an id"), "") else {
        return;
    };
    let begin = begin + &event_text(0);
    let sent = stream.write_all(begin.as_bytes()).await;
    sent.expect("the connection is open");
    tokio::time::sleep(PART_TIME).await;
    if !matches!(ending, Ending::Reset) {
        stream.shutdown().await.expect("the connection is open");
    }
    match ending {
        Ending::Reset | Ending::EndAndReset => {}
        Ending::End => tokio::time::sleep(PART_TIME).await,
        Ending::EndAndClose => {
            tokio::time::sleep(UNREAD_TIME).await;
            return;
        }
    }
    let reset = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    reset.expect("a connection can be reset");
}

/// Guards against a part of an answer without a length that looks complete, as its endpoint gave up before it had
/// received the whole request: the reset that tells so comes behind the end of what it sent.
#[actix_web::test]
async fn an_answer_without_length_to_a_part_of_a_request_is_not_complete() {
    let other = Endpoint::start("i-1", |_| Vec::new()).await;
    let limits = config(2, &ROUTES, 0).replace("65536", &MAX_BODY_BYTES.to_string());
    for ending in [Ending::Reset, Ending::EndAndReset, Ending::End] {
        let address = start_hasty(ending, ReceiveBuffer::Short).to_string();
        let entry = other.entry("app", "ready");
        let entry = entry.replace(&other.address.to_string(), &address);
        for body_bytes in [LONG_BODY_BYTES, 1024 * 1024, MAX_BODY_BYTES] {
            for path in ["/once/a", "/stream/a"] {
                let store = store_with(&[]).await;
                store.put("op/config", limits.as_bytes());
                store.put("servers/i-1", entry.as_bytes());
                let site = Site::with_grace(store, 3).await;
                let text = long_request(path, "r1", body_bytes);
                let answer = ask(site.address(), &text).await.expect("an answer");
                let is_kept_back = answer.status == 502 || !answer.complete;
                assert!(is_kept_back, "{ending:?} {body_bytes} {path}: {answer:?}");
            }
        }
    }
}

/// Guards against the same where the host of the endpoint has received the whole request, and the endpoint has read
/// its head only.
#[actix_web::test]
async fn an_answer_without_length_to_an_unread_request_is_not_complete() {
    let other = Endpoint::start("i-1", |_| Vec::new()).await;
    for ending in [Ending::EndAndReset, Ending::End, Ending::EndAndClose] {
        let address = start_hasty(ending, ReceiveBuffer::Usual).to_string();
        let entry = other.entry("app", "ready");
        let entry = entry.replace(&other.address.to_string(), &address);
        for path in ["/once/a", "/safe/a", "/stream/a"] {
            let store = store_with(&[]).await;
            store.put("servers/i-1", entry.as_bytes());
            let site = Site::with_grace(store, 3).await;
            let text = long_request(path, "r1", LONG_BODY_BYTES);
            let answer = ask(site.address(), &text).await.expect("an answer");
            let is_kept_back = answer.status == 502 || !answer.complete;
            assert!(is_kept_back, "{ending:?} {path}: {answer:?}");
        }
    }
}

/// Guards against an answer without length that is lost although its endpoint has received the whole request.
#[actix_web::test]
async fn an_answer_without_length_to_a_long_request_is_passed_on_whole() {
    let script = |seen: &SeenRequest| {
        let pause = Step::Wait(PART_TIME);
        let rest = Step::Send(event_text(1));
        vec![
            without_length(seen, &event_text(0)),
            pause,
            rest,
            Step::Close,
        ]
    };
    let endpoint = Endpoint::start("i-1", script).await;
    let site = Site::start(&[&endpoint]).await;
    for path in ["/once/a", "/stream/a"] {
        let text = long_request(path, "r1", LONG_BODY_BYTES);
        let answer = ask(site.address(), &text).await.expect("an answer");
        assert_eq!((answer.status, answer.complete), (200, true), "{path}");
        assert_eq!(answer.body, event_text(0) + &event_text(1), "{path}");
    }
}

/// A response that breaks off, and the begin of another one that completes its body by so many bytes. The rest follows
/// a moment later.
fn completed_by_another(seen: &SeenRequest, len: usize) -> Vec<Step> {
    const LENGTH: usize = 100;
    let part = "x".repeat(LENGTH - len);
    let length = format!("Content-Length: {LENGTH}\r\n");
    let (Step::Send(begin), other) = (
        head(&seen.id(), &length),
        response(&seen.id(), 200, "other"),
    ) else {
        return Vec::new();
    };
    let (first, rest) = other.split_at(len);
    vec![
        Step::Send(begin + &part + first),
        Step::Wait(Duration::from_millis(20)),
        Step::Send(rest.into()),
        Step::Wait(Duration::from_secs(1)),
    ]
}

/// Guards against a success whose body ends in the head of a second response, as its stated length is reached before
/// that head has arrived.
#[actix_web::test]
async fn a_body_that_a_part_of_a_head_completes_reaches_no_caller() {
    for len in [1, 4, 9, 13, 15, 30, 80] {
        let script = move |seen: &SeenRequest| completed_by_another(seen, len);
        let endpoint = Endpoint::start("i-1", script).await;
        let site = Site::start(&[&endpoint]).await;
        let answer = ask(site.address(), &request("POST", "/once/a", "r1", "")).await;
        assert_eq!(answer.expect("an answer").status, 502, "{len} bytes");
    }
}

/// Guards against the same where nothing more of the second response arrives.
#[actix_web::test]
async fn a_body_that_a_head_without_end_completes_reaches_no_caller() {
    for ending in [Step::Wait(Duration::from_secs(1)), Step::Close] {
        let script = move |seen: &SeenRequest| {
            let mut steps = completed_by_another(seen, 60);
            steps.truncate(1);
            steps.push(ending.clone());
            steps
        };
        let endpoint = Endpoint::start("i-1", script).await;
        let site = Site::start(&[&endpoint]).await;
        let answer = ask(site.address(), &request("POST", "/once/a", "r1", "")).await;
        assert_eq!(answer.expect("an answer").status, 502);
    }
}

/// Guards against a response that is lost as its body ends like the begin of another one.
#[actix_web::test]
async fn a_body_that_ends_like_a_status_line_begins_is_passed_on() {
    let bodies = [
        "the path H",
        "over HTTP",
        "HTTP/1.1 200 OK\n\nis how it begins",
        "{\"log\":\"HTTP/1.1 200 OK\"}",
    ];
    for body in bodies {
        let script = move |seen: &SeenRequest| vec![plain(seen, 200, body)];
        let endpoint = Endpoint::start("i-1", script).await;
        let site = Site::start(&[&endpoint]).await;
        let answer = ask(site.address(), &request("POST", "/once/a", "r1", "")).await;
        let answer = answer.expect("an answer");
        assert_eq!((answer.status, answer.body.as_str()), (200, body));
    }
}

/// Guards against an event of a stream without chunks that holds the head of a second response.
#[actix_web::test]
async fn an_event_in_which_another_response_begins_reaches_no_caller() {
    let fields = ["", "Content-Length: 4000\r\n"];
    for fields in fields {
        let script = move |seen: &SeenRequest| {
            let pause = || Step::Wait(Duration::from_millis(10));
            let (Step::Send(begin), Step::Send(other)) =
                (head(&seen.id(), fields), head(&seen.id(), fields))
            else {
                return Vec::new();
            };
            let cut = Step::Send("id: 1\ndata: a pi".to_owned() + &other);
            let begin = Step::Send(begin + &event_text(0));
            let rest = Step::Send(event_text(1) + &event_text(2));
            vec![begin, pause(), cut, pause(), rest, pause(), Step::Close]
        };
        let endpoint = Endpoint::start("i-1", script).await;
        let site = Site::start(&[&endpoint]).await;
        let answer = ask(site.address(), &request("GET", "/stream/a", "r1", "")).await;
        let answer = answer.expect("an answer");
        assert!(!answer.complete, "{answer:?}");
        assert!(!answer.body.contains("HTTP/1.1"), "{answer:?}");
    }
}
