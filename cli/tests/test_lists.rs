//! Tests of `poplarvale lists`.

use crate::command::Daemon;

#[test]
fn lists_are_read_edited_and_put_back() {
    let daemon = Daemon::start();
    let lists = daemon.run(&["lists", "get"]);
    let lists = lists
        .strip_prefix("exit 0\n")
        .expect("the lists should be read");
    daemon.folder.write(
        "lists.json",
        &lists.replace("\"running\": 16", "\"running\": 20"),
    );
    insta::assert_snapshot!(daemon.run(&["lists", "check", "lists.json"]), @r#"
        exit 0
        lists.json: lists are fine
        "#);
    insta::assert_snapshot!(daemon.run(&["lists", "put", "lists.json"]), @r#"
        exit 0
        lists accepted at revision 2
        "#);
    assert!(daemon.run(&["lists", "get"]).contains("\"running\": 20"));
}

/// Two operators edit the same revision of the lists. Without the check of the revision, the second
/// edit would silently revert the first one.
#[test]
fn an_edit_of_older_lists_is_rejected() {
    let daemon = Daemon::start();
    let lists = daemon.run(&["lists", "get"]);
    let lists = lists
        .strip_prefix("exit 0\n")
        .expect("the lists should be read");
    daemon.folder.write("lists.json", lists);
    daemon.run(&["lists", "put", "lists.json"]);
    insta::assert_snapshot!(daemon.run(&["lists", "put", "lists.json"]), @r#"
        exit 3
        4003: Another edit was accepted first.
        the lists are at revision 2 already
        "#);
    insta::assert_snapshot!(daemon.run(&["--json", "lists", "put", "lists.json"]), @r#"
        exit 3
        {"code":4003,"detail":"the lists are at revision 2 already","ran":"no","request":"","status":409,"title":"Another edit was accepted first.","type":"urn:poplarvale:code:4003"}
        "#);
}

#[test]
fn errors_in_lists_are_printed_one_per_line() {
    let daemon = Daemon::start();
    let lists = r#"{"revision": 1, "lists": {
        "customers": [{"id": "a", "plan": "none", "digests": ["zz"]}],
        "plans": [{"id": "p", "priority": 9, "requests": 0, "tokens": 1, "running": 0,
                   "services": [], "models": []}]}}"#;
    daemon.folder.write("lists.json", lists);
    insta::assert_snapshot!(daemon.run(&["lists", "check", "lists.json"]), @r#"
        exit 2
        4002: plans[0].priority: found 9, allowed is 0 to 3
        4002: plans[0].requests: found 0, allowed is more than 0, at most 1e9 per second
        4002: plans[0].running: found 0, allowed is 1 or more
        4002: customers[0].plan: found "none", allowed is the id of a plan in the list of plans
        4002: customers[0].digests[0]: found "zz", allowed is 64 lower-case hexadecimal digits
        "#);
    insta::assert_snapshot!(daemon.run(&["lists", "put", "lists.json"]), @r#"
        exit 2
        4002: plans[0].priority: found 9, allowed is 0 to 3
        4002: plans[0].requests: found 0, allowed is more than 0, at most 1e9 per second
        4002: plans[0].running: found 0, allowed is 1 or more
        4002: customers[0].plan: found "none", allowed is the id of a plan in the list of plans
        4002: customers[0].digests[0]: found "zz", allowed is 64 lower-case hexadecimal digits
        "#);
}

#[test]
fn the_digest_of_a_key_is_printed() {
    let daemon = Daemon::start();
    insta::assert_snapshot!(daemon.run(&["lists", "digest", "surf-demo"]), @r#"
        exit 0
        576fcd929f146a0d503aa0a706bb2b14fb812a6739e522d33705a2a8749bb9f1
        "#);
}
