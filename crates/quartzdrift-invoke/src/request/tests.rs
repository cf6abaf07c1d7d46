use super::*;

fn read_post(target: &str, fields: &[(&str, &'static str)]) -> Result<ApiRequest, ApiError> {
    parse("POST", target, |name| {
        fields.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    })
}

#[test]
fn calls_are_read() {
    let target = "/2015-03-31/functions/quote%3Av1/invocations?x=1&Qualifier=v1";
    let Ok(ApiRequest::Invoke(call)) = read_post(target, &[("x-amz-invocation-type", "Event")]) else {
        panic!()
    };
    assert_eq!(
        (call.function.qualified_name().as_str(), call.invocation_type),
        ("quote:v1", InvocationType::Asynchronous)
    );
    let again = super::invoke_target(&call.function.qualified_name());
    let Ok(ApiRequest::Invoke(second)) = read_post(&again, &[]) else {
        panic!()
    };
    assert_eq!(second.function.qualified_name(), "quote:v1");
}

#[test]
fn others_get_the_published_errors() {
    let path = "/2015-03-31/functions/quote/invocations";
    assert!(matches!(read_post("/elsewhere", &[]), Err(ApiError::UnknownPath)));
    assert!(matches!(
        read_post(path, &[("content-type", "text/html")]),
        Err(ApiError::UnsupportedMediaType)
    ));
    assert!(matches!(
        read_post(path, &[("x-amz-invocation-type", "x")]),
        Err(ApiError::InvalidParameter(_))
    ));
    assert!(matches!(
        read_post(path, &[("x-amz-client-context", "&")]),
        Err(ApiError::InvalidContent(_))
    ));
    assert!(matches!(parse("GET", path, |_| None), Err(ApiError::WrongMethod)));
    assert!(is_json(b" {\"a\": [1]} ") && is_json(b"") && !is_json(b"{") && !is_json(b"1 2"));
}

proptest::proptest! {
    #[test]
    fn any_target_is_read_or_refused(target: String) {
        let _ = read_post(&target, &[]);
    }
}
