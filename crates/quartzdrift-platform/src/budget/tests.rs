use super::*;

#[test]
fn clients_get_over_a_third_of_the_descriptors_and_the_sum_stays_within_the_limit() {
    for descriptors in [256, 512, 1024, 4096] {
        let budget = ConnectionBudget::divide(descriptors);
        assert!(
            budget.clients > descriptors / 3
                && budget.clients + budget.workers + RESERVED_DESCRIPTORS <= descriptors
        );
    }
}
