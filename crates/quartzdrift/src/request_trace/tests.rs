use super::TraceRecorder;
use crate::settings::RequestTrace;
use std::time::Duration;

#[test]
fn a_trace_stays_within_its_size_limit_and_has_hashed_names() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("trace.jsonl");
    let trace = RequestTrace {
        file: file.clone(),
        max_bytes: 600,
        hash_names: true,
    };
    let mut recorder = TraceRecorder::start(&trace).unwrap();
    for n in 0..100 {
        recorder.record_request(
            Duration::from_millis(1000 + n),
            "secret",
            1,
            0,
            Duration::from_secs(3),
        );
    }
    drop(recorder);
    let text = std::fs::read_to_string(file).unwrap();
    assert!(text.len() <= 600 && text.lines().count() >= 4 && !text.contains("secret"));
    let first: serde_json::Value = serde_json::from_str(text.lines().next().unwrap()).unwrap();
    assert_eq!(
        (first["at_us"].as_u64(), first["left_us"].as_u64()),
        (Some(0), Some(3_000_000))
    );
}
