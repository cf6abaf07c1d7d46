//! Gossip between recovering members about the cache states of functions. Each update is sent to a few
//! members, a few times (Demers et al. 1987). Gossip saves loads and guarantees nothing: an update that is
//! lost, late or wrong causes one more load, or delays a call for the duration of a load.
use crate::admission_ramp::{CacheUpdate, SeededRandom};
use std::collections::VecDeque;
use std::time::Duration;

/// Minimum time between two messages.
pub(crate) const SEND_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of recipients of a message.
pub(crate) const FANOUT: usize = 3;
/// Maximum number of updates in a message; the remaining ones follow in the next messages.
pub(crate) const MAX_UPDATES_PER_MESSAGE: usize = 32;
/// Number of rounds for which an update is sent, beyond the logarithm of the number of members.
const EXTRA_ROUNDS: u32 = 2;

/// Updates to send to each of the recipients.
#[derive(Debug)]
pub(crate) struct CacheMessage {
    pub(crate) recipients: Vec<String>,
    pub(crate) updates: Vec<CacheUpdate>,
}

#[derive(Debug)]
struct QueuedUpdate {
    update: CacheUpdate,
    /// The number of rounds for which the update is still sent. It starts at the maximum and is capped when
    /// the update is sent, according to the number of members.
    rounds_left: u32,
}

/// The queue of updates to send, at most one for each function.
#[derive(Debug)]
pub(crate) struct CacheGossip {
    queue: VecDeque<QueuedUpdate>,
    next_send_at: Duration,
}

impl CacheGossip {
    pub(crate) fn new(now: Duration) -> CacheGossip {
        CacheGossip {
            queue: VecDeque::new(),
            next_send_at: now,
        }
    }

    /// Queues an update ahead of all others, and removes an earlier one about the same function.
    pub(crate) fn push(&mut self, update: CacheUpdate) {
        self.queue
            .retain(|queued| queued.update.function != update.function);
        self.queue.push_front(QueuedUpdate {
            update,
            rounds_left: u32::MAX,
        });
    }

    /// The time at which the next message is due; `None`: the queue is empty.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        (!self.queue.is_empty()).then_some(self.next_send_at)
    }

    /// The next message to a few of the `members`, if it is due. Each update is sent in a few more rounds
    /// than the binary logarithm of the number of members, which is about enough to reach all of them.
    pub(crate) fn next_message(
        &mut self,
        now: Duration,
        members: &[&String],
        random: &mut SeededRandom,
    ) -> Option<CacheMessage> {
        if now < self.next_send_at || self.queue.is_empty() || members.is_empty() {
            return None;
        }
        self.next_send_at = now + SEND_INTERVAL;
        let rounds = members.len().ilog2() + EXTRA_ROUNDS;
        Some(CacheMessage {
            updates: self.next_updates(rounds),
            recipients: choose_recipients(members, random),
        })
    }

    fn next_updates(&mut self, rounds: u32) -> Vec<CacheUpdate> {
        let mut updates = Vec::new();
        for _ in 0..MAX_UPDATES_PER_MESSAGE.min(self.queue.len()) {
            let Some(mut queued) = self.queue.pop_front() else {
                break;
            };
            updates.push(queued.update);
            queued.rounds_left = queued.rounds_left.min(rounds) - 1;
            if queued.rounds_left > 0 {
                self.queue.push_back(queued);
            }
        }
        updates
    }
}

fn choose_recipients(members: &[&String], random: &mut SeededRandom) -> Vec<String> {
    let mut chosen: Vec<usize> = (0..FANOUT)
        .map(|_| (random.next_u64() % members.len() as u64) as usize)
        .collect();
    chosen.sort_unstable();
    chosen.dedup();
    chosen.into_iter().map(|index| members[index].clone()).collect()
}
