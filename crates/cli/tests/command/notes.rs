//! Tests of the commands that read and write files.

use std::{fs, path::PathBuf};

use serde_json::json;
use tempfile::TempDir;

use crate::run::run;

fn example_path(number: u32) -> String {
    let directory = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/notes");
    directory
        .join(format!("{number}.yaml"))
        .display()
        .to_string()
}

fn write_file(directory: &TempDir, name: &str, text: &str) -> String {
    let path = directory.path().join(name);
    fs::write(&path, text).unwrap();
    path.display().to_string()
}

#[actix_web::test]
async fn the_example_notes_are_valid() {
    let notes = [1, 2, 3].map(example_path);
    let checked = run(["note", "check"]
        .into_iter()
        .chain(notes.iter().map(String::as_str)))
    .await;
    checked.exits_with(0).prints("3.yaml: note 3 is valid");
}

#[actix_web::test]
async fn a_refusal_names_the_line_and_the_rule() {
    let directory = TempDir::new().unwrap();
    let bad = write_file(
        &directory,
        "bad.yaml",
        "note: 2\nservices:\n  withdraw:\n    - balances\n",
    );
    let checked = run(["note", "check", &example_path(1), &bad]).await;
    checked
        .exits_with(3)
        .prints("1.yaml: note 1 is valid")
        .prints("bad.yaml: refused: line 4: service balances is withdrawn but route balances still needs it (rule in-use)");
    let checked = run(["note", "check", "--json", &example_path(1), &bad])
        .await
        .exits_with(3);
    let fault = json!({
        "rule": "in-use", "line": 4,
        "reason": "service balances is withdrawn but route balances still needs it",
    });
    assert_eq!(checked.json()[1]["fault"], fault);
}

#[actix_web::test]
async fn a_note_without_a_base_is_checked_for_syntax() {
    let checked = run(["note", "check", &example_path(3)]).await.exits_with(0);
    checked.prints("the syntax of note 3 is valid");
    run(["note", "check", "/nowhere.yaml"])
        .await
        .exits_with(1)
        .prints_error("failed to read /nowhere.yaml:");
}

#[actix_web::test]
async fn later_notes_apply_to_a_folded_base() {
    let directory = TempDir::new().unwrap();
    let out = directory.path().join("out").display().to_string();
    let gap = run([
        "note",
        "fold",
        "--out",
        &out,
        &example_path(1),
        &example_path(3),
    ])
    .await;
    gap.exits_with(1).prints_error("note 2 is missing");
    let folded = run([
        "note",
        "fold",
        "--out",
        &out,
        "--json",
        &example_path(2),
        &example_path(1),
    ])
    .await;
    let folded = folded.exits_with(0).json();
    assert_eq!(folded["sequence"], 2);
    let base = folded["files"][0].as_str().unwrap();
    run(["note", "check", "--base", base, &example_path(3)])
        .await
        .exits_with(0)
        .prints("note 3 is valid");
    let diff = run(["note", "diff", base, &example_path(3)])
        .await
        .exits_with(0);
    diff.prints("from note 2 to note 3")
        .prints("~ route balances timeout_ms: 2000 -> 3000")
        .prints("- upstream balances-1");
    let next = directory.path().join("next").display().to_string();
    run([
        "note",
        "fold",
        "--base",
        base,
        "--out",
        &next,
        &example_path(3),
    ])
    .await
    .exits_with(0);
    let newer = format!("{next}/base.json");
    let diff = run(["note", "diff", "--json", base, &newer])
        .await
        .exits_with(0)
        .json();
    assert_eq!(
        diff["upstreams"]["changed"]["balances-2"]["to"]["slots"],
        10
    );
}

#[actix_web::test]
async fn fold_skips_the_number_of_a_refused_note() {
    let directory = TempDir::new().unwrap();
    let bad = write_file(&directory, "1.yaml", "not a note");
    let good = write_file(
        &directory,
        "2.yaml",
        "note: 2\nservices: {add: [{name: a}]}\n",
    );
    let out = directory.path().display().to_string();
    let folded = run(["note", "fold", "--out", &out, &bad, &good]).await;
    folded
        .exits_with(0)
        .prints("note 1 is refused: line 1")
        .prints("all notes up to 2");
}

#[actix_web::test]
async fn completions_are_printed() {
    run(["completions", "bash"])
        .await
        .exits_with(0)
        .prints("complete -F _wagtaillever");
}

/// Returns a note that adds a service with the given number of upstreams, which have long names.
fn large_note(number: u64, upstreams: u64) -> String {
    let mut text =
        format!("note: {number}\nservices: {{add: [{{name: s{number}}}]}}\nupstreams:\n  add:\n");
    for upstream in 0..upstreams {
        let name = format!("u{number}-{upstream:05}-{}", "x".repeat(48));
        text.push_str(&format!(
            "    - {{name: {name}, service: s{number}, vm: {name}, domain: d, address: '10.0.0.1:1', slots: 1, connections: 1}}\n"
        ));
    }
    text
}

#[actix_web::test]
async fn a_large_base_is_split_into_parts() {
    let directory = TempDir::new().unwrap();
    let notes = [1, 2].map(|number| {
        write_file(
            &directory,
            &format!("{number}.yaml"),
            &large_note(number, 2_000),
        )
    });
    let out = directory.path().join("out").display().to_string();
    let folded = run([
        "note", "fold", "--json", "--out", &out, &notes[0], &notes[1],
    ])
    .await;
    let folded = folded.exits_with(0).json();
    assert_eq!(
        folded["files"].as_array().unwrap().len(),
        3,
        "{}",
        folded["files"]
    );
    let base = format!("{out}/base.json");
    let next = write_file(
        &directory,
        "3.yaml",
        "note: 3\nservices: {withdraw: [s1]}\n",
    );
    let checked = run(["note", "check", "--base", &base, &next])
        .await
        .exits_with(3);
    checked.prints("service s1 is withdrawn but upstream u1-00000");
    fs::remove_file(format!("{out}/base/1.json")).unwrap();
    let broken = run(["note", "check", "--base", &base, &next]).await;
    broken
        .exits_with(1)
        .prints_error(&format!("failed to read {out}/base/1.json:"));
}

/// Guards against a review of a note that hides who gets or loses access.
#[actix_web::test]
async fn the_difference_names_organisations_and_limits() {
    let directory = TempDir::new().unwrap();
    let base = r#"{"sequence": 1, "services": {}, "routes": {}, "upstreams": {},
        "organisations": {"acme": {"name": "acme", "digests": []}}}"#;
    let base = write_file(&directory, "base.json", base);
    let note = write_file(
        &directory,
        "2.yaml",
        "note: 2\norganisations:\n  add: [{name: bolt, digests: [], priority: 1}]\n  withdraw: [acme]\n\
         caller_limits: {header_bytes: 1, body_bytes: 2, header_timeout_ms: 3, idle_timeout_ms: 4}\n",
    );
    run(["note", "diff", &base, &note])
        .await
        .exits_with(0)
        .prints("+ organisation bolt")
        .prints("- organisation acme")
        .prints("+ limits callers");
}
