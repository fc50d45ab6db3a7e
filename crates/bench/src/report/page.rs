//! The page: what is measured, on which machine, plots and tables.

use std::collections::BTreeMap;

use crate::report::{Chart, Line, Record};

/// Everything that the page shows.
#[derive(Clone, Debug)]
pub(crate) struct Page {
    /// Machine on which the results were measured.
    pub(crate) machine: String,
    /// Commit that was measured.
    pub(crate) commit: String,
    /// Results.
    pub(crate) records: Vec<Record>,
}

impl Page {
    /// Returns the page as HTML without references to anything outside.
    pub(crate) fn html(&self) -> String {
        let mut html = String::from(HEAD);
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
                "Time for a release note to be in force",
                "99th percentile over nodes and notes, without faults; the bound is 8,000 ms.",
                vec![self.by_nodes("p99_ms", "ms")],
            ),
            (
                "Control bytes",
                "Bytes that one node sends and receives for one note, without faults.",
                vec![self.by_nodes("bytes_per_node_note", "bytes")],
            ),
            (
                "Goodput over offered load",
                "Good answers a second; load in multiples of what the upstreams can carry.",
                self.by_load(),
            ),
            (
                "A failure domain leaves and returns",
                "Share of calls with a good answer and slowest good answer, in slices of time; \
                 the order comes after a third of the run.",
                self.over_time(&["domain-leave", "domain-return"]),
            ),
            (
                "A failure domain dies unannounced",
                "The same; all its processes are killed after a third of the run.",
                self.over_time(&["domain-death"]),
            ),
        ]
    }

    fn by_nodes(&self, field: &str, unit: &str) -> Chart {
        let runs = self.records.iter().filter(|record| record.is_converge());
        let calm = runs.filter(|record| matches!(record.text("fault"), "" | "none"));
        Chart {
            title: format!("{field} by fleet size"),
            x: "nodes".into(),
            y: format!("{field} ({unit})"),
            lines: lines(calm, |record| {
                Some((record.number("nodes")?, record.number(field)?))
            }),
        }
    }

    fn by_load(&self) -> Vec<Chart> {
        let chart = |deployment: &str| {
            let runs = self.records.iter().filter(|record| record.is_service());
            let own = runs.filter(|record| record.text("deployment") == deployment);
            let calm = own.filter(|record| matches!(record.text("fault"), "none" | "overload"));
            Chart {
                title: format!("Goodput, {deployment}"),
                x: "offered load (multiples of capacity)".into(),
                y: "good answers a second".into(),
                lines: lines(calm, |record| {
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
                    title: format!("{fault}, {deployment}: slowest good answer"),
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

    fn table(&self, heading: &str, fields: &[&str], is_own: fn(&Record) -> bool) -> String {
        let rows: Vec<&Record> = self
            .records
            .iter()
            .filter(|record| is_own(record))
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
            let shown = row.shown();
            let value = |field: &&str| shown.get(*field).cloned().unwrap_or_default();
            cells("td", fields.iter().map(value).collect())
        });
        let body: String = body.collect();
        format!("<h2>{heading}</h2>\n<table>{head}{body}</table>\n")
    }
}

const HEAD: &str = "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
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

/// Groups points by what was measured, in the order of `x`; runs with one `x` give their median.
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

/// Good answers a second over the span that the slices cover.
fn good_rate(run: &Record) -> Option<f64> {
    let buckets = run.series();
    let good: f64 = buckets
        .iter()
        .filter_map(|bucket| bucket.number("good"))
        .sum();
    let at = |bucket: &Record| bucket.number("at_ms");
    let width = at(buckets.get(1)?)? - at(buckets.first()?)?;
    let span = at(buckets.last()?)? + width;
    Some(good * 1e3 / span)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
