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

/// The platform goes away while an upstream registers again.
#[test]
fn an_upstream_that_is_listed_again_serves_if_its_vm_cannot_reach_the_platform() {
    let gone = state_after(&[RegistrationAnswer::Missing]);
    let relisted = gone.with_vm_state(VmState::Live);
    assert!(relisted.with_answer(RegistrationAnswer::Silent).may_serve());
}
