//! Sample functions that fake workers run.
use serde_json::{Value, json};
use std::time::Duration;

/// What a call of a function comes to.
pub struct FunctionResult {
    pub body: Vec<u8>,
    pub is_error: bool,
}

/// Work that the payload asks for itself (`work_ms`), whatever the function.
pub fn requested_work(payload: &[u8]) -> Option<Duration> {
    let payload: Value = serde_json::from_slice(payload).ok()?;
    let ms = payload
        .get("work_ms")?
        .as_f64()
        .filter(|ms| (0.0..=600_000.0).contains(ms))?;
    Some(Duration::from_secs_f64(ms / 1000.0))
}

pub fn run(function: &str, payload: &[u8], worker: &str) -> FunctionResult {
    let told: Value = serde_json::from_slice(payload).unwrap_or(Value::Null);
    let plain = function.split(':').next().unwrap_or(function);
    let good = |value: Value| FunctionResult {
        body: value.to_string().into_bytes(),
        is_error: false,
    };
    match plain {
        "hello" => {
            let name = told.get("name").and_then(Value::as_str).unwrap_or("world");
            good(json!({"hello": name, "worker": worker}))
        }
        "add" => {
            let numbers = told
                .as_array()
                .map(|all| all.iter().filter_map(Value::as_f64).sum::<f64>());
            match numbers {
                Some(sum) => good(json!({"sum": sum})),
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
