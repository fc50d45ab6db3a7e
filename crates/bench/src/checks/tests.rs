use super::*;

#[test]
fn one_breach_breaks_the_run_and_no_check_is_no_proof() {
    let mut checks = Checks::default();
    assert_eq!(checks.verdict(), Verdict::Broken);
    checks.expect_zero("first", 0);
    assert_eq!(checks.verdict(), Verdict::Held);
    checks.expect_zero("second", 2);
    assert_eq!(checks.verdict(), Verdict::Broken);
    assert_eq!(checks.broken()[0].name, "second");
}
