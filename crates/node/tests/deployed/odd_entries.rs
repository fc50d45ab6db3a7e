//! Values in the store that another writer left.

use crate::fleet::{Fleet, LATE_SERVICE, is_served};

const ODD_KEYS: [&str; 7] = [
    "servers/",
    "servers/odd key with spaces",
    "servers/odd&after=x#y%zz+",
    "servers/\u{e9}\u{1f333}",
    "servers/zzz/",
    "op/evacuate/",
    "op/evacuate/No Such Zone",
];

/// Asserts that all nodes follow the configuration and the list, serve each request and run.
async fn assert_sound(fleet: &mut Fleet, version: u64) {
    fleet.put_config(version);
    fleet.register(2);
    for vm in &mut fleet.vms {
        let callers = vm.callers();
        vm.wait_until_served("orders").await;
        vm.wait_until_served(LATE_SERVICE).await;
        for number in 0..20 {
            assert!(
                is_served(callers, "orders").await,
                "call {number} at {callers}"
            );
        }
        assert!(!vm.has_exited(), "the node at {callers} ended by itself");
    }
}

/// The request for the next page of a list names the last key of the page, which may be another writer's.
#[actix_rt::test]
async fn a_key_of_another_writer_at_the_end_of_a_page_stops_no_node() {
    let mut fleet = Fleet::start_with(&["orders", "other", LATE_SERVICE], |fleet| {
        ODD_KEYS.iter().for_each(|key| fleet.store.put(key, b"{}"));
        fleet.store.set_page_items(1);
    })
    .await;
    assert_sound(&mut fleet, 9).await;
}
