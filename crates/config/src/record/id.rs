//! Identity of a proposal.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// 128 random bits, written as 32 hexadecimal digits.
///
/// Bytes instead of an integer keep the table of recent ids free of padding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id([u8; 16]);

/// The text is not 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a proposal id has 32 hexadecimal digits")]
pub struct ParseError;

impl Id {
    /// Wraps 128 random bits.
    pub fn from_bits(bits: u128) -> Self {
        Self(bits.to_be_bytes())
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl FromStr for Id {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; 16];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| ParseError)?;
        Ok(Self(bytes))
    }
}

impl Serialize for Id {
    fn serialize<S: Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        out.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Id {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        String::deserialize(from)?
            .parse()
            .map_err(serde::de::Error::custom)
    }
}
