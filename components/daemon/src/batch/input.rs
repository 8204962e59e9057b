//! Input of a job: validation, division into objects, and reading of items.

use std::{
    collections::{BTreeSet, HashSet, VecDeque},
    hash::Hasher,
    str,
    sync::{Mutex, PoisonError},
};

use bytes::Bytes;
use cyclamengrade_caller::{Failure, Kind, backend::Item};
use cyclamengrade_control::job;
use cyclamengrade_platform::{Error, Objects};
use siphasher::sip128::{Hasher128, SipHasher13};

/// Number of items in one object of a job's input.
///
/// Several chunks share an object, so that accepting a job takes few writes. With the whole input
/// in one object, every dispatcher would have to read all of it.
const ITEMS_PER_PART: usize = 1024;

/// Maximum total size in bytes of the input objects that a dispatcher caches for further chunks of
/// the same objects.
const MAX_CACHED_BYTES: usize = 32 << 20;

/// A valid input, divided into objects.
#[derive(Debug)]
pub(super) struct Validated {
    /// Number of items.
    pub items: u32,
    /// Contents of the objects; each has [`ITEMS_PER_PART`] items, the last one possibly fewer.
    pub parts: Vec<Bytes>,
    /// Digest of the deployment's name and the input, as 32 hexadecimal digits.
    pub digest: String,
}

/// Validates the input of a job with at most `max_items` items and divides it into objects.
///
/// Fails with [`Kind::Invalid`] if there are no items, or if a line is not a valid item or repeats
/// an identifier, and with [`Kind::TooLarge`] if there are too many items.
pub(super) fn validate(
    input: &Bytes,
    deployment: &str,
    max_items: usize,
) -> Result<Validated, Failure> {
    let invalid = |message: String| Failure::not_run(Kind::Invalid, message);
    let text = str::from_utf8(input).map_err(|error| {
        invalid(format!("the input is not UTF-8 from byte {} onwards", error.valid_up_to()))
    })?;
    let mut ids = HashSet::new();
    let mut parts = Vec::new();
    let (mut start, mut end) = (0, 0);
    for (index, line) in text.split_inclusive('\n').enumerate() {
        let number = index + 1;
        if index >= max_items {
            let message =
                format!("the job has more than {max_items} items; split it into several jobs");
            return Err(Failure::not_run(Kind::TooLarge, message));
        }
        let item: Item = serde_json::from_str(line.trim_end())
            .map_err(|error| invalid(format!("line {number} is not an item: {error}")))?;
        if item.id.is_empty() {
            return Err(invalid(format!("the item in line {number} has an empty id")));
        }
        if item.max_tokens == 0 {
            return Err(invalid(format!("line {number}: max_tokens must be at least 1")));
        }
        if let Some(id) = ids.replace(item.id) {
            return Err(invalid(format!("line {number} repeats the item id {id:?}")));
        }
        end += line.len();
        if number.is_multiple_of(ITEMS_PER_PART) {
            parts.push(input.slice(start..end));
            start = end;
        }
    }
    if ids.is_empty() {
        return Err(invalid("the job has no items; send one JSON object per line".to_owned()));
    }
    if start < end {
        parts.push(input.slice(start..end));
    }
    let items = u32::try_from(ids.len())
        .map_err(|_| Failure::not_run(Kind::TooLarge, "the job has too many items"))?;
    Ok(Validated { items, parts, digest: digest(&[deployment.as_bytes(), input]) })
}

/// Returns the digest of a sequence of byte strings as 32 hexadecimal digits: SipHash-1-3-128 with
/// a key of zero over each string preceded by its length.
pub(super) fn digest(parts: &[&[u8]]) -> String {
    let mut hasher = SipHasher13::new();
    for part in parts {
        hasher.write_usize(part.len());
        hasher.write(part);
    }
    format!("{:032x}", hasher.finish128().as_u128())
}

/// Reads items of inputs through a small cache of objects.
#[derive(Debug, Default)]
pub(super) struct Reader {
    /// Keys and contents of the cached objects, the oldest first.
    cache: Mutex<VecDeque<(String, Bytes)>>,
}

impl Reader {
    /// Reads items of a job by their indices. Items that the input does not contain are omitted.
    pub async fn read_items(
        &self,
        objects: &dyn Objects,
        job: &str,
        indices: &[u32],
    ) -> Result<Vec<(u32, Item)>, Error> {
        let mut items = Vec::with_capacity(indices.len());
        let parts: BTreeSet<_> =
            indices.iter().map(|index| *index as usize / ITEMS_PER_PART).collect();
        for part in parts {
            let Some(content) = self.read_part(objects, job::input_key(job, part)).await? else {
                continue;
            };
            let in_part = indices.iter().filter(|index| **index as usize / ITEMS_PER_PART == part);
            let offsets: BTreeSet<_> =
                in_part.map(|index| *index as usize % ITEMS_PER_PART).collect();
            let lines = content.split(|byte| *byte == b'\n').enumerate();
            for (offset, line) in lines.filter(|(offset, _)| offsets.contains(offset)) {
                let index = u32::try_from(part * ITEMS_PER_PART + offset).unwrap_or(u32::MAX);
                if let Ok(item) = serde_json::from_slice(line) {
                    items.push((index, item));
                }
            }
        }
        Ok(items)
    }

    /// Returns an object from the cache, or reads it and caches it. Returns `None` if the object
    /// does not exist.
    async fn read_part(&self, objects: &dyn Objects, key: String) -> Result<Option<Bytes>, Error> {
        let cached = {
            let cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
            cache
                .iter()
                .find(|(cached_key, _)| *cached_key == key)
                .map(|(_, content)| content.clone())
        };
        if cached.is_some() {
            return Ok(cached);
        }
        let Some(content) = objects.get(key.clone()).await? else { return Ok(None) };
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        cache.push_back((key, content.clone()));
        let mut bytes: usize = cache.iter().map(|(_, content)| content.len()).sum();
        while bytes > MAX_CACHED_BYTES
            && let Some((_, oldest)) = cache.pop_front()
        {
            bytes -= oldest.len();
        }
        Ok(Some(content))
    }
}
