//! Tests of `poplarvale settings check`.

use testutils::folder::Folder;

use crate::command::{embedded, run};

#[test]
fn valid_settings_pass_the_check() {
    let folder = Folder::new();
    folder.write("settings.json", &embedded("settings.json"));
    insta::assert_snapshot!(run(folder.path(), &["settings", "check", "settings.json"]), @r#"
        exit 0
        settings.json: settings are fine
        "#);
}

#[test]
fn each_error_names_its_field() {
    let folder = Folder::new();
    let invalid = embedded("settings.json")
        .replace(
            "\"zone\": \"hanko\",\n  \"region\"",
            "\"zone\": \"han ko\",\n  \"region\"",
        )
        .replace("127.0.0.1:8082", "127.0.0.1:8081")
        .replace("\"deadline_ms\": 5000", "\"deadline_ms\": 5");
    folder.write("settings.json", &invalid);
    insta::assert_snapshot!(run(folder.path(), &["settings", "check", "settings.json"]), @r#"
        exit 2
        5002: zone: found "han ko", allowed is 1 to 64 of a-z, A-Z, 0-9, '-', '_' and '.'
        5002: peers: found 127.0.0.1:8081, allowed is an address of its own
        5002: services[1].routes[0].deadline_ms: found 5, allowed is 10 to 3600000
        "#);
}

#[test]
fn unknown_fields_and_wrong_types_are_reported() {
    let folder = Folder::new();
    let invalid = embedded("settings.json").replace("\"kind\": \"plain\"", "\"kind\": \"simple\"");
    folder.write("kind.json", &invalid);
    insta::assert_snapshot!(run(folder.path(), &["settings", "check", "kind.json"]), @r#"
        exit 2
        5002: services[1].kind: unknown variant `simple`, expected `model` or `plain` at line 18 column 40
        "#);
    let invalid = embedded("settings.json").replace("\"region\"", "\"regoin\"");
    folder.write("field.json", &invalid);
    insta::assert_snapshot!(run(folder.path(), &["settings", "check", "field.json"]), @r#"
        exit 2
        5002: regoin: unknown field `regoin`, expected one of `zone`, `region`, `callers`, `operators`, `peers`, `credentials`, `seeds`, `platform`, `lists`, `services`, `limits`, `logs` at line 3 column 10
        "#);
    insta::assert_snapshot!(run(folder.path(), &["settings", "check", "none.json"]), @r#"
        exit 2
        none.json: No such file or directory (os error 2)
        "#);
}
