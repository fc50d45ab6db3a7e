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
fn snapshot_round_trips_a_configuration() {
    let config = config(300);
    let text = SnapshotCache::default().compressed(&config);
    assert_eq!(decompress(&text).unwrap(), config);
}

/// Load pattern: many changes to a configuration of hundreds of routes, which inner nodes forward
/// to eight children over low-bandwidth links.
#[test]
fn snapshot_of_hundreds_of_routes_is_under_a_quarter_of_its_json() {
    let config = config(300);
    let plain = serde_json::to_vec(&config).unwrap().len();
    let text = SnapshotCache::default().compressed(&config);
    assert!(text.len() * 4 < plain, "{} of {plain}", text.len());
}

#[test]
fn snapshot_is_compressed_once_per_sequence() {
    let mut text = SnapshotCache::default();
    let first = text.compressed(&config(3));
    assert!(Arc::ptr_eq(&first, &text.compressed(&config(3))));
    assert!(!Arc::ptr_eq(&first, &text.compressed(&config(4))));
}

#[test]
fn invalid_snapshots_are_refused() {
    assert!(decompress(b"").is_err());
    assert!(decompress(b"{\"sequence\":1}").is_err());
    let text = SnapshotCache::default().compressed(&config(300));
    assert!(decompress(&text[..text.len() / 2]).is_err());
}
