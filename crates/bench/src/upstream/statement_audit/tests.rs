use super::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn counts_requests_beyond_the_limit_half_a_second_after_it_was_stated() {
    let mut audit = StatementAudit::default();
    let start = Instant::now();
    assert!(!audit.exceeds_limit(Some(10.0), start), "not stated yet");
    audit.record_answer(Some(10.0), false, start);
    let exceeds = |audit: &mut StatementAudit, at| audit.exceeds_limit(Some(10.0), start + at);
    assert!((0..200).all(|_| !exceeds(&mut audit, ms(400))));
    // 10 a second for 4 s, times 1.5, and 5.
    assert!((0..65).all(|_| !exceeds(&mut audit, ms(600))));
    assert!(exceeds(&mut audit, ms(700)));
    assert!(!exceeds(&mut audit, ms(4_800)));
}

#[test]
fn a_lower_limit_counts_from_its_own_statement() {
    let mut audit = StatementAudit::default();
    let start = Instant::now();
    audit.record_answer(Some(10.0), false, start);
    audit.forget_limit();
    assert!((0..100).all(|_| !audit.exceeds_limit(Some(1.0), start + ms(900))));
    audit.record_answer(Some(1.0), false, start + ms(900));
    let exceeds = |audit: &mut StatementAudit| audit.exceeds_limit(Some(1.0), start + ms(1_500));
    assert!((0..11).all(|_| !exceeds(&mut audit)));
    assert!(exceeds(&mut audit));
}

#[test]
fn requests_may_arrive_for_two_seconds_after_leaving_is_stated() {
    let mut audit = StatementAudit::default();
    let start = Instant::now();
    assert!(!audit.is_after_leaving(start + ms(9_000)));
    audit.record_answer(None, true, start);
    audit.record_answer(None, true, start + ms(1_500));
    assert!(!audit.is_after_leaving(start + ms(2_000)));
    assert!(audit.is_after_leaving(start + ms(2_001)));
}
