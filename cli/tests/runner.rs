//! Integration tests of the command, built as one program.

mod command;
mod test_explain;
mod test_help;
mod test_lists;
mod test_moves;
mod test_settings;
mod test_status;
