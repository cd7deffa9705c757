//! Generation of answers on engines.

pub(crate) mod attempt;
pub(crate) mod generation;
pub(crate) mod sink;
