//! The lease that allows a daemon to write records.
//!
//! Rendezvous hashing ranks the live daemons, and only the first one tries to acquire the lease.
//! Another daemon tries once the first is no longer considered live. The fencing token of the lease
//! is the revision at which the holder's key was created, so it only grows.

use std::time::{Duration, Instant};

use actix::{ActorFutureExt as _, AsyncContext as _, Context, WrapFuture as _};
use poplarvale_lib::Incarnation;
use poplarvale_lib::config;
use poplarvale_lib::lease::Lease;
use poplarvale_lib::moves::Event;
use poplarvale_lib::store::{self, Condition, Put, Write, Written};

use super::{Moves, config_peer};

/// Key that the holder creates, attached to its lease.
const HOLDER_KEY: &str = "poplarvale/holder/moves";
/// Time after which a lease expires unless it is renewed. It outlasts a few lost calls, and a dead
/// holder delays moves by no more than the length of a stage.
const LEASE_TTL: Duration = Duration::from_secs(10);
/// Time between two renewals, and between two tries while another daemon holds the lease.
const RENEW_INTERVAL: Duration = Duration::from_secs(3);

/// An acquired lease with its fencing token.
#[derive(Clone, Debug)]
struct Grant {
    lease: store::Lease,
    fence: u64,
}

/// Result of a call to acquire or renew the lease.
enum LeaseCall {
    /// This daemon holds the lease.
    Held(Grant),
    /// Another daemon holds the lease, or it has expired.
    Lost,
    /// The outcome is unknown or the call failed.
    Failed,
}

/// This daemon's state of the lease.
#[derive(Debug, Default)]
pub(super) struct LeaseState {
    grant: Option<Grant>,
    next_call: Option<Instant>,
    in_flight: bool,
}

impl Moves {
    /// Acquires or renews the lease while a move is in progress.
    pub(super) fn maintain_lease(&mut self, now: Instant, ctx: &mut Context<Self>) {
        let active = self.records.iter().any(|(_, s)| !s.record.ended());
        let due = self.lease.next_call.is_none_or(|due| due <= now);
        if !active || !due || self.lease.in_flight || !self.is_preferred() {
            return;
        }
        let Some(store) = self.parts.store.clone() else {
            return;
        };
        self.lease.next_call = Some(now + RENEW_INTERVAL);
        self.lease.in_flight = true;
        let grant = self.lease.grant.clone();
        let me = self.parts.incarnation;
        let call = async move {
            match grant {
                Some(grant) => renew(&*store, grant).await,
                None => acquire(&*store, me).await,
            }
        };
        ctx.spawn(
            call.into_actor(self)
                .map(|result, moves, _| moves.apply_call(result)),
        );
    }

    /// Applies the result of a call.
    fn apply_call(&mut self, called: LeaseCall) {
        self.lease.in_flight = false;
        self.lease.grant = match called {
            LeaseCall::Held(grant) => Some(grant),
            LeaseCall::Lost => None,
            // A lease that is held expires on its own.
            LeaseCall::Failed => return,
        };
        let lease = self.lease.grant.as_ref().map(|grant| Lease {
            fence: grant.fence,
            deadline: grant.lease.until,
        });
        for (service, _) in &self.records {
            self.send_event(service, Event::Lease(lease.clone()));
        }
    }

    fn is_preferred(&self) -> bool {
        let everywhere = self.live.iter().map(|peer| config::Peer {
            zone: "".into(),
            ..config_peer(peer)
        });
        let peers: Vec<config::Peer> = everywhere.collect();
        let first = config::watchers("", &peers).first().copied();
        first.is_none_or(|first| first == self.parts.incarnation)
    }
}

async fn renew(store: &impl store::Store, grant: Grant) -> LeaseCall {
    match store.renew(grant.lease.id).await {
        Ok(Some(lease)) => LeaseCall::Held(Grant { lease, ..grant }),
        Ok(None) => LeaseCall::Lost,
        Err(_failure) => LeaseCall::Failed,
    }
}

/// Tries to acquire the lease.
async fn acquire(store: &impl store::Store, me: Incarnation) -> LeaseCall {
    let Ok(lease) = store.grant(LEASE_TTL).await else {
        return LeaseCall::Failed;
    };
    let write = Write {
        conditions: vec![Condition::Absent(HOLDER_KEY.into())],
        puts: vec![Put {
            key: HOLDER_KEY.into(),
            value: me.to_be_bytes().to_vec().into(),
            lease: lease.id,
        }],
    };
    match store.write(write).await {
        Ok(Written::Done(fence)) => LeaseCall::Held(Grant { lease, fence }),
        Ok(Written::Conflict(_)) => {
            // Another daemon holds it. If this call fails, the unused lease expires.
            if let Err(failure) = store.revoke(lease.id).await {
                log::debug!(
                    "moves: cannot revoke an unused lease, it stays until it expires: {failure:?}."
                );
            }
            LeaseCall::Lost
        }
        Err(_failure) => LeaseCall::Failed,
    }
}
