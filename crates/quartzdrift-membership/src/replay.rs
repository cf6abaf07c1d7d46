//! Which datagrams of a sender's life were taken: a sliding window over their numbers, as RFC 6479 describes it.

/// Datagrams that may overtake each other: far more than a network mixes up.
const WINDOW: u64 = 64;
/// Earlier lives of a name that are known as such.
const MAX_PAST: usize = 8;

#[derive(Clone, Debug, Default)]
pub struct Window {
    pub life: u64,
    past: Vec<u64>,
    highest: u64,
    taken: u64,
}

impl Window {
    /// Whether the datagram is new; it is then taken.
    pub fn take(&mut self, life: u64, number: u64) -> bool {
        if self.past.contains(&life) {
            return false;
        }
        if life != self.life {
            if self.life != 0 {
                self.past.push(self.life);
                let over = self.past.len().saturating_sub(MAX_PAST);
                self.past.drain(..over);
            }
            (self.life, self.highest, self.taken) = (life, 0, 0);
        }
        if number > self.highest {
            let by = number - self.highest;
            self.taken = if by >= WINDOW { 0 } else { self.taken << by };
            (self.taken, self.highest) = (self.taken | 1, number);
            return true;
        }
        let back = self.highest - number;
        let bit = 1u64
            .checked_shl(back.min(u64::from(u32::MAX)) as u32)
            .unwrap_or(0);
        let new = bit != 0 && self.taken & bit == 0;
        self.taken |= bit;
        new
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_is_taken_once_and_lives_do_not_come_back() {
        let mut window = Window::default();
        for (number, new) in [
            (1, true),
            (1, false),
            (5, true),
            (3, true),
            (3, false),
            (200, true),
            (100, false),
        ] {
            assert_eq!(window.take(7, number), new, "{number}");
        }
        assert!(window.take(8, 1));
        assert!(!window.take(7, 201));
    }

    proptest::proptest! {
        #[test]
        fn none_is_taken_twice(numbers in proptest::collection::vec(1u64..300, 1..200)) {
            let (mut window, mut taken) = (Window::default(), std::collections::BTreeSet::new());
            for number in numbers {
                if window.take(1, number) {
                    proptest::prop_assert!(taken.insert(number));
                }
            }
        }
    }
}
