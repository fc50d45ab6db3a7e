use super::*;
use crate::config::{Route, Service};

fn config(routes: u64) -> Config {
    let mut config = Config {
        sequence: Sequence(routes),
        ..Config::default()
    };
    let service = Service::with_name("s".into());
    config.services.insert("s".into(), Arc::new(service));
    for number in 0..routes {
        let name = format!("r-{number}");
        let path = format!("/path-{number}/");
        let route = Route::for_service(name.as_str().into(), path, "s".into(), 1_000);
        config.routes.insert(name.into(), Arc::new(route));
    }
    config
}

#[test]
fn a_configuration_comes_out_as_it_went_in() {
    let config = config(300);
    let text = SnapshotText::default().of(&config);
    assert_eq!(expand(&text).unwrap(), config);
}

/// Load pattern: a storm of configurations of hundreds of routes, which inner nodes pass on to
/// eight others over small links.
#[test]
fn hundreds_of_routes_take_a_fraction_of_their_text() {
    let config = config(300);
    let plain = serde_json::to_vec(&config).unwrap().len();
    let text = SnapshotText::default().of(&config);
    assert!(text.len() * 4 < plain, "{} of {plain}", text.len());
}

#[test]
fn a_text_is_made_once_for_each_sequence() {
    let mut text = SnapshotText::default();
    let first = text.of(&config(3));
    assert!(Arc::ptr_eq(&first, &text.of(&config(3))));
    assert!(!Arc::ptr_eq(&first, &text.of(&config(4))));
}

#[test]
fn bytes_that_are_no_snapshot_are_refused() {
    assert!(expand(b"").is_err());
    assert!(expand(b"{\"sequence\":1}").is_err());
    let text = SnapshotText::default().of(&config(300));
    assert!(expand(&text[..text.len() / 2]).is_err());
}
