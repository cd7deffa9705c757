//! Identifiers of process runs.

use std::fmt;
use std::str::FromStr;

/// Random identifier of one run of a node's process; a restart creates a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(u128);

/// Error of parsing an incarnation: the text is not 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an incarnation must be 32 hexadecimal digits")]
pub struct ParseError;

impl Incarnation {
    /// Length of the text form in bytes.
    pub const TEXT_LEN: usize = 32;

    /// Creates an incarnation from 128 random bits.
    pub fn from_bits(bits: u128) -> Self {
        Self(bits)
    }

    /// The 128 bits.
    pub fn bits(self) -> u128 {
        self.0
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.bytes().all(|it| it.is_ascii_hexdigit());
        if text.len() != Self::TEXT_LEN || !digits {
            return Err(ParseError);
        }
        u128::from_str_radix(text, 16).map(Self).map_err(|_| ParseError)
    }
}
