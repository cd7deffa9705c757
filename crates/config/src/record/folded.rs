//! JSON form of folded proposals: one string, with the digits of the id and the initial of the outcome for each.

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serializer};

use super::{Folded, Id, Outcome};

/// Length of an id in hexadecimal.
const ID_LEN: usize = 32;

pub fn serialize<S: Serializer>(proposals: &[Folded], out: S) -> Result<S::Ok, S::Error> {
    let mut text = String::with_capacity(proposals.len() * (ID_LEN + 1));
    for Folded(id, outcome) in proposals {
        text.push_str(&id.to_string());
        text.push(initial(*outcome));
    }
    out.serialize_str(&text)
}

pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<Folded>, D::Error> {
    let text = String::deserialize(from)?;
    let chunks = text.as_bytes().chunks(ID_LEN + 1);
    let proposals: Option<_> = chunks.map(parse).collect();
    proposals
        .ok_or_else(|| D::Error::custom("a folded proposal has 32 hexadecimal digits and 'a', 'c' or 'i'"))
}

fn initial(outcome: Outcome) -> char {
    match outcome {
        Outcome::Accepted => 'a',
        Outcome::Conflict => 'c',
        Outcome::Invalid => 'i',
    }
}

fn parse(chunk: &[u8]) -> Option<Folded> {
    let (id, outcome) = chunk.split_at_checked(ID_LEN)?;
    let id: Id = std::str::from_utf8(id).ok()?.parse().ok()?;
    let outcome = match outcome {
        b"a" => Outcome::Accepted,
        b"c" => Outcome::Conflict,
        b"i" => Outcome::Invalid,
        _ => return None,
    };
    Some(Folded(id, outcome))
}
