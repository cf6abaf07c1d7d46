use super::*;

#[test]
fn well_behaved_clients_have_room_and_the_sum_stays_within_the_limit() {
    for sockets in [256, 512, 1024, 4096] {
        let budget = ConnectionBudget::divide(sockets);
        assert!(budget.clients > sockets / 3 && budget.clients + budget.workers + RESERVE <= sockets);
    }
}
