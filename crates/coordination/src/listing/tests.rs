use super::*;

fn after(answers: &[RegistrationAnswer]) -> Listing {
    let doubted = Listing::Listed.with_vm_state(VmState::Unlisted);
    answers.iter().fold(doubted, |listing, answer| {
        listing
            .with_answer(*answer)
            .with_vm_state(VmState::Unlisted)
    })
}

#[test]
fn an_upstream_whose_registration_went_gets_nothing_until_the_platform_is_asked() {
    assert_eq!(after(&[]), Listing::Doubted);
    assert!(!after(&[]).may_serve());
    assert!(!after(&[RegistrationAnswer::Missing]).may_serve());
}

/// Load pattern: a third of the VMs is cut off from the platform alone, under a burst.
#[test]
fn an_upstream_of_a_vm_that_is_cut_off_goes_on() {
    assert!(after(&[RegistrationAnswer::Silent]).may_serve());
}

#[test]
fn an_upstream_that_left_while_its_vm_was_cut_off_ends_when_the_platform_is_back() {
    let answers = [RegistrationAnswer::Silent, RegistrationAnswer::Missing];
    assert!(!after(&answers).may_serve());
}

#[test]
fn an_upstream_that_is_listed_again_serves() {
    let gone = after(&[RegistrationAnswer::Missing]);
    assert_eq!(gone.with_vm_state(VmState::Live), Listing::Listed);
    assert_eq!(
        Listing::Listed.with_answer(RegistrationAnswer::Silent),
        Listing::Listed
    );
}
