//! Tests of `poplarvale move`.

use crate::command::Daemon;

#[test]
fn a_move_needs_its_flags_and_a_platform() {
    let daemon = Daemon::start();
    insta::assert_snapshot!(daemon.run(&["move", "start", "surf-lm", "--to", "v2"]), @r#"
        exit 2
        move start needs --within
        "#);
    let start = ["move", "start", "surf-lm", "--to", "v2", "--within", "600"];
    insta::assert_snapshot!(daemon.run(&start), @r#"
        exit 1
        4004: The platform's key-value service cannot be reached.
        moves are kept in the platform's key-value service
        "#);
    insta::assert_snapshot!(daemon.run(&["move", "status", "surf-lm"]), @r#"
        exit 1
        4005: No version move of this service is on record.
        surf-lm
        "#);
    insta::assert_snapshot!(daemon.run(&["move", "wait", "surf-lm"]), @r#"
        exit 1
        4005: No version move of this service is on record.
        surf-lm
        "#);
    insta::assert_snapshot!(daemon.run(&["move", "push", "surf-lm"]), @r#"
        exit 2
        can't parse `action`, allowed are `start`, `status`, `wait` and `cancel`
        "#);
}
