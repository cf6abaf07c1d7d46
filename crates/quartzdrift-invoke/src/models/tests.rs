use super::*;

#[test]
fn formatted_commands_are_parsed() {
    assert_eq!(
        ModelRequest::parse(&load_target("a:v1")),
        Some(ModelRequest::Load("a:v1".to_owned()))
    );
    assert_eq!(
        ModelRequest::parse(&unload_target("a/b")),
        Some(ModelRequest::Unload("a/b".to_owned()))
    );
    assert_eq!(
        (
            decode_replicas(&encode_replicas(3)),
            decode_replicas(b"{}"),
            decode_replicas(b"x")
        ),
        (Some(3), Some(0), None)
    );
    assert_eq!(
        ModelRequest::parse("/v2/models/q/ready"),
        Some(ModelRequest::ModelReady("q".to_owned()))
    );
    assert_eq!(ModelRequest::parse("/v2/repository/models/q/drop"), None);
}
