//! What a configuration says of the handling of one request, as a number that daemons can compare.
//!
//! Daemons get a configuration at different times, so one that serves a request for another one may
//! know an older or a newer one. Its caller must not see a configuration that the daemon it is
//! connected to does not have in force: the next request there would be handled by an older one again.
//! Versions need not be equal for that, only what they say of the route and the team of this request.

use xxhash_rust::xxh3::Xxh3;

use super::catalog::{RetryPolicy, Route, Team, Unit};

/// Digest of what a configuration says of a request.
pub type Handling = u64;

/// Returns the digest of a request on a route, of a team if its key has one.
///
/// Names and targets that only weigh one endpoint against another are left out.
pub fn handling(route: &Route, team: Option<&Team>) -> Handling {
    let mut digest = Digest(Xxh3::new());
    digest.text(&route.host);
    digest.text(&route.prefix);
    digest.number(match route.retry_policy {
        RetryPolicy::Idempotent => 0,
        RetryPolicy::NonIdempotent => 1,
        RetryPolicy::ResumableStream => 2,
        RetryPolicy::NonIdempotentStream => 3,
    });
    digest.number(route.timeout.as_millis() as u64);
    digest.number(route.attempts.into());
    digest.number(route.backends.len() as u64);
    for backend in &route.backends {
        digest.text(&backend.service);
        digest.number(backend.weight.into());
    }
    digest.texts(&route.regions);
    digest.number(team.is_some().into());
    if let Some(team) = team {
        digest.text(&team.name);
        digest.number(team.rate.map_or(u64::MAX, f64::to_bits));
        digest.number(team.burst.to_bits());
        digest.number(match team.unit {
            Unit::Requests => u64::MAX,
            Unit::Tokens(plain) => plain.to_bits(),
        });
        digest.texts(&team.regions);
    }
    digest.0.digest()
}

/// Digest of a sequence of fields, the same on all machines.
struct Digest(Xxh3);

impl Digest {
    fn number(&mut self, number: u64) {
        self.0.update(&number.to_le_bytes());
    }

    /// Adds a text with its length, so that no two sequences of texts are alike.
    fn text(&mut self, text: &str) {
        self.number(text.len() as u64);
        self.0.update(text.as_bytes());
    }

    fn texts(&mut self, texts: &[impl AsRef<str>]) {
        self.number(texts.len() as u64);
        for text in texts {
            self.text(text.as_ref());
        }
    }
}
