use super::*;

#[test]
fn a_run_holds_only_if_checks_ran_and_none_failed() {
    let mut checks = Checks::default();
    assert_eq!(checks.verdict(), Verdict::Failed);
    checks.expect_zero("first", 0);
    assert_eq!(checks.verdict(), Verdict::Passed);
    checks.expect_zero("second", 2);
    assert_eq!(checks.verdict(), Verdict::Failed);
    assert_eq!(checks.broken()[0].name, "second");
}
