//! Sample functions that fake workers run.
use serde_json::{Value, json};
use std::time::Duration;

/// The result of a function call.
pub struct FunctionResult {
    pub body: Vec<u8>,
    /// Whether the function failed; the body then describes the error.
    pub is_error: bool,
}

/// Work of the call according to the field `work_ms` of its payload.
pub fn requested_work(payload: &[u8]) -> Option<Duration> {
    let payload: Value = serde_json::from_slice(payload).ok()?;
    let ms = payload
        .get("work_ms")?
        .as_f64()
        .filter(|ms| (0.0..=600_000.0).contains(ms))?;
    Some(Duration::from_secs_f64(ms / 1000.0))
}

/// Runs a sample function. Unknown functions return their payload.
pub fn run(function: &str, payload: &[u8], worker: &str) -> FunctionResult {
    let input: Value = serde_json::from_slice(payload).unwrap_or(Value::Null);
    let name = function.split(':').next().unwrap_or(function);
    let success = |value: Value| FunctionResult {
        body: value.to_string().into_bytes(),
        is_error: false,
    };
    match name {
        "hello" => {
            let name = input.get("name").and_then(Value::as_str).unwrap_or("world");
            success(json!({"hello": name, "worker": worker}))
        }
        "add" => {
            let numbers = input
                .as_array()
                .map(|all| all.iter().filter_map(Value::as_f64).sum::<f64>());
            match numbers {
                Some(sum) => success(json!({"sum": sum})),
                None => FunctionResult {
                    body: json!({"errorType": "TypeError", "errorMessage": "add takes an array of numbers"})
                        .to_string()
                        .into_bytes(),
                    is_error: true,
                },
            }
        }
        "fail" => FunctionResult {
            body: json!({"errorType": "Failure", "errorMessage": "this function always fails"})
                .to_string()
                .into_bytes(),
            is_error: true,
        },
        _ => FunctionResult {
            body: payload.to_vec(),
            is_error: false,
        },
    }
}
