//! Sample functions that fake workers run.
use serde_json::{Value, json};
use std::time::Duration;

/// What a call of a function comes to.
pub struct Ran {
    pub body: Vec<u8>,
    pub error: bool,
}

/// Work that the payload asks for itself (`work_ms`), whatever the function.
pub fn work(payload: &[u8]) -> Option<Duration> {
    let payload: Value = serde_json::from_slice(payload).ok()?;
    let ms = payload
        .get("work_ms")?
        .as_f64()
        .filter(|ms| (0.0..=600_000.0).contains(ms))?;
    Some(Duration::from_secs_f64(ms / 1000.0))
}

pub fn run(function: &str, payload: &[u8], worker: &str) -> Ran {
    let told: Value = serde_json::from_slice(payload).unwrap_or(Value::Null);
    let plain = function.split(':').next().unwrap_or(function);
    let good = |value: Value| Ran {
        body: value.to_string().into_bytes(),
        error: false,
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
                None => Ran {
                    body: json!({"errorType": "TypeError", "errorMessage": "add takes an array of numbers"})
                        .to_string()
                        .into_bytes(),
                    error: true,
                },
            }
        }
        "fail" => Ran {
            body: json!({"errorType": "Failure", "errorMessage": "this function always fails"})
                .to_string()
                .into_bytes(),
            error: true,
        },
        _ => Ran {
            body: payload.to_vec(),
            error: false,
        },
    }
}
