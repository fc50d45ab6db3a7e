use super::*;
use crate::dialect::RetryAfterFormat;

const DIALECT: Dialect = Dialect {
    call_id: "id",
    echoes_call_id: false,
    idempotency_key: None,
    deadline_ms: "deadline",
    hops: None,
    note: None,
    caller_service: None,
    api_key: None,
    organisation: None,
    target_upstream: None,
    process: None,
    answered_by: None,
    cold_ms: Some("cold"),
    request_limit: Some("limit"),
    leaving: Some("leaving"),
    not_run: "not-run",
    misdirected_status: None,
    retry_after: RetryAfterFormat::FractionalSeconds,
    outcome_headers: false,
};

fn read(headers: &[(&str, &'static str)]) -> Statement {
    Statement::read(&DIALECT, |name| {
        let same = headers.iter().filter(move |(other, _)| *other == name);
        same.map(|(_, value)| value.as_bytes()).collect::<Vec<_>>()
    })
}

fn rate(per_second: f64) -> StatedLimit {
    StatedLimit::Rate(RequestRate::new(per_second).unwrap())
}

#[test]
fn reads_what_an_answer_states() {
    assert_eq!(read(&[]), Statement::default());
    let statement = read(&[("limit", " 1.7"), ("leaving", "1"), ("cold", "250.5")]);
    assert_eq!(statement.limit, rate(1.7));
    assert!(statement.is_leaving);
    assert_eq!(statement.cold, Some(Duration::from_micros(250_500)));
}

#[test]
fn the_lowest_of_several_limits_applies() {
    let statement = read(&[("limit", "9"), ("limit", "4"), ("limit", "x")]);
    assert_eq!(statement.limit, rate(4.0));
}

#[test]
fn values_that_are_no_number_state_nothing() {
    for value in ["", "fast", "-1", "NaN", "inf", "1,5", "1e999"] {
        let statement = read(&[("limit", value), ("leaving", "0"), ("cold", value)]);
        assert_eq!(statement.limit, StatedLimit::Unusable, "{value}");
        assert!(!statement.is_leaving);
        assert_eq!(statement.cold, None, "{value}");
    }
}

#[test]
fn a_huge_cold_time_is_bounded() {
    assert_eq!(read(&[("cold", "1e300")]).cold, Some(MAX_COLD));
}
