//! What the request table asks of the code that owns the sockets.
use crate::answer::FinalAnswer;
use quartzdrift_scheduler::interface::{Notice, RequestId};
use std::rc::Rc;
use std::time::Duration;

/// One thing to carry out. Outputs are to be carried out in the order in which [`RequestTable::take_outputs`] returns them.
///
/// [`RequestTable::take_outputs`]: crate::RequestTable::take_outputs
#[derive(Clone, Debug, PartialEq)]
pub enum Output<P> {
    /// Send an attempt to a worker, then report its end with [`RequestTable::attempt_ended`].
    ///
    /// [`RequestTable::attempt_ended`]: crate::RequestTable::attempt_ended
    StartAttempt {
        /// The request.
        request: RequestId,
        /// Counts the attempts of a request from 0.
        attempt: u32,
        /// The worker, by its name on the endpoint list.
        worker: Rc<str>,
        /// The function to run.
        function: Rc<str>,
        /// How long the table waits for its answer. The table keeps the timer; the value is for the worker.
        timeout: Duration,
        /// The last time at which its first byte may leave, on the table's clock; `None`: any time. One of which nothing has left
        /// by then is to be reported with [`RequestTable::attempt_recalled`].
        ///
        /// [`RequestTable::attempt_recalled`]: crate::RequestTable::attempt_recalled
        send_by: Option<Duration>,
        /// The frontend's payload.
        payload: P,
    },
    /// Close the attempt's connection. Its end is not to be reported.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// If not a byte of the attempt has been sent, close its connection and call [`RequestTable::attempt_recalled`];
    /// otherwise do nothing.
    ///
    /// [`RequestTable::attempt_recalled`]: crate::RequestTable::attempt_recalled
    RecallAttempt {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Give the client the final answer.
    Respond {
        /// The request, no longer open.
        request: RequestId,
        /// The frontend's payload.
        payload: P,
        /// The final answer.
        answer: FinalAnswer,
    },
    /// Check a worker's health, then report the end with [`RequestTable::command_ended`].
    ///
    /// [`RequestTable::command_ended`]: crate::RequestTable::command_ended
    CheckHealth {
        /// Identifies the command.
        command: u64,
        /// The worker.
        worker: Rc<str>,
    },
    /// Have a worker load copies of a function, then report the end with [`RequestTable::command_ended`].
    ///
    /// [`RequestTable::command_ended`]: crate::RequestTable::command_ended
    Load {
        /// Identifies the command.
        command: u64,
        /// The worker.
        worker: Rc<str>,
        /// The function.
        function: Rc<str>,
        /// How many copies the worker should hold.
        copies: u32,
    },
    /// If not a byte of the load command has been sent, close its connection and report it with
    /// [`RequestTable::command_ended`] as never sent; otherwise do nothing.
    ///
    /// [`RequestTable::command_ended`]: crate::RequestTable::command_ended
    RecallCommand {
        /// The command.
        command: u64,
    },
    /// Close the connection of a command that took too long. Its end is not to be reported.
    AbandonCommand {
        /// The command.
        command: u64,
    },
    /// Have a worker drop its copies of a function. No end is reported.
    Unload {
        /// The worker.
        worker: Rc<str>,
        /// The function.
        function: Rc<str>,
    },
    /// Close the idle connections to a worker.
    CloseIdle {
        /// The worker.
        worker: Rc<str>,
    },
    /// Send a message to one scheduler, or to all of them.
    SendToPeer {
        /// The scheduler's number; `None` for all.
        to: Option<u32>,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Begin or stop following changes of the endpoint list.
    Watch {
        /// Whether to follow them.
        on: bool,
    },
    /// Ask for the whole endpoint list.
    PollEndpoints,
    /// Something to be logged and counted.
    Notice(Notice),
    /// Write a line to the log.
    Log {
        /// The line, at most 512 bytes where the scheduler wrote it.
        text: String,
    },
}
