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
fn an_upstream_that_is_listed_again_serves() {
    let gone = state_after(&[RegistrationAnswer::Missing]);
    assert_eq!(gone.with_vm_state(VmState::Live), Listing::Listed);
    assert_eq!(
        Listing::Listed.with_answer(RegistrationAnswer::Silent),
        Listing::Listed
    );
}
