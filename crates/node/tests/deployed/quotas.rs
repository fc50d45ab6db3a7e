//! Quotas of tenants over several nodes.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use serde_json::json;

use crate::{
    caller::Connection,
    fleet::{Fleet, wait_until},
};

const RATE: f64 = 20.0;
const BURST: f64 = 10.0;
/// Overage and slack that settings without a section `quota` have.
const OVERAGE: f64 = 0.25;
const SLACK: f64 = 20.0;

/// Starts nodes with one tenant that has a quota, and waits until all apply it.
async fn start(count: usize) -> Fleet {
    let services = vec!["orders"; count];
    let fleet = Fleet::start(&services).await;
    fleet.put_config_with(8, |config| {
        config["tenants"] = json!([
            {"name": "acme", "api_keys": ["key-of-acme"], "rate_per_s": RATE, "burst": BURST},
            {"name": "free", "api_keys": ["key-of-free"]},
        ]);
    });
    let is_in_force = || (0..count).all(|index| fleet.log(index).contains(" note=8 "));
    wait_until("the quota", is_in_force).await;
    fleet
}

/// Sends requests of a tenant to a node one after the other, and returns the numbers of those served
/// and of those refused with 429.
async fn load(fleet: &Fleet, index: usize, key: &str, time: Duration, pause: Duration) -> [u32; 2] {
    let mut connection = Connection::open(fleet.vms[index].callers()).await.unwrap();
    let end = Instant::now() + time;
    let mut counts = [0, 0];
    let mut number = 0;
    while Instant::now() < end {
        let request = format!(
            "POST /orders/w0 HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: quota-{index}-{number}\r\n\
             Authorization: Bearer {key}\r\nContent-Length: 4\r\n\r\nbody"
        );
        number += 1;
        let answer = connection.exchange(&request).await.unwrap();
        match answer.status {
            200 => counts[0] += 1,
            429 => {
                let after = answer
                    .retry_after
                    .as_ref()
                    .map(|after| after.parse::<f64>());
                assert!(
                    after.is_some_and(|after| after.unwrap() > 0.0),
                    "{answer:?}"
                );
                counts[1] += 1;
            }
            _ => panic!("{answer:?}"),
        }
        actix_rt::time::sleep(pause).await;
    }
    counts
}

/// Returns the largest number of requests that may run in a time.
fn max_requests(time: Duration) -> f64 {
    (RATE * time.as_secs_f64() + BURST) * (1.0 + OVERAGE) + SLACK
}

/// Guards against nodes that each allow the whole quota, against requests over it that run or get
/// another status than 429, and against limits for tenants without a quota.
#[actix_rt::test]
async fn two_nodes_keep_the_quota_together() {
    let fleet = start(3).await;
    let time = Duration::from_secs(6);
    let pause = Duration::from_millis(5);
    let loads = [
        load(&fleet, 0, "key-of-acme", time, pause),
        load(&fleet, 1, "key-of-acme", time, pause),
        load(&fleet, 2, "key-of-free", time, pause),
    ];
    let [first, second, free] = join_all(loads).await.try_into().unwrap();
    let served = f64::from(first[0] + second[0]);
    assert!(served <= max_requests(time), "{first:?} {second:?}");
    // The bucket is empty at first.
    assert!(served >= RATE * 4.0, "{first:?} {second:?}");
    assert!(first[1] > 0 && second[1] > 0, "{first:?} {second:?}");
    assert_eq!(free[1], 0);
    assert!(fleet.count_log_lines("quota used up") > 0);
}

/// Guards against a tenant that is refused within its quota because the node that counts it is gone.
#[actix_rt::test]
async fn nodes_go_on_after_their_shard_owner_was_killed() {
    let mut fleet = start(3).await;
    let pause = Duration::from_millis(200);
    let warm_up = Duration::from_secs(4);
    let warm = (0..3).map(|index| load(&fleet, index, "key-of-acme", warm_up, pause));
    join_all(warm).await;
    // Each shard has an owner; only the one of the tenant receives requests.
    let owner = fleet.quota_owner("acme");
    fleet.vms[owner].kill();
    let rest = (0..3).filter(|index| *index != owner);
    let time = Duration::from_secs(8);
    let loads = rest.map(|index| load(&fleet, index, "key-of-acme", time, pause));
    let loads = join_all(loads).await;
    let served: u32 = loads.iter().map(|counts| counts[0]).sum();
    let refused: u32 = loads.iter().map(|counts| counts[1]).sum();
    assert!(f64::from(served) <= max_requests(time), "{loads:?}");
    assert!(served > 5 * refused, "{loads:?}");
}
