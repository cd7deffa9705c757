//! Memory of engines: the tokens that requests hold there, and the room that is left.
//!
//! A node knows the tokens of its own requests and keeps a total for each run of an engine, so that a decision reads the
//! totals only. Requests of other nodes are known by their number; their sizes are taken to be those of this node's recent
//! requests (see [`Usage`]), and the tokens that so many of them hold at most to be what they hold (see [`Size`]).
//!
//! All of it is an estimate, and the platform preempts requests or loses the engine when memory runs out, so that a part of
//! the memory is kept free (see [`Room`]).

mod footprint;
mod held;
mod room;
mod size;
mod usage;

pub use footprint::Footprint;
pub(crate) use held::Held;
pub use room::{Demand, Room};
pub use size::Size;
pub(crate) use usage::Usage;
