//! The newest configuration as a daemon sends it to others: a snapshot and the updates since.
//!
//! Parts are kept as they were encoded or received, so that a daemon which gets an update passes it
//! on without encoding it again. A receiver gets the updates since its own configuration, or else the
//! snapshot and all updates after it. A snapshot whose transfer broke off is continued after the
//! parts that have arrived, also by another daemon that has the same snapshot.

use bytes::Bytes;

use crate::Revision;

/// Most updates that are kept. A receiver that misses more gets a snapshot.
const MAX_UPDATES: usize = 16;

/// What a daemon knows of the configuration, as it asks another one for more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Known {
    /// Revision of its configuration; 0 if it has none.
    pub revision: Revision,
    /// Revision of a snapshot of which some parts have arrived; 0 if there is none.
    pub snapshot: Revision,
    /// Number of these parts.
    pub parts: u32,
}

/// All parts of a snapshot or of one update.
#[derive(Clone, Debug, Default)]
struct Segment {
    base: Revision,
    revision: Revision,
    parts: Vec<Bytes>,
}

impl Segment {
    fn len(&self) -> usize {
        self.parts.iter().map(Bytes::len).sum()
    }
}

/// Encoded parts of the newest configuration.
#[derive(Clone, Debug, Default)]
pub struct CatalogLog {
    snapshot: Option<Segment>,
    /// Updates, each of the configuration that results from the one before.
    updates: Vec<Segment>,
}

impl CatalogLog {
    /// Revision of the newest configuration; 0 before there is one.
    pub fn revision(&self) -> Revision {
        let newest = self.updates.last().or(self.snapshot.as_ref());
        newest.map_or(0, |segment| segment.revision)
    }

    /// Adds an update of the configuration of revision `base`, or a snapshot if `base` is 0.
    pub fn push(&mut self, base: Revision, revision: Revision, parts: Vec<Bytes>) {
        let segment = Segment {
            base,
            revision,
            parts,
        };
        if base == 0 {
            self.updates.clear();
            self.snapshot = Some(segment);
            return;
        }
        if base != self.revision() {
            self.updates.clear();
            self.snapshot = None;
        }
        self.updates.push(segment);
        if self.updates.len() > MAX_UPDATES {
            self.updates.remove(0);
        }
        // A snapshot whose updates are longer than itself is worth less than a new one.
        let is_useful = |snapshot: &Segment| {
            let updates = self.updates_since(snapshot.revision);
            updates
                .is_some_and(|rows| rows.iter().map(Segment::len).sum::<usize>() <= snapshot.len())
        };
        if !self.snapshot.as_ref().is_some_and(is_useful) {
            self.snapshot = None;
        }
    }

    /// The updates of the configuration of revision `base`; `None` if the first one is missing.
    fn updates_since(&self, base: Revision) -> Option<&[Segment]> {
        let at = self.updates.iter().position(|row| row.base == base)?;
        Some(&self.updates[at..])
    }

    /// Replaces the snapshot by one of the newest configuration. Updates before it are kept for
    /// daemons that have their bases.
    pub fn set_snapshot(&mut self, revision: Revision, parts: Vec<Bytes>) {
        if self.revision() != revision {
            self.updates.clear();
        }
        self.snapshot = Some(Segment {
            base: 0,
            revision,
            parts,
        });
    }

    /// The parts that a daemon misses; `None` if a snapshot is needed and there is none.
    pub fn since(&self, known: Known) -> Option<Vec<Bytes>> {
        if known.revision != 0 && known.revision >= self.revision() {
            return Some(Vec::new());
        }
        let mut missing = Vec::new();
        let updates = self.updates_since(known.revision);
        let updates = if let Some(updates) = updates.filter(|_| known.revision != 0) {
            updates
        } else {
            let snapshot = self.snapshot.as_ref()?;
            let is_begun = known.snapshot == snapshot.revision;
            let skipped = if is_begun { known.parts as usize } else { 0 };
            missing.extend(snapshot.parts.iter().skip(skipped).cloned());
            self.updates_since(snapshot.revision).unwrap_or_default()
        };
        missing.extend(updates.iter().flat_map(|row| row.parts.iter().cloned()));
        Some(missing)
    }
}
