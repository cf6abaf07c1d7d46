//! Inboxes, and whose turn it is: each note put in is one turn, so notes are worked in order of arrival.
use std::collections::VecDeque;

pub struct Post<N> {
    inboxes: Vec<VecDeque<N>>,
    turns: VecDeque<usize>,
}

impl<N> Default for Post<N> {
    fn default() -> Self {
        Post { inboxes: Vec::new(), turns: VecDeque::new() }
    }
}

impl<N> Post<N> {
    pub fn put(&mut self, part: usize, note: N) {
        if self.inboxes.len() <= part {
            self.inboxes.resize_with(part + 1, VecDeque::new);
        }
        self.inboxes[part].push_back(note);
        self.turns.push_back(part);
    }

    pub fn next(&mut self) -> Option<(usize, N)> {
        let part = self.turns.pop_front()?;
        self.inboxes[part].pop_front().map(|note| (part, note))
    }
}
