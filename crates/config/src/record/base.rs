//! JSON form of base revisions: an object that maps `KIND/NAME` to the revision.

use std::collections::BTreeMap;

use model::Revision;
use model::object::Key;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serializer};

pub fn serialize<S: Serializer>(base: &BTreeMap<Key, Revision>, out: S) -> Result<S::Ok, S::Error> {
    out.collect_map(base.iter().map(|(key, revision)| (key.to_string(), revision)))
}

pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<BTreeMap<Key, Revision>, D::Error> {
    let texts = BTreeMap::<String, Revision>::deserialize(from)?;
    texts
        .into_iter()
        .map(|(text, revision)| {
            let key = super::parse_key(&text)
                .ok_or_else(|| D::Error::custom("an object key must have the form KIND/NAME"))?;
            Ok((key, revision))
        })
        .collect()
}
