//! Upstreams that suddenly become slow.

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::*;

/// Runs requests one after the other with the given latencies; returns the limit afterwards.
fn limit_after(latencies: impl Iterator<Item = Duration>) -> u32 {
    let mut fixture = Fixture::new(settings());
    fixture.run_for(ms(5_000), ms(60));
    for latency in latencies {
        fixture.submit(1, ms(10_000));
        fixture.now += latency;
        fixture.finish(SampleResult::Answered);
    }
    fixture.admission.limit()
}

/// Load pattern: half load on an upstream that becomes cold without a restart. It can handle two
/// requests then, so with six it responds four times slower, and it fails after a second, which is
/// about twenty responses.
#[test]
fn five_slow_responses_start_the_ramp() {
    let slow = std::iter::repeat_n(ms(250), 5);
    assert_eq!(limit_after(slow), 1);
}

#[test]
fn long_tailed_latency_does_not_start_the_ramp() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut varying = || ms(30).mul_f64(1.0 - (1.0 - rng.random::<f64>()).ln());
    let latencies: Vec<_> = (0..50_000).map(|_| varying()).collect();
    assert_eq!(limit_after(latencies.into_iter()), SLOTS);
}
