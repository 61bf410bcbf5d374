//! Tests of the help texts.

use crate::command::Daemon;

#[test]
fn help_lists_commands_and_exit_codes() {
    let daemon = Daemon::start();
    insta::assert_snapshot!(daemon.run(&["--help"]), @r#"
        exit 0
        poplarvale
          Drives poplarvale: edits the two lists, asks for version moves, looks in.

          Exit codes: 0 done, 1 failed, 2 bad input, 3 conflict with another edit,
          4 token refused, 5 daemon not reached, 6 version move taken back or
          cancelled, 7 lists not yet in force everywhere.

        OPTIONS:
            --at <address>
              Operators' address of a daemon; else POPLARVALE_AT, else 127.0.0.1:8081.

            --token-file <file>
              File with the operators' token; else POPLARVALE_TOKEN_FILE.

            --json
              Writes JSON, also for failures.

            -h, --help
              Prints help information.

        SUBCOMMANDS:

        poplarvale settings
          Settings of a daemon.

          ARGS:
            <action>
              `check`: checks a settings file as a daemon would at its start.

            <file>
              File with the settings.


        poplarvale lists
          The two lists: customers' plans, and what a plan may use.


        poplarvale lists get
          Writes the lists in force as JSON, with their revision.


        poplarvale lists check
          Checks a file with lists.

          ARGS:
            <file>
              File as `lists get` writes it.


        poplarvale lists put
          Puts lists in force, if nobody edited them since.

          ARGS:
            <file>
              File as `lists get` writes it, edited.

          OPTIONS:
            --wait
              Waits until they are in force on all live daemons.


        poplarvale lists digest
          Writes the digest of an API key for the list of customers.

          ARGS:
            <key>
              API key.


        poplarvale move
          Moves of a service's requests to another version of its endpoints.

          Actions: `start SERVICE --to VERSION --within SECONDS`, `status SERVICE`,
          `wait SERVICE` until it is done or taken back, `cancel SERVICE`.

          ARGS:
            <action>
              start, status, wait or cancel.

            <service>
              Service.

          OPTIONS:
            --to <version>
              Version to move to.

            --within <seconds>
              Seconds in which the move must be finished.


        poplarvale explain
          What the daemons' logs tell of one request, in the order of time.

          ARGS:
            <id>
              Id of the request.

            <logs>...
              Log files of daemons.


        poplarvale status
          State of a daemon in short.


        poplarvale dump
          Tables of a daemon's process.

          ARGS:
            [table]
              Table; all names if left out.

            [id]
              Id of a row; all rows if left out.
        "#);
}
