//! Upstreams that become slow from one request to the next.

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::*;

/// Lets one request after the other run for the times given; returns the limit afterwards.
fn limit_after(latencies: impl Iterator<Item = Duration>) -> u32 {
    let mut fixture = Fixture::new(settings());
    fixture.run_for(ms(5_000), ms(60));
    for latency in latencies {
        fixture.arrive(1, ms(10_000));
        fixture.now += latency;
        fixture.finish(SampleResult::Answered);
    }
    fixture.admission.limit()
}

/// Load pattern: half load on an upstream that loses its warmth without a restart. With six
/// requests on what bears two it answers four times slower, and falls over after a second: some
/// twenty answers.
#[test]
fn a_silent_loss_of_warmth_starts_the_ramp_within_a_few_answers() {
    let slow = std::iter::repeat_n(ms(250), 5);
    assert_eq!(limit_after(slow), 1);
}

#[test]
fn answers_with_a_long_tail_start_no_ramp() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut varying = || ms(30).mul_f64(1.0 - (1.0 - rng.random::<f64>()).ln());
    let latencies: Vec<_> = (0..50_000).map(|_| varying()).collect();
    assert_eq!(limit_after(latencies.into_iter()), SLOTS);
}
