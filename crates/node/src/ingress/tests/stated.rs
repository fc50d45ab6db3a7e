//! Upstreams that state in their answers that they are leaving.

use super::*;

/// Calls after the statement, of which about half went to the upstream before.
const CALLS: usize = 40;

fn leaving_sidecar() -> FakeSidecar {
    FakeSidecar::new(|mut call| {
        async move {
            while let Ok(Some(_)) = call.reader.read_bytes().await {}
            let mut head = answer_head(Some(0));
            if let crate::wire::ReplyHead::Answer { headers, .. } = &mut head {
                headers.push(("x-leaving".into(), b"1".to_vec()));
            }
            call.writer.write_frame(&head).await.unwrap();
            call.writer.finish().unwrap();
        }
        .boxed_local()
    })
}

/// Guards against new work for an upstream that left, after a restart of the node beside it: only
/// the nodes that passed its answers on still know that it is leaving.
#[actix_rt::test]
async fn an_upstream_that_stated_it_is_leaving_is_not_chosen_again() {
    let fixture = Fixture::start(TWO_UPSTREAMS, |name| match name {
        "a1" => leaving_sidecar(),
        _ => hello_sidecar(),
    })
    .await;
    let calls_to_leaving = || {
        let heads = fixture.heads();
        heads.iter().filter(|head| head.upstream == "a1").count()
    };
    while calls_to_leaving() == 0 {
        fixture.get("/x").await.assert_status(200);
    }
    for _ in 0..CALLS {
        fixture.get("/x").await.assert_status(200);
    }
    assert_eq!(calls_to_leaving(), 1);
}

/// Guards against calls that wait although no upstream may get them.
#[actix_rt::test]
async fn calls_are_refused_at_once_when_all_upstreams_are_leaving() {
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| leaving_sidecar()).await;
    let first = fixture.get("/x").await;
    first.assert_status(200).assert_header("x-leaving", "1");
    let second = fixture.get("/x").await;
    second
        .assert_status(503)
        .assert_header("x-outcome", "did-not-run");
    assert!(second.contains_line("retry-after"));
    assert_eq!(fixture.heads().len(), 1);
}
