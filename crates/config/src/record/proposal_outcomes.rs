//! JSON form of proposal outcomes: one string that holds, for each proposal, the hexadecimal id and the
//! initial of the outcome.

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serializer};

use super::{Outcome, ProposalId, ProposalOutcome};

/// Length of a hexadecimal id in bytes.
const ID_LEN: usize = 32;

pub fn serialize<S: Serializer>(proposals: &[ProposalOutcome], out: S) -> Result<S::Ok, S::Error> {
    let mut text = String::with_capacity(proposals.len() * (ID_LEN + 1));
    for ProposalOutcome(id, outcome) in proposals {
        text.push_str(&id.to_string());
        text.push(initial(*outcome));
    }
    out.serialize_str(&text)
}

pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<ProposalOutcome>, D::Error> {
    let text = String::deserialize(from)?;
    let chunks = text.as_bytes().chunks(ID_LEN + 1);
    let proposals: Option<_> = chunks.map(parse).collect();
    proposals.ok_or_else(|| {
        D::Error::custom("a proposal outcome must be 32 hexadecimal digits followed by 'a', 'c' or 'i'")
    })
}

fn initial(outcome: Outcome) -> char {
    match outcome {
        Outcome::Accepted => 'a',
        Outcome::Conflict => 'c',
        Outcome::Invalid => 'i',
    }
}

fn parse(chunk: &[u8]) -> Option<ProposalOutcome> {
    let (id, outcome) = chunk.split_at_checked(ID_LEN)?;
    let id: ProposalId = std::str::from_utf8(id).ok()?.parse().ok()?;
    let outcome = match outcome {
        b"a" => Outcome::Accepted,
        b"c" => Outcome::Conflict,
        b"i" => Outcome::Invalid,
        _ => return None,
    };
    Some(ProposalOutcome(id, outcome))
}
