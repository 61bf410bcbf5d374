//! Endpoints in trouble: for a while all of them, or all but one, fail in the same way.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use poplarvale_standin::{SeenRequest, Step, plain};

use super::Soak;

/// How endpoints fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Symptom {
    Reset,
    Silent,
    Error,
    Garbage,
    Endless,
}

const SYMPTOMS: [Symptom; 5] = [
    Symptom::Reset,
    Symptom::Silent,
    Symptom::Error,
    Symptom::Garbage,
    Symptom::Endless,
];

/// What fails, and the endpoint that does not.
#[derive(Clone, Debug, Default)]
pub(super) struct Trouble(Rc<Cell<Option<(Symptom, usize)>>>);

impl Trouble {
    /// What an endpoint does with a request in place of answering it; `None` if it is sound.
    pub(super) fn fail(&self, number: usize, seen: &SeenRequest) -> Option<Vec<Step>> {
        let (symptom, _) = self.0.get().filter(|row| row.1 != number)?;
        let endless = Step::Endless("HTTP/1.1 100 Continue\r\n\r\n", Duration::ZERO);
        Some(vec![match symptom {
            Symptom::Reset => Step::Reset,
            Symptom::Silent => Step::Wait(Duration::from_secs(1)),
            Symptom::Error => plain(seen, 500, "failed"),
            Symptom::Garbage => Step::Send("\u{1}no answer\r\n\r\n".into()),
            Symptom::Endless => endless,
        }])
    }
}

/// Has endpoints fail in one way after the other for a time.
pub(super) async fn inject(soak: Rc<Soak>, mut random: Rng, endpoints: usize, time: Duration) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        let pause = Duration::from_millis(random.u64(300..1500));
        tokio::time::sleep(pause).await;
        let symptom = SYMPTOMS[random.usize(..SYMPTOMS.len())];
        // Above the last number, none is left out.
        let spared = random.usize(..endpoints * 2);
        soak.work.trouble.0.set(Some((symptom, spared)));
        let duration = Duration::from_millis(random.u64(200..1200));
        tokio::time::sleep(duration).await;
        soak.work.trouble.0.set(None);
    }
}
