use super::*;

#[test]
fn all_published_formats_are_parsed() {
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
        let parsed = FunctionName::parse(text).unwrap();
        assert_eq!(
            (parsed.name.as_str(), parsed.qualifier.as_deref()),
            (name, qualifier),
            "{text}"
        );
        assert_eq!(parsed.account.as_deref(), account, "{text}");
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
fn invalid_function_names_are_rejected() {
    let invalid = [
        "",
        "a b",
        "a:b:c",
        "arn:aws:lambda",
        "arn:aws:s3:x:123456789012:function:q",
        "1:function:q",
    ];
    invalid
        .iter()
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
    fn any_text_is_parsed_or_rejected(text: String) {
        if let Ok(parsed) = FunctionName::parse(&text) {
            let reparsed = FunctionName::parse(&parsed.qualified_name()).unwrap();
            proptest::prop_assert_eq!(reparsed.qualified_name(), parsed.qualified_name());
        }
    }
}
