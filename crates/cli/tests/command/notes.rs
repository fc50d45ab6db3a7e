//! Commands that work on files.

use std::{fs, path::PathBuf};

use serde_json::json;
use tempfile::TempDir;

use crate::run::run;

fn example(number: u32) -> String {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/notes");
    folder.join(format!("{number}.yaml")).display().to_string()
}

fn file(folder: &TempDir, name: &str, text: &str) -> String {
    let path = folder.path().join(name);
    fs::write(&path, text).unwrap();
    path.display().to_string()
}

#[actix_web::test]
async fn the_example_notes_are_valid() {
    let notes = [1, 2, 3].map(example);
    let checked = run(["note", "check"]
        .into_iter()
        .chain(notes.iter().map(String::as_str)))
    .await;
    checked.code(0).shows("3.yaml: note 3 is valid");
}

#[actix_web::test]
async fn a_fault_is_shown_with_line_and_rule() {
    let folder = TempDir::new().unwrap();
    let bad = file(
        &folder,
        "bad.yaml",
        "note: 2\nservices:\n  withdraw:\n    - balances\n",
    );
    let checked = run(["note", "check", &example(1), &bad]).await;
    checked
        .code(3)
        .shows("1.yaml: note 1 is valid")
        .shows("bad.yaml: refused: line 4: service balances is withdrawn but route balances still needs it (rule in-use)");
    let checked = run(["note", "check", "--json", &example(1), &bad])
        .await
        .code(3);
    let fault = json!({
        "rule": "in-use", "line": 4,
        "reason": "service balances is withdrawn but route balances still needs it",
    });
    assert_eq!(checked.json()[1]["fault"], fault);
}

#[actix_web::test]
async fn a_note_without_its_base_is_checked_for_form() {
    let checked = run(["note", "check", &example(3)]).await.code(0);
    checked.shows("the form of note 3 is valid");
    run(["note", "check", "/nowhere.yaml"])
        .await
        .code(1)
        .warns("/nowhere.yaml: can't be read");
}

#[actix_web::test]
async fn notes_fold_into_a_base_that_others_build_on() {
    let folder = TempDir::new().unwrap();
    let out = folder.path().join("out").display().to_string();
    let gap = run(["note", "fold", "--out", &out, &example(1), &example(3)]).await;
    gap.code(1).warns("note 2 is missing");
    let folded = run([
        "note",
        "fold",
        "--out",
        &out,
        "--json",
        &example(2),
        &example(1),
    ])
    .await;
    let folded = folded.code(0).json();
    assert_eq!(folded["sequence"], 2);
    let base = folded["files"][0].as_str().unwrap();
    run(["note", "check", "--base", base, &example(3)])
        .await
        .code(0)
        .shows("note 3 is valid");
    let diff = run(["note", "diff", base, &example(3)]).await.code(0);
    diff.shows("from note 2 to note 3")
        .shows("~ route balances timeout_ms: 2000 -> 3000")
        .shows("- upstream balances-1");
    let next = folder.path().join("next").display().to_string();
    run(["note", "fold", "--base", base, "--out", &next, &example(3)])
        .await
        .code(0);
    let newer = format!("{next}/base.json");
    let diff = run(["note", "diff", "--json", base, &newer])
        .await
        .code(0)
        .json();
    assert_eq!(
        diff["upstreams"]["changed"]["balances-2"]["to"]["slots"],
        10
    );
}

#[actix_web::test]
async fn a_refused_note_uses_up_its_number_in_the_fold() {
    let folder = TempDir::new().unwrap();
    let bad = file(&folder, "1.yaml", "not a note");
    let good = file(&folder, "2.yaml", "note: 2\nservices: {add: [{name: a}]}\n");
    let out = folder.path().display().to_string();
    let folded = run(["note", "fold", "--out", &out, &bad, &good]).await;
    folded
        .code(0)
        .shows("note 1 is refused: line 1")
        .shows("all notes up to 2");
}

#[actix_web::test]
async fn completions_are_printed() {
    run(["completions", "bash"])
        .await
        .code(0)
        .shows("complete -F _wagtaillever");
}

/// Returns a note that adds a service with so many upstreams of long names.
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
async fn a_large_base_is_written_and_read_in_parts() {
    let folder = TempDir::new().unwrap();
    let notes = [1, 2].map(|number| {
        file(
            &folder,
            &format!("{number}.yaml"),
            &large_note(number, 2_000),
        )
    });
    let out = folder.path().join("out").display().to_string();
    let folded = run([
        "note", "fold", "--json", "--out", &out, &notes[0], &notes[1],
    ])
    .await;
    let folded = folded.code(0).json();
    assert_eq!(
        folded["files"].as_array().unwrap().len(),
        3,
        "{}",
        folded["files"]
    );
    let base = format!("{out}/base.json");
    let next = file(&folder, "3.yaml", "note: 3\nservices: {withdraw: [s1]}\n");
    let checked = run(["note", "check", "--base", &base, &next]).await.code(3);
    checked.shows("service s1 is withdrawn but upstream u1-00000");
    fs::remove_file(format!("{out}/base/1.json")).unwrap();
    let broken = run(["note", "check", "--base", &base, &next]).await;
    broken.code(1).warns("base/1.json: can't be read");
}
