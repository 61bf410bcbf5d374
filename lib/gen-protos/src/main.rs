//! Generates the committed wire types from the `.proto` files in the same directory.
//!
//! Run it after a change to a file under `lib/src/protos`. With `--check` it
//! changes no committed file and fails if one differs from the generated one. CI runs this
//! check, so that the build itself needs no generator.

use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const PROTO_DIR: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../src/protos");

fn main() -> ExitCode {
    let check = std::env::args().any(|arg| arg == "--check");
    match run(check) {
        Ok(stale) if stale.is_empty() => ExitCode::SUCCESS,
        Ok(stale) => {
            for file in stale {
                eprintln!("{} differs: run `cargo run -p gen-protos`", file.display());
            }
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("gen-protos: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Generates all types; if `check` is set, returns the committed files that differ.
fn run(check: bool) -> Result<Vec<PathBuf>, Box<dyn Error>> {
    let dir = Path::new(PROTO_DIR);
    let out = if check {
        std::env::temp_dir().join(format!("gen-protos-{}", std::process::id()))
    } else {
        dir.to_path_buf()
    };
    fs::create_dir_all(&out)?;
    generate(dir, &out)?;
    if !check {
        return Ok(Vec::new());
    }
    let stale = changed_files(&out, dir)?;
    fs::remove_dir_all(&out)?;
    Ok(stale)
}

fn generate(dir: &Path, out: &Path) -> Result<(), Box<dyn Error>> {
    let protos = files(dir, "proto")?;
    let set = protox::compile(&protos, [dir])?;
    prost_build::Config::new()
        .out_dir(out)
        .type_attribute(".", "#[derive(serde::Serialize, serde::Deserialize)]")
        .message_attribute(".", "#[serde(default)]")
        .field_attribute("ID", "#[serde(rename = \"ID\")]")
        .field_attribute("TTL", "#[serde(rename = \"TTL\")]")
        .compile_fds(set)?;
    Ok(())
}

fn changed_files(fresh: &Path, committed: &Path) -> Result<Vec<PathBuf>, Box<dyn Error>> {
    let mut stale = Vec::new();
    for file in files(fresh, "rs")? {
        let name = file.file_name().ok_or("a generated file has no name")?;
        let old = committed.join(name);
        if fs::read(&file)? != fs::read(&old).unwrap_or_default() {
            stale.push(old);
        }
    }
    Ok(stale)
}

fn files(dir: &Path, extension: &str) -> Result<Vec<PathBuf>, Box<dyn Error>> {
    let mut found = Vec::new();
    for entry in fs::read_dir(dir)? {
        let path = entry?.path();
        if path.extension().is_some_and(|e| e == extension) {
            found.push(path);
        }
    }
    found.sort();
    Ok(found)
}
