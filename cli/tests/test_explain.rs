//! Tests of `poplarvale explain`.

use testutils::folder::Folder;

use crate::command::run;

const ONE: &str = r#"{"timestamp":"2026-01-01T00:00:02.000000+00:00","level":"INFO","target":"poplarvaled::relay::serve","file":"serve.rs","line":1,"message":"refuse: The endpoint failed while the request ran.","kvs":{"request":"r1","code":3002,"ran":"unknown"}}
{"timestamp":"2026-01-01T00:00:03.000000+00:00","level":"INFO","target":"poplarvaled::relay::serve","file":"serve.rs","line":1,"message":"serve: answered.","kvs":{"request":"r2","status":200}}
"#;
const OTHER: &str = r#"{"timestamp":"2026-01-01T00:00:01.000000+00:00","level":"INFO","target":"poplarvaled::relay::attempt","file":"attempt.rs","line":1,"message":"send: failed, the connection broke.","kvs":{"request":"r1","endpoint":"i-1","kept":true}}
"#;

#[test]
fn lines_of_a_request_are_merged_from_several_logs() {
    let folder = Folder::new();
    folder.write("one.log", ONE);
    folder.write("other.log", OTHER);
    insta::assert_snapshot!(run(folder.path(), &["explain", "r1", "one.log", "other.log"]), @r#"
        exit 0
        2026-01-01T00:00:01.000000+00:00 other.log: send: failed, the connection broke. endpoint=i-1 kept=true
        2026-01-01T00:00:02.000000+00:00 one.log: refuse: The endpoint failed while the request ran. code=3002 ran=unknown
        "#);
}

#[test]
fn an_unknown_request_and_a_file_that_is_no_log_are_reported() {
    let folder = Folder::new();
    folder.write("one.log", ONE);
    folder.write("poem.txt", "not a log\n");
    insta::assert_snapshot!(run(folder.path(), &["explain", "r9", "one.log"]), @r#"
        exit 2
        r9: no line speaks of this request; of those that went well only some are logged
        "#);
    insta::assert_snapshot!(run(folder.path(), &["explain", "r1", "poem.txt"]), @r#"
        exit 2
        poem.txt: this is no log of a daemon
        "#);
}
