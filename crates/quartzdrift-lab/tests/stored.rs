//! Traces, scenarios and experiments of earlier releases are read, and mean the same.
use quartzdrift_lab::{experiment, scenario, traffic};
use std::fs;
use std::path::{Path, PathBuf};

fn folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(name)
}

#[test]
fn a_recorded_trace_is_read() {
    let trace = traffic::read_trace(&folder("tests/stored/trace.jsonl")).unwrap();
    let read: Vec<_> = trace
        .iter()
        .map(|of| (of.at_us, of.request_class, &*of.function, of.work_us, of.gateway))
        .collect();
    assert_eq!(read, [(0, 1, "echo", 0, 0.0), (1500, 0, "0f3a77", 12_000, 0.75)]);
}

#[test]
fn scenarios_and_experiments_are_read() {
    let mut read = 0;
    for file in fs::read_dir(folder("days")).unwrap() {
        let text = fs::read_to_string(file.unwrap().path()).unwrap();
        let script = scenario::read(&text).unwrap();
        assert!(!script.request_classes.is_empty());
        read += 1;
    }
    for file in fs::read_dir(folder("experiments")).unwrap() {
        let text = fs::read_to_string(file.unwrap().path()).unwrap();
        let (of, scripts) = experiment::parse(&text).unwrap();
        assert_eq!(of.scenarios.len(), scripts.len());
        read += 1;
    }
    assert!(read >= 10, "{read}");
}
