//! Tests of version moves: life cycle of the record, shares, and operators'
//! requests.

use std::time::{Duration, Instant};

use poplarvale_lib::Code;
use poplarvale_lib::lease::{Lease, MARGIN, PauseDetector, Permit, TICK, TickTiming};
use poplarvale_lib::moves::ask::{Ask, Fleet, ask, cancel};
use poplarvale_lib::moves::stages::{LAST_STAGE, Scale, due, endpoint_counts, shares};
use poplarvale_lib::moves::{Counter, FULL_SHARE, Record, status};
use proptest::prelude::*;

const NOW: u64 = 1_000_000_000;
const HOUR: u64 = 3_600_000;

fn permit(fence: u64) -> Permit {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(10);
    Lease { fence, deadline }
        .permit(now)
        .expect("the lease is live")
}

fn move_ask(finish: u64) -> Ask {
    Ask {
        id: 7,
        service: "booking".into(),
        to: "v2".into(),
        finish,
    }
}

fn fleet() -> Fleet {
    Fleet {
        version: "v1".into(),
        old: 10,
        new: 10,
        idempotent: FULL_SHARE / 10 * 9,
    }
}

fn asked() -> Record {
    ask(None, &move_ask(NOW + HOUR), &fleet(), NOW).expect("the move is possible")
}

#[test]
fn a_move_passes_every_stage_and_ends_in_time() {
    let mut record = asked();
    let mut now = NOW;
    let mut stages = Vec::new();
    while let Some(next) = record.clone().step(permit(1), now) {
        let stored = next.to_stored();
        assert_eq!(Record::from_stored(&stored), Ok(next.clone()));
        stages.extend(next.stage());
        now = next.due().unwrap_or(now);
        record = next;
    }
    assert_eq!(stages, (0..=LAST_STAGE).collect::<Vec<_>>());
    assert!(now < NOW + HOUR);
    let third = (0..3).try_fold(asked(), |record, _| record.step(permit(1), NOW));
    assert_eq!(
        status::text(&third.expect("the move has not ended")),
        "booking: v1 to v2: stage 3 of 7, 25.6 % of repeatable and 0.0 % of other requests"
    );
    assert_eq!(status::text(&record), "booking: v1 to v2: done in time");
}

#[test]
fn an_impossible_finish_time_is_rejected_with_the_reason() {
    let late = ask(None, &move_ask(NOW + 20_000), &fleet(), NOW).unwrap_err();
    assert_eq!(late.code, Code::BadMove);
    assert_eq!(
        late.to_string(),
        "4006: the finish-by time is 20 s away; a move takes 45 s at least"
    );
    let past = ask(None, &move_ask(NOW - 1), &fleet(), NOW).unwrap_err();
    assert_eq!(past.code, Code::BadMove);
}

/// Two operators start moves of one service at the same time. If both were
/// accepted, requests would go to three versions at once and the evidence would say
/// nothing about any of them.
#[test]
fn a_second_move_of_a_service_is_rejected_while_one_runs() {
    let first = asked();
    let other = Ask {
        id: 8,
        to: "v3".into(),
        ..move_ask(NOW + HOUR)
    };
    let refusal = ask(Some(&first), &other, &fleet(), NOW).unwrap_err();
    assert_eq!(refusal.code, Code::Conflict);
    assert!(refusal.reason.contains("v2 is under way"));
    // The same request again, as after a lost response, finds its own record.
    let again = ask(Some(&first), &move_ask(NOW + HOUR), &fleet(), NOW);
    assert_eq!(again, Ok(first));
}

/// An operator cancels while the lease holder advances the move. Whichever is
/// written first wins; the other reads again. After a cancel there is nothing to
/// advance, and after the end there is nothing to cancel, and the operator reads
/// why.
#[test]
fn a_cancel_and_an_advance_never_both_count() {
    let staged = asked()
        .step(permit(1), NOW)
        .expect("the move waits for its first stage");
    let cancelled = cancel(Some(&staged), 7, "wrong build".into()).expect("the move has not ended");
    assert_eq!(cancelled.clone().step(permit(1), NOW), None);
    assert_eq!(
        status::text(&cancelled),
        "booking: v1 to v2: cancelled: wrong build"
    );
    let back = staged
        .roll_back("failed".into())
        .expect("the move has not ended");
    let refusal = cancel(Some(&back), 7, "wrong build".into()).unwrap_err();
    assert_eq!(refusal.code, Code::Conflict);
    assert!(refusal.reason.ends_with("taken back: failed"));
    assert_eq!(cancel(None, 7, "x".into()).unwrap_err().code, Code::NoMove);
}

fn scales() -> impl Iterator<Item = Scale> {
    let mixes = [
        FULL_SHARE,
        FULL_SHARE / 20 * 19,
        FULL_SHARE / 2,
        FULL_SHARE / 10,
        0,
    ];
    (4..=400).flat_map(move |endpoints| {
        mixes.map(|idempotent| Scale {
            endpoints,
            idempotent,
        })
    })
}

/// If the first stages spread their few requests over all new endpoints, none of
/// these would be loaded, and a fault under load would not be noticed before half
/// of the callers meet it.
#[test]
fn stages_load_new_and_old_endpoints_alike() {
    for scale in scales().filter(|scale| scale.idempotent > FULL_SHARE / 4) {
        // In the second stage, small pools give up the equal load for the largest
        // share of the stage.
        let few =
            f64::from(scale.endpoints) * f64::from(scale.idempotent) < 5.0 * f64::from(FULL_SHARE);
        for stage in if few { 2 } else { 1 }..=LAST_STAGE {
            let total = shares(stage, scale).total(scale.idempotent);
            let share = f64::from(total) / f64::from(FULL_SHARE);
            let counts = endpoint_counts(total, scale.endpoints);
            let new = share / f64::from(counts.new.min(scale.endpoints));
            let old = (1.0 - share) / f64::from(counts.old);
            let ratio = new / old;
            assert!((0.8..1.2).contains(&ratio), "{stage} {scale:?} {ratio}");
        }
    }
}

#[test]
fn stages_load_endpoints_exactly_evenly_if_all_requests_are_idempotent() {
    for endpoints in 4..=400 {
        let scale = Scale {
            endpoints,
            idempotent: FULL_SHARE,
        };
        for stage in 1..=LAST_STAGE {
            let total = shares(stage, scale).idempotent;
            let share = f64::from(total) / f64::from(FULL_SHARE);
            let counts = endpoint_counts(total, endpoints);
            let new = share / f64::from(counts.new.min(endpoints));
            let old = (1.0 - share) / f64::from(counts.old);
            let ratio = new / old;
            assert!((0.99..1.01).contains(&ratio), "{stage} {endpoints} {ratio}");
        }
    }
}

/// Whatever the mix of routes, no stage may leave a few endpoints with far more
/// than their share.
#[test]
fn no_stage_overloads_the_few_endpoints() {
    for scale in scales() {
        for stage in 1..=LAST_STAGE {
            let total = shares(stage, scale).total(scale.idempotent);
            let share = f64::from(total) / f64::from(FULL_SHARE);
            let counts = endpoint_counts(total, scale.endpoints);
            let fair = 1.0 / f64::from(scale.endpoints);
            assert!(share / f64::from(counts.new.min(scale.endpoints)) < 1.2 * fair);
            assert!((1.0 - share) / f64::from(counts.old) < 1.2 * fair);
        }
    }
}

#[test]
fn shares_only_grow_and_the_non_repeatable_come_last() {
    for scale in scales() {
        for stage in 0..LAST_STAGE {
            let (one, next) = (shares(stage, scale), shares(stage + 1, scale));
            assert!(one.idempotent <= next.idempotent, "{stage} {scale:?}");
            assert!(
                one.non_idempotent <= next.non_idempotent && one.non_idempotent <= one.idempotent
            );
        }
        assert_eq!(shares(2, scale).non_idempotent, 0);
    }
}

#[test]
fn a_move_that_lost_time_still_ends_in_time() {
    let finish = NOW + HOUR;
    let mut now = NOW + HOUR / 2;
    for stage in 1..=LAST_STAGE {
        now = due(stage, now, finish);
    }
    assert!(now < finish);
}

#[test]
fn a_lease_counts_as_gone_before_it_lapses() {
    let now = Instant::now();
    let lease = Lease {
        fence: 3,
        deadline: now + 2 * MARGIN,
    };
    assert_eq!(lease.permit(now).map(|p| p.fence()), Some(3));
    assert_eq!(lease.permit(now + MARGIN), None);
}

/// A host freezes for some seconds. When it resumes, the process believes that no
/// time has passed and would act on outdated state.
#[test]
fn a_late_tick_is_a_pause_and_so_is_the_first() {
    let mut pauses = PauseDetector::new();
    let now = Instant::now();
    assert_eq!(pauses.tick(now), TickTiming::Paused);
    assert_eq!(pauses.tick(now + TICK), TickTiming::OnTime);
    assert_eq!(
        pauses.tick(now + Duration::from_secs(5)),
        TickTiming::Paused
    );
}

proptest! {
    #![proptest_config(testutils::fixed(256))]

    /// A share that is kept only on average lets a daemon exceed it for a while;
    /// with a version that fails every request, callers notice.
    #[test]
    fn no_window_of_requests_passes_the_share(
        steps in prop::collection::vec((0..=FULL_SHARE, 1_usize..400), 1..6),
        seed: u64,
    ) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut counter = Counter::default();
        // Sums of the shares and of the requests sent to the new version, up to
        // each request.
        let mut sums = vec![(0_u64, 0_u64)];
        for (share, count) in steps {
            for _ in 0..count {
                let went = counter.take(share, rng.u32(..FULL_SHARE));
                let last = sums[sums.len() - 1];
                sums.push((last.0 + u64::from(share), last.1 + u64::from(went)));
            }
        }
        for (at, from) in sums.iter().enumerate() {
            for to in &sums[at..] {
                let most = (to.0 - from.0).div_ceil(u64::from(FULL_SHARE)) + 1;
                prop_assert!(to.1 - from.1 <= most);
            }
        }
    }

    #[test]
    fn a_long_run_gets_its_share(share in 0..=FULL_SHARE, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut counter = Counter::default();
        let went = (0..1000).filter(|_| counter.take(share, rng.u32(..FULL_SHARE))).count();
        let due = share as usize / 1000;
        prop_assert!(went.abs_diff(due) <= 2, "{went} of {due}");
    }
}

mod in_the_decision_core {
    //! A move inside the decision core: inputs in, commands out.

    use std::time::{Duration, Instant};

    use poplarvale_lib::moves::{
        ClusterView, Event, FULL_SHARE, Reach, Record, Source, Stored, Verdict, stages,
    };
    use poplarvale_lib::{
        Accepted, Code, Command, Customer, Endpoint, Input, ListedEndpoint, Lists, Order, Outcome,
        Plan, Send, Setup, Waiting, World,
    };

    const WALL: u64 = 1_000_000_000;

    struct Harness {
        world: World,
        now: Instant,
        count: u128,
        /// Requests for which no endpoint was available.
        unserved: u32,
    }

    impl Harness {
        fn new(record: Record) -> Self {
            let setup = Setup {
                incarnation: 1,
                zone: "hanko".into(),
                region: "fi-south".into(),
                waiting: 1000,
                running: 1000,
            };
            let mut harness = Self {
                world: World::new(setup, Vec::new(), 1),
                now: Instant::now(),
                count: 0,
                unserved: 0,
            };
            let cluster = ClusterView {
                at: harness.now,
                wall: WALL,
                reach: Reach { live: 1, heard: 1 },
            };
            let stored = Stored {
                revision: 2,
                record,
            };
            let mut inputs = vec![
                Input::Lists(lists()),
                Input::ClusterView(cluster),
                event(Event::Record(stored)),
            ];
            inputs.extend((0..10).map(|n| known(n, "v1")));
            inputs.extend((0..10).map(|n| known(n + 10, "v2")));
            harness.tick(inputs);
            harness.tick(vec![event(Event::Exchanged(Source::Store))]);
            harness
        }

        fn tick(&mut self, inputs: Vec<Input>) -> Vec<Command> {
            self.now += Duration::from_millis(10);
            self.world.tick(self.now, inputs)
        }

        fn order(&mut self) -> Order {
            self.count += 1;
            Order {
                id: self.count,
                customer: "club".into(),
                service: "booking".into(),
                route: "GET /lessons".into(),
                model: None,
                idempotent: true,
                blocks: Vec::new(),
                prompt: 1,
                answer: 0,
                arrived: self.now,
                deadline: self.now + Duration::from_secs(30),
            }
        }

        /// Admits one request, answers it, and returns whether it could have gone
        /// to the new version.
        fn request(&mut self, status: u16) -> bool {
            let order = self.order();
            let id = order.id;
            let commands = self.tick(vec![Input::Arrived(order.clone())]);
            let filter = self.world.filter_for(self.now, &Waiting::new(order));
            let open = self.world.endpoints.iter().filter(|e| filter.allows(e));
            let open: Vec<_> = open.collect();
            self.unserved += u32::from(open.is_empty());
            let new = open.into_iter().any(is_new);
            for command in commands {
                if let Command::Send(Send { attempt, .. }) = command {
                    self.tick(vec![Input::Ended {
                        attempt,
                        request: id,
                        outcome: Outcome::Complete { status },
                    }]);
                }
            }
            new
        }
    }

    fn sends(commands: Vec<Command>) -> Vec<Send> {
        let mut sends = Vec::new();
        for command in commands {
            if let Command::Send(send) = command {
                sends.push(send);
            }
        }
        sends
    }

    fn is_new(endpoint: &Endpoint) -> bool {
        endpoint.version == "v2"
    }

    fn event(event: Event) -> Input {
        Input::Move {
            service: "booking".into(),
            event,
        }
    }

    fn known(n: u8, version: &str) -> Input {
        Input::Endpoint(ListedEndpoint {
            id: format!("e{n}").into(),
            service: "booking".into(),
            zone: "hanko".into(),
            address: ([127, 0, 0, 1], 1000 + u16::from(n)).into(),
            version: version.into(),
        })
    }

    fn lists() -> Accepted {
        let customer = Customer {
            id: "club".into(),
            plan: "all".into(),
            digests: Vec::new(),
        };
        let plan = Plan {
            id: "all".into(),
            priority: 0,
            requests: 1e6,
            tokens: 1e6,
            running: 1000,
            services: vec!["booking".into()],
            models: Vec::new(),
        };
        Accepted {
            revision: 1,
            lists: Lists {
                customers: vec![customer],
                plans: vec![plan],
            },
        }
    }

    fn staged(steps: u8) -> Record {
        let mut record = super::asked();
        for _ in 0..steps {
            record = record
                .step(super::permit(1), WALL)
                .expect("the move has not ended");
        }
        record
    }

    #[test]
    fn requests_get_the_share_of_their_stage() {
        let mut harness = Harness::new(staged(4));
        let went = (0..200).filter(|_| harness.request(200)).count();
        let share = stages::shares(3, staged(4).terms().scale).idempotent;
        let most = (share as usize * 200).div_ceil(FULL_SHARE as usize) + 1;
        assert!((most - 4..=most).contains(&went), "{went} of {most}");
    }

    /// A peer found the version bad. From the next request on, callers of this
    /// daemon must not reach it.
    #[test]
    fn a_peer_s_verdict_ends_it_at_once() {
        let mut harness = Harness::new(staged(4));
        let bad = Verdict {
            id: 7,
            reason: "failed".into(),
        };
        harness.tick(vec![event(Event::Verdict(bad))]);
        assert!((0..200).all(|_| !harness.request(200)));
    }

    /// No endpoint of the old version is left in this zone. Requests are served by
    /// the new version rather than not at all, unless it is known to be bad.
    #[test]
    fn the_new_version_serves_where_no_old_endpoint_is_left() {
        let mut harness = Harness::new(staged(1));
        harness.tick(
            (0..10)
                .map(|n| Input::Gone(format!("e{n}").into()))
                .collect(),
        );
        assert!((0..20).all(|_| harness.request(200)));
        let bad = Verdict {
            id: 7,
            reason: "failed".into(),
        };
        harness.tick(vec![event(Event::Verdict(bad))]);
        assert!((0..20).all(|_| !harness.request(200)));
    }

    /// A move was rolled back; weeks later the endpoints are replaced by a third
    /// version without a move. Requests must go there, and not to remaining
    /// endpoints of the version that was found bad.
    #[test]
    fn an_ended_move_excludes_no_later_version() {
        let record = staged(1)
            .roll_back("failed".into())
            .expect("the move has not ended");
        let mut harness = Harness::new(record);
        let gone = (0..10).map(|n| Input::Gone(format!("e{n}").into()));
        harness.tick(gone.chain([known(30, "v3")]).collect());
        let waiting = Waiting::new(harness.order());
        let filter = harness.world.filter_for(harness.now, &waiting);
        let open = harness.world.endpoints.iter().filter(|e| filter.allows(e));
        let open: Vec<_> = open.map(|e| e.id.as_str()).collect();
        assert_eq!(open, ["e30"]);
    }

    /// The new version's endpoints accept no connections. No caller is affected, as
    /// each request goes elsewhere, but nothing is learned about the version
    /// either. When the time is up, operators must read this as the reason; the
    /// move must not wait for ever.
    #[test]
    fn a_version_that_sees_no_requests_is_rolled_back_when_time_is_up() {
        let mut harness = Harness::new(staged(2));
        harness.tick(
            (10..20)
                .map(|n| Input::Gone(format!("e{n}").into()))
                .collect(),
        );
        assert!((0..700).all(|_| !harness.request(200)));
        assert_eq!(harness.unserved, 0);
        assert!(harness.world.moves.iter().all(|c| c.verdict().is_none()));
        harness.now += Duration::from_hours(1);
        harness.tick(Vec::new());
        harness.tick(vec![event(Event::Exchanged(Source::Store))]);
        harness.tick(Vec::new());
        let verdicts: Vec<_> = harness
            .world
            .moves
            .iter()
            .filter_map(|c| c.verdict())
            .collect();
        assert_eq!(
            verdicts[0].reason,
            "time ran out: the new version saw no request on GET /lessons, the old one 700"
        );
    }

    /// An endpoint is reclaimed, and the requests that run there break off. This
    /// must not count against the version it runs.
    #[test]
    fn failures_at_a_reclaimed_endpoint_are_not_counted() {
        let mut harness = Harness::new(staged(7));
        for _ in 0..1000 {
            harness.tick(vec![event(Event::Exchanged(Source::Store))]);
            let order = harness.order();
            let request = order.id;
            let commands = harness.tick(vec![Input::Arrived(order)]);
            let sent = sends(commands).into_iter().find(|s| s.request == request);
            let Send {
                attempt, endpoint, ..
            } = sent.expect("the request is sent");
            let ended = |outcome| Input::Ended {
                attempt,
                request,
                outcome,
            };
            let row = harness.world.endpoints.get(&endpoint).cloned();
            if !row.as_ref().is_some_and(is_new) {
                harness.tick(vec![ended(Outcome::Complete { status: 200 })]);
                continue;
            }
            let until = harness.now + Duration::from_secs(20);
            let code = Code::Broken;
            let commands = harness.tick(vec![
                Input::Leaving {
                    endpoint: endpoint.clone(),
                    until,
                },
                ended(Outcome::Failed { code }),
            ]);
            // The retry ends well; if it ran for ever, its endpoint would look as
            // if it hung.
            for again in sends(commands) {
                harness.tick(vec![Input::Ended {
                    attempt: again.attempt,
                    request,
                    outcome: Outcome::Complete { status: 200 },
                }]);
            }
            let n = endpoint
                .trim_start_matches('e')
                .parse()
                .expect("an endpoint id ends in a number");
            harness.tick(vec![Input::Gone(endpoint), known(n, "v2")]);
        }
        let mut moves = harness.world.moves.iter();
        assert!(moves.all(|controller| controller.verdict().is_none()));
    }
}
