use super::*;

fn known(orders: &[(&str, u64)]) -> DrainList {
    let mut list = DrainList::default();
    for (domain, number) in orders {
        list.merge(&order(DrainScope::Domain((*domain).into()), true, *number));
    }
    list
}

fn read(drained: Option<&[(&str, u64)]>, revision: u64) -> StoreState {
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
fn a_reading_tells_the_orders_that_stand() {
    let state = read(Some(&[("modica", 7)]), 9);
    let modica = order(DrainScope::Domain("modica".into()), true, 7);
    assert_eq!(state.orders(&DrainList::default()), [modica]);
}

#[test]
fn a_reading_ends_the_orders_that_no_longer_stand() {
    let state = read(Some(&[]), 9);
    let ended = order(DrainScope::Domain("modica".into()), false, 9);
    assert_eq!(state.orders(&known(&[("modica", 7)])), [ended]);
}

/// Seen in a hunt: a node that had just started read the registrations alone, and ended an order
/// that its peers had told it of, on all nodes.
#[test]
fn a_reading_of_the_registrations_alone_ends_no_order() {
    assert_eq!(read(None, 9).orders(&known(&[("modica", 7)])), []);
}

#[test]
fn a_reading_that_is_older_than_an_order_does_not_end_it() {
    let mut list = known(&[("modica", 7)]);
    for order in read(Some(&[]), 6).orders(&list) {
        list.merge(&order);
    }
    assert!(list.is_drained(&"vm".into(), &"modica".into()));
}
