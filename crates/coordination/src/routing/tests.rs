use proptest::prelude::*;

use super::*;
use crate::note::RouteSpec;

struct Case {
    config: Config,
}

fn case() -> Case {
    Case {
        config: Config::default(),
    }
}

impl Case {
    fn route(mut self, name: &str, path: &str, methods: &[Method]) -> Self {
        let route = RouteSpec {
            name: name.into(),
            path: path.into(),
            methods: methods.to_vec(),
            service: "s".into(),
            idempotent: None,
            timeout_ms: 1000,
            host: None,
            split: Vec::new(),
            attempts: None,
            target_ms: None,
            priority: 0,
            public: false,
        };
        self.config.routes.insert(name.into(), Arc::new(route));
        self
    }

    fn assert_route(self, method: Method, target: &str, expected: Option<&str>) -> Self {
        let table = RouteTable::new(&self.config);
        let found = table
            .find("", method, target)
            .map(|route| route.name.as_str());
        assert_eq!(found, expected, "{method:?} {target}");
        self
    }
}

#[test]
fn longest_prefix_of_complete_segments_wins() {
    case()
        .route("root", "/", &[])
        .route("a", "/a", &[])
        .route("ab", "/a/b/", &[])
        .assert_route(Method::Get, "/a/b/c?d=/x", Some("ab"))
        .assert_route(Method::Get, "/a/b", Some("ab"))
        .assert_route(Method::Get, "/a/bc", Some("a"))
        .assert_route(Method::Get, "/ab", Some("root"))
        .assert_route(Method::Get, "/", Some("root"))
        .assert_route(Method::Get, "/a?b=/a/b", Some("a"));
}

#[test]
fn prefix_without_the_method_falls_back_to_a_shorter_one() {
    case()
        .route("all", "/a", &[])
        .route("write", "/a/b", &[Method::Post])
        .assert_route(Method::Post, "/a/b", Some("write"))
        .assert_route(Method::Get, "/a/b", Some("all"))
        .assert_route(Method::Get, "/b", None);
}

fn linear_scan<'a>(config: &'a Config, method: Method, path: &str) -> Option<&'a Arc<Route>> {
    let segments = |text: &str| -> Vec<String> {
        let text = text.trim_end_matches('/');
        text.split('/').map(str::to_string).collect()
    };
    let wanted: Vec<String> = path.split('/').map(str::to_string).collect();
    config
        .routes
        .values()
        .filter(|route| is_match(route, method, path) && wanted.starts_with(&segments(&route.path)))
        .max_by_key(|route| segments(&route.path).len())
}

proptest! {
    #[test]
    fn table_agrees_with_linear_scan(
        paths in proptest::collection::btree_set("(/[ab]{1,2}){0,3}", 1..8),
        path in "(/[ab]{1,2}){0,4}/?",
        split in any::<u8>(),
    ) {
        let mut case = case();
        for (i, prefix) in paths.iter().enumerate() {
            let methods = if split >> (i % 8) & 1 == 0 { vec![] } else { vec![Method::Get] };
            case = case.route(&format!("r{i}"), &format!("{prefix}/"), &methods);
        }
        let table = RouteTable::new(&case.config);
        for method in [Method::Get, Method::Post] {
            let expected = linear_scan(&case.config, method, &path).map(|route| &route.name);
            prop_assert_eq!(table.find("", method, &path).map(|route| &route.name), expected);
        }
    }
}

#[test]
fn host_routes_take_precedence_over_routes_for_all_hosts() {
    let on = |mut case: Case, name: &str, path: &str, host: &str| {
        let mut route = Route::for_service(name.into(), path, "s".into(), 1_000);
        route.host = Some(host.into());
        case.config.routes.insert(name.into(), Arc::new(route));
        case
    };
    let case = on(
        case().route("any", "/a/b", &[]),
        "own",
        "/a/",
        "shop.example",
    );
    let table = RouteTable::new(&on(case, "deep", "/a/b/", "shop.example").config);
    let find = |host: &str, path: &str| {
        let route = table.find(host, Method::Get, path);
        route.map(|route| route.name.to_string())
    };
    assert_eq!(find("shop.example", "/a/x").as_deref(), Some("own"));
    assert_eq!(
        find("Shop.Example:8080", "/a/b/c?q=/").as_deref(),
        Some("deep")
    );
    assert_eq!(
        find("shop.example", "/a/b").as_deref(),
        Some("own"),
        "the path lacks the trailing slash of the prefix"
    );
    assert_eq!(find("other.example", "/a/b/c").as_deref(), Some("any"));
    assert_eq!(
        find("shop.example", "/a"),
        None,
        "the path is shorter than every prefix"
    );
}
