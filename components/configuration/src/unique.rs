//! Deserialization of named entries that refuses duplicate names.

use std::{collections::BTreeMap, fmt, marker::PhantomData};

use serde::{
    Deserialize, Deserializer,
    de::{Error, MapAccess, Visitor},
};

/// Deserializes a map and refuses a name that occurs twice. Serde itself keeps the last of two
/// entries with the same name without an error.
pub fn map<'de, D, T>(deserializer: D) -> Result<BTreeMap<String, T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    deserializer.deserialize_map(Entries(PhantomData))
}

struct Entries<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for Entries<T> {
    type Value = BTreeMap<String, T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object with named entries")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Self::Value, A::Error> {
        let mut entries = BTreeMap::new();
        while let Some((name, entry)) = access.next_entry::<String, T>()? {
            if entries.contains_key(&name) {
                return Err(A::Error::custom(format!(
                    "the name \"{name}\" occurs twice; give one of the two another name"
                )));
            }
            entries.insert(name, entry);
        }
        Ok(entries)
    }
}
