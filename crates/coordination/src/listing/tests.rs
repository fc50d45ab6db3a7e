use super::*;

fn state_after(answers: &[RegistrationAnswer]) -> Listing {
    let doubted = Listing::Listed.with_vm_state(VmState::Unlisted);
    answers.iter().fold(doubted, |listing, answer| {
        listing
            .with_answer(*answer)
            .with_vm_state(VmState::Unlisted)
    })
}

#[test]
fn an_upstream_without_registration_gets_no_work_before_the_registration_check() {
    assert_eq!(state_after(&[]), Listing::Doubted);
    assert!(!state_after(&[]).may_serve());
    assert!(!state_after(&[RegistrationAnswer::Missing]).may_serve());
}

/// A third of the VMs loses only its connection to the platform, during a burst of load.
#[test]
fn an_upstream_keeps_serving_if_its_vm_cannot_reach_the_platform() {
    assert!(state_after(&[RegistrationAnswer::Silent]).may_serve());
}

#[test]
fn an_upstream_that_left_during_an_outage_stops_serving_when_the_platform_answers() {
    let answers = [RegistrationAnswer::Silent, RegistrationAnswer::Missing];
    assert!(!state_after(&answers).may_serve());
}

#[test]
fn an_upstream_that_is_listed_again_serves_after_the_registration_check() {
    let gone = state_after(&[RegistrationAnswer::Missing]);
    let relisted = gone.with_vm_state(VmState::Live);
    assert!(!relisted.may_serve());
    let registered = relisted.with_answer(RegistrationAnswer::Registered);
    assert_eq!(registered, Listing::Listed);
    assert_eq!(
        Listing::Listed.with_answer(RegistrationAnswer::Silent),
        Listing::Listed
    );
}

/// Guards against new work for an upstream that left: amsv-ragusa scale-1, seed 1003315874755, where
/// a reader that had been out of contact for a second kept the upstream in its next list.
#[test]
fn a_list_of_another_reader_does_not_bring_back_an_upstream_that_left() {
    let mut listing = state_after(&[RegistrationAnswer::Missing]);
    for state in [VmState::Live, VmState::Unlisted, VmState::Live] {
        listing = listing.with_vm_state(state);
        assert!(!listing.may_serve(), "{listing:?}");
        assert!(listing.is_unlisted());
        listing = listing.with_answer(RegistrationAnswer::Missing);
        assert!(!listing.may_serve(), "{listing:?}");
    }
    // The registration may come back while the lists stay the same.
    let listing = listing.with_answer(RegistrationAnswer::Registered);
    assert_eq!(listing, Listing::Listed);
}

/// Guards against new work for an upstream that left: it got requests while the platform was away,
/// although the platform had confirmed before that it is gone.
#[test]
fn an_upstream_that_is_gone_stays_gone_while_the_platform_does_not_answer() {
    let gone = state_after(&[RegistrationAnswer::Missing, RegistrationAnswer::Silent]);
    assert_eq!(gone, Listing::Gone);
    let relisted = gone.with_vm_state(VmState::Live);
    assert!(!relisted.may_serve());
    let relisted = relisted.with_answer(RegistrationAnswer::Silent);
    assert!(!relisted.may_serve());
    let registered = relisted.with_answer(RegistrationAnswer::Registered);
    assert_eq!(registered, Listing::Listed);
}

fn at(now: Instant, millis: u64) -> Instant {
    now + Duration::from_millis(millis)
}

/// Guards against new work for an upstream that left: the platform came back from a copy that still had
/// its registration, until three heartbeats were missed.
#[test]
fn a_restored_registration_does_not_bring_back_an_upstream_that_left() {
    use RegistrationAnswer::{Missing, Registered, Silent};
    let now = Instant::now();
    let mut filter = RestorationFilter::default();
    let mut listing = state_after(&[filter.apply(Missing, 3, now)]);
    let answers = [
        (1_000, Silent),
        (1_600, Registered),
        (2_700, Registered),
        (6_100, Registered),
        (7_000, Missing),
        (8_100, Missing),
    ];
    for (millis, answer) in answers {
        listing = listing.with_vm_state(VmState::Live);
        listing = listing.with_answer(filter.apply(answer, 4, at(now, millis)));
        assert!(!listing.may_serve(), "{listing:?} after {millis} ms");
    }
}

/// A registration that outlives the missed heartbeats is renewed by its upstream.
#[test]
fn a_registration_counts_again_some_time_after_a_restoration() {
    use RegistrationAnswer::{Missing, Registered, Silent};
    let now = Instant::now();
    let mut filter = RestorationFilter::default();
    filter.apply(Missing, 3, now);
    assert_eq!(filter.apply(Registered, 4, at(now, 1_000)), Silent);
    assert_eq!(filter.apply(Registered, 4, at(now, 12_900)), Silent);
    assert_eq!(filter.apply(Registered, 4, at(now, 13_000)), Registered);
    assert_eq!(filter.apply(Registered, 5, at(now, 14_000)), Silent);
}

/// Upstreams that registered after the copy was made register again within about two seconds.
#[test]
fn a_registration_that_a_restored_platform_lacks_is_missing_after_its_renewal_only() {
    use RegistrationAnswer::{Missing, Registered, Silent};
    let now = Instant::now();
    let mut filter = RestorationFilter::default();
    assert_eq!(filter.apply(Registered, 3, now), Registered);
    assert_eq!(filter.apply(Missing, 4, at(now, 1_000)), Silent);
    assert_eq!(filter.apply(Missing, 4, at(now, 3_100)), Silent);
    assert_eq!(filter.apply(Missing, 4, at(now, 3_200)), Missing);
    // The first era that is seen is no restoration.
    let mut filter = RestorationFilter::default();
    assert_eq!(filter.apply(Missing, 4, now), Missing);
}
