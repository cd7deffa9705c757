//! Messages between nodes, generated from `proto/peer.proto` and committed.
//!
//! `cargo run -p xtask -- codegen` renews the generated file; the build needs no generator. This crate holds no
//! logic: nodes convert these types to those of the other crates at their border.

#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
#[path = "generated/bronzevale.peer.v1.rs"]
pub mod peer;
