//! Checks the replies to batches with invalid settings, fields and endpoint lists.
use super::run;
use crate::error::HostError;

/// Starts an instance with one worker that is up.
const FIRST_BATCH: &str = "sync\tmoment-ns=1000000\nopen_instance\ti=0\tnonce64=7\tboot-info=SETTINGS\n\
    targets\ti=0\tform=SAVED\tlines=1\nworker\tworker=10.0.0.1:1\thealth=up\ncommit\n";
const SETTINGS: &str = r#"{"registry-mode":"push","classes":[{"effect":"retryable"}]}"#;
const REQUEST: &str = "req\ti=0\ttid=5\timage=f\tgrace-ns=1000000000\n";

fn reply(settings: &str, lines: &str) -> Result<String, HostError> {
    let mut output = Vec::new();
    let input = format!("{}{lines}commit\n", FIRST_BATCH.replace("SETTINGS", settings));
    run(input.as_bytes(), &mut output).map(|()| String::from_utf8(output).unwrap())
}

#[test]
fn invalid_settings_stop_the_host_with_an_error() {
    for invalid in ["", "{", "[]", "{}", r#"{"classes":[{"window-ns":"long"}]}"#] {
        let error = reply(invalid, "").expect_err(invalid).to_string();
        assert!(
            error.starts_with("cannot start an instance of the scheduler: "),
            "{error}"
        );
    }
    assert!(reply(SETTINGS, "").is_ok());
    let seedless = FIRST_BATCH
        .replace("SETTINGS", SETTINGS)
        .replace("nonce64=7", "nonce64=");
    assert!(run(seedless.as_bytes(), Vec::new()).is_err());
}

#[test]
fn requests_get_a_final_response_despite_invalid_fields() {
    let sent = reply(SETTINGS, REQUEST).unwrap();
    assert!(sent.contains("pass_on\ti=0\ttid=5\tworker=10.0.0.1:1"), "{sent}");
    let ended = format!("{REQUEST}answer\ti=0\ttid=5\tseq-no=0\tworker=10.0.0.1:1\tdisposition=eaten\n");
    assert!(reply(SETTINGS, &ended).unwrap().contains("push_back\ti=0\ttid=5"));
    let non_idempotent = SETTINGS.replace("retryable", "fragile");
    assert!(
        reply(&non_idempotent, &ended)
            .unwrap()
            .contains("drop_request\ti=0\ttid=5"),
        "the request may have been executed"
    );
    let invalid_class = reply(SETTINGS, &REQUEST.replace("image", "tier-class=-1\timage")).unwrap();
    assert!(
        invalid_class.contains("push_back\ti=0\ttid=5") && !invalid_class.contains("pass_on"),
        "{invalid_class}"
    );
}

#[test]
fn endpoint_lists_with_invalid_fields_still_stop_requests_to_a_worker() {
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
