//! Tests of errors for settings that must be set together.
use super::read;

/// Returns the problems that [`read`] reports for a minimal settings file with additional lines in its only
/// request class, and additional tables.
fn problems(request_class: &str, tables: &str) -> Vec<String> {
    let text = format!(
        "[gateway]\nlisten = [\"127.0.0.1:0\"]\n[[workloads]]\nname = \"a\"\ntime_limit = \"3s\"\n{request_class}\n\
         [[functions]]\nname = \"f\"\nworkload = \"a\"\n[[workers]]\naddress = \"127.0.0.1:1\"\n{tables}\n"
    );
    let errors = read("test.toml", &text).err().unwrap_or_default();
    errors.into_iter().map(|error| error.problem).collect()
}

#[test]
fn settings_that_must_be_set_together_are_rejected_if_one_is_missing() {
    let complete = "effect = \"fingerprinted\"\ngroup = \"zone\"\nwindow = \"5s\"";
    assert_eq!(problems(complete, ""), Vec::<String>::new());
    for missing in ["group = \"zone\"\n", "window = \"5s\""] {
        let found = problems(&complete.replace(missing, ""), "");
        assert!(
            matches!(&found[..], [one] if one.contains("is missing")),
            "{missing}: {found:?}"
        );
    }
    for incomplete_table in ["[rules]\ncold_for = \"9s\"", "[copies]\nload_free = 6.0"] {
        let found = problems("effect = \"restartable\"", incomplete_table);
        assert!(
            matches!(&found[..], [one] if one.contains("must be set together")),
            "{incomplete_table}: {found:?}"
        );
    }
}
