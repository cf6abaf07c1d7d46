//! Names at the door: each becomes a small index, and the index of one not met for long is used again.
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

#[derive(Default)]
pub struct Names {
    index: BTreeMap<Rc<str>, usize>,
    names: Vec<(Rc<str>, Duration)>,
    free: Vec<usize>,
}

impl Names {
    pub fn index(&mut self, name: &str, now: Duration) -> usize {
        if let Some(&ix) = self.index.get(name) {
            self.names[ix].1 = now;
            return ix;
        }
        let name: Rc<str> = name.into();
        let ix = self.free.pop().unwrap_or(self.names.len());
        if ix == self.names.len() {
            self.names.push((name.clone(), now));
        } else {
            self.names[ix] = (name.clone(), now);
        }
        self.index.insert(name, ix);
        ix
    }

    pub fn len(&self) -> usize {
        self.index.len()
    }

    pub fn name(&self, ix: usize) -> Rc<str> {
        self.names[ix].0.clone()
    }

    /// Forgets the names not met since `oldest`, but for those in use.
    pub fn forget_before(&mut self, oldest: Duration, in_use: &BTreeSet<usize>) {
        let met: Vec<Duration> = self.names.iter().map(|(_, at)| *at).collect();
        self.forget(|ix| met[ix] < oldest && !in_use.contains(&ix));
    }

    /// Forgets the names whose index `forgets` says to; they may be given to others.
    pub fn forget(&mut self, mut forgets: impl FnMut(usize) -> bool) {
        let free = &mut self.free;
        self.index.retain(|_, &mut ix| {
            let forgotten = forgets(ix);
            if forgotten {
                free.push(ix);
            }
            !forgotten
        });
    }
}

/// A number for a text that every release, and every other program, draws alike: XXH3 with 64 bits and a seed, as
/// published by its author. Homes rest on it.
pub fn place(text: &str, seed: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(text.as_bytes(), seed)
}

/// The same number for the same value in every instance of one build.
pub fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn places_are_the_published_ones() {
        // From the author's test vectors and from the definition: an empty input, with and without a seed.
        assert_eq!(place("", 0), 0x2d06_8005_38d3_94c2);
        assert_eq!(place("a", 0), 0xe6c6_32b6_1e96_4e1f);
        assert_eq!(place("abc", 0), 0x78af_5f94_892f_3950);
    }
}
