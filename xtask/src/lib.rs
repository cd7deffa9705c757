//! Repository automation: code generation and the checks that keep generated files up to date.

pub mod codegen;
