//! The input of a job: checking it, cutting it into objects, and reading items back.

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

/// Items in one object of a job's input.
///
/// Several chunks share an object, so that acceptance costs few writes; the whole input in one
/// object would make every dispatcher read all of it.
const PART_ITEMS: usize = 1024;

/// Bytes of input objects that a dispatcher keeps for the next chunk of the same object.
const CACHE_BYTES: usize = 32 << 20;

/// An input that was checked.
#[derive(Debug)]
pub(super) struct Checked {
    /// Number of items.
    pub items: u32,
    /// Contents of the objects.
    pub parts: Vec<Bytes>,
    /// Digest of deployment and input.
    pub digest: String,
}

/// Checks a whole input.
pub(super) fn check(input: &Bytes, deployment: &str, limit: usize) -> Result<Checked, Failure> {
    let invalid = |message: String| Failure::not_run(Kind::Invalid, message);
    let text = str::from_utf8(input).map_err(|error| {
        invalid(format!("the input is not UTF-8 from byte {} on", error.valid_up_to()))
    })?;
    let mut ids = HashSet::new();
    let mut parts = Vec::new();
    let (mut start, mut end) = (0, 0);
    for (index, line) in text.split_inclusive('\n').enumerate() {
        let number = index + 1;
        if index >= limit {
            let message =
                format!("the job has more than {limit} items; split it into several jobs");
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
        if number.is_multiple_of(PART_ITEMS) {
            parts.push(input.slice(start..end));
            start = end;
        }
    }
    if ids.is_empty() {
        return Err(invalid("the job has no items; send one JSON object a line".to_owned()));
    }
    if start < end {
        parts.push(input.slice(start..end));
    }
    let items = u32::try_from(ids.len())
        .map_err(|_| Failure::not_run(Kind::TooLarge, "the job has too many items"))?;
    Ok(Checked { items, parts, digest: digest(&[deployment.as_bytes(), input]) })
}

/// Digest of the given parts as 32 hexadecimal digits (SipHash-1-3-128, zero key).
pub(super) fn digest(parts: &[&[u8]]) -> String {
    let mut hasher = SipHasher13::new();
    for part in parts {
        hasher.write_usize(part.len());
        hasher.write(part);
    }
    format!("{:032x}", hasher.finish128().as_u128())
}

/// Items of inputs, read through a small cache of objects.
#[derive(Debug, Default)]
pub(super) struct Reader {
    cache: Mutex<VecDeque<(String, Bytes)>>,
}

impl Reader {
    /// Reads items of a job; those that the input does not contain are left out.
    pub async fn items(
        &self,
        objects: &dyn Objects,
        job: &str,
        wanted: &[u32],
    ) -> Result<Vec<(u32, Item)>, Error> {
        let mut items = Vec::with_capacity(wanted.len());
        let parts: BTreeSet<_> = wanted.iter().map(|item| *item as usize / PART_ITEMS).collect();
        for part in parts {
            let Some(content) = self.part(objects, job::input_key(job, part)).await? else {
                continue;
            };
            let of_part = wanted.iter().filter(|item| **item as usize / PART_ITEMS == part);
            let offsets: BTreeSet<_> = of_part.map(|item| *item as usize % PART_ITEMS).collect();
            let lines = content.split(|byte| *byte == b'\n').enumerate();
            for (offset, line) in lines.filter(|(offset, _)| offsets.contains(offset)) {
                let index = u32::try_from(part * PART_ITEMS + offset).unwrap_or(u32::MAX);
                if let Ok(item) = serde_json::from_slice(line) {
                    items.push((index, item));
                }
            }
        }
        Ok(items)
    }

    async fn part(&self, objects: &dyn Objects, key: String) -> Result<Option<Bytes>, Error> {
        let cached = {
            let cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
            cache.iter().find(|(other, _)| *other == key).map(|(_, content)| content.clone())
        };
        if cached.is_some() {
            return Ok(cached);
        }
        let Some(content) = objects.get(key.clone()).await? else { return Ok(None) };
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        cache.push_back((key, content.clone()));
        let mut bytes: usize = cache.iter().map(|(_, content)| content.len()).sum();
        while bytes > CACHE_BYTES
            && let Some((_, oldest)) = cache.pop_front()
        {
            bytes -= oldest.len();
        }
        Ok(Some(content))
    }
}
