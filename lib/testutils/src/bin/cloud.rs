//! Runs the stand-in for the platform's cloud as a program.

fn main() -> std::io::Result<()> {
    testutils::platform::program::run(testutils::platform::cloud::serve)
}
