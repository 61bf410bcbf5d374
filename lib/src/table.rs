//! Tables of entities: sorted vectors with binary search.
//!
//! The tables are small (hundreds of endpoints, thousands of requests), are read
//! far more often than changed, and are iterated in order by every system. A
//! sorted vector keeps rows contiguous in memory and iterates in the same order in
//! every run, so that a replayed trace leads to the same decisions.

/// A row that can be stored in a [`Table`].
pub trait Row {
    /// Type the rows are sorted by.
    type Id: Ord + Clone;

    /// Id of this row; must not change while the row is in a table.
    fn id(&self) -> &Self::Id;
}

/// Rows sorted by id, each id at most once.
#[derive(Clone, Debug, PartialEq)]
pub struct Table<R> {
    rows: Vec<R>,
}

impl<R> Default for Table<R> {
    fn default() -> Self {
        Self { rows: Vec::new() }
    }
}

impl<R: Row> Table<R> {
    /// Empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Inserts a row and returns the previous row with the same id.
    pub fn insert(&mut self, row: R) -> Option<R> {
        match self.position(row.id()) {
            Ok(at) => Some(std::mem::replace(&mut self.rows[at], row)),
            Err(at) => {
                self.rows.insert(at, row);
                None
            }
        }
    }

    /// Row with an id.
    pub fn get<Q>(&self, id: &Q) -> Option<&R>
    where
        R::Id: std::borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        let at = self.position(id).ok()?;
        Some(&self.rows[at])
    }

    /// Row with an id, to change.
    pub fn get_mut<Q>(&mut self, id: &Q) -> Option<&mut R>
    where
        R::Id: std::borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        let at = self.position(id).ok()?;
        Some(&mut self.rows[at])
    }

    /// Takes a row out.
    pub fn remove<Q>(&mut self, id: &Q) -> Option<R>
    where
        R::Id: std::borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        let at = self.position(id).ok()?;
        Some(self.rows.remove(at))
    }

    /// Whether a row has this id.
    pub fn contains<Q>(&self, id: &Q) -> bool
    where
        R::Id: std::borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.position(id).is_ok()
    }

    /// Keeps the rows for which `keep` holds.
    pub fn retain(&mut self, keep: impl FnMut(&R) -> bool) {
        self.rows.retain(keep);
    }

    /// All rows in the order of their ids.
    pub fn iter(&self) -> std::slice::Iter<'_, R> {
        self.rows.iter()
    }

    /// All rows in the order of their ids, to change.
    pub fn iter_mut(&mut self) -> std::slice::IterMut<'_, R> {
        self.rows.iter_mut()
    }

    /// Number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there are no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn position<Q>(&self, id: &Q) -> Result<usize, usize>
    where
        R::Id: std::borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        use std::borrow::Borrow as _;
        self.rows.binary_search_by(|row| row.id().borrow().cmp(id))
    }
}

impl<R: Row> FromIterator<R> for Table<R> {
    fn from_iter<I: IntoIterator<Item = R>>(iter: I) -> Self {
        let mut table = Self::new();
        for row in iter {
            table.insert(row);
        }
        table
    }
}

impl<'a, R: Row> IntoIterator for &'a Table<R> {
    type Item = &'a R;
    type IntoIter = std::slice::Iter<'a, R>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

impl<'a, R: Row> IntoIterator for &'a mut Table<R> {
    type Item = &'a mut R;
    type IntoIter = std::slice::IterMut<'a, R>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter_mut()
    }
}
