//! Validation errors.

use model::Name;
use model::object::{Key, Kind};

/// A validation error of one object.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{object}: {problem}")]
pub struct ValidationError {
    /// Invalid object.
    pub object: Key,
    /// What is wrong with the object.
    pub problem: Problem,
}

/// What is wrong with an object.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// Two objects of a kind have the same name.
    #[error("the object is defined more than once")]
    Duplicate,
    /// The name is malformed.
    #[error("a name must have 1 to 64 letters, digits, '.', '_' or '-' and start with a letter or digit")]
    InvalidName,
    /// A model, version or cascade has the name of an object of another one of these kinds.
    #[error("a {} has the same name, so requests for it would be ambiguous", .0.as_str())]
    Ambiguous(Kind),
    /// The object refers to one that does not exist.
    #[error("{0} does not exist")]
    MissingReference(Key),
    /// The version belongs to another model.
    #[error("version {0} belongs to another model")]
    WrongModel(Name),
    /// The version is withdrawn.
    #[error("version {0} is withdrawn")]
    Withdrawn(Name),
    /// The pool has the wrong role.
    #[error("pool {0} has the wrong role")]
    WrongPoolRole(Name),
    /// The cascade has no steps.
    #[error("a cascade must have at least one step")]
    EmptyCascade,
    /// The cascade contains itself.
    #[error("the cascade contains itself")]
    Cycle,
    /// The concurrency is out of range.
    #[error("concurrency {0} is not between 1 and 10000")]
    ConcurrencyOutOfRange(u32),
    /// The weight is out of range.
    #[error("weight {0} is not between 1 and 1000")]
    WeightOutOfRange(u32),
    /// The quality target is out of range.
    #[error("quality_permille {0} is greater than 1000")]
    QualityOutOfRange(u16),
    /// A key hash is not a hexadecimal SHA-256.
    #[error("key hash {0:?} is not 64 hexadecimal digits")]
    InvalidKeyHash(String),
    /// Another organisation has the same key hash.
    #[error("organisation {0} has the same bearer key")]
    SharedKey(Name),
    /// The stages do not increase up to 1000.
    #[error("stages must increase strictly, from at least 1 to exactly 1000")]
    InvalidStages,
    /// The current stage is out of range.
    #[error("stage {0} does not exist")]
    StageOutOfRange(u16),
    /// Both versions of the roll-out are the same.
    #[error("a roll-out must name two different versions")]
    SameVersion,
    /// A running roll-out does not start from the default version.
    #[error("version {0} is not the default version of the model")]
    NotDefault(Name),
    /// The exposure budget is zero.
    #[error("exposure_budget must be at least 1")]
    ExposureBudget,
    /// Another roll-out of the model is running.
    #[error("roll-out {0} of the same model is already running")]
    SecondRollout(Name),
    /// The method is not in upper case.
    #[error("method {0:?} must consist of upper-case letters")]
    InvalidMethod(String),
    /// The path does not start with a slash.
    #[error("path {0:?} must start with '/'")]
    InvalidPath(String),
    /// Two calls have the same method and path.
    #[error("call {0} is defined more than once")]
    DuplicateCall(String),
}
