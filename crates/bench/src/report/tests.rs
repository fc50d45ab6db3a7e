use super::*;

fn record(json: &str) -> Record {
    serde_json::from_str(json).unwrap()
}

fn page(records: &[&str]) -> String {
    let page = Page {
        machine: "a <machine>".into(),
        commit: "abc".into(),
        records: records.iter().map(|json| record(json)).collect(),
    };
    page.html()
}

#[test]
fn results_are_shown_in_plots_and_tables() {
    let html = page(&[
        r#"{"nodes": 25, "fault": "none", "baseline": "", "p99_ms": 40.5, "bytes_per_node_note": 900}"#,
        r#"{"nodes": 50, "fault": "none", "baseline": "", "p99_ms": 44.5, "bytes_per_node_note": 950}"#,
        r#"{"nodes": 50, "fault": "none", "baseline": "all-watch", "p99_ms": 90.0, "bytes_per_node_note": 990}"#,
    ]);
    assert_eq!(html.matches("<svg").count(), 2);
    assert!(html.contains("all-watch"));
    assert!(html.contains("<td>44.50</td>"));
    assert!(html.contains("a &lt;machine&gt;"));
}

#[test]
fn a_page_without_results_has_no_plots() {
    assert_eq!(page(&[]).matches("<svg").count(), 0);
}

#[test]
fn errors_name_the_line_of_an_invalid_result() {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), "{\"nodes\": 1}\nnot json\n").unwrap();
    let err = Record::read(file.path()).unwrap_err();
    assert!(err.to_string().contains("line 2"), "{err}");
}
