//! Gossip between recovering members about the cache state of functions, each update sent to a few members, a few times
//! (Demers and others 1987). It saves loads and guarantees nothing: an update that is lost, late or wrong causes one more
//! load, or delays a call until a load would be over.
use crate::admission_ramp::{CacheUpdate, Jitter};
use std::collections::VecDeque;
use std::time::Duration;

/// Time between messages.
pub(crate) const SEND_INTERVAL: Duration = Duration::from_millis(50);
/// Members that a message goes to.
pub(crate) const FANOUT: usize = 3;
/// Updates in a message; a longer queue is sent with the next ones.
pub(crate) const MAX_UPDATES_PER_MESSAGE: usize = 32;
/// Rounds beyond the logarithm of the fleet's size that an update is sent for.
const EXTRA_ROUNDS: u32 = 2;

/// Updates to send, and to whom.
#[derive(Debug)]
pub(crate) struct CacheMessage {
    pub(crate) recipients: Vec<String>,
    pub(crate) updates: Vec<CacheUpdate>,
}

#[derive(Debug)]
struct QueuedUpdate {
    update: CacheUpdate,
    /// Rounds that it is still sent for; lowered to what the fleet's size needs once it is sent.
    rounds_left: u32,
}

/// Updates that are still to be sent, at most one for each function.
#[derive(Debug)]
pub(crate) struct CacheGossip {
    queue: VecDeque<QueuedUpdate>,
    next_send: Duration,
}

impl CacheGossip {
    pub(crate) fn new(now: Duration) -> CacheGossip {
        CacheGossip {
            queue: VecDeque::new(),
            next_send: now,
        }
    }

    /// Queues an update ahead of all others, in place of an earlier one about the same function.
    pub(crate) fn push(&mut self, update: CacheUpdate) {
        self.queue
            .retain(|queued| queued.update.function != update.function);
        self.queue.push_front(QueuedUpdate {
            update,
            rounds_left: u32::MAX,
        });
    }

    /// When the next message is to be sent, if there is any update.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        (!self.queue.is_empty()).then_some(self.next_send)
    }

    /// The next message to a few of these members, if it is due. An update is sent about as often as it takes to reach all.
    pub(crate) fn next_message(
        &mut self,
        now: Duration,
        members: &[&String],
        jitter: &mut Jitter,
    ) -> Option<CacheMessage> {
        if now < self.next_send || self.queue.is_empty() || members.is_empty() {
            return None;
        }
        self.next_send = now + SEND_INTERVAL;
        let rounds = members.len().ilog2() + EXTRA_ROUNDS;
        Some(CacheMessage {
            updates: self.next_updates(rounds),
            recipients: choose_recipients(members, jitter),
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

fn choose_recipients(members: &[&String], jitter: &mut Jitter) -> Vec<String> {
    let mut chosen: Vec<usize> = (0..FANOUT)
        .map(|_| (jitter.next() % members.len() as u64) as usize)
        .collect();
    chosen.sort_unstable();
    chosen.dedup();
    chosen.into_iter().map(|index| members[index].clone()).collect()
}
