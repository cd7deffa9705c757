//! Identifiers of proposals.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Random 128-bit identifier of a proposal, written as 32 hexadecimal digits.
///
/// Stored as bytes rather than as an integer, so that the map of recent outcomes needs no padding for
/// alignment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId([u8; 16]);

/// Error of parsing a proposal id: the text is not 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a proposal id must be 32 hexadecimal digits")]
pub struct ParseError;

impl ProposalId {
    /// Creates an id from 128 random bits.
    pub fn from_bits(bits: u128) -> Self {
        Self(bits.to_be_bytes())
    }
}

impl fmt::Display for ProposalId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl FromStr for ProposalId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; 16];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| ParseError)?;
        Ok(Self(bytes))
    }
}

impl Serialize for ProposalId {
    fn serialize<S: Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        out.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ProposalId {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        String::deserialize(from)?
            .parse()
            .map_err(serde::de::Error::custom)
    }
}
