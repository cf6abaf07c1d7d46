//! `invoke`: one call of a function through a gateway, with an exit code for each kind of response.
use super::arguments::InvokeArguments;
use super::outcome::fail;
use quartzdrift::invoke::{Invoke, invoke as call};
use quartzdrift_discovery::list;
use quartzdrift_http::Response;
use std::io::{self, Read, Write};
use std::process::ExitCode;

/// The function failed, or its attempt did.
const FUNCTION_FAILED: u8 = 2;
/// The gateway rejected the call; a retry is harmless.
const REJECTED: u8 = 3;
/// Any other status.
const UNEXPECTED_STATUS: u8 = 4;

/// Calls a function and prints the response.
pub(crate) fn invoke(arguments: InvokeArguments) -> ExitCode {
    let address = match list::parse_address(&arguments.at) {
        Ok(address) => address,
        Err(error) => return fail(error),
    };
    let payload = match read_payload(&arguments) {
        Ok(payload) => payload,
        Err(error) => return fail(format_args!("the payload cannot be read: {error}")),
    };
    let request = Invoke {
        to: address,
        function: arguments.function,
        payload,
        asynchronous: arguments.event,
        idempotency_key: arguments.mark,
        timeout: arguments.timeout,
    };
    match call(&request) {
        Ok(response) => print_response(&response),
        Err(error) => fail(format_args!("no answer from {address}: {error}")),
    }
}

/// The payload from the command line, standard input or a file; an empty JSON object where none is given.
fn read_payload(arguments: &InvokeArguments) -> io::Result<Vec<u8>> {
    match (arguments.payload.as_deref(), &arguments.file) {
        (Some("-"), _) => {
            let mut bytes = Vec::new();
            io::stdin().lock().read_to_end(&mut bytes)?;
            Ok(bytes)
        }
        (Some(text), _) => Ok(text.as_bytes().to_vec()),
        (None, Some(path)) => std::fs::read(path),
        (None, None) => Ok(b"{}".to_vec()),
    }
}

/// Prints the body, and on standard error what differs from success.
fn print_response(response: &Response) -> ExitCode {
    let mut output = io::stdout().lock();
    let written = output.write_all(&response.body).and_then(|()| writeln!(output));
    if written.is_err() {
        return ExitCode::FAILURE;
    }
    let id = response.headers.get("x-amzn-requestid").unwrap_or("-");
    let function_error = response.headers.get("x-amz-function-error");
    match (response.status, function_error) {
        (200 | 202 | 204, None) => ExitCode::SUCCESS,
        (200, Some(error)) => {
            eprintln!("function error: {error} (job {id})");
            ExitCode::from(FUNCTION_FAILED)
        }
        (429, _) => {
            let retry_after = response.headers.get("retry-after").unwrap_or("?");
            eprintln!("pushed back: come back in {retry_after} s (job {id})");
            ExitCode::from(REJECTED)
        }
        (status, _) => {
            eprintln!("status {status} (job {id})");
            ExitCode::from(UNEXPECTED_STATUS)
        }
    }
}
