//! Runs the stand-in for the platform's key-value service as a program.

fn main() -> std::io::Result<()> {
    testutils::platform::program::run(testutils::platform::store::serve)
}
