//! Invariants of every request, over generated schedules of arrivals, outcomes,
//! cancellations and leaving endpoints.

use std::time::{Duration, Instant};

use crate::driver::{self, Arrival, Scene, order, world};
use poplarvale_lib::load::Policy;
use poplarvale_lib::routing;
use poplarvale_lib::{
    Code, Command, Ending, EndpointId, Input, ListedEndpoint, NotSent, Outcome, Ran, Request,
    RequestId, Send, World,
};
use proptest::prelude::*;
use testutils::fake_endpoints::Behaviour;

#[derive(Clone, Debug)]
enum Step {
    Arrive {
        customer: u8,
        work: u32,
        within: u64,
        repeatable: bool,
    },
    End {
        which: usize,
        how: u8,
    },
    Cancel {
        which: usize,
    },
    Endpoint {
        number: u8,
        how: u8,
    },
    Wait {
        ms: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let arrive = (0u8..3, 1u32..4_000, 50u64..20_000, any::<bool>()).prop_map(
        |(customer, work, within, repeatable)| Step::Arrive {
            customer,
            work,
            within,
            repeatable,
        },
    );
    let end = (any::<usize>(), 0u8..6).prop_map(|(which, how)| Step::End { which, how });
    let cancel = any::<usize>().prop_map(|which| Step::Cancel { which });
    let endpoint = (0u8..4, 0u8..4).prop_map(|(number, how)| Step::Endpoint { number, how });
    let wait = (0u64..3_000).prop_map(|ms| Step::Wait { ms });
    let step = prop_oneof![
        6 => arrive,
        8 => end,
        1 => cancel,
        1 => endpoint,
        4 => wait,
    ];
    prop::collection::vec(step, 1..150)
}

#[derive(Debug, Default)]
struct Record {
    repeatable: bool,
    /// Attempts, with whether any byte of each was sent.
    attempts: Vec<(u128, EndpointId, bool)>,
    endings: Vec<Ending>,
}

struct Run {
    world: World,
    origin: Instant,
    now: Instant,
    records: Vec<Record>,
    running: Vec<(u128, u128)>,
    leaving: Vec<EndpointId>,
}

impl Run {
    fn new(policy: Policy) -> Self {
        let origin = Instant::now();
        let healthy = |n| (format!("e{n}"), Behaviour::healthy(1.0, 1.0));
        let scene = Scene {
            endpoints: (0..3).map(healthy).collect(),
            policy,
            priorities: vec![("c0", 3), ("c1", 0)],
            max_retries: 0,
            daemons: 1,
            running: 64,
            requests: 1e6,
            origin,
        };
        let customers: Vec<String> = (0..3).map(|n| format!("c{n}")).collect();
        let mut world = world(&scene, &customers);
        world.routing.policy = routing::Policy::Cost;
        Self {
            world,
            origin,
            now: origin,
            records: Vec::new(),
            running: Vec::new(),
            leaving: Vec::new(),
        }
    }

    fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Arrive {
                customer,
                work,
                within,
                repeatable,
            } => {
                let arrival = Arrival {
                    at: (self.now - self.origin).as_millis() as u64,
                    customer: format!("c{customer}"),
                    class: "any".into(),
                    prompt: work,
                    answer: 0,
                    takes: work,
                    within,
                    repeatable,
                };
                let order = order(self.origin, self.records.len(), &arrival);
                self.records.push(Record {
                    repeatable,
                    ..Record::default()
                });
                self.tick(vec![Input::Arrived(order)])
            }
            Step::End { which, how } => self.end(which, how),
            Step::Cancel { which } => {
                if self.records.is_empty() {
                    return Ok(());
                }
                let number = which % self.records.len();
                self.tick(vec![Input::CallerLeft(poplarvale_lib::joined(
                    7,
                    number as u64,
                ))])
            }
            Step::Endpoint { number, how } => self.endpoint(number, how),
            Step::Wait { ms } => {
                self.now += Duration::from_millis(ms);
                self.tick(Vec::new())
            }
        }
    }

    fn end(&mut self, which: usize, how: u8) -> Result<(), TestCaseError> {
        if self.running.is_empty() {
            return Ok(());
        }
        let at = which % self.running.len();
        let (attempt, request) = self.running.swap_remove(at);
        let outcome = match how {
            0..3 => Outcome::Complete { status: 200 },
            3 => Outcome::Complete { status: 500 },
            4 => Outcome::Unsent(NotSent::unconnected()),
            _ => Outcome::Failed { code: Code::Broken },
        };
        if how == 4 {
            let record = &mut self.records[request as u64 as usize];
            let send = record.attempts.iter_mut().find(|s| s.0 == attempt);
            send.expect("was sent").2 = false;
        }
        self.tick(vec![Input::Ended {
            attempt,
            request,
            outcome,
        }])
    }

    fn endpoint(&mut self, number: u8, how: u8) -> Result<(), TestCaseError> {
        let id: EndpointId = format!("e{number}").into();
        let input = match how {
            0 => Input::Gone(id),
            1 => {
                self.leaving.push(id.clone());
                Input::Leaving {
                    endpoint: id,
                    until: self.now + Duration::from_secs(5),
                }
            }
            _ => {
                self.leaving.retain(|other| *other != id);
                let version = format!("v{}", self.records.len());
                Input::Endpoint(ListedEndpoint {
                    id,
                    service: "chat".into(),
                    zone: "a".into(),
                    address: ([127, 0, 0, 1], 1000 + u16::from(number)).into(),
                    version: version.into(),
                })
            }
        };
        self.tick(vec![input])
    }

    fn tick(&mut self, inputs: Vec<Input>) -> Result<(), TestCaseError> {
        for command in self.world.tick(self.now, inputs) {
            if let Command::Send(send) = command {
                self.check_send(send)?;
            } else if let Command::Finish { request, ending } = command {
                self.check_ending(request, ending)?;
            }
        }
        Ok(())
    }

    fn check_send(&mut self, send: Send) -> Result<(), TestCaseError> {
        let record = &mut self.records[send.request as u64 as usize];
        prop_assert!(record.endings.is_empty(), "sent after its end");
        let leaving = self.leaving.contains(&send.endpoint);
        prop_assert!(!leaving, "sent to a leaving endpoint");
        let before = record.attempts.iter();
        prop_assert!(
            before.clone().all(|s| s.1 != send.endpoint),
            "sent to the same endpoint again"
        );
        if !record.repeatable {
            prop_assert!(
                before.clone().all(|s| !s.2),
                "sent again although a byte was sent"
            );
        }
        record.attempts.push((send.attempt, send.endpoint, true));
        self.running.push((send.attempt, send.request));
        Ok(())
    }

    fn check_ending(&mut self, request: RequestId, ending: Ending) -> Result<(), TestCaseError> {
        let record = &mut self.records[request as u64 as usize];
        if matches!(ending, Ending::Failed { ran: Ran::No, .. }) {
            let was_sent = record.attempts.iter().any(|s| s.2);
            prop_assert!(
                !was_sent,
                "reported as not run: {ending:?} after {record:?}"
            );
        }
        record.endings.push(ending);
        Ok(())
    }

    /// Lets every deadline pass.
    fn drain(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..30 {
            self.now += Duration::from_secs(1);
            self.tick(Vec::new())?;
        }
        for record in &self.records {
            prop_assert_eq!(record.endings.len(), 1, "{:?}", record);
        }
        prop_assert!(self.world.requests.is_empty());
        let running = self.world.allowances.iter().map(|a| a.running).sum::<u32>();
        prop_assert_eq!(running, 0);
        Ok(())
    }
}

fn check(policy: Policy, steps: &[Step]) -> Result<(), TestCaseError> {
    let mut run = Run::new(policy);
    for step in steps {
        run.step(step)?;
    }
    run.drain()
}

proptest! {
    #![proptest_config(testutils::fixed(400))]

    /// Requests arrive, fail, are rejected, are late, lose their callers and
    /// their endpoints, in any order. A caller that gets no ending waits forever,
    /// one that gets two takes another request's answer for its own, and one
    /// whose booking ran but is reported as "not run" books twice.
    #[test]
    fn every_request_ends_once_and_truly(steps in steps()) {
        check(Policy::default(), &steps)?;
    }

    /// The same holds for the plain policy, which the adaptive one is compared
    /// with.
    #[test]
    fn every_request_ends_once_and_truly_by_the_plain_policy(steps in steps()) {
        check(Policy::plain(), &steps)?;
    }
}

/// Another system sets a running request to waiting by changing its row, as when
/// its endpoint leaves. If the request is in no queue, its caller waits for the
/// deadline while endpoints are free. The service is not in the settings either.
#[test]
fn a_request_set_to_waiting_by_another_system_is_sent() {
    let mut run = Run::new(Policy::default());
    run.world.services = poplarvale_lib::Table::new();
    let arrive = Step::Arrive {
        customer: 1,
        work: 100,
        within: 5_000,
        repeatable: true,
    };
    run.step(&arrive).expect("it is admitted");
    assert_eq!(run.records[0].attempts.len(), 1);
    let id = poplarvale_lib::joined(driver::INCARNATION, 0);
    let Some(Request::Idempotent(running)) = run.world.requests.get(&id).cloned() else {
        panic!("it runs");
    };
    run.world.requests.insert(Request::Waiting(running.retry()));
    run.now += Duration::from_millis(50);
    run.tick(Vec::new()).expect("all checks pass");
    assert_eq!(run.records[0].attempts.len(), 2);
}
