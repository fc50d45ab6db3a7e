use super::{
    Abandoned, Pipeline,
    Repeat::{Allowed, Forbidden},
};

/// Guards against requests that run one after the other, and against more than the bound.
#[test]
fn repeatable_requests_start_up_to_the_capacity() {
    let mut pipeline = Pipeline::new(3);
    for _ in 0..3 {
        assert!(pipeline.accepts());
        assert!(pipeline.push(Allowed));
    }
    assert!(!pipeline.accepts());
    assert!(!pipeline.complete_first());
    assert!(pipeline.accepts());
}

/// Guards against a request that may run only once and whose response a close ahead of it drops.
#[test]
fn a_request_that_may_run_once_starts_only_as_the_first() {
    let mut pipeline = Pipeline::new(8);
    assert!(pipeline.push(Allowed));
    assert!(pipeline.push(Allowed));
    assert!(!pipeline.push(Forbidden));
    assert!(!pipeline.accepts(), "a second request would be held back");
    assert!(!pipeline.complete_first());
    assert!(pipeline.complete_first());
}

/// Guards against requests that overtake one that may run only once.
#[test]
fn requests_behind_one_that_may_run_once_wait_for_its_response() {
    for behind in [Allowed, Forbidden] {
        let mut pipeline = Pipeline::new(8);
        assert!(pipeline.push(Forbidden));
        assert!(!pipeline.push(behind));
        assert!(!pipeline.accepts());
        assert!(pipeline.complete_first());
        assert_eq!(pipeline.entries.len(), 1);
    }
}

/// Guards against a request that may run only once and is forwarded although the connection closes.
#[test]
fn a_close_abandons_only_requests_that_may_be_repeated() {
    let mut pipeline = Pipeline::new(8);
    for repeat in [Allowed, Allowed, Allowed, Forbidden] {
        pipeline.push(repeat);
    }
    let abandoned = Abandoned {
        started: 2,
        waiting: 1,
    };
    assert_eq!(pipeline.close(), abandoned);
    assert!(pipeline.is_empty() && !pipeline.accepts());
}

/// Guards against a planned stop that drops calls which upstreams already run.
#[test]
fn a_drain_ends_with_the_last_request_that_has_started() {
    let mut pipeline = Pipeline::new(8);
    for repeat in [Allowed, Allowed, Forbidden] {
        pipeline.push(repeat);
    }
    assert!(!pipeline.is_first_last());
    pipeline.drain();
    assert!(!pipeline.is_first_last());
    assert!(!pipeline.complete_first());
    assert!(pipeline.is_first_last());
    assert!(!pipeline.accepts());
}

/// Guards against a bound of zero, with which a connection would never be served.
#[test]
fn a_pipeline_always_accepts_one_request() {
    assert!(Pipeline::new(0).accepts());
}

/// Guards against a request that announces the end of its connection, waits for those before it, and is dropped
/// with their last response.
#[test]
fn the_end_serves_a_request_that_waits() {
    let mut pipeline = Pipeline::new(8);
    pipeline.push(Allowed);
    pipeline.push(Forbidden);
    pipeline.end();
    assert!(!pipeline.accepts() && !pipeline.is_first_last());
    assert!(pipeline.complete_first());
    assert!(pipeline.is_first_last());
}
