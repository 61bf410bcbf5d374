//! Responses of endpoints that are not valid HTTP, and what their callers get.

use std::time::Duration;

use poplarvale_standin::{
    Endpoint, SeenRequest, Step, ask, event, event_text, id_field, request, response, stream,
};

use crate::relay_site::Site;

/// Time from an event to what follows it.
const EVENT_TIME: Duration = Duration::from_millis(40);
/// Statuses that HTTP does not define.
const INVALID_STATUSES: [&str; 5] = ["000", "001", "099", "600", "999"];

/// Endpoint whose responses are these, with the request's id in place of `ID`.
async fn endpoint_with(id: &str, text: &str) -> Endpoint {
    let text = text.to_owned();
    let script = move |seen: &SeenRequest| vec![Step::Send(text.replace("ID", &seen.id()))];
    Endpoint::start(id, script).await
}

/// Asserts that callers do not get a response with this text: a request that may not be repeated fails, and another one
/// is sent to the second endpoint, which is sound.
async fn assert_kept_back(text: &str) {
    let broken = endpoint_with("i-1", text).await;
    let site = Site::start(&[&broken]).await;
    let answer = ask(site.address(), &request("POST", "/once/a", "r1", "")).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 502, "{text:?}: {}", answer.body);
    let sound = endpoint_with("i-2", &response("ID", 200, "sound")).await;
    let site = Site::start(&[&broken, &sound]).await;
    for number in 0..4 {
        let text = request("GET", "/safe/a", &format!("s{number}"), "");
        let answer = ask(site.address(), &text).await.expect("an answer");
        assert_eq!(
            (answer.status, answer.body.as_str()),
            (200, "sound"),
            "{text:?}"
        );
    }
    assert!(broken.seen().len() > 1, "only the sound endpoint was asked");
}

/// Guards against a response whose status is none of HTTP and that its caller gets as an answer.
#[actix_web::test]
async fn a_response_with_an_invalid_status_reaches_no_caller() {
    for status in INVALID_STATUSES {
        let text = response("ID", 200, "done").replace("200", status);
        assert_kept_back(&text).await;
    }
}

/// Guards against a field name with a blank or a control byte: its caller gets the line, or a body that begins with the
/// rest of the head.
#[actix_web::test]
async fn a_response_with_a_malformed_field_name_reaches_no_caller() {
    let whole = response("ID", 200, "done");
    for byte in [' ', '\t', '\n', '\r', '\0', '\u{1}', '\u{b}', '\u{7f}'] {
        for name in ["{}Name", "Na{}me", "Name{}"] {
            let field = name.replace("{}", &byte.to_string()) + ": b\r\n";
            // Behind the other fields, and before them.
            for at in [whole.find("\r\n\r\n"), whole.find(&id_field("ID"))] {
                let at = at.expect("the response has a head");
                let (begin, end) = whole.split_at(at);
                let text = match end.strip_prefix("\r\n") {
                    Some(end) => format!("{begin}\r\n{field}{end}"),
                    None => format!("{begin}{field}{end}"),
                };
                assert_kept_back(&text).await;
            }
        }
    }
}

/// Guards against an answer in chunks that breaks off and looks complete, as an empty line is taken for the last chunk.
#[actix_web::test]
async fn an_answer_whose_last_chunk_has_no_size_reaches_no_caller() {
    let head = response("ID", 200, "").replace("Content-Length: 0", "Transfer-Encoding: chunked");
    for line in ["", ";a=b", " "] {
        assert_kept_back(&format!("{head}5\r\nbegin\r\n{line}\r\n\r\n")).await;
    }
}

/// Guards against a stream that breaks off in the same way.
#[actix_web::test]
async fn a_stream_whose_last_chunk_has_no_size_is_not_complete() {
    let endpoint = Endpoint::start("i-1", |seen| {
        let end = Step::Send("\r\n\r\n".to_owned());
        vec![stream(seen), event(0), Step::Wait(EVENT_TIME), end]
    })
    .await;
    let site = Site::start(&[&endpoint]).await;
    let answer = ask(site.address(), &request("GET", "/stream/a", "r1", "")).await;
    let answer = answer.expect("an answer");
    assert_eq!((answer.complete, answer.body), (false, event_text(0)));
}
