//! A connection to a worker, and the commands that are open on it. No I/O.
use super::RequestContext;
use quartzdrift_scheduler::interface::RequestId;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

/// Ids that a connection remembers to have carried; a second answer comes milliseconds after the first.
const MAX_RECENT_IDS: usize = 32;

/// Where a frame lies among all bytes that a connection sends: its first byte, and the one after its last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FrameSpan {
    pub(super) from: u64,
    pub(super) to: u64,
}

impl FrameSpan {
    fn length(self) -> u64 {
        self.to - self.from
    }
}

/// An attempt on a connection, with what is needed to send it again where it never left.
pub(super) struct Command {
    pub(super) request: RequestId,
    pub(super) attempt: u32,
    pub(super) function: Rc<str>,
    /// When its answer is no longer waited for.
    pub(super) deadline: Duration,
    pub(super) context: Rc<RequestContext>,
    /// The last time at which its first byte may leave; `None`: any time.
    pub(super) send_by: Option<Duration>,
    /// Connections that were lost under it.
    pub(super) lost_connections: u32,
    /// Where its frame lies in all that the connection sends; `None` while the connection is not up.
    pub(super) frame_span: Option<FrameSpan>,
}

impl Command {
    /// Whether it is too late for its first byte to leave.
    pub(super) fn is_overdue(&self, now: Duration) -> bool {
        self.send_by.is_some_and(|send_by| now >= send_by)
    }

    /// Whether its whole frame is among the first `sent` bytes of the connection.
    pub(super) fn is_fully_sent(&self, sent: u64) -> bool {
        self.frame_span.is_some_and(|span| span.to <= sent)
    }

    /// Whether a byte of its frame is among the first `sent` bytes of the connection.
    pub(super) fn has_sent_bytes(&self, sent: u64) -> bool {
        self.frame_span.is_some_and(|span| span.from < sent)
    }
}

/// Whether commands are written to a connection at once, or wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionPhase {
    /// The TCP connection is being established.
    Connecting,
    /// It was idle, and the worker is asked whether it still works.
    Verifying,
    /// Commands are written at once.
    Up,
}

/// The state of a connection to a worker.
pub(crate) struct WorkerConnection {
    pub(super) worker: Rc<str>,
    pub(super) phase: ConnectionPhase,
    /// Since when nothing is open on it.
    pub(super) idle_since: Duration,
    pub(super) commands: Vec<Command>,
    /// Ids of the last commands. An answer that comes late or twice under one of them could not be told from that of the
    /// next command under it.
    recent_ids: VecDeque<u64>,
}

impl WorkerConnection {
    /// A connection to `worker` that is being established.
    pub(super) fn new(worker: Rc<str>) -> WorkerConnection {
        WorkerConnection {
            worker,
            phase: ConnectionPhase::Connecting,
            idle_since: Duration::ZERO,
            commands: Vec::new(),
            recent_ids: VecDeque::new(),
        }
    }

    /// Whether it is up and carries nothing.
    pub(super) fn is_idle(&self) -> bool {
        self.phase == ConnectionPhase::Up && self.commands.is_empty()
    }

    /// The index of an attempt among the commands.
    pub(super) fn position_of_attempt(&self, request: RequestId, attempt: u32) -> Option<usize> {
        self.commands
            .iter()
            .position(|command| (command.request, command.attempt) == (request, attempt))
    }

    /// The index of the command that an answer under this id is for, if one has left whole. `sent`: bytes that have left.
    pub(super) fn position_of_sent(&self, id: u64, sent: u64) -> Option<usize> {
        self.commands
            .iter()
            .position(|command| command.context.client_request_id == id && command.is_fully_sent(sent))
    }

    /// Whether a command went out under this id lately.
    pub(super) fn has_recent_id(&self, id: u64) -> bool {
        self.recent_ids.contains(&id)
    }

    /// Remembers that a command goes out under this id.
    pub(super) fn remember_id(&mut self, id: u64) {
        self.recent_ids.truncate(MAX_RECENT_IDS - 1);
        self.recent_ids.push_front(id);
    }

    /// Moves the frames behind a removed one to where they lie now.
    pub(super) fn shift_frames_after(&mut self, removed: FrameSpan) {
        let spans = self
            .commands
            .iter_mut()
            .filter_map(|command| command.frame_span.as_mut());
        for span in spans.filter(|span| removed.from < span.from) {
            span.from -= removed.length();
            span.to -= removed.length();
        }
    }
}
