//! Attribute macros that expand to common sets of derives.
//!
//! Types of one kind should derive the same traits. Written out at each type, the
//! lists of derives would diverge, so a type names its kind instead:
//! `#[row]` for rows of a table, `#[kind]` for enums of a few plain variants and
//! `#[setting]` for types that are read from a JSON file.

use proc_macro::TokenStream;

/// Derives for a row of a table or a part of a row.
#[proc_macro_attribute]
pub fn row(_options: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("#[derive(Clone, Debug, PartialEq)]", item)
}

/// Derives for an enum of a few plain variants, serialized in snake case.
#[proc_macro_attribute]
pub fn kind(_options: TokenStream, item: TokenStream) -> TokenStream {
    let derives = "#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, \
                   ::serde::Serialize, ::serde::Deserialize)]\
                   #[serde(rename_all = \"snake_case\")]";
    with_derives(derives, item)
}

/// Derives for a type that is read from a JSON file; unknown fields are rejected.
#[proc_macro_attribute]
pub fn setting(_options: TokenStream, item: TokenStream) -> TokenStream {
    let derives = "#[derive(Clone, Debug, PartialEq, ::serde::Serialize, \
                   ::serde::Deserialize)]\
                   #[serde(deny_unknown_fields)]";
    with_derives(derives, item)
}

fn with_derives(derives: &str, item: TokenStream) -> TokenStream {
    let mut out: TokenStream = derives
        .parse()
        .expect("the derives in this file are valid Rust");
    out.extend(item);
    out
}
