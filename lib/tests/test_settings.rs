//! Validation of settings and lists.

use poplarvale_lib::{Customer, Lists, Plan, Settings};
use proptest::prelude::*;

const EMBEDDED: &str = include_str!("../../demos/embedded/settings.json");

#[test]
fn the_embedded_settings_are_valid() {
    Settings::parse(EMBEDDED).expect("the embedded settings are valid");
}

#[test]
fn every_limit_is_bounded() {
    let names = [
        "body_bytes",
        "answer_bytes",
        "connections",
        "waiting",
        "running",
        "head_ms",
        "body_ms",
        "keep_ms",
        "kept",
        "return_ms",
    ];
    for name in names {
        let with = format!("{{\"limits\": {{\"{name}\": {}}},", u64::MAX);
        let error = Settings::parse(&EMBEDDED.replacen('{', &with, 1)).expect_err(name);
        assert!(
            error.to_string().contains(&format!("limits.{name}")),
            "{error}"
        );
    }
}

fn plan(id: &str) -> Plan {
    Plan {
        id: id.into(),
        priority: 1,
        requests: 10.0,
        tokens: 1000.0,
        running: 4,
        services: Vec::new(),
        models: Vec::new(),
    }
}

proptest! {
    #![proptest_config(testutils::fixed(128))]

    /// An operator mistypes the name of a plan or assigns one key to two customers. If
    /// such lists were accepted, customers would be rejected or could read each other's
    /// answers.
    #[test]
    fn lists_are_valid_only_with_known_plans_and_unique_keys(
        plans in prop::collection::btree_set("[a-c]", 0..3),
        customers in prop::collection::btree_map("[k-o]", ("[a-d]", 0u8..6), 0..5),
    ) {
        let digest = |n: u8| format!("{n:064x}").into();
        let lists = Lists {
            customers: customers.iter().map(|(id, (plan, key))| Customer {
                id: id.as_str().into(),
                plan: plan.as_str().into(),
                digests: vec![digest(*key)],
            }).collect(),
            plans: plans.iter().map(|id| plan(id)).collect(),
        };
        let known = customers.values().all(|(plan, _)| plans.contains(plan));
        let mut keys: Vec<u8> = customers.values().map(|(_, key)| *key).collect();
        keys.sort_unstable();
        keys.dedup();
        let unique = keys.len() == customers.len();
        prop_assert_eq!(lists.check().is_empty(), known && unique);
    }

    #[test]
    fn a_plan_with_an_invalid_rate_is_rejected(
        requests in prop_oneof![Just(f64::NAN), Just(f64::INFINITY), -1e9..=0.0, 1e10..1e12],
    ) {
        let lists = Lists { customers: Vec::new(), plans: vec![Plan { requests, ..plan("p") }] };
        prop_assert_eq!(lists.check().len(), 1);
    }
}
