//! Repository automation: code generation, earlier builds, and tests of the repository structure.

pub mod builds;
pub mod codegen;
pub mod recorded;
