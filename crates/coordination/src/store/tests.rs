use super::*;

fn known_drains(orders: &[(&str, u64)]) -> DrainList {
    let mut list = DrainList::default();
    for (domain, number) in orders {
        list.merge(&drain_order(
            DrainScope::Domain((*domain).into()),
            true,
            *number,
        ));
    }
    list
}

fn read_state(drained: Option<&[(&str, u64)]>, revision: u64) -> StoreState {
    let drained = drained.map(|drained| {
        let drained = drained.iter();
        drained
            .map(|(domain, at)| ((*domain).into(), *at))
            .collect()
    });
    StoreState {
        drained,
        revision,
        ..StoreState::default()
    }
}

#[test]
fn a_read_returns_the_active_drain_orders() {
    let state = read_state(Some(&[("modica", 7)]), 9);
    let modica = drain_order(DrainScope::Domain("modica".into()), true, 7);
    assert_eq!(state.orders(&DrainList::default()), [modica]);
}

#[test]
fn a_read_ends_drain_orders_that_are_no_longer_active() {
    let state = read_state(Some(&[]), 9);
    let ended = drain_order(DrainScope::Domain("modica".into()), false, 9);
    assert_eq!(state.orders(&known_drains(&[("modica", 7)])), [ended]);
}

/// A node that has just started reads only the registrations. Treating the missing orders as ended
/// would lift, on all nodes, a drain order received from its peers.
#[test]
fn a_read_of_only_the_registrations_ends_no_order() {
    assert_eq!(
        read_state(None, 9).orders(&known_drains(&[("modica", 7)])),
        []
    );
}

#[test]
fn a_read_older_than_an_order_does_not_end_it() {
    let mut list = known_drains(&[("modica", 7)]);
    for order in read_state(Some(&[]), 6).orders(&list) {
        list.merge(&order);
    }
    assert!(list.is_drained(&"vm".into(), &"modica".into()));
}
