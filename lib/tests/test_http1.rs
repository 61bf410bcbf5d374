//! Framing of HTTP/1.1 messages: where a message ends and which messages are rejected.

use bytes::BytesMut;
use poplarvale_lib::http1::{
    Body, BodyError, Framing, HeadError, Request, Response, open_response,
};
use proptest::prelude::*;

/// Maximum size of a request head in bytes.
const MAX_HEAD: usize = 4096;

fn response(text: &str) -> Result<Option<Response>, HeadError> {
    Response::take(&mut BytesMut::from(text))
}

fn request(text: &str) -> Result<Option<Request>, HeadError> {
    Request::take(&mut BytesMut::from(text), MAX_HEAD)
}

/// A caller sends both a length and a chunked body, with a second request hidden where
/// the body ends in one reading and not in the other. If the message were forwarded, an
/// endpoint would run the hidden request.
#[test]
fn a_request_with_two_framings_is_rejected() {
    let both = "POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(request(both), Err(HeadError::Framing));
    let twice = "POST / HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n";
    assert_eq!(request(twice), Err(HeadError::Framing));
    let other = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked, identity\r\n\r\n";
    assert_eq!(request(other), Err(HeadError::Framing));
    let signed = "POST / HTTP/1.1\r\nContent-Length: +4\r\n\r\n";
    assert_eq!(request(signed), Err(HeadError::Framing));
}

/// Implementations differ on a line that ends without a carriage return and on a field
/// name with a space before its colon, so either hides a field from one of two readers.
#[test]
fn ambiguous_lines_are_rejected() {
    let bare = "GET / HTTP/1.1\nHost: a\r\n\r\n";
    assert_eq!(request(bare), Err(HeadError::Malformed));
    let space = "GET / HTTP/1.1\r\nContent-Length : 4\r\n\r\n";
    assert_eq!(request(space), Err(HeadError::Malformed));
    let folded = "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n";
    assert_eq!(request(folded), Err(HeadError::Malformed));
}

/// Guards against a response whose status is none of HTTP and that is taken for an answer.
#[test]
fn statuses_that_are_none_of_http_are_rejected() {
    for status in 0..1000 {
        let text = format!("HTTP/1.1 {status:03} X\r\nContent-Length: 0\r\n\r\n");
        let head = response(&text).map(|head| head.map(|head| head.status));
        if (100..600).contains(&status) {
            assert_eq!(head, Ok(Some(status)));
        } else {
            assert_eq!(head, Err(HeadError::Malformed), "{status}");
        }
    }
}

/// Whether a byte may stand in the name of a field.
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// A response with this field and others before and behind it.
fn response_with_field(field: &[u8]) -> BytesMut {
    let mut text = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n".to_vec();
    text.extend_from_slice(field);
    text.extend_from_slice(b"\r\nServer: w\r\n\r\ndone");
    BytesMut::from(&*text)
}

/// Guards against a field name with a byte that may not stand in it: the field is passed on as it is, or the head ends
/// before it, so that the rest of the head is taken for the body.
#[test]
fn field_names_with_other_bytes_are_rejected() {
    // The parser compares up to 32 bytes at once.
    for len in [1, 7, 8, 9, 16, 17, 33, 70] {
        for at in 0..len {
            for byte in (0..=u8::MAX).filter(|byte| !is_token(*byte)) {
                let mut field = vec![b'a'; len];
                field[at] = byte;
                field.extend_from_slice(b": b");
                let head = Response::take(&mut response_with_field(&field));
                // A colon ends the name.
                if byte == b':' && at > 0 {
                    assert!(matches!(head, Ok(Some(_))), "{field:?}: {head:?}");
                } else {
                    assert_eq!(head, Err(HeadError::Malformed), "{field:?}");
                }
            }
        }
    }
}

/// Guards against a control byte in a value, which may end the line for the next reader.
#[test]
fn field_values_with_control_bytes_are_rejected() {
    for len in [1, 7, 8, 9, 16, 17, 33, 70] {
        for at in 0..len {
            for byte in (0..=u8::MAX).filter(|byte| byte.is_ascii_control() && *byte != b'\t') {
                let mut field = b"Name: ".to_vec();
                field.resize(field.len() + len, b'a');
                let first = field.len() - len;
                field[first + at] = byte;
                let head = Response::take(&mut response_with_field(&field));
                assert_eq!(head, Err(HeadError::Malformed), "{field:?}");
            }
        }
    }
}

/// Guards against a line of a response that ends without a carriage return.
#[test]
fn response_lines_without_a_carriage_return_are_rejected() {
    let whole = "HTTP/1.1 200 OK\r\nServer: w\r\nContent-Length: 4\r\n\r\n";
    assert!(matches!(response(whole), Ok(Some(_))));
    for (at, _) in whole.match_indices('\r') {
        let bare = [&whole[..at], &whole[at + 1..]].concat();
        assert_eq!(response(&bare), Err(HeadError::Malformed), "{bare:?}");
    }
}

#[test]
fn a_head_over_the_limit_is_rejected_before_it_is_complete() {
    let long = format!("GET / HTTP/1.1\r\nA: {}", "b".repeat(MAX_HEAD));
    assert_eq!(request(&long), Err(HeadError::TooLarge));
}

#[test]
fn fields_that_a_connection_field_names_are_hop_by_hop() {
    let text = "GET / HTTP/1.1\r\nConnection: close, X-Own\r\nX-Own: 1\r\nX-Other: 2\r\n\r\n";
    let head = request(text)
        .expect("the head is well-formed")
        .expect("the head is complete");
    assert!(head.fields.is_hop_by_hop(b"x-own"));
    assert!(!head.fields.is_hop_by_hop(b"X-Other"));
    assert!(!head.keep_alive);
}

/// An endpoint dies in the middle of its answer. The caller must not take the received
/// part for the whole answer.
#[test]
fn a_truncated_body_is_an_error() {
    for framing in [Framing::Length(10), Framing::Chunked] {
        let mut body = Body::new(framing);
        let mut buffer = BytesMut::from("5\r\nabc");
        while body
            .take(&mut buffer)
            .expect("the chunks are well-formed")
            .is_some()
        {}
        assert!(!body.is_done());
        assert_eq!(body.finish(), Err(BodyError::Truncated));
    }
}

/// Guards against a body that breaks off and looks complete, as a line without a size is taken for the last chunk.
#[test]
fn lines_that_state_no_size_end_no_body() {
    let lines = [
        "",
        " ",
        "\t",
        ";",
        ";a=b",
        " 0",
        "x",
        "-0",
        "+0",
        "0;\n",
        "0;\0",
        "0;a\u{1}",
        "0;\u{7f}",
        "0;HTTP/1.1 200 OK",
    ];
    for line in lines {
        let mut body = Body::new(Framing::Chunked);
        let mut buffer = BytesMut::from(format!("5\r\nhello\r\n{line}\r\n\r\n").as_str());
        assert_eq!(body.take(&mut buffer), Ok(Some("hello".into())));
        assert_eq!(body.take(&mut buffer), Err(BodyError::Chunk), "{line:?}");
        assert!(!body.is_done());
    }
    for line in ["0", "00", "0 ", "0\t", "0;a=b", "0 ; a=\"b c\"", "0;\u{e9}"] {
        let mut body = Body::new(Framing::Chunked);
        let mut buffer = BytesMut::from(format!("{line}\r\n\r\n").as_str());
        assert_eq!(body.take(&mut buffer), Ok(None), "{line:?}");
        assert!(body.is_done());
    }
}

#[test]
fn bytes_after_an_answer_stay_in_the_buffer() {
    let text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n";
    let mut buffer = BytesMut::from(text);
    let head = Response::take(&mut buffer)
        .expect("the head is well-formed")
        .expect("the head is complete");
    let mut body = Body::new(head.framing);
    assert_eq!(body.take(&mut buffer), Ok(Some("ok".into())));
    assert!(body.is_done());
    assert!(!buffer.is_empty());
}

proptest! {
    /// Whatever bytes a peer sends, parsing them ends without a panic.
    #[test]
    fn any_bytes_are_parsed_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let mut buffer = BytesMut::from(&*bytes);
        while let Ok(Some(_)) = Request::take(&mut buffer, MAX_HEAD) {}
        let mut buffer = BytesMut::from(&*bytes);
        while let Ok(Some(_)) = Response::take(&mut buffer) {}
        let mut body = Body::new(Framing::Chunked);
        let mut buffer = BytesMut::from(&*bytes);
        while let Ok(Some(_)) = body.take(&mut buffer) {}
    }

    /// A chunked body is decoded to the same bytes however its encoding is split.
    #[test]
    fn chunked_bodies_are_decoded_however_they_are_split(parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..40), 0..8), cut in 1_usize..17) {
        let mut wire = Vec::new();
        for part in &parts {
            wire.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
            wire.extend_from_slice(part);
            wire.extend_from_slice(b"\r\n");
        }
        wire.extend_from_slice(b"0\r\n\r\n");
        let mut body = Body::new(Framing::Chunked);
        let mut buffer = BytesMut::new();
        let mut out = Vec::new();
        for piece in wire.chunks(cut) {
            buffer.extend_from_slice(piece);
            while let Some(part) = body.take(&mut buffer).expect("the chunks are well-formed") {
                out.extend_from_slice(&part);
            }
        }
        prop_assert!(body.is_done());
        prop_assert_eq!(out, parts.concat());
    }
}

/// Guards against a chunked body whose trailer never ends.
#[test]
fn a_trailer_without_end_is_rejected() {
    let mut body = Body::new(Framing::Chunked);
    let mut buffer = BytesMut::from("0\r\n");
    buffer.extend_from_slice("X: y\r\n".repeat(1000).as_bytes());
    assert_eq!(body.take(&mut buffer), Err(BodyError::Chunk));
}

/// Guards against a body that is taken for whole though the head of another response may complete it.
#[test]
fn the_begin_of_a_head_at_the_end_of_a_body_is_open() {
    let head = b"HTTP/1.1 200 OK\r\nid: r1\r\n\r\n";
    for len in 1..head.len() {
        let body = [b"text ", &head[..len]].concat();
        assert_eq!(open_response(&body, b""), Some(len), "{len}");
        let (more, rest) = head[len..].split_at((head.len() - len) / 2);
        assert_eq!(open_response(&body, more), Some(len), "{len}");
        assert_eq!(open_response(&body, &[more, rest].concat()), None, "{len}");
    }
    assert_eq!(open_response(b"text", b"HTTP/1.1"), None);
    assert_eq!(open_response(b"HTTP/1.1 and more", b""), None);
}
