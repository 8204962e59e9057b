//! Reads named entries and refuses a name that occurs twice.

use std::{collections::BTreeMap, fmt, marker::PhantomData};

use serde::{
    Deserialize, Deserializer,
    de::{Error, MapAccess, Visitor},
};

/// Reads a map. Without this check the last of two entries would silently win.
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
