//! Counts of units in time steps of fixed length.

/// Number of a time step; steps before the daemon's start are negative.
pub(super) type StepId = i64;

/// Units by time step, sorted by step.
#[derive(Clone, Debug, Default)]
pub(super) struct Steps(Vec<(StepId, f64)>);

impl Steps {
    /// Units of the newest step.
    pub(super) fn last_mut(&mut self) -> Option<&mut f64> {
        self.0.last_mut().map(|row| &mut row.1)
    }

    /// Adds units to a step.
    pub(super) fn add(&mut self, step: StepId, units: f64) {
        match self.0.binary_search_by_key(&step, |row| row.0) {
            Ok(at) => self.0[at].1 += units,
            Err(at) => self.0.insert(at, (step, units)),
        }
    }

    /// Adds units, evenly divided among the steps from `first` to `last`.
    pub(super) fn spread(&mut self, first: StepId, last: StepId, units: f64) {
        let first = first.min(last);
        let part = units / (last - first + 1) as f64;
        for step in first..=last {
            self.add(step, part);
        }
    }

    /// Steps from `first` on with their units.
    pub(super) fn since(&self, first: StepId) -> &[(StepId, f64)] {
        let from = self.0.partition_point(|row| row.0 < first);
        &self.0[from..]
    }

    pub(super) fn sum_since(&self, first: StepId) -> f64 {
        self.since(first).iter().map(|row| row.1).sum()
    }

    pub(super) fn drop_before(&mut self, first: StepId) {
        let from = self.0.partition_point(|row| row.0 < first);
        self.0.drain(..from);
    }
}
