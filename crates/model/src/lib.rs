//! Types shared by all crates: identifiers, configuration objects, request classes, refusals and usage.
//!
//! This crate performs no I/O, holds no state and depends on no other workspace crate. Names are shared
//! strings, because the request path copies them often and they come from a small set.

use std::sync::Arc;

pub mod class;
pub mod hash;
pub mod incarnation;
pub mod object;
pub mod ran;
pub mod refusal;
pub mod usage;

pub use class::Class;
pub use incarnation::Incarnation;
pub use object::Object;
pub use ran::Ran;
pub use refusal::Refusal;
pub use usage::Usage;

/// Name of a configuration object, unique within its kind.
pub type Name = Arc<str>;

/// Name of a failure domain, such as `pt-norte-1`.
pub type Domain = Arc<str>;

/// Name of a host, which stays the same when its process restarts.
pub type Host = Arc<str>;

/// Name of an upstream (an engine or an instance of a plain service).
pub type Upstream = Arc<str>;

/// Revision of the configuration: the log offset of the last applied record plus one. Zero is the empty
/// configuration.
pub type Revision = u64;

/// Offset of a record in a log stream.
pub type Offset = u64;

/// Number of tokens.
pub type Tokens = u32;

/// Cost in billionths of the billing currency.
pub type Cost = u64;
