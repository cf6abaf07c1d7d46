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

/// The same number for the same value in every instance.
pub fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
