use std::collections::BTreeMap;

use assert_matches::assert_matches;
use proptest::prelude::*;

use super::*;
use crate::{UpstreamName, UpstreamSpec, VmName};

/// Configuration with one service and upstreams `(name, failure domain)`.
struct Case {
    config: Config,
    service: ServiceName,
}

impl Case {
    fn new(upstreams: &[(&str, &str)]) -> Self {
        let service = ServiceName::from("invoicing");
        let mut config = Config::default();
        for (index, &(name, domain)) in upstreams.iter().enumerate() {
            let upstream = UpstreamSpec {
                name: UpstreamName::from(name),
                service: service.clone(),
                vm: VmName::from(format!("vm-{name}")),
                domain: DomainName::from(domain),
                address: format!("127.0.0.1:{}", 7000 + index).parse().unwrap(),
                slots: 12,
                connections: 120,
                start: None,
            };
            config
                .upstreams
                .insert(upstream.name.clone(), Arc::new(upstream));
        }
        Self { config, service }
    }

    fn owner(&self, key: &IdempotencyKey) -> Option<String> {
        key_owner(&self.config, &self.service, key).map(|upstream| upstream.name.to_string())
    }

    fn without(&self, name: &str) -> Self {
        let mut config = self.config.clone();
        config.upstreams.remove(name);
        Self {
            config,
            service: self.service.clone(),
        }
    }
}

fn key(domain: &str, number: u64) -> IdempotencyKey {
    let id =
        uuid::Builder::from_unix_timestamp_millis(number, &number.to_ten_be_bytes()).into_uuid();
    let prefix = if domain.is_empty() {
        String::new()
    } else {
        format!("{domain}.")
    };
    IdempotencyKey::parse(&format!("{prefix}{id}")).unwrap()
}

trait TenBytes {
    fn to_ten_be_bytes(&self) -> [u8; 10];
}

impl TenBytes for u64 {
    fn to_ten_be_bytes(&self) -> [u8; 10] {
        let mut bytes = [0; 10];
        bytes[2..].copy_from_slice(&self.to_be_bytes());
        bytes
    }
}

const UPSTREAMS: &[(&str, &str)] = &[
    ("a", "ragusa"),
    ("b", "ragusa"),
    ("c", "modica"),
    ("d", "modica"),
    ("e", "vittoria"),
];

#[test]
fn other_forms_are_malformed() {
    for text in [
        "",
        "x",
        ".",
        "modica.",
        "a81bc81b-dead-4e5d-abff-90865d1e13b1",
    ] {
        assert_matches!(
            IdempotencyKey::parse(text),
            Err(KeyError::Malformed),
            "{text}"
        );
    }
    let id = uuid::Builder::from_unix_timestamp_millis(5, &[0; 10]).into_uuid();
    assert_matches!(IdempotencyKey::parse(&format!(".{id}")), Err(_));
}

#[test]
fn different_spellings_of_a_key_are_equal() {
    let id = uuid::Builder::from_unix_timestamp_millis(1_700_000_000_000, &[9; 10]).into_uuid();
    let plain = IdempotencyKey::parse(&format!("modica.{id}")).unwrap();
    let upper = IdempotencyKey::parse(&format!(
        "modica.{}",
        id.simple().to_string().to_uppercase()
    ));
    assert_eq!(Ok(&plain), upper.as_ref());
    assert_eq!(plain.created_ms(), 1_700_000_000_000);
    assert_eq!(plain.domain().map(DomainName::as_str), Some("modica"));
}

#[test]
fn a_service_without_upstreams_has_no_owner() {
    assert_eq!(Case::new(&[]).owner(&key("modica", 1)), None);
}

#[test]
fn a_domain_without_upstreams_falls_back_to_all() {
    assert!(Case::new(UPSTREAMS).owner(&key("elsewhere", 1)).is_some());
}

#[test]
fn keys_are_distributed_over_all_upstreams() {
    let case = Case::new(UPSTREAMS);
    let mut counts = BTreeMap::new();
    for number in 0..5000 {
        *counts
            .entry(case.owner(&key("", number)).unwrap())
            .or_insert(0) += 1;
    }
    assert_eq!(counts.len(), UPSTREAMS.len());
    assert!(counts.values().all(|&count| count > 800), "{counts:?}");
}

proptest! {
    #[test]
    fn the_owner_is_within_the_domain_of_the_key(number in 0_u64..1 << 40) {
        let case = Case::new(UPSTREAMS);
        let owner = case.owner(&key("modica", number)).unwrap();
        prop_assert!(["c", "d"].contains(&owner.as_str()));
    }

    #[test]
    fn removing_an_upstream_moves_only_its_keys(number in 0_u64..1 << 40, removed in 0..5_usize) {
        let removed = UPSTREAMS[removed].0;
        let case = Case::new(UPSTREAMS);
        let before = case.owner(&key("", number)).unwrap();
        let after = case.without(removed).owner(&key("", number)).unwrap();
        prop_assert!(before == removed || before == after);
    }
}
