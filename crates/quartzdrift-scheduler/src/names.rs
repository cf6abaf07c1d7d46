//! Name tables for workers and functions, and hash functions.
//!
//! Inside the scheduler a small index stands for each name. The index of a removed name is reused.
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

/// Maps names to indexes and back.
#[derive(Default)]
pub(crate) struct NameTable {
    indexes: BTreeMap<Rc<str>, usize>,
    /// Entries by index.
    entries: Vec<NameEntry>,
    /// Indexes of removed names.
    free_indexes: Vec<usize>,
}

struct NameEntry {
    name: Rc<str>,
    last_used_at: Duration,
}

impl NameTable {
    /// Returns the index of a name, adding the name if it is new, and marks it as used at the time `now`.
    pub(crate) fn index(&mut self, name: &str, now: Duration) -> usize {
        if let Some(&index) = self.indexes.get(name) {
            self.entries[index].last_used_at = now;
            return index;
        }
        let name: Rc<str> = name.into();
        let entry = NameEntry { name: name.clone(), last_used_at: now };
        let index = self.free_indexes.pop().unwrap_or(self.entries.len());
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

    /// Whether the table holds a name.
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.indexes.contains_key(name)
    }

    /// Returns the indexes of all names, in the order of the names.
    pub(crate) fn indexes(&self) -> impl Iterator<Item = usize> {
        self.indexes.values().copied()
    }

    /// Removes the names that were last used before `oldest`, except those in use. Returns their indexes.
    pub(crate) fn remove_unused_since(&mut self, oldest: Duration, in_use: &BTreeSet<usize>) -> Vec<usize> {
        let last_used_at: Vec<Duration> = self.entries.iter().map(|entry| entry.last_used_at).collect();
        self.remove_if(|index| last_used_at[index] < oldest && !in_use.contains(&index))
    }

    /// Removes the names whose index satisfies the predicate, and frees their indexes for other names.
    /// Returns the freed indexes: the caller must remove what it stores under them.
    pub(crate) fn remove_if(&mut self, mut is_removable: impl FnMut(usize) -> bool) -> Vec<usize> {
        let mut removed = Vec::new();
        self.indexes.retain(|_, &mut index| {
            let is_removed = is_removable(index);
            if is_removed {
                removed.push(index);
            }
            !is_removed
        });
        self.free_indexes.extend(&removed);
        removed
    }
}

/// Hashes a text with seeded 64-bit XXH3, which gives the same value in every release and in other programs.
/// The choice of preferred workers depends on it.
pub(crate) fn stable_hash(text: &str, seed: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(text.as_bytes(), seed)
}

/// Hashes a value for pseudo-random draws. Only instances of the same build agree on the result.
pub(crate) fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

#[cfg(test)]
mod tests;
