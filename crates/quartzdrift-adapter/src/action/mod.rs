//! Encodes actions of the scheduler as lines of the simulator's protocol.
use crate::hex;
use quartzdrift_scheduler::interface::Action;
use std::fmt::{Result, Write};

#[cfg(test)]
mod tests;

/// Appends the line for an action that the given instance returned.
pub(crate) fn encode(out: &mut String, instance: u64, action: &Action) -> Result {
    write!(out, "{}\ti={instance}", name(action))?;
    write_fields(out, action)?;
    out.write_char('\n')
}

fn name(action: &Action) -> &'static str {
    match action {
        Action::StartAttempt { .. } => "pass_on",
        Action::Reject { .. } => "push_back",
        Action::Fail { .. } => "drop_request",
        Action::CancelAttempt { .. } => "abort_attempt",
        Action::SetTimer { .. } => "notify_me",
        Action::CheckHealth { .. } => "ping",
        Action::CloseIdleConnections { .. } => "shut_idle",
        Action::SendToPeer { .. } => "share",
        Action::Load { .. } => "load",
        Action::Unload { .. } => "unload",
        Action::WatchEndpoints { .. } => "watch",
        Action::PollEndpoints => "snapshot",
        Action::Notice(_) | Action::Log { .. } => "trace",
    }
}

fn write_fields(out: &mut String, action: &Action) -> Result {
    match action {
        Action::StartAttempt {
            request,
            worker,
            timeout,
            ..
        } => {
            write!(out, "\ttid={request}\tworker={worker}")?;
            timeout.map_or(Ok(()), |timeout| {
                write!(out, "\tmax-wait-ns={}", timeout.as_nanos())
            })
        }
        Action::Reject {
            request, retry_after, ..
        } => {
            write!(out, "\ttid={request}")?;
            retry_after.map_or(Ok(()), |delay| write!(out, "\tcool-down-ns={}", delay.as_nanos()))
        }
        Action::Fail { request } => write!(out, "\ttid={request}"),
        Action::CancelAttempt { request, attempt } => write!(out, "\ttid={request}\tseq-no={attempt}"),
        Action::SetTimer { delay, name } => write!(out, "\tdelay-ns={}\tmark={name}", delay.as_nanos()),
        Action::CheckHealth { worker } | Action::CloseIdleConnections { worker } => {
            write!(out, "\tworker={worker}")
        }
        Action::SendToPeer { to, bytes } => {
            let receiver = to.map_or("all".to_owned(), |scheduler| scheduler.to_string());
            write!(out, "\tdst={receiver}\tbody={}", hex::encode(bytes))
        }
        Action::Load {
            worker,
            function,
            copies,
        } => {
            write!(out, "\tworker={worker}\timage={function}\tn-inst={copies}")
        }
        Action::Unload { worker, function } => write!(out, "\tworker={worker}\timage={function}"),
        Action::WatchEndpoints { enabled } => write!(out, "\tactive={}", u8::from(*enabled)),
        Action::PollEndpoints => Ok(()),
        Action::Notice(notice) => write!(out, "\ttext={notice:?}"),
        Action::Log { text } => write!(out, "\ttext={}", text.replace(['\n', '\r', '\t'], " ")),
    }
}
