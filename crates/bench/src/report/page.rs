//! HTML page with machine, commit, plots and tables.

use std::collections::BTreeMap;

use crate::report::{Chart, Line, Record};

/// Contents of the page.
#[derive(Clone, Debug)]
pub(crate) struct Page {
    /// Machine on which the results were measured.
    pub(crate) machine: String,
    /// Measured commit.
    pub(crate) commit: String,
    pub(crate) records: Vec<Record>,
}

impl Page {
    /// Returns the page as HTML without external resources.
    pub(crate) fn html(&self) -> String {
        let mut html = String::from(HTML_HEAD);
        html.push_str(&format!(
            "<p>Machine: {}. Commit: {}. Runs: {}.</p>\n",
            escape(&self.machine),
            escape(&self.commit),
            self.records.len()
        ));
        for (heading, text, charts) in self.sections() {
            let drawn: Vec<String> = charts.iter().filter_map(Chart::svg).collect();
            if drawn.is_empty() {
                continue;
            }
            html.push_str(&format!("<h2>{heading}</h2>\n<p>{text}</p>\n"));
            for svg in drawn {
                html.push_str(&format!("<figure>{svg}</figure>\n"));
            }
        }
        html.push_str(&self.table(
            "Convergence: all runs",
            CONVERGE_FIELDS,
            Record::is_converge,
        ));
        html.push_str(&self.table("Calls: all runs", SERVICE_FIELDS, Record::is_service));
        html.push_str("</body></html>\n");
        html
    }

    fn sections(&self) -> Vec<(&'static str, &'static str, Vec<Chart>)> {
        vec![
            (
                "Time until a release note is in force",
                "99th percentile over nodes and notes, without faults; the limit is 8,000 ms.",
                vec![self.by_nodes("p99_ms", "ms")],
            ),
            (
                "Control bytes",
                "Bytes sent and received per node and note, without faults.",
                vec![self.by_nodes("bytes_per_node_note", "bytes")],
            ),
            (
                "Goodput over offered load",
                "Good answers per second; load as a multiple of the capacity of the upstreams.",
                self.by_load(),
            ),
            (
                "Drain and restore of a failure domain",
                "Share of calls with a good answer and maximum latency of good answers, per time \
                 bucket; the drain order is published after a third of the run.",
                self.over_time(&["domain-leave", "domain-return"]),
            ),
            (
                "Failure of a failure domain",
                "The same values; all processes of the domain are killed after a third of the run.",
                self.over_time(&["domain-death"]),
            ),
        ]
    }

    fn by_nodes(&self, field: &str, unit: &str) -> Chart {
        let runs = self.records.iter().filter(|record| record.is_converge());
        let fault_free = runs.filter(|record| matches!(record.text("fault"), "" | "none"));
        Chart {
            title: format!("{field} by fleet size"),
            x: "nodes".into(),
            y: format!("{field} ({unit})"),
            lines: lines(fault_free, |record| {
                Some((record.number("nodes")?, record.number(field)?))
            }),
        }
    }

    fn by_load(&self) -> Vec<Chart> {
        let chart = |deployment: &str| {
            let runs = self.records.iter().filter(|record| record.is_service());
            let matching = runs.filter(|record| record.text("deployment") == deployment);
            let fault_free =
                matching.filter(|record| matches!(record.text("fault"), "none" | "overload"));
            Chart {
                title: format!("Goodput, {deployment}"),
                x: "offered load (multiples of capacity)".into(),
                y: "good answers per second".into(),
                lines: lines(fault_free, |record| {
                    Some((record.number("load")?, good_rate(record)?))
                }),
            }
        };
        self.deployments().into_iter().map(chart).collect()
    }

    fn over_time(&self, faults: &[&str]) -> Vec<Chart> {
        let mut charts = Vec::new();
        for deployment in self.deployments() {
            for &fault in faults {
                let runs = self.records.iter().filter(|record| {
                    record.text("fault") == fault && record.text("deployment") == deployment
                });
                let runs: Vec<&Record> = runs.collect();
                charts.push(Chart {
                    title: format!("{fault}, {deployment}: share of good answers"),
                    x: "time (s)".into(),
                    y: "share".into(),
                    lines: runs.iter().map(|run| series(run, good_share)).collect(),
                });
                charts.push(Chart {
                    title: format!("{fault}, {deployment}: maximum latency of good answers"),
                    x: "time (s)".into(),
                    y: "ms".into(),
                    lines: runs
                        .iter()
                        .map(|run| series(run, |b| b.number("max_ms")))
                        .collect(),
                });
            }
        }
        charts
    }

    fn deployments(&self) -> Vec<&str> {
        let runs = self.records.iter().filter(|record| record.is_service());
        let names = runs.map(|record| (record.text("deployment"), ()));
        names.collect::<BTreeMap<_, _>>().into_keys().collect()
    }

    fn table(&self, heading: &str, fields: &[&str], is_included: fn(&Record) -> bool) -> String {
        let rows: Vec<&Record> = self
            .records
            .iter()
            .filter(|record| is_included(record))
            .collect();
        if rows.is_empty() {
            return String::new();
        }
        let cells = |tag: &str, cells: Vec<String>| {
            let cells = cells
                .iter()
                .map(|cell| format!("<{tag}>{}</{tag}>", escape(cell)));
            format!("<tr>{}</tr>\n", cells.collect::<String>())
        };
        let names = fields.iter().map(|field| field.replace('_', " "));
        let head = cells("th", names.collect());
        let body = rows.iter().map(|row| {
            let scalars = row.scalars();
            let value = |field: &&str| scalars.get(*field).cloned().unwrap_or_default();
            cells("td", fields.iter().map(value).collect())
        });
        let body: String = body.collect();
        format!("<h2>{heading}</h2>\n<table>{head}{body}</table>\n")
    }
}

const HTML_HEAD: &str = "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
<title>wagtaillever: measurements</title>\n<style>\
body{font:15px/1.5 sans-serif;max-width:1100px;margin:2em auto;padding:0 1em;color:#222}\
table{border-collapse:collapse;font-size:12px;display:block;overflow-x:auto}\
th,td{border:1px solid #ccc;padding:2px 6px;text-align:right;white-space:nowrap}\
th{background:#f2f2f2}figure{margin:1em 0}svg{max-width:100%;height:auto}</style></head>\n\
<body><h1>wagtaillever: measurements</h1>\n";

const CONVERGE_FIELDS: &[&str] = &[
    "nodes",
    "domains",
    "services",
    "fault",
    "baseline",
    "seed",
    "p50_ms",
    "p99_ms",
    "max_ms",
    "bytes_per_node_note",
    "idle_bytes_per_node_s",
    "platform_peak_reads_s",
    "cpu_percent_per_node",
    "rss_mb_per_node",
    "regressions",
    "not_in_force",
    "split_verdicts",
];

const SERVICE_FIELDS: &[&str] = &[
    "deployment",
    "fault",
    "baseline",
    "seed",
    "load",
    "offered",
    "good",
    "goodput_ratio",
    "p50_ms",
    "p99_ms",
    "added_p99_ms",
    "attempts_per_call",
    "refused",
    "unknown",
    "wrong",
    "cut",
    "ran_twice",
    "false_did_not_run",
    "misrouted",
    "over_limit",
    "swamped",
    "upstreams_crashed",
    "last_new_work_ms",
];

/// Returns one line per variant, with points in ascending order of x and the median y of all runs
/// with the same x.
fn lines<'a>(
    records: impl Iterator<Item = &'a Record>,
    point: impl Fn(&Record) -> Option<(f64, f64)>,
) -> Vec<Line> {
    let mut groups: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
    for record in records {
        if let Some(point) = point(record) {
            groups.entry(record.variant()).or_default().push(point);
        }
    }
    let line = |(label, points): (&str, Vec<(f64, f64)>)| Line {
        label: label.to_string(),
        points: medians(points),
    };
    groups.into_iter().map(line).collect()
}

fn medians(mut points: Vec<(f64, f64)>) -> Vec<(f64, f64)> {
    points.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)));
    let runs = points.chunk_by(|a, b| a.0 == b.0);
    runs.map(|run| run[run.len() / 2]).collect()
}

fn series(run: &Record, value: impl Fn(&Record) -> Option<f64>) -> Line {
    let buckets = run.series();
    let points = buckets
        .iter()
        .filter_map(|bucket| Some((bucket.number("at_ms")? / 1e3, value(bucket)?)));
    Line {
        label: run.variant().to_string(),
        points: points.collect(),
    }
}

fn good_share(bucket: &Record) -> Option<f64> {
    let offered = bucket.number("offered")?;
    (offered > 0.0).then(|| bucket.number("good").unwrap_or(0.0) / offered)
}

/// Returns the good answers per second over the time that the buckets cover.
fn good_rate(run: &Record) -> Option<f64> {
    let buckets = run.series();
    let good: f64 = buckets
        .iter()
        .filter_map(|bucket| bucket.number("good"))
        .sum();
    let start_ms = |bucket: &Record| bucket.number("at_ms");
    let width = start_ms(buckets.get(1)?)? - start_ms(buckets.first()?)?;
    let span = start_ms(buckets.last()?)? + width;
    Some(good * 1e3 / span)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
