use super::*;
use proptest::prelude::*;

const CLIENTS: usize = 12;

proptest! {
    /// Guards against a sum over all clients that exceeds the limit, and against a client that is refused its
    /// guaranteed part because others hold much.
    #[test]
    fn clients_never_hold_more_than_the_limit_and_each_can_hold_its_guarantee(
        requests in proptest::collection::vec((0..CLIENTS, 0_usize..40_000), 1..300)
    ) {
        let mut budget = MemoryBudget::divide(0.5, CLIENTS);
        let mut held = [0; CLIENTS];
        for (client, wanted) in requests {
            let granted = wanted.min(budget.max_bytes(held[client], 0));
            prop_assert!(granted == wanted || granted >= budget.guaranteed());
            budget.update(held[client], granted);
            held[client] = granted;
            prop_assert_eq!(budget.used(), held.iter().sum::<usize>());
            prop_assert!(!budget.is_exceeded(), "{:?}", budget);
        }
    }
}

#[test]
fn bytes_of_disconnected_clients_count_towards_the_shared_part() {
    let budget = MemoryBudget::divide(1.0, 4);
    assert_eq!(budget.max_bytes(0, usize::MAX / 2), budget.guaranteed());
    assert_eq!(budget.max_bytes(0, 0) - budget.max_bytes(0, 1000), 1000);
}
