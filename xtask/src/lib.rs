//! Repository automation: code generation, and tests of the repository structure.

pub mod codegen;
