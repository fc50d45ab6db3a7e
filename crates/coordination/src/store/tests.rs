use std::time::Instant;

use proptest::prelude::*;

use super::*;
use crate::{registrations::Registrations, vm::ListedUpstream};

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
    assert_eq!(state.orders(&DrainList::default(), false), [modica]);
}

#[test]
fn a_read_ends_drain_orders_that_are_no_longer_active() {
    let state = read_state(Some(&[]), 9);
    let ended = drain_order(DrainScope::Domain("modica".into()), false, 9);
    assert_eq!(
        state.orders(&known_drains(&[("modica", 7)]), false),
        [ended]
    );
}

/// A node that has just started reads only the registrations. Treating the missing orders as ended
/// would lift, on all nodes, a drain order received from its peers.
#[test]
fn a_read_of_only_the_registrations_ends_no_order() {
    assert_eq!(
        read_state(None, 9).orders(&known_drains(&[("modica", 7)]), false),
        []
    );
}

#[test]
fn a_read_older_than_an_order_does_not_end_it() {
    let mut list = known_drains(&[("modica", 7)]);
    for order in read_state(Some(&[]), 6).orders(&list, false) {
        list.merge(&order);
    }
    assert!(list.is_drained(&"vm".into(), &"modica".into()));
}

#[test]
fn a_restored_store_ends_no_order_until_it_is_read_again() {
    let known = known_drains(&[("modica", ordered_revision(0, 70))]);
    let state = read_state(Some(&[]), ordered_revision(1, 9));
    assert_eq!(state.orders(&known, true), []);
    let ended = drain_order(DrainScope::Domain("modica".into()), false, state.revision);
    assert_eq!(state.orders(&known, false), [ended]);
}

/// Failure: a starting node read an old state of the registrations under the newest revision, and its
/// list replaced the one that named an upstream as leaving on all nodes.
#[test]
fn a_list_from_contents_that_may_be_old_replaces_no_other_list() {
    let now = Instant::now();
    let registration = |is_leaving| Registration {
        upstream: ListedUpstream {
            name: "i-1".into(),
            service: "orders".into(),
            address: "10.1.0.41:8628".parse().unwrap(),
            slots: 8,
            started: 1,
            cold_ms: 0,
        },
        vm: "10.1.0.41".into(),
        domain: "ragusa".into(),
        region: "sicily".into(),
        node: "10.1.0.41:7600".parse().unwrap(),
        is_leaving,
    };
    let list_of = |state: StoreState| {
        let mut registrations = Registrations::default();
        registrations.replace(state.registrations, state.revision, now);
        registrations.changed_list(now).unwrap()
    };
    let state = |is_leaving| StoreState {
        registrations: vec![registration(is_leaving)],
        revision: ordered_revision(2, 99),
        ..StoreState::default()
    };
    let read = list_of(state(true));
    let stale = list_of(state(false).with_lowest_revision());
    assert!(stale.number > 0 && stale.number < read.number);
    assert_eq!(stale.era(), read.era());
}

proptest! {
    /// After a restoration, revisions start again below those that were given out before.
    #[test]
    fn orders_of_a_new_era_replace_those_of_the_old_one(
        old_orders in prop::collection::vec((50_u64..90, any::<bool>()), 0..6),
        new_orders in prop::collection::vec((1_u64..60, any::<bool>()), 1..6),
    ) {
        let scope = || DrainScope::Domain("modica".into());
        let mut list = DrainList::default();
        for (revision, is_drained) in &old_orders {
            list.merge(&drain_order(scope(), *is_drained, ordered_revision(3, *revision)));
        }
        for (revision, is_drained) in &new_orders {
            list.merge(&drain_order(scope(), *is_drained, ordered_revision(4, *revision)));
        }
        // Late news of the old era changes nothing.
        for (revision, is_drained) in &old_orders {
            list.merge(&drain_order(scope(), !*is_drained, ordered_revision(3, *revision)));
        }
        let last = new_orders.iter().max().copied().unwrap();
        prop_assert_eq!(list.is_drained(&"vm".into(), &"modica".into()), last.1);
    }
}
