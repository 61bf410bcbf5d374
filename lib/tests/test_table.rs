//! Compares `Table` with the standard library's `BTreeMap` over generated inserts and removals.

use std::collections::BTreeMap;

use poplarvale_lib::{Row, Table};
use proptest::prelude::*;

#[derive(Clone, Debug, PartialEq)]
struct Pair {
    id: u8,
    value: u16,
}

impl Row for Pair {
    type Id = u8;
    fn id(&self) -> &u8 {
        &self.id
    }
}

#[derive(Clone, Debug)]
enum Change {
    Insert(u8, u16),
    Remove(u8),
}

fn changes() -> impl Strategy<Value = Vec<Change>> {
    let insert = (any::<u8>(), any::<u16>()).prop_map(|(id, value)| Change::Insert(id, value));
    let change = prop_oneof![insert, any::<u8>().prop_map(Change::Remove)];
    prop::collection::vec(change, 0..200)
}

proptest! {
    #![proptest_config(testutils::fixed(64))]

    #[test]
    fn a_table_matches_a_btree_map(changes in changes()) {
        let mut table = Table::new();
        let mut map = BTreeMap::new();
        for change in changes {
            match change {
                Change::Insert(id, value) => {
                    let old = table.insert(Pair { id, value }).map(|p| p.value);
                    prop_assert_eq!(old, map.insert(id, value));
                }
                Change::Remove(id) => {
                    let old = table.remove(&id).map(|p| p.value);
                    prop_assert_eq!(old, map.remove(&id));
                }
            }
        }
        let rows: Vec<_> = table.iter().map(|p| (p.id, p.value)).collect();
        let expected: Vec<_> = map.into_iter().collect();
        prop_assert_eq!(rows, expected);
    }
}
