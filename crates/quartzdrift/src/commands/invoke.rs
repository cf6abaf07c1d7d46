//! `invoke`: calls a function through a gateway, with an exit code for each kind of response.
use super::arguments::InvokeArguments;
use super::outcome::fail;
use quartzdrift::invoke::{InvokeRequest, invoke as call};
use quartzdrift_discovery::list;
use quartzdrift_http::Response;
use std::io::{self, Read, Write};
use std::process::ExitCode;

/// Exit code: the function or its attempt failed.
const FUNCTION_FAILED: u8 = 2;
/// Exit code: the gateway rejected the request without executing it, so a retry is safe.
const REJECTED: u8 = 3;
/// Exit code: the response has any other status.
const UNEXPECTED_STATUS: u8 = 4;

/// Calls a function, prints the response and returns the exit code.
pub(crate) fn invoke(arguments: InvokeArguments) -> ExitCode {
    let address = match list::parse_address(&arguments.at) {
        Ok(address) => address,
        Err(error) => return fail(error),
    };
    let payload = match read_payload(&arguments) {
        Ok(payload) => payload,
        Err(error) => return fail(format_args!("cannot read the payload: {error}")),
    };
    let request = InvokeRequest {
        gateway: address,
        function: arguments.function,
        payload,
        asynchronous: arguments.event,
        idempotency_key: arguments.mark,
        timeout: arguments.timeout,
    };
    match call(&request) {
        Ok(response) => print_response(&response),
        Err(error) => fail(format_args!("no response from {address}: {error}")),
    }
}

/// Reads the payload from the command line, standard input or a file. The default is an empty JSON object.
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

/// Prints the body on standard output, and a failure on standard error.
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
            eprintln!("function error: {error} (request {id})");
            ExitCode::from(FUNCTION_FAILED)
        }
        (429, _) => {
            let retry_after = response.headers.get("retry-after").unwrap_or("?");
            eprintln!("rejected: retry after {retry_after} s (request {id})");
            ExitCode::from(REJECTED)
        }
        (status, _) => {
            eprintln!("status {status} (request {id})");
            ExitCode::from(UNEXPECTED_STATUS)
        }
    }
}
