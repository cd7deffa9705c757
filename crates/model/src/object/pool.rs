//! Pools of upstreams.

use serde::{Deserialize, Serialize};

use crate::Name;

/// What the upstreams of a pool are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Model engines.
    Engine,
    /// Instances of plain services.
    Service,
}

/// Whether the engines of a pool refuse orders with an old fencing token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fencing {
    /// Old tokens are refused.
    Checked,
    /// Tokens are ignored.
    Ignored,
}

/// A group of equivalent upstreams; the host list says which hosts belong to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Unique name, used by the host list.
    pub name: Name,
    /// What the upstreams are.
    pub role: Role,
    /// Whether orders with an old fencing token are refused.
    pub fencing: Fencing,
    /// First concurrency limit of an upstream before any measurement, 1 to 10000.
    pub concurrency: u32,
}
