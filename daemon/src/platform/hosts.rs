//! The platform's list of hosts: its client, and what its answers amount to.
//!
//! The list lags and can be wrong for a while, so its answers are not taken at
//! their word. An endpoint that is missing from one answer may be there in the
//! next, and streams that were moved away for it would be computed again; it
//! counts as gone only after [`ABSENT`] answers without it. A list that has just
//! been restarted may name few hosts or none. Were it believed, a daemon would
//! refuse all work before healthy endpoints; so when most of the known ones are
//! missing at once, [`ABSENT_MANY`] answers are asked for. An endpoint that is
//! really gone costs little meanwhile: its connections are refused, and it is
//! shunned for that.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use poplarvale_lib::protos::platform::{ListedHost, ListedHosts};
use poplarvale_lib::{EndpointId, Input, ListedEndpoint, Row, Table};

/// Time for a whole call; one that takes longer is made anew.
const CALL_TIME: Duration = Duration::from_secs(2);
/// Largest answer: 4,400 hosts of about 200 bytes each, and as much again four
/// times over.
const MOST_ANSWER: usize = 4 << 20;
/// Answers in a row without an endpoint after which it is gone.
pub const ABSENT: u32 = 3;
/// The same while more than half of the known endpoints are missing.
pub const ABSENT_MANY: u32 = 30;
/// Supposed time until a leaving endpoint is gone if the list names none: short,
/// as streams that are carried on too early lose less than those cut off.
pub const SUPPOSED: Duration = Duration::from_secs(10);
/// How much earlier an end must be to be told again: the same notice, read
/// twice, differs by the time that the answers took.
const EARLIER: Duration = Duration::from_millis(500);

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HostsError {
    /// The list could not be reached in time.
    #[error("the list of hosts was not reached")]
    Unreached,
    /// It gave another status than 200 or something that is no list.
    #[error("the list of hosts gave no list")]
    Malformed,
}

/// Client of the list.
#[derive(Clone, Copy, Debug)]
pub struct HostsClient {
    address: SocketAddr,
}

impl HostsClient {
    /// Client of the list at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Asks for the list.
    ///
    /// # Errors
    /// If it is not reached, or answers with something else.
    pub async fn list(&self) -> Result<ListedHosts, HostsError> {
        let client = awc::Client::builder().timeout(CALL_TIME).finish();
        let asked = client.get(format!("http://{}/hosts", self.address)).send();
        let mut response = asked.await.map_err(|_unsent| HostsError::Unreached)?;
        if !response.status().is_success() {
            return Err(HostsError::Malformed);
        }
        let body = response.json().limit(MOST_ANSWER).await;
        body.map_err(|_broken| HostsError::Malformed)
    }
}

/// An endpoint that the list has named.
#[derive(Clone, Debug, PartialEq)]
struct Host {
    known: ListedEndpoint,
    /// Answers in a row without it.
    absent: u32,
}

impl Row for Host {
    type Id = EndpointId;
    fn id(&self) -> &EndpointId {
        &self.known.id
    }
}

/// A notice that was told already.
#[derive(Clone, Debug, PartialEq)]
struct Told {
    endpoint: EndpointId,
    until: Instant,
}

impl Row for Told {
    type Id = EndpointId;
    fn id(&self) -> &EndpointId {
        &self.endpoint
    }
}

/// What the answers so far amount to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostList {
    /// Endpoints named in the settings, sorted. The list only tells when they
    /// leave.
    fixed: Vec<EndpointId>,
    hosts: Table<Host>,
    told: Table<Told>,
}

impl HostList {
    /// List without an answer yet, beside the endpoints of the settings.
    pub fn new(mut fixed: Vec<EndpointId>) -> Self {
        fixed.sort_unstable();
        Self {
            fixed,
            ..Self::default()
        }
    }

    /// Takes an answer; returns what the core is to hear of it. Hosts that serve
    /// nothing, or whose address cannot be read, are passed over.
    pub fn take(&mut self, now: Instant, answer: &ListedHosts) -> Vec<Input> {
        let mut inputs = Vec::new();
        let mut named: Vec<EndpointId> = Vec::with_capacity(answer.hosts.len());
        for (listed, known) in answer.hosts.iter().filter_map(endpoint) {
            named.push(known.id.clone());
            // The notice goes first: the endpoint then never takes work.
            inputs.extend(self.notice(now, listed, &known.id));
            inputs.extend(self.name(known));
        }
        named.sort_unstable();
        inputs.extend(self.miss(&named));
        inputs
    }

    /// A notice that was not told yet.
    fn notice(&mut self, now: Instant, listed: &ListedHost, id: &EndpointId) -> Option<Input> {
        if !listed.leaving {
            return None;
        }
        let left = listed.left_ms.map_or(SUPPOSED, Duration::from_millis);
        // The list may name any number, and one beyond the clock must not stop
        // the daemon.
        let until = now.checked_add(left).unwrap_or(now + SUPPOSED);
        let told = self.told.get(id).map(|told| told.until);
        if told.is_some_and(|told| until + EARLIER > told) {
            return None;
        }
        self.told.insert(Told {
            endpoint: id.clone(),
            until,
        });
        Some(Input::Leaving {
            endpoint: id.clone(),
            until,
        })
    }

    /// An endpoint that is new or has changed.
    fn name(&mut self, known: ListedEndpoint) -> Option<Input> {
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

    /// Counts the answer against the endpoints that it lacks.
    fn miss(&mut self, named: &[EndpointId]) -> Vec<Input> {
        let lacks = |id: &EndpointId| named.binary_search(id).is_err();
        let absent = self.hosts.iter().filter(|h| lacks(&h.known.id)).count();
        let most = if absent * 2 > self.hosts.len() && absent > 1 {
            ABSENT_MANY
        } else {
            ABSENT
        };
        let mut gone = Vec::new();
        for host in &mut self.hosts {
            if lacks(&host.known.id) {
                host.absent += 1;
            }
            if host.absent >= most {
                gone.push(host.known.id.clone());
            }
        }
        for id in &gone {
            self.hosts.remove(id);
            self.told.remove(id);
        }
        gone.into_iter().map(Input::Gone).collect()
    }
}

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
