//! Queries on the core and edits of the lists, for operators and the other actors.

use std::time::Instant;

use actix::{Context, Handler, MessageResult};
use poplarvale_lib::moves::FULL_SHARE;
use poplarvale_lib::moves::ask::Fleet;
use poplarvale_lib::protos::operator::Status;
use poplarvale_lib::{
    Accepted, Input, Lists, Request, Revision, Row as _, ServiceId, ServiceKind, TABLES, VersionId,
};
use serde_json::Value;

use super::Core;
use super::messages::{
    DumpTable, Engine, GetEngines, GetFleet, GetLists, GetShares, GetStatus, GetTables, IsIdle,
    MoveFreshness, PutError, PutLists,
};

impl Core {
    fn status(&self) -> Status {
        let world = &self.world;
        let waits = |request: &&Request| matches!(request, Request::Waiting(_));
        let waiting = world.requests.iter().filter(waits).count();
        let leaving = world
            .endpoints
            .iter()
            .filter(|e| e.leaving.is_some())
            .count();
        Status {
            incarnation: format!("{:016x}", world.setup.incarnation),
            zone: world.setup.zone.to_string(),
            region: world.setup.region.to_string(),
            revision: world.revision,
            draining: world.draining,
            customers: world.customers.len() as u32,
            plans: world.plans.len() as u32,
            endpoints: world.endpoints.len() as u32,
            leaving: leaving as u32,
            waiting: waiting as u32,
            running: (world.requests.len() - waiting) as u32,
        }
    }

    /// Counts the endpoints of a service by version for a move to a version. Of the other versions
    /// the configured one counts as current, or else the one with the most endpoints.
    fn fleet(&self, service: &ServiceId, to: &VersionId) -> Option<Fleet> {
        let row = self.world.services.get(service)?;
        let configured = row.version.as_ref();
        let mut counts: Vec<(VersionId, u32)> = Vec::new();
        for endpoint in self
            .world
            .endpoints
            .iter()
            .filter(|e| e.service == *service)
        {
            match counts
                .iter_mut()
                .find(|(version, _)| *version == endpoint.version)
            {
                Some((_, count)) => *count += 1,
                None => counts.push((endpoint.version.clone(), 1)),
            }
        }
        let new = counts.iter().find(|(version, _)| version == to);
        let new = new.map_or(0, |(_, count)| *count);
        let others = counts.iter().filter(|(version, _)| version != to);
        let rank = |(version, count): &&(VersionId, u32)| (Some(version) == configured, *count);
        let (version, old) = others.max_by_key(rank)?.clone();
        let idempotent = match row.kind {
            ServiceKind::Model => FULL_SHARE,
            // Only the initial value: the move controllers use the mix that they observe.
            ServiceKind::Plain => FULL_SHARE / 2,
        };
        Some(Fleet {
            version,
            old,
            new,
            idempotent,
        })
    }

    fn lists(&self) -> Accepted {
        let lists = Lists {
            customers: self.world.customers.iter().cloned().collect(),
            plans: self.world.plans.iter().cloned().collect(),
        };
        Accepted {
            revision: self.world.revision,
            lists,
        }
    }
}

impl Handler<GetStatus> for Core {
    type Result = MessageResult<GetStatus>;

    fn handle(&mut self, _: GetStatus, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.status())
    }
}

impl Handler<GetLists> for Core {
    type Result = MessageResult<GetLists>;

    fn handle(&mut self, _: GetLists, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.lists())
    }
}

impl Handler<PutLists> for Core {
    type Result = Result<Revision, PutError>;

    fn handle(&mut self, msg: PutLists, ctx: &mut Context<Self>) -> Self::Result {
        let errors = msg.lists.check();
        if !errors.is_empty() {
            return Err(PutError::Invalid(errors));
        }
        let current = self.world.revision;
        if msg.base != current {
            return Err(PutError::Conflict { current });
        }
        let revision = current + 1;
        self.push_input(
            Input::Lists(Accepted {
                revision,
                lists: msg.lists,
            }),
            ctx,
        );
        self.tick(ctx);
        Ok(revision)
    }
}

impl Handler<IsIdle> for Core {
    type Result = bool;

    fn handle(&mut self, _: IsIdle, _: &mut Context<Self>) -> bool {
        self.is_idle()
    }
}

impl Handler<GetEngines> for Core {
    type Result = MessageResult<GetEngines>;

    fn handle(&mut self, msg: GetEngines, _: &mut Context<Self>) -> Self::Result {
        let services = &self.world.services;
        let is_model = |id| {
            services
                .get(id)
                .is_some_and(|s| s.kind == ServiceKind::Model)
        };
        let local = self.world.endpoints.iter().filter(|e| e.zone == msg.0);
        let engines = local.filter(|e| is_model(&e.service)).map(|e| Engine {
            id: e.id.clone(),
            address: e.address,
        });
        MessageResult(engines.collect())
    }
}

impl Handler<GetShares> for Core {
    type Result = MessageResult<GetShares>;

    fn handle(&mut self, _: GetShares, _: &mut Context<Self>) -> Self::Result {
        let world = &self.world;
        MessageResult(world.load.shares.rows(world.setup.incarnation))
    }
}

impl Handler<GetTables> for Core {
    type Result = MessageResult<GetTables>;

    fn handle(&mut self, _: GetTables, _: &mut Context<Self>) -> Self::Result {
        MessageResult(TABLES.to_vec())
    }
}

impl Handler<DumpTable> for Core {
    type Result = Option<Vec<(String, Value)>>;

    fn handle(&mut self, msg: DumpTable, _: &mut Context<Self>) -> Self::Result {
        self.world.dump(&msg.0, Instant::now())
    }
}

impl Handler<MoveFreshness> for Core {
    type Result = MessageResult<MoveFreshness>;

    fn handle(&mut self, _: MoveFreshness, _: &mut Context<Self>) -> Self::Result {
        let now = Instant::now();
        let moves = self.world.moves.iter();
        MessageResult(moves.map(|m| (m.id().clone(), m.is_fresh(now))).collect())
    }
}

impl Handler<GetFleet> for Core {
    type Result = Option<Fleet>;

    fn handle(&mut self, msg: GetFleet, _: &mut Context<Self>) -> Self::Result {
        self.fleet(&msg.0, &msg.1)
    }
}
