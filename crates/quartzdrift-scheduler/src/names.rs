//! Names of workers and functions, and hashes.
//!
//! Inside the scheduler each name is a small index; the index of a name that is forgotten is used again.
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

/// A table of names and their indexes.
#[derive(Default)]
pub(crate) struct NameTable {
    indexes: BTreeMap<Rc<str>, usize>,
    /// By index.
    entries: Vec<NameEntry>,
    free: Vec<usize>,
}

struct NameEntry {
    name: Rc<str>,
    last_used: Duration,
}

impl NameTable {
    /// Index of a name, which counts as used at the time `now`.
    pub(crate) fn index(&mut self, name: &str, now: Duration) -> usize {
        if let Some(&index) = self.indexes.get(name) {
            self.entries[index].last_used = now;
            return index;
        }
        let name: Rc<str> = name.into();
        let entry = NameEntry { name: name.clone(), last_used: now };
        let index = self.free.pop().unwrap_or(self.entries.len());
        if index == self.entries.len() {
            self.entries.push(entry);
        } else {
            self.entries[index] = entry;
        }
        self.indexes.insert(name, index);
        index
    }

    pub(crate) fn len(&self) -> usize {
        self.indexes.len()
    }

    pub(crate) fn name(&self, index: usize) -> Rc<str> {
        self.entries[index].name.clone()
    }

    /// Forgets the names last used before `oldest`, except those in use.
    pub(crate) fn forget_before(&mut self, oldest: Duration, in_use: &BTreeSet<usize>) {
        let last_used: Vec<Duration> = self.entries.iter().map(|entry| entry.last_used).collect();
        self.forget(|index| last_used[index] < oldest && !in_use.contains(&index));
    }

    /// Forgets the names for whose index `forgets` is true; the index is free for another name.
    pub(crate) fn forget(&mut self, mut forgets: impl FnMut(usize) -> bool) {
        let free = &mut self.free;
        self.indexes.retain(|_, &mut index| {
            let forgotten = forgets(index);
            if forgotten {
                free.push(index);
            }
            !forgotten
        });
    }
}

/// A hash of a text on which every release and every other program agrees: XXH3 with 64 bits and a seed, as
/// published by its author. Preferred workers rest on it.
pub(crate) fn stable_hash(text: &str, seed: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(text.as_bytes(), seed)
}

/// A hash on which all instances of one build agree, for draws at random.
pub(crate) fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

#[cfg(test)]
mod tests;
