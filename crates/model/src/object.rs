//! Configuration objects, which operators create and change.
//!
//! Objects refer to one another by name. Operators write them as JSON, and the configuration log stores the
//! same JSON. Unknown fields are errors, so that a misspelt field is not silently ignored. Fractions are
//! integers in thousandths, because all nodes must compare them exactly.

use serde::{Deserialize, Serialize};

use crate::Name;

pub mod cascade;
pub mod model;
pub mod organisation;
pub mod pool;
pub mod rollout;
pub mod service;
pub mod version;

pub use cascade::Cascade;
pub use model::Model;
pub use organisation::Organisation;
pub use pool::Pool;
pub use rollout::Rollout;
pub use service::Service;
pub use version::Version;

/// Kind of an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// See [`Organisation`].
    Organisation,
    /// See [`Model`].
    Model,
    /// See [`Version`].
    Version,
    /// See [`Cascade`].
    Cascade,
    /// See [`Rollout`].
    Rollout,
    /// See [`Pool`].
    Pool,
    /// See [`Service`].
    Service,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 7] = [
        Self::Organisation,
        Self::Model,
        Self::Version,
        Self::Cascade,
        Self::Rollout,
        Self::Pool,
        Self::Service,
    ];

    /// Name used in JSON and on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Organisation => "organisation",
            Self::Model => "model",
            Self::Version => "version",
            Self::Cascade => "cascade",
            Self::Rollout => "rollout",
            Self::Pool => "pool",
            Self::Service => "service",
        }
    }
}

/// Kind and name of an object.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Kind of the object.
    pub kind: Kind,
    /// Name of the object, unique within its kind.
    pub name: Name,
}

impl Key {
    /// Creates a key from its parts.
    pub fn new(kind: Kind, name: impl Into<Name>) -> Self {
        Self {
            kind,
            name: name.into(),
        }
    }
}

impl std::fmt::Display for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.kind.as_str(), self.name)
    }
}

/// Any configuration object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum Object {
    /// A customer with its bearer keys and permissions.
    Organisation(Organisation),
    /// A model with its default version.
    Model(Model),
    /// A version of a model.
    Version(Version),
    /// An ordered list of models or versions to try.
    Cascade(Cascade),
    /// A gradual change of a model's default version.
    Rollout(Rollout),
    /// A group of equivalent upstreams.
    Pool(Pool),
    /// A plain service.
    Service(Service),
}

impl Object {
    /// Kind and name of the object.
    pub fn key(&self) -> Key {
        match self {
            Self::Organisation(it) => Key::new(Kind::Organisation, it.name.clone()),
            Self::Model(it) => Key::new(Kind::Model, it.name.clone()),
            Self::Version(it) => Key::new(Kind::Version, it.name.clone()),
            Self::Cascade(it) => Key::new(Kind::Cascade, it.name.clone()),
            Self::Rollout(it) => Key::new(Kind::Rollout, it.name.clone()),
            Self::Pool(it) => Key::new(Kind::Pool, it.name.clone()),
            Self::Service(it) => Key::new(Kind::Service, it.name.clone()),
        }
    }
}
