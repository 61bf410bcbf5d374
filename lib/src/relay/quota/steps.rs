//! Units by the step of time in which they were let in.

/// Number of a step of time; those before the daemon's start are negative.
pub(super) type StepId = i64;

/// Units by the step in which they were let in, sorted.
#[derive(Clone, Debug, Default)]
pub(super) struct Steps(Vec<(StepId, f64)>);

impl Steps {
    /// The newest step's units, to be changed.
    pub(super) fn last_mut(&mut self) -> Option<&mut f64> {
        self.0.last_mut().map(|row| &mut row.1)
    }

    pub(super) fn add(&mut self, step: StepId, units: f64) {
        match self.0.binary_search_by_key(&step, |row| row.0) {
            Ok(at) => self.0[at].1 += units,
            Err(at) => self.0.insert(at, (step, units)),
        }
    }

    /// Adds units in even parts to the steps from `first` to `last`.
    pub(super) fn spread(&mut self, first: StepId, last: StepId, units: f64) {
        let first = first.min(last);
        let part = units / (last - first + 1) as f64;
        for step in first..=last {
            self.add(step, part);
        }
    }

    /// The steps from `first` on.
    pub(super) fn since(&self, first: StepId) -> &[(StepId, f64)] {
        let from = self.0.partition_point(|row| row.0 < first);
        &self.0[from..]
    }

    pub(super) fn sum_since(&self, first: StepId) -> f64 {
        self.since(first).iter().map(|row| row.1).sum()
    }

    pub(super) fn forget_before(&mut self, first: StepId) {
        let from = self.0.partition_point(|row| row.0 < first);
        self.0.drain(..from);
    }
}
