//! Pools of upstreams.

use serde::{Deserialize, Serialize};

use crate::Name;

/// Kind of the upstreams in a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Engines that serve models.
    Engine,
    /// Instances of plain services.
    Service,
}

/// Whether the engines of a pool check fencing tokens of commands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fencing {
    /// Commands with an outdated token are refused.
    Checked,
    /// Tokens are ignored.
    Ignored,
}

/// A group of equivalent upstreams. The host list defines which hosts belong to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Unique name, referred to by the host list.
    pub name: Name,
    /// Kind of the upstreams.
    pub role: Role,
    /// Whether commands with an outdated fencing token are refused.
    pub fencing: Fencing,
    /// Initial concurrency limit of an upstream, used before any measurement, 1 to 10000.
    pub concurrency: u32,
}
