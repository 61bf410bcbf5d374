//! Client for the platform's list of hosts, and the endpoints derived from its answers.
//!
//! The list lags and can be wrong for a while, so a single answer is not trusted. An endpoint that
//! is missing from one answer may be back in the next, and the streams moved off it would have been
//! recomputed for nothing; it counts as gone only after [`GONE_ANSWERS`] answers without it. A list
//! service that has just restarted may name few hosts or none. If it were trusted, a daemon would
//! reject all requests although its endpoints are healthy; so while more than half of the known
//! ones are missing, [`MASS_GONE_ANSWERS`] answers are required. An endpoint that is really gone
//! costs little meanwhile: its connections are refused, and it is ejected for that.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use poplarvale_lib::protos::platform::{ListedHost, ListedHosts};
use poplarvale_lib::{EndpointId, Input, ListedEndpoint, Row, Table};

/// Timeout of a call; the list is requested again after it.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer: 4,400 hosts of about 200 bytes each, and four times as much in reserve.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Consecutive answers without an endpoint after which it counts as gone.
pub const GONE_ANSWERS: u32 = 3;
/// The same number while more than half of the known endpoints are missing.
pub const MASS_GONE_ANSWERS: u32 = 30;
/// Assumed time until a leaving endpoint is gone if the list gives none. It is short, because a
/// stream that is moved too early loses less than one that is cut off.
pub const DEFAULT_NOTICE: Duration = Duration::from_secs(10);
/// How much earlier a new end must be to be reported again: the end of one notice differs between
/// two answers by the time that the answers took.
const MIN_ADVANCE: Duration = Duration::from_millis(500);

/// Why a call to the list failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HostsError {
    /// The list could not be reached in time.
    #[error("the list of hosts could not be reached")]
    Unreachable,
    /// The status was not a success, or the body was no list.
    #[error("the answer of the list of hosts was invalid")]
    Malformed,
}

/// Client of the list of hosts.
#[derive(Clone, Copy, Debug)]
pub struct HostsClient {
    address: SocketAddr,
}

impl HostsClient {
    /// Client of the list at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Requests the list.
    ///
    /// # Errors
    /// If it cannot be reached or its answer is invalid.
    pub async fn list(&self) -> Result<ListedHosts, HostsError> {
        let client = awc::Client::builder().timeout(CALL_TIMEOUT).finish();
        let sent = client.get(format!("http://{}/hosts", self.address)).send();
        let mut response = sent.await.map_err(|_unsent| HostsError::Unreachable)?;
        if !response.status().is_success() {
            return Err(HostsError::Malformed);
        }
        let body = response.json().limit(MAX_ANSWER_BYTES).await;
        body.map_err(|_broken| HostsError::Malformed)
    }
}

/// An endpoint that the list contained.
#[derive(Clone, Debug, PartialEq)]
struct Host {
    known: ListedEndpoint,
    /// Consecutive answers without it.
    absent: u32,
}

impl Row for Host {
    type Id = EndpointId;
    fn id(&self) -> &EndpointId {
        &self.known.id
    }
}

/// A notice that was reported to the core.
#[derive(Clone, Debug, PartialEq)]
struct Reported {
    endpoint: EndpointId,
    until: Instant,
}

impl Row for Reported {
    type Id = EndpointId;
    fn id(&self) -> &EndpointId {
        &self.endpoint
    }
}

/// Endpoints derived from the answers so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostList {
    /// Endpoints of the settings, sorted. From the list, only their reclaim notices are used.
    fixed: Vec<EndpointId>,
    hosts: Table<Host>,
    reported: Table<Reported>,
}

impl HostList {
    /// List before the first answer, with the endpoints of the settings.
    pub fn new(mut fixed: Vec<EndpointId>) -> Self {
        fixed.sort_unstable();
        Self {
            fixed,
            ..Self::default()
        }
    }

    /// Applies an answer; returns the inputs for the core. Hosts without a service or with an
    /// invalid address are skipped.
    pub fn apply(&mut self, now: Instant, answer: &ListedHosts) -> Vec<Input> {
        let mut inputs = Vec::new();
        let mut named: Vec<EndpointId> = Vec::with_capacity(answer.hosts.len());
        for (listed, known) in answer.hosts.iter().filter_map(endpoint) {
            named.push(known.id.clone());
            // The notice comes first, so that a leaving endpoint never gets a request.
            inputs.extend(self.notice(now, listed, &known.id));
            inputs.extend(self.apply_endpoint(known));
        }
        named.sort_unstable();
        inputs.extend(self.count_absent(&named));
        inputs
    }

    /// Input for a notice that is new or now ends earlier.
    fn notice(&mut self, now: Instant, listed: &ListedHost, id: &EndpointId) -> Option<Input> {
        if !listed.leaving {
            return None;
        }
        let left = listed.left_ms.map_or(DEFAULT_NOTICE, Duration::from_millis);
        // The list may give any number; one beyond the range of the clock must not panic.
        let until = now.checked_add(left).unwrap_or(now + DEFAULT_NOTICE);
        let reported = self.reported.get(id).map(|reported| reported.until);
        if reported.is_some_and(|reported| until + MIN_ADVANCE > reported) {
            return None;
        }
        self.reported.insert(Reported {
            endpoint: id.clone(),
            until,
        });
        Some(Input::Leaving {
            endpoint: id.clone(),
            until,
        })
    }

    /// Input for an endpoint that is new or has changed.
    fn apply_endpoint(&mut self, known: ListedEndpoint) -> Option<Input> {
        if self.fixed.binary_search(&known.id).is_ok() {
            return None;
        }
        let old = self.hosts.get(&known.id).map(|host| &host.known);
        let changed = old != Some(&known);
        self.hosts.insert(Host {
            known: known.clone(),
            absent: 0,
        });
        changed.then_some(Input::Endpoint(known))
    }

    /// Counts an answer for the endpoints missing from it; returns inputs for those that are gone.
    fn count_absent(&mut self, named: &[EndpointId]) -> Vec<Input> {
        let is_missing = |id: &EndpointId| named.binary_search(id).is_err();
        let absent = self
            .hosts
            .iter()
            .filter(|h| is_missing(&h.known.id))
            .count();
        let required = if absent * 2 > self.hosts.len() && absent > 1 {
            MASS_GONE_ANSWERS
        } else {
            GONE_ANSWERS
        };
        let mut gone = Vec::new();
        for host in &mut self.hosts {
            if is_missing(&host.known.id) {
                host.absent += 1;
            }
            if host.absent >= required {
                gone.push(host.known.id.clone());
            }
        }
        for id in &gone {
            self.hosts.remove(id);
            self.reported.remove(id);
        }
        gone.into_iter().map(Input::Gone).collect()
    }
}

/// Endpoint of a listed host; none if the host has no service or an invalid address.
fn endpoint(listed: &ListedHost) -> Option<(&ListedHost, ListedEndpoint)> {
    if listed.id.is_empty() || listed.service.is_empty() {
        return None;
    }
    let known = ListedEndpoint {
        id: listed.id.as_str().into(),
        service: listed.service.as_str().into(),
        zone: listed.zone.as_str().into(),
        address: listed.address.parse().ok()?,
        version: listed.version.as_str().into(),
    };
    Some((listed, known))
}
