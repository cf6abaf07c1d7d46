//! The state of a connection to a worker and of its open commands, without I/O.
use super::RequestContext;
use quartzdrift_scheduler::interface::RequestId;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

/// Number of recent client request ids that a connection remembers. A duplicate answer comes milliseconds
/// after the first.
const MAX_RECENT_IDS: usize = 32;

/// Position of a frame in the byte stream that a connection sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FrameSpan {
    /// Position of the first byte.
    pub(super) from: u64,
    /// Position after the last byte.
    pub(super) to: u64,
}

impl FrameSpan {
    fn length(self) -> u64 {
        self.to - self.from
    }
}

/// An attempt on a connection, with the data to send it again on another one if it was not sent.
pub(super) struct Command {
    pub(super) request: RequestId,
    pub(super) attempt: u32,
    pub(super) function: Rc<str>,
    /// Time until which the request table waits for the answer.
    pub(super) deadline: Duration,
    pub(super) context: Rc<RequestContext>,
    /// Time before which the first byte must be sent; `None` if there is no such limit.
    pub(super) send_by: Option<Duration>,
    /// Number of connections that were lost while they carried this command.
    pub(super) lost_connections: u32,
    /// Position of the command's frame; `None` while the connection is not up or the command is withheld.
    pub(super) frame_span: Option<FrameSpan>,
    /// Time from which the remaining time in the frame counts.
    pub(super) written_at: Duration,
}

impl Command {
    /// Whether the time in which the first byte may be sent is over.
    pub(super) fn is_overdue(&self, now: Duration) -> bool {
        self.send_by.is_some_and(|send_by| now >= send_by)
    }

    /// Whether the whole frame is within the first `sent` bytes of the connection.
    pub(super) fn is_fully_sent(&self, sent: u64) -> bool {
        self.frame_span.is_some_and(|span| span.to <= sent)
    }

    /// Whether at least one byte of the frame is within the first `sent` bytes of the connection.
    pub(super) fn has_sent_bytes(&self, sent: u64) -> bool {
        self.frame_span.is_some_and(|span| span.from < sent)
    }
}

/// Phase of a connection. Commands wait until it is up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionPhase {
    /// The TCP connection is being established.
    Connecting,
    /// A probe was sent after an idle time, and the worker has not answered yet.
    Verifying,
    /// Commands are written at once.
    Up,
}

/// The state of a connection to a worker.
pub(crate) struct WorkerConnection {
    pub(super) worker: Rc<str>,
    pub(super) phase: ConnectionPhase,
    /// When the last open command ended.
    pub(super) idle_since: Duration,
    /// Open commands.
    pub(super) commands: Vec<Command>,
    /// Client request ids of the most recent commands. A late or duplicate answer to one of them could be
    /// mistaken for the answer to a new command with the same id.
    recent_ids: VecDeque<u64>,
}

impl WorkerConnection {
    /// The state of a new connection to `worker`, which is being established.
    pub(super) fn new(worker: Rc<str>) -> WorkerConnection {
        WorkerConnection {
            worker,
            phase: ConnectionPhase::Connecting,
            idle_since: Duration::ZERO,
            commands: Vec::new(),
            recent_ids: VecDeque::new(),
        }
    }

    /// Whether the connection is up and has no open command.
    pub(super) fn is_idle(&self) -> bool {
        self.phase == ConnectionPhase::Up && self.commands.is_empty()
    }

    /// The index of an attempt's command in `commands`.
    pub(super) fn position_of_attempt(&self, request: RequestId, attempt: u32) -> Option<usize> {
        self.commands
            .iter()
            .position(|command| (command.request, command.attempt) == (request, attempt))
    }

    /// The index in `commands` of the fully sent command with this client request id, which an answer with
    /// the id belongs to. `sent` is the number of bytes sent on the connection.
    pub(super) fn position_of_sent(&self, id: u64, sent: u64) -> Option<usize> {
        self.commands
            .iter()
            .position(|command| command.context.client_request_id == id && command.is_fully_sent(sent))
    }

    /// Whether a recent command had this client request id.
    pub(super) fn has_recent_id(&self, id: u64) -> bool {
        self.recent_ids.contains(&id)
    }

    /// Remembers the client request id of a command that is written.
    pub(super) fn remember_id(&mut self, id: u64) {
        self.recent_ids.truncate(MAX_RECENT_IDS - 1);
        self.recent_ids.push_front(id);
    }

    /// Updates the positions of the frames after one that was removed from the output.
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
