//! Orders of endpoints, sent to the platform's API.

use std::time::Instant;

use poplarvale_lib::relay::fleet::DesiredCount;
use poplarvale_lib::relay::rollout::{Progress, UnixMs};
use poplarvale_platform::{Order, order_call};

use super::{Holder, call_timeout};
use crate::relay::client::Client;
use crate::relay::state::State;

/// How long after the end of a version move no endpoints are given up, in milliseconds: others have
/// started in place of those that were stopped, or those of the new version have drained.
const MOVE_SETTLE_MS: UnixMs = 12_000;

/// Orders the desired number of endpoints of each service.
pub(super) async fn order_endpoints(state: &State, cloud: &mut Client, holder: &mut Holder) {
    let Some(catalog) = state.catalog.borrow().clone() else {
        return;
    };
    holder.orders.set_allowed(catalog.allowed_tokens());
    for service in &catalog.services {
        let boot = service.scaling.as_ref().map(|scaling| scaling.boot_time);
        let now = Instant::now();
        let work = state.demand.borrow().total(&service.name, now);
        let zones = &state.settings.zones;
        let orders = &mut holder.orders;
        let moving = move_under_way(state, &service.name);
        let desired_counts = orders.desired_counts(
            &state.endpoints.borrow(),
            service,
            zones,
            work,
            moving.as_ref(),
            now,
        );
        for desired in desired_counts {
            let now = Instant::now();
            if !holder.lease.may_act(now) {
                return;
            }
            if holder.orders.is_due(&desired, now) {
                let accepted = send_order(cloud, holder, &desired).await;
                let boot = boot.unwrap_or_default();
                holder
                    .orders
                    .record(&desired, accepted, boot, Instant::now());
            }
        }
    }
}

/// The version move of a service, until some time after its end: the platform stops or drains one of
/// the versions then, and the registry still lists its endpoints for a while.
fn move_under_way(state: &State, service: &str) -> Option<Progress> {
    let now = state.unix_ms();
    let moving = state.rollouts.borrow_mut().progress(service, now)?;
    let settled = moving
        .ended
        .is_some_and(|ended| now.saturating_sub(ended) >= MOVE_SETTLE_MS);
    (!settled).then_some(moving)
}

/// Sends an order; returns whether it was accepted.
async fn send_order(cloud: &mut Client, holder: &Holder, desired: &DesiredCount) -> bool {
    let order = Order {
        service: desired.service.clone(),
        zone: desired.zone.clone(),
        desired: desired.count,
        spot: desired.spot,
    };
    let kind = if desired.spot {
        "reclaimable"
    } else {
        "on demand"
    };
    let call = match order_call(&holder.duty, &order) {
        Ok(call) => call,
        Err(error) => {
            log::warn!("duty: an order could not be encoded and is not sent, {error}.");
            return false;
        }
    };
    let response = cloud.call(&call, call_timeout(holder)).await;
    let (count, zone) = (desired.count, &desired.zone);
    match response {
        Ok(reply) => {
            log::info!(
                service = desired.service.as_str(), held = desired.held;
                "duty: {count} {kind} endpoints in {zone} ordered (status {}).", reply.status
            );
            reply.status == 200
        }
        Err(error) => {
            log::info!(
                service = desired.service.as_str(), held = desired.held;
                "duty: {count} {kind} endpoints in {zone} not ordered, {error}; trying again."
            );
            false
        }
    }
}
