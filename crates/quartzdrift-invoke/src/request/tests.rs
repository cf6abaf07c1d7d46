use super::*;

fn parse_post(target: &str, headers: &[(&str, &'static str)]) -> Result<ApiRequest, ApiError> {
    parse("POST", target, |name| {
        headers
            .iter()
            .find(|(header, _)| *header == name)
            .map(|(_, value)| *value)
    })
}

#[test]
fn invocations_are_parsed() {
    let target = "/2015-03-31/functions/quote%3Av1/invocations?x=1&Qualifier=v1";
    let Ok(ApiRequest::Invoke(invoke)) = parse_post(target, &[("x-amz-invocation-type", "Event")]) else {
        panic!()
    };
    assert_eq!(
        (invoke.function.qualified_name().as_str(), invoke.invocation_type),
        ("quote:v1", InvocationType::Asynchronous)
    );
    let qualified_target = super::invoke_target(&invoke.function.qualified_name());
    let Ok(ApiRequest::Invoke(reparsed)) = parse_post(&qualified_target, &[]) else {
        panic!()
    };
    assert_eq!(reparsed.function.qualified_name(), "quote:v1");
}

#[test]
fn invalid_requests_get_the_published_errors() {
    let path = "/2015-03-31/functions/quote/invocations";
    assert!(matches!(
        parse_post("/elsewhere", &[]),
        Err(ApiError::UnknownPath)
    ));
    assert!(matches!(
        parse_post(path, &[("content-type", "text/html")]),
        Err(ApiError::UnsupportedMediaType)
    ));
    assert!(matches!(
        parse_post(path, &[("x-amz-invocation-type", "x")]),
        Err(ApiError::InvalidParameter(_))
    ));
    assert!(matches!(
        parse_post(path, &[("x-amz-client-context", "&")]),
        Err(ApiError::InvalidContent(_))
    ));
    assert!(matches!(parse("GET", path, |_| None), Err(ApiError::WrongMethod)));
    assert!(is_json(b" {\"a\": [1]} ") && is_json(b"") && !is_json(b"{") && !is_json(b"1 2"));
}

proptest::proptest! {
    #[test]
    fn any_target_is_parsed_or_rejected(target: String) {
        let _ = parse_post(&target, &[]);
    }
}
