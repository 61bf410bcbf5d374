//! Types of the borders, generated from the `.proto` files in this folder.
//!
//! The generated files are committed. `cargo run -p gen-protos` writes them
//! anew after a change to a `.proto` file; CI checks that nothing differs.

/// Callers' HTTP border.
#[allow(clippy::all, clippy::pedantic, missing_docs, reason = "generated")]
pub mod caller {
    include!("protos/poplarvale.caller.rs");
}

/// Operators' HTTP border.
#[allow(clippy::all, clippy::pedantic, missing_docs, reason = "generated")]
pub mod operator {
    include!("protos/poplarvale.operator.rs");
}

/// The platform's key-value service, and what is kept in it.
#[allow(clippy::all, clippy::pedantic, missing_docs, reason = "generated")]
pub mod platform {
    include!("protos/poplarvale.platform.rs");
}

/// Version moves: the stored record and the rows that daemons share.
#[allow(clippy::all, clippy::pedantic, missing_docs, reason = "generated")]
pub mod moves {
    include!("protos/poplarvale.moves.rs");
}

/// What daemons tell one another.
#[allow(clippy::all, clippy::pedantic, missing_docs, reason = "generated")]
pub mod peer {
    include!("protos/poplarvale.peer.rs");
}

/// What relaying daemons tell one another and keep in the store.
#[allow(clippy::all, clippy::pedantic, missing_docs, reason = "generated")]
pub mod relay {
    include!("protos/poplarvale.relay.rs");
}
