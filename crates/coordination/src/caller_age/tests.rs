use super::*;

struct Case {
    ages: CallerAges,
    now: Instant,
}

fn case() -> Case {
    Case {
        ages: CallerAges::default(),
        now: Instant::now(),
    }
}

impl Case {
    #[track_caller]
    fn expect_age(mut self, remaining_ms: u64, age_ms: u64) -> Self {
        let remaining = Duration::from_millis(remaining_ms);
        self.ages.record(&"r".into(), remaining, self.now);
        let age = self.ages.age(&"r".into(), remaining);
        assert_eq!(age, Duration::from_millis(age_ms));
        self
    }

    fn after_s(mut self, seconds: u64) -> Self {
        self.now += Duration::from_secs(seconds);
        self
    }
}

#[test]
fn a_request_with_less_time_remaining_was_sent_before() {
    case()
        .expect_age(2_000, 0)
        .expect_age(1_300, 700)
        .expect_age(2_000, 0);
}

#[test]
fn a_maximum_wait_that_is_not_observed_again_expires() {
    case()
        .expect_age(9_000, 0)
        .after_s(11)
        .expect_age(2_000, 7_000)
        .after_s(11)
        .expect_age(2_000, 0)
        .expect_age(1_500, 500);
}

/// One caller that states any number must not make the requests of all others look late.
#[test]
fn a_wait_that_few_callers_state_does_not_count() {
    let mut case = case();
    for _ in 0..16 {
        case = case.expect_age(2_000, 0);
    }
    case.expect_age(600_000, 0).expect_age(1_500, 500);
}
