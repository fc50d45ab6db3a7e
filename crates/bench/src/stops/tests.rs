use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use rand::{SeedableRng, rngs::SmallRng};

use super::{
    caller::{Exchange, ExchangeEnd, WorkTimes},
    judge::{Losses, Stop, judge},
};

const GRACE: Duration = Duration::from_secs(10);

/// Exchange with a node that is asked to stop at the start of the test.
struct Case {
    asked: Instant,
    exchange: Exchange,
    has_run: bool,
}

impl Case {
    /// An exchange that ends with a closed connection; times are in milliseconds after the SIGTERM.
    fn closed(sent_ms: u64, ended_ms: u64) -> Self {
        let asked = Instant::now();
        let at = |ms| asked + Duration::from_millis(ms);
        Self {
            asked,
            exchange: Exchange {
                id: "7".into(),
                vm: 2,
                sent: at(sent_ms),
                whole: Some(at(sent_ms)),
                ended: at(ended_ms),
                work: Duration::from_secs(3),
                end: ExchangeEnd::Closed,
            },
            has_run: true,
        }
    }

    /// The rest of the body was sent so long after the SIGTERM, or never.
    fn whole_at(mut self, whole_ms: Option<u64>) -> Self {
        self.exchange.whole = whole_ms.map(|ms| self.asked + Duration::from_millis(ms));
        self
    }

    fn unrun(mut self) -> Self {
        self.has_run = false;
        self
    }

    fn ending(mut self, end: ExchangeEnd) -> Self {
        self.exchange.end = end;
        self
    }

    fn judge(self, stopped_vm: usize) -> Losses {
        let runs = self.has_run.then(|| (self.exchange.id.clone(), 1));
        let runs: HashMap<_, _> = runs.into_iter().collect();
        let stop = Stop {
            vm: stopped_vm,
            asked: self.asked,
            ended: self.asked + Duration::from_millis(5_200),
            code: Some(0),
        };
        judge(&[self.exchange], &[stop], &runs, GRACE)
    }
}

#[test]
fn a_request_that_runs_when_its_node_stops_is_lost() {
    let losses = Case::closed(2_440, 5_200).judge(2);
    assert_eq!(losses.by_stop.len(), 1);
    assert_eq!(
        losses.by_stop[0].sent_after,
        Some(Duration::from_millis(2_440))
    );
}

#[test]
fn a_request_that_was_read_and_dropped_is_lost() {
    assert_eq!(Case::closed(2_000, 2_600).unrun().judge(2).by_stop.len(), 1);
}

#[test]
fn a_request_that_crosses_the_close_is_not_lost() {
    let losses = Case::closed(2_500, 2_600).unrun().judge(2);
    assert_eq!((losses.by_stop.len(), losses.crossed), (0, 1));
}

#[test]
fn work_in_the_last_sixth_of_the_grace_period_is_excused_if_sent_early() {
    // Work of 3 s: until 8.4 s after the SIGTERM, beyond five sixths of 10 s.
    let mut early = Case::closed(2_900, 9_000);
    early.exchange.work = Duration::from_millis(5_500);
    assert_eq!(early.judge(2), Losses::default());
    let mut late = Case::closed(3_100, 9_000);
    late.exchange.work = Duration::from_millis(5_500);
    assert_eq!(late.judge(2).by_stop.len(), 1);
}

#[test]
fn a_request_lost_by_a_node_that_does_not_stop_counts_elsewhere() {
    let losses = Case::closed(1_000, 3_000).judge(5);
    assert_eq!((losses.by_stop.len(), losses.elsewhere.len()), (0, 1));
}

#[test]
fn a_refusal_of_a_request_that_ran_is_false() {
    let refused = || Case::closed(100, 200).ending(ExchangeEnd::Refused);
    assert_eq!(refused().judge(2).false_refusals, 1);
    assert_eq!(refused().unrun().judge(2).false_refusals, 0);
    let unknown = Case::closed(100, 200).ending(ExchangeEnd::Unknown);
    assert_eq!(unknown.judge(2).unknown, 1);
    let late = Case::closed(100, 5_090).ending(ExchangeEnd::Unknown);
    assert_eq!(late.judge(2).unknown, 0, "the timeout of the route");
    let just_before = Case::closed(100, 5_040).ending(ExchangeEnd::Unknown);
    assert_eq!(just_before.judge(2).unknown, 1);
}

#[test]
fn work_times_have_the_stated_mean_and_maximum() {
    let mut rng = SmallRng::seed_from_u64(1);
    let times: Vec<_> = (0..20_000)
        .map(|_| WorkTimes::new(1.6).draw(&mut rng))
        .collect();
    let mean = times.iter().sum::<Duration>() / 20_000;
    // 300 ms, of which one in a hundred takes five times as long, on upstreams 1.0 to 1.6 times as slow.
    assert!((380..430).contains(&mean.as_millis()), "{mean:?}");
    let longest = times.iter().max().unwrap();
    assert!(
        (2_200..=3_520).contains(&longest.as_millis()),
        "{longest:?}"
    );
}

/// A request counts as sent when its last byte is.
#[test]
fn a_late_body_counts_from_its_end() {
    let case = || Case::closed(3_000, 8_700);
    let late = case().whole_at(Some(5_500)).judge(2);
    assert_eq!(
        late.by_stop[0].sent_after,
        Some(Duration::from_millis(5_500))
    );
    let crossed = case().whole_at(Some(8_600)).unrun();
    assert_eq!(crossed.judge(2).crossed, 1);
    let incomplete = case().whole_at(None).unrun();
    assert_eq!(incomplete.judge(2), Losses::default());
}
