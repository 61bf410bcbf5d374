//! Endpoint tables of identical engines, for the tests of the relay.

use poplarvale_lib::relay::endpoint_table::EndpointTable;
use poplarvale_lib::relay::listing::Listing;

/// A table of the engines `e0`, `e1` and so on of the service `pool`, in one zone.
pub(crate) fn engines(count: u32, slots: u32) -> EndpointTable {
    let mut table = EndpointTable::default();
    for number in 0..count {
        table.put(Listing {
            id: format!("e{number}").into(),
            service: "pool".into(),
            address: format!("10.0.0.{number}:1").parse().expect("an address"),
            zone: "hanko".into(),
            version: "v1".into(),
            slots,
            leaving: false,
            spot: false,
            born: None,
            count: 1,
            cold: None,
        });
    }
    table
}
