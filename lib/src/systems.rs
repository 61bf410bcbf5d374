//! Systems, in the sense of an entity-component-system design: functions that run over the tables
//! of the [`World`](crate::world::World) once per tick, each making one kind of decision.

pub(crate) mod admit;
pub mod allowance;
pub(crate) mod choose;
pub(crate) mod dispatch;
pub(crate) mod expire;
pub(crate) mod health;
pub(crate) mod intake;
pub(crate) mod leaving;
pub(crate) mod queue;
pub(crate) mod retry;
pub mod versions;
