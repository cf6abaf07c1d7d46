//! Outputs: the work that the request table hands to the event loop that owns the sockets.
use crate::final_response::FinalResponse;
use quartzdrift_scheduler::interface::{Notice, RequestId};
use std::rc::Rc;
use std::time::Duration;

/// One operation for the event loop. Carry out outputs in the order in which [`RequestTable::take_outputs`]
/// returns them.
///
/// `P` is the payload that the frontend submitted with the request.
///
/// [`RequestTable::take_outputs`]: crate::RequestTable::take_outputs
#[derive(Clone, Debug, PartialEq)]
pub enum Output<P> {
    /// Send an attempt to a worker, and report its end with [`RequestTable::attempt_ended`].
    ///
    /// [`RequestTable::attempt_ended`]: crate::RequestTable::attempt_ended
    StartAttempt {
        /// Identifies the request.
        request: RequestId,
        /// Number of the attempt, counted from 0 for each request.
        attempt: u32,
        /// Name of the worker on the endpoint list.
        worker: Rc<str>,
        /// Name of the function to run.
        function: Rc<str>,
        /// Time after which the table gives up on the attempt. The table keeps the timer itself; the value is
        /// meant for the worker.
        timeout: Duration,
        /// Latest time, on the table's clock, at which the first byte may be sent; `None`: no limit. If no
        /// byte has been sent by then, drop the attempt and call [`RequestTable::attempt_recalled`].
        ///
        /// [`RequestTable::attempt_recalled`]: crate::RequestTable::attempt_recalled
        send_by: Option<Duration>,
        /// Payload that the frontend submitted with the request.
        payload: P,
    },
    /// Close the attempt's connection. Do not report the attempt's end.
    CancelAttempt {
        /// Identifies the request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// If no byte of the attempt has been sent, close its connection and call
    /// [`RequestTable::attempt_recalled`]; otherwise do nothing.
    ///
    /// [`RequestTable::attempt_recalled`]: crate::RequestTable::attempt_recalled
    RecallAttempt {
        /// Identifies the request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Give the client the final response of its request.
    Respond {
        /// Identifies the request, which is no longer open.
        request: RequestId,
        /// Payload that the frontend submitted with the request.
        payload: P,
        /// The request's final response.
        response: FinalResponse,
    },
    /// Check a worker's health, and report the end of the check with [`RequestTable::command_ended`].
    ///
    /// [`RequestTable::command_ended`]: crate::RequestTable::command_ended
    CheckHealth {
        /// Identifies the command.
        command: u64,
        /// Name of the worker to check.
        worker: Rc<str>,
    },
    /// Send a worker a load command, and report the end of the load with [`RequestTable::command_ended`].
    ///
    /// [`RequestTable::command_ended`]: crate::RequestTable::command_ended
    Load {
        /// Identifies the command.
        command: u64,
        /// Name of the worker that loads the function.
        worker: Rc<str>,
        /// Name of the function to load.
        function: Rc<str>,
        /// Number of copies that the worker should hold after the load.
        copies: u32,
    },
    /// If no byte of the load command has been sent, close its connection and report [`Outcome::NeverSent`]
    /// with [`RequestTable::command_ended`]; otherwise do nothing.
    ///
    /// [`Outcome::NeverSent`]: quartzdrift_scheduler::interface::Outcome::NeverSent
    /// [`RequestTable::command_ended`]: crate::RequestTable::command_ended
    RecallCommand {
        /// Identifies the load command.
        command: u64,
    },
    /// Close the connection of a health check or load command that timed out. Do not report the command's
    /// end.
    AbandonCommand {
        /// Identifies the command.
        command: u64,
    },
    /// Have a worker drop its copies of a function. No end is reported.
    Unload {
        /// Name of the worker that drops its copies.
        worker: Rc<str>,
        /// Name of the function to unload.
        function: Rc<str>,
    },
    /// Close the idle connections to a worker.
    CloseIdleConnections {
        /// Name of the worker.
        worker: Rc<str>,
    },
    /// Send a message to one scheduler or to all other schedulers.
    SendToPeer {
        /// Number of the receiving scheduler; `None`: all other schedulers.
        to: Option<u32>,
        /// Encoded message.
        bytes: Vec<u8>,
    },
    /// Start or stop watching the endpoint list for changes.
    WatchEndpoints {
        /// `true` starts the watch, `false` stops it.
        enabled: bool,
    },
    /// Fetch the complete endpoint list.
    PollEndpoints,
    /// Log a state change of the scheduler and count it in the metrics.
    Notice(Notice),
    /// Write a line to the log.
    Log {
        /// Text of the line. A text from the scheduler is cut to 512 bytes.
        text: String,
    },
}
