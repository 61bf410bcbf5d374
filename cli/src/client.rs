//! HTTP client of a daemon's operator port.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use actix_web::http::Method;
use poplarvale_lib::protos::caller::Problem;
use serde_json::Value;

use crate::failure::Failure;
use crate::flags::Poplarvale;

/// Address of the daemon if neither flag nor environment names one.
const DEFAULT_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 8081);
/// Interval at which commands that wait poll the daemon.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a request to the daemon.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Largest accepted body of an answer; a dump of all requests stays below it.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Client of a daemon's operator port.
pub(crate) struct Client {
    address: SocketAddr,
    token: String,
}

impl Client {
    /// Creates a client from the flags and, where they are missing, the environment.
    pub(crate) fn new(flags: &Poplarvale) -> Result<Self, Failure> {
        Ok(Self {
            address: address(flags)?,
            token: token(flags)?,
        })
    }

    /// Sends a GET request.
    pub(crate) async fn get(&self, path: &str) -> Result<Value, Failure> {
        self.call(Method::GET, path, String::new()).await
    }

    /// Sends a PUT request with a body.
    pub(crate) async fn put(&self, path: &str, body: String) -> Result<Value, Failure> {
        self.call(Method::PUT, path, body).await
    }

    /// Sends a POST request with a body.
    pub(crate) async fn post(&self, path: &str, body: String) -> Result<Value, Failure> {
        self.call(Method::POST, path, body).await
    }

    /// Sends a DELETE request.
    pub(crate) async fn delete(&self, path: &str) -> Result<Value, Failure> {
        self.call(Method::DELETE, path, String::new()).await
    }

    async fn call(&self, method: Method, path: &str, body: String) -> Result<Value, Failure> {
        let client = awc::Client::builder().timeout(TIMEOUT).finish();
        let request = client
            .request(method, format!("http://{}{path}", self.address))
            .insert_header(("authorization", format!("Bearer {}", self.token)));
        let mut response = request
            .send_body(body)
            .await
            .map_err(|error| Failure::Unreachable(self.address, error.to_string()))?;
        let body = response
            .body()
            .limit(MAX_ANSWER_BYTES)
            .await
            .map_err(|error| Failure::InvalidAnswer(error.to_string()))?;
        if response.status().is_success() {
            return decode(&body);
        }
        let problem: Problem = decode(&body)?;
        Err(Failure::Rejected(Box::new(problem)))
    }
}

fn decode<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|error| Failure::InvalidAnswer(error.to_string()))
}

fn address(flags: &Poplarvale) -> Result<SocketAddr, Failure> {
    if let Some(at) = flags.at {
        return Ok(at);
    }
    let Ok(text) = env::var("POPLARVALE_AT") else {
        return Ok(DEFAULT_ADDRESS);
    };
    let invalid = |error| Failure::Input(format!("POPLARVALE_AT: {text:?}: {error}"));
    text.parse().map_err(invalid)
}

fn token(flags: &Poplarvale) -> Result<String, Failure> {
    let from_env = || env::var_os("POPLARVALE_TOKEN_FILE").map(PathBuf::from);
    let Some(file) = flags.token_file.clone().or_else(from_env) else {
        let hint = "no token: give --token-file FILE or set POPLARVALE_TOKEN_FILE";
        return Err(Failure::Input(hint.to_owned()));
    };
    match fs::read_to_string(&file) {
        Ok(text) => Ok(text.trim().to_owned()),
        Err(error) => Err(Failure::File(file, error)),
    }
}
