//! Faults of a configuration.

use model::Name;
use model::object::{Key, Kind};

/// A fault of one object.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{object}: {problem}")]
pub struct Fault {
    /// Object to correct.
    pub object: Key,
    /// What is wrong.
    pub problem: Problem,
}

/// What is wrong with an object.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// Two objects of a kind have the same name.
    #[error("the object is defined twice")]
    Duplicate,
    /// The name is malformed.
    #[error("a name has 1 to 64 letters, digits, '.', '_' or '-' and starts with a letter or digit")]
    Name,
    /// A model, version or cascade has the name of another one of these.
    #[error("a {} has the same name, so a request for it would be ambiguous", .0.as_str())]
    Ambiguous(Kind),
    /// The object refers to an absent one.
    #[error("{0} does not exist")]
    Dangling(Key),
    /// The version belongs to another model.
    #[error("version {0} belongs to another model")]
    OtherModel(Name),
    /// The version is withdrawn.
    #[error("version {0} is withdrawn")]
    Withdrawn(Name),
    /// The pool has the wrong role.
    #[error("pool {0} has another role")]
    PoolRole(Name),
    /// The cascade has no steps.
    #[error("a cascade needs at least one step")]
    NoSteps,
    /// The cascade contains itself.
    #[error("the cascade contains itself")]
    Cycle,
    /// The concurrency is out of range.
    #[error("concurrency {0} is not within 1 to 10000")]
    Concurrency(u32),
    /// The weight is out of range.
    #[error("weight {0} is not within 1 to 1000")]
    Weight(u32),
    /// The quality target is out of range.
    #[error("quality_permille {0} is above 1000")]
    Quality(u16),
    /// A key hash is no SHA-256 in hexadecimal.
    #[error("key hash {0:?} does not have 64 hexadecimal digits")]
    KeyHash(String),
    /// Another organisation has the same key hash.
    #[error("organisation {0} uses the same bearer key")]
    SharedKey(Name),
    /// The stages are malformed.
    #[error("stages ascend from at least 1 to exactly 1000")]
    Stages,
    /// The stage does not exist.
    #[error("stage {0} does not exist")]
    Stage(u16),
    /// Both versions of the roll-out are the same.
    #[error("a roll-out needs two different versions")]
    SameVersion,
    /// A running roll-out does not start from the default version.
    #[error("version {0} is not the default version of the model")]
    NotDefault(Name),
    /// The exposure budget is zero.
    #[error("exposure_budget is at least 1")]
    ExposureBudget,
    /// Another roll-out of the model is running.
    #[error("roll-out {0} of the same model is running")]
    SecondRollout(Name),
    /// The method is not in capitals.
    #[error("method {0:?} does not consist of capital letters")]
    Method(String),
    /// The path does not start with a slash.
    #[error("path {0:?} does not start with '/'")]
    Path(String),
    /// Two calls have the same method and path.
    #[error("call {0} is listed twice")]
    RepeatedCall(String),
}
