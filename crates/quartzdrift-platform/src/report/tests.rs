use super::*;

#[test]
fn values_are_returned_in_the_order_of_the_settings() {
    let names = ["q", "x0", "x1"].map(settings::report_field);
    let read = |text: &str| read(text.as_bytes(), &names);
    assert_eq!(read("report=x0:0.5;queue:7"), [Some(7.0), Some(0.5), None]);
    assert_eq!(
        read("remark=1,report=q:3;x0:nan;x1:2"),
        [Some(3.0), None, Some(2.0)]
    );
    assert!(read("remark=1").is_empty());
}
