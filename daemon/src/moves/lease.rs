//! The lease under which records are written.
//!
//! Of all live daemons the first by rendezvous hashing tries for it; another one
//! tries only once the first is no longer seen alive. The lease's fencing number
//! is the revision at which its holder's key was created, which only grows.

use std::time::{Duration, Instant};

use actix::{ActorFutureExt as _, AsyncContext as _, Context, WrapFuture as _};
use poplarvale_lib::Incarnation;
use poplarvale_lib::config;
use poplarvale_lib::lease::Lease;
use poplarvale_lib::moves::Event;
use poplarvale_lib::store::{self, Condition, Put, Write, Written};

use super::{Moves, known};

/// Key that the holder's lease hangs on.
const HOLDER: &str = "poplarvale/holder/moves";
/// Time after which an unrenewed lease lapses: a few lost calls may pass, and a
/// dead holder stops moves for no longer than a stage.
const LASTS: Duration = Duration::from_secs(10);
/// How often it is renewed, and tried for while another daemon holds it.
const RENEW: Duration = Duration::from_secs(3);

/// A lease that was given, with its fencing number.
#[derive(Clone, Debug)]
struct Grant {
    lease: store::Lease,
    fence: u64,
}

/// How a call about the lease went.
enum Called {
    /// It is held.
    Held(Grant),
    /// Another daemon has it, or it lapsed.
    Lost,
    /// No answer came.
    Silent,
}

/// What this daemon has of the lease.
#[derive(Debug, Default)]
pub(super) struct Holder {
    held: Option<Grant>,
    due: Option<Instant>,
    calling: bool,
}

impl Moves {
    /// Takes or renews the lease, while a move goes on.
    pub(super) fn hold(&mut self, now: Instant, ctx: &mut Context<Self>) {
        let open = self.records.iter().any(|(_, s)| !s.record.ended());
        let due = self.holder.due.is_none_or(|due| due <= now);
        if !open || !due || self.holder.calling || !self.is_first() {
            return;
        }
        let Some(store) = self.parts.store.clone() else {
            return;
        };
        self.holder.due = Some(now + RENEW);
        self.holder.calling = true;
        let held = self.holder.held.clone();
        let me = self.parts.incarnation;
        let call = async move {
            match held {
                Some(grant) => renew(&*store, grant).await,
                None => take(&*store, me).await,
            }
        };
        ctx.spawn(call.into_actor(self).map(|held, moves, _| moves.held(held)));
    }

    /// Takes in how a call went.
    fn held(&mut self, called: Called) {
        self.holder.calling = false;
        self.holder.held = match called {
            Called::Held(grant) => Some(grant),
            Called::Lost => None,
            // What is held runs out by itself.
            Called::Silent => return,
        };
        let lease = self.holder.held.as_ref().map(|grant| Lease {
            fence: grant.fence,
            deadline: grant.lease.until,
        });
        for (service, _) in &self.records {
            self.tell(service, Event::Lease(lease.clone()));
        }
    }

    fn is_first(&self) -> bool {
        let everywhere = self.live.iter().map(|peer| config::Peer {
            zone: "".into(),
            ..known(peer)
        });
        let peers: Vec<config::Peer> = everywhere.collect();
        let first = config::watchers("", &peers).first().copied();
        first.is_none_or(|first| first == self.parts.incarnation)
    }
}

async fn renew(store: &impl store::Store, grant: Grant) -> Called {
    match store.renew(grant.lease.id).await {
        Ok(Some(lease)) => Called::Held(Grant { lease, ..grant }),
        Ok(None) => Called::Lost,
        Err(_failure) => Called::Silent,
    }
}

/// Tries for the lease.
async fn take(store: &impl store::Store, me: Incarnation) -> Called {
    let Ok(lease) = store.grant(LASTS).await else {
        return Called::Silent;
    };
    let write = Write {
        conditions: vec![Condition::Absent(HOLDER.into())],
        puts: vec![Put {
            key: HOLDER.into(),
            value: me.to_be_bytes().to_vec().into(),
            lease: lease.id,
        }],
    };
    match store.write(write).await {
        Ok(Written::Done(fence)) => Called::Held(Grant { lease, fence }),
        Ok(Written::Conflict(_)) => {
            // Another daemon holds it. If this call fails the unused lease lapses.
            if let Err(failure) = store.revoke(lease.id).await {
                log::debug!("moves: an unused lease stays until it lapses, {failure:?}.");
            }
            Called::Lost
        }
        Err(_failure) => Called::Silent,
    }
}
