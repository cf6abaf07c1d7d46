use super::*;

#[test]
fn a_charge_is_released_when_it_is_dropped_and_counts_as_unowned_after_a_disconnect() {
    let unowned = Rc::new(Cell::new(0));
    let bytes = RequestBytes::new(unowned.clone());
    let (first, second) = (bytes.charge(100), bytes.charge(0));
    assert_eq!(bytes.held.get(), request_bytes(100) + request_bytes(0));
    drop(second);
    assert_eq!((bytes.held.get(), unowned.get()), (request_bytes(100), 0));
    bytes.disown();
    assert_eq!(unowned.get(), request_bytes(100));
    drop(first);
    assert_eq!((bytes.held.get(), unowned.get()), (0, 0));
}
