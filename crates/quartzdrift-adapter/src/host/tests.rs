//! Batches with what may be wrong in them, and the replies.
use super::run;
use crate::error::HostError;

const START: &str = "sync\tmoment-ns=1000000\nopen_instance\ti=0\tnonce64=7\tboot-info=SETTINGS\n\
    targets\ti=0\tform=SAVED\tlines=1\nworker\tworker=10.0.0.1:1\thealth=up\ncommit\n";
const SETTINGS: &str = r#"{"registry-mode":"push","classes":[{"effect":"retryable"}]}"#;
const REQUEST: &str = "req\ti=0\ttid=5\timage=f\tgrace-ns=1000000000\n";

fn reply(settings: &str, lines: &str) -> Result<String, HostError> {
    let mut output = Vec::new();
    let input = format!("{}{lines}commit\n", START.replace("SETTINGS", settings));
    run(input.as_bytes(), &mut output).map(|()| String::from_utf8(output).unwrap())
}

#[test]
fn settings_that_cannot_be_used_end_it_with_a_message() {
    for bad in ["", "{", "[]", "{}", r#"{"classes":[{"window-ns":"long"}]}"#] {
        let error = reply(bad, "").expect_err(bad).to_string();
        assert!(error.starts_with("the settings cannot be used: "), "{error}");
    }
    assert!(reply(SETTINGS, "").is_ok());
    let seedless = START
        .replace("SETTINGS", SETTINGS)
        .replace("nonce64=7", "nonce64=");
    assert!(run(seedless.as_bytes(), Vec::new()).is_err());
}

#[test]
fn what_cannot_be_read_leaves_no_request_without_an_answer() {
    let sent = reply(SETTINGS, REQUEST).unwrap();
    assert!(sent.contains("pass_on\ti=0\ttid=5\tworker=10.0.0.1:1"), "{sent}");
    let ended = format!("{REQUEST}answer\ti=0\ttid=5\tseq-no=0\tworker=10.0.0.1:1\tdisposition=eaten\n");
    assert!(reply(SETTINGS, &ended).unwrap().contains("push_back\ti=0\ttid=5"));
    let once = SETTINGS.replace("retryable", "fragile");
    assert!(
        reply(&once, &ended).unwrap().contains("drop_request\ti=0\ttid=5"),
        "it may have been executed"
    );
    let class = reply(SETTINGS, &REQUEST.replace("image", "tier-class=-1\timage")).unwrap();
    assert!(
        class.contains("push_back\ti=0\ttid=5") && !class.contains("pass_on"),
        "{class}"
    );
}

#[test]
fn an_endpoint_list_that_cannot_be_read_whole_still_ends_what_goes_to_a_worker() {
    for list in [
        "form=NEW\tlines=1\nworker\tworker=10.0.0.1:1\thealth=draining",
        "form=INCREMENTAL\tlines=1\nworker\tworker=10.0.0.1:1",
    ] {
        let sent = reply(SETTINGS, &format!("targets\ti=0\t{list}\n{REQUEST}")).unwrap();
        assert!(
            sent.contains("push_back\ti=0\ttid=5") && !sent.contains("pass_on"),
            "{sent}"
        );
    }
}
