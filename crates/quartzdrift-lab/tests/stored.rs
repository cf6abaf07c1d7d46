//! Tests that traces, scenarios and experiments of earlier releases are read with the same meaning.
use quartzdrift_lab::{experiment, scenario, traffic};
use std::fs;
use std::path::{Path, PathBuf};

fn folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(name)
}

#[test]
fn a_recorded_trace_is_read() {
    let trace = traffic::read_trace(&folder("tests/stored/trace.jsonl")).unwrap();
    let arrivals: Vec<_> = trace
        .iter()
        .map(|arrival| {
            (
                arrival.at_us,
                arrival.request_class,
                &*arrival.function,
                arrival.work_us,
                arrival.gateway,
            )
        })
        .collect();
    assert_eq!(
        arrivals,
        [(0, 1, "echo", 0, 0.0), (1500, 0, "0f3a77", 12_000, 0.75)]
    );
}

#[test]
fn scenarios_and_experiments_are_read() {
    let mut files_read = 0;
    for file in fs::read_dir(folder("days")).unwrap() {
        let text = fs::read_to_string(file.unwrap().path()).unwrap();
        let scenario = scenario::read(&text).unwrap();
        assert!(!scenario.request_classes.is_empty());
        files_read += 1;
    }
    for file in fs::read_dir(folder("experiments")).unwrap() {
        let text = fs::read_to_string(file.unwrap().path()).unwrap();
        let (experiment, scenarios) = experiment::parse(&text).unwrap();
        assert_eq!(experiment.scenarios.len(), scenarios.len());
        files_read += 1;
    }
    assert!(files_read >= 10, "read {files_read} files, expected 10 or more");
}
