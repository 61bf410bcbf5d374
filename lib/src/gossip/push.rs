//! Urgent rows, pushed at once.
//!
//! Gossip rounds bring a row to all daemons within some seconds, which is too
//! slow for an endpoint that drains or a bad version: during each second of
//! delay, requests are sent to the wrong place. The writer pushes such rows to
//! all daemons of its zone and to the bridges of every other zone within the
//! scope; a daemon that receives one from another zone pushes it on to its own
//! zone. There are two bridges, because one may have died and not be detected
//! yet.
//!
//! A push is not answered and may be lost; the next rounds deliver the row
//! then. The receiver did not ask for it either, so its age is unknown: a push
//! renews no deadline, and is ignored for a lane that is not held.

use std::time::Instant;

use crate::gossip::exchange::{apply_row, parse_row};
use crate::gossip::lane::Row;
use crate::gossip::{Call, Change, GossipError, Message, Peer, Replica, Scope};
use crate::protos::peer;

impl Replica {
    /// Applies pushed rows, and adds what changed to `changes`; returns the
    /// pushes to forward.
    ///
    /// # Errors
    ///
    /// Rejects a push that cannot be parsed or is over the limits. Rows before
    /// the rejected one are applied and reported.
    pub fn receive(
        &mut self,
        now: Instant,
        push: peer::Push,
        changes: &mut Vec<Change>,
    ) -> Result<Vec<Call>, GossipError> {
        let from = push.from.as_ref().ok_or(GossipError::BadField("from"))?;
        let from = Peer::try_from(from)?;
        changes.extend(self.expire(now));
        let mut newer = Vec::new();
        for pushed in push.rows {
            if self.apply_pushed(now, &pushed, changes)? {
                newer.push(pushed);
            }
        }
        if newer.is_empty() || from.is_same_zone(self.me()) {
            return Ok(Vec::new());
        }
        let near = self.live_zone_peers(now);
        Ok(self.calls(&near, &newer))
    }

    /// Pushes of a row written by this daemon: to its zone, and to bridges of
    /// other zones.
    pub(crate) fn pushes(&self, now: Instant, scope: Scope, row: &Row) -> Vec<Call> {
        let pushed = peer::Pushed {
            origin: self.me().incarnation,
            scope: scope.number(),
            row: Some(row.message(now)),
        };
        let mut to = self.live_zone_peers(now);
        for zone in self.bridges_by_zone(now, scope) {
            to.extend(zone);
        }
        self.calls(&to, &[pushed])
    }

    /// Applies one pushed row; returns whether it was newer than what is held.
    fn apply_pushed(
        &mut self,
        now: Instant,
        pushed: &peer::Pushed,
        changes: &mut Vec<Change>,
    ) -> Result<bool, GossipError> {
        let id = pushed.origin;
        let message = pushed.row.clone().ok_or(GossipError::BadField("row"))?;
        let scope = Scope::from_number(pushed.scope).ok_or(GossipError::BadField("scope"))?;
        let row = parse_row(message, now)?;
        if id == self.me().incarnation {
            return Ok(false);
        }
        let Some(origin) = self.origins.get_mut(&id) else {
            return Ok(false);
        };
        let Some(lane) = origin.lanes.iter_mut().find(|l| l.scope == scope) else {
            return Ok(false);
        };
        if !lane.is_newer(&row) {
            return Ok(false);
        }
        lane.check_room(std::iter::once(&row))?;
        apply_row(lane, id, row, changes);
        Ok(true)
    }

    /// Live daemons of the own zone without this one.
    fn live_zone_peers(&self, now: Instant) -> Vec<&Peer> {
        let me = self.me();
        self.live(now)
            .filter(|p| p.is_same_zone(me) && p.incarnation != me.incarnation)
            .collect()
    }

    fn calls(&self, to: &[&Peer], rows: &[peer::Pushed]) -> Vec<Call> {
        let push = peer::Push {
            from: Some(self.me().message()),
            rows: rows.to_vec(),
        };
        to.iter()
            .map(|peer| Call {
                to: peer.address,
                message: Message::Push(push.clone()),
            })
            .collect()
    }
}
