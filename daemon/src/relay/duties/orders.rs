//! Orders of endpoints, sent to the platform's API.

use std::time::Instant;

use poplarvale_lib::relay::catalog::Service;
use poplarvale_lib::relay::endpoint_table::{EndpointState, EndpointTable};
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
        report_plan(state, holder, service, moving.is_some());
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

/// Logs what the orders of a service follow from when it has changed, and updates the metrics.
fn report_plan(state: &State, holder: &mut Holder, service: &Service, is_moving: bool) {
    let Some(plan) = holder.orders.plan(service, state.settings.zones.len()) else {
        return;
    };
    let table = state.endpoints.borrow();
    let held = |spot| count(&table, &service.name, spot);
    let (reclaimable, on_demand) = (held(true), held(false));
    drop(table);
    for (label, number) in [
        ("need", plan.need),
        ("reclaimable", f64::from(plan.reclaimable)),
        ("on demand", f64::from(plan.on_demand)),
        ("held reclaimable", f64::from(reclaimable)),
        ("held on demand", f64::from(on_demand)),
    ] {
        state.measure(|metrics| metrics.record_endpoints(&service.name, label, number));
    }
    let last = holder.plans.iter_mut().find(|row| row.0 == service.name);
    match last {
        Some(row) if row.1 == plan => return,
        Some(row) => row.1 = plan,
        None => holder.plans.push((service.name.clone(), plan)),
    }
    let reserve = plan.reserve;
    log::info!(
        service = service.name.as_str(), reclaimable = reclaimable, on_demand = on_demand,
        moving = is_moving;
        "fleet: the work needs {:.1} endpoints ({:.1} lately); {} reclaimable and {} on demand wanted, \
         for the loss of {} zones together or {:.0} % of all in a crash.",
        plan.need, plan.stand_in, plan.reclaimable, plan.on_demand, reserve.zones,
        reserve.crash * 100.0
    );
}

/// Number of endpoints of one kind of a service that do not leave.
fn count(table: &EndpointTable, service: &str, spot: bool) -> u32 {
    let rows = table.rows().iter().filter(|row| {
        let listing = &row.listing;
        listing.service == service && listing.spot == spot && row.state != EndpointState::Leaving
    });
    rows.count() as u32
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
