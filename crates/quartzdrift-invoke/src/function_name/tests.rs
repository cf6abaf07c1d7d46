use super::*;

#[test]
fn all_published_forms_are_read() {
    let cases = [
        ("quote", ("quote", None, None)),
        ("quote:v1", ("quote", Some("v1"), None)),
        ("quote:$LATEST", ("quote", Some("$LATEST"), None)),
        (
            "123456789012:function:quote",
            ("quote", None, Some("123456789012")),
        ),
        (
            "arn:aws:lambda:eu-west-1:123456789012:function:quote:3",
            ("quote", Some("3"), Some("123456789012")),
        ),
    ];
    for (text, (name, qualifier, account)) in cases {
        let read = FunctionName::parse(text).unwrap();
        assert_eq!(
            (read.name.as_str(), read.qualifier.as_deref()),
            (name, qualifier),
            "{text}"
        );
        assert_eq!(read.account.as_deref(), account, "{text}");
    }
    assert_eq!(
        FunctionName::parse("quote:$LATEST").unwrap().qualified_name(),
        "quote"
    );
    assert_eq!(
        FunctionName::parse("quote")
            .unwrap()
            .with_qualifier(Some("v2"))
            .unwrap()
            .qualified_name(),
        "quote:v2"
    );
}

#[test]
fn others_are_refused() {
    let bad = [
        "",
        "a b",
        "a:b:c",
        "arn:aws:lambda",
        "arn:aws:s3:x:123456789012:function:q",
        "1:function:q",
    ];
    bad.iter()
        .for_each(|text| assert!(FunctionName::parse(text).is_err(), "{text}"));
    assert!(FunctionName::parse("arn:aws:lambda:eu:x:layer:q").is_err());
    assert!(
        FunctionName::parse("quote:v1")
            .unwrap()
            .with_qualifier(Some("v2"))
            .is_err()
    );
}

proptest::proptest! {
    #[test]
    fn any_text_is_read_or_refused(text: String) {
        if let Ok(read) = FunctionName::parse(&text) {
            let again = FunctionName::parse(&read.qualified_name()).unwrap();
            proptest::prop_assert_eq!(again.qualified_name(), read.qualified_name());
        }
    }
}
