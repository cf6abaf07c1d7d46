//! Errors of settings that contradict each other or are incomplete.
use super::read;

/// The problems of a small settings file that has these lines under its only request class, then these
/// tables.
fn problems(request_class: &str, tables: &str) -> Vec<String> {
    let text = format!(
        "[gateway]\nlisten = [\"127.0.0.1:0\"]\n[[workloads]]\nname = \"a\"\ntime_limit = \"3s\"\n{request_class}\n\
         [[functions]]\nname = \"f\"\nworkload = \"a\"\n[[workers]]\naddress = \"127.0.0.1:1\"\n{tables}\n"
    );
    let errors = read("test.toml", &text).err().unwrap_or_default();
    errors.into_iter().map(|error| error.problem).collect()
}

#[test]
fn settings_that_are_only_set_together_are_refused_in_part() {
    let whole = "effect = \"fingerprinted\"\ngroup = \"zone\"\nwindow = \"5s\"";
    assert_eq!(problems(whole, ""), Vec::<String>::new());
    for part in ["group = \"zone\"\n", "window = \"5s\""] {
        let found = problems(&whole.replace(part, ""), "");
        assert!(
            matches!(&found[..], [one] if one.contains("is not told")),
            "{part}: {found:?}"
        );
    }
    for part in ["[rules]\ncold_for = \"9s\"", "[copies]\nload_free = 6.0"] {
        let found = problems("effect = \"restartable\"", part);
        assert!(
            matches!(&found[..], [one] if one.contains("in part")),
            "{part}: {found:?}"
        );
    }
}
