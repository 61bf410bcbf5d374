//! Runs the stand-in for the platform's host list as a program.

fn main() -> std::io::Result<()> {
    testutils::platform::program::run(testutils::platform::hosts::serve)
}
