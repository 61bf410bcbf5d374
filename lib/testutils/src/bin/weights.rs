//! Runs the stand-in for the platform's weight store as a program.

fn main() -> std::io::Result<()> {
    testutils::platform::program::run(testutils::platform::weights::serve)
}
