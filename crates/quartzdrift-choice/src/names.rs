//! Names at the door: each becomes a small index, and the index of one not met for long is used again.
use std::collections::BTreeMap;
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

    pub fn name(&self, ix: usize) -> Rc<str> {
        self.names[ix].0.clone()
    }

    pub fn forget_before(&mut self, oldest: Duration) {
        let (names, free) = (&self.names, &mut self.free);
        self.index.retain(|_, &mut ix| {
            let keep = names[ix].1 >= oldest;
            if !keep {
                free.push(ix);
            }
            keep
        });
    }
}

/// The same number for the same value in every instance.
pub fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
