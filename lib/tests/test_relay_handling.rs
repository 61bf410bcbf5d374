//! Whether two configurations say the same of a request.

use std::time::Duration;

use poplarvale_lib::relay::catalog::{Backend, RetryPolicy, Route, Team, Unit};
use poplarvale_lib::relay::handling::handling;

fn route() -> Route {
    Route {
        name: "bookings".into(),
        host: "site.example".into(),
        prefix: "/once/".into(),
        retry_policy: RetryPolicy::NonIdempotent,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(150),
        pause_target: None,
        rank: 1,
        backends: vec![Backend {
            service: "app".into(),
            weight: 1,
        }],
        attempts: 2,
        public: false,
        regions: vec!["fi".into()],
    }
}

fn team() -> Team {
    Team {
        name: "club".into(),
        rate: Some(10.0),
        ..Team::default()
    }
}

/// Guards against daemons that take a request although they would handle it differently.
#[test]
fn a_change_of_the_route_or_the_team_changes_the_handling() {
    let known = handling(&route(), Some(&team()));
    let changes: [fn(&mut Route); 7] = [
        |route| route.prefix = "/".into(),
        |route| route.retry_policy = RetryPolicy::Idempotent,
        |route| route.timeout = Duration::from_secs(2),
        |route| route.attempts = 1,
        |route| route.backends[0].service = "other".into(),
        |route| route.backends[0].weight = 2,
        |route| route.regions.clear(),
    ];
    for change in changes {
        let mut other = route();
        change(&mut other);
        assert_ne!(handling(&other, Some(&team())), known, "{other:?}");
    }
    let changes: [fn(&mut Team); 5] = [
        |team| team.name = "other".into(),
        |team| team.rate = None,
        |team| team.burst = 1.0,
        |team| team.unit = Unit::Tokens(4.0),
        |team| team.regions.push("se".into()),
    ];
    for change in changes {
        let mut other = team();
        change(&mut other);
        assert_ne!(handling(&route(), Some(&other)), known, "{other:?}");
    }
    assert_ne!(handling(&route(), None), known);
}

/// A daemon that has a newer configuration goes on taking requests whose routes and teams have not
/// changed.
#[test]
fn what_does_not_concern_callers_leaves_the_handling_alike() {
    let mut renamed = route();
    renamed.name = "other".into();
    renamed.target = Duration::from_millis(90);
    assert_eq!(handling(&renamed, None), handling(&route(), None));
}
