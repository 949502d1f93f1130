//! HTML report of a run, a single page without external resources.

use std::fmt::Write as _;

use crate::{
    plot::{Plot, escape},
    scenario::Scenario,
    summary::Summary,
};

const STYLESHEET: &str = "body{font:15px/1.45 system-ui,sans-serif;max-width:960px;margin:2em auto;\
    padding:0 1em;color:#222}table{border-collapse:collapse;margin:1em 0}\
    td,th{padding:.15em .8em;border-bottom:1px solid #ddd;text-align:right}\
    td:first-child,th:first-child{text-align:left}.bad{color:#a32020;font-weight:bold}\
    svg{width:100%;font:10px system-ui,sans-serif}";

/// Renders the report of a run as an HTML page.
pub fn render_report(scenario: &Scenario, summary: &Summary, plots: &[Plot]) -> String {
    let title = escape(&format!("{}, seed {}", summary.scenario, summary.seed));
    let mut res = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\
         <style>{STYLESHEET}</style></head><body>\n<h1>{title}</h1>\n<p>{}</p>\n",
        escape(&scenario.title),
    );
    let failures = summary.failures(&scenario.bounds);
    if failures.is_empty() {
        res += "<p>All requirements and bounds hold.</p>\n";
    } else {
        let items = failures.iter().map(|it| format!("<li class=\"bad\">{}</li>", escape(it)));
        let _ = writeln!(res, "<ul>{}</ul>", items.collect::<String>());
    }
    res += "<table><tr><th>requirement</th><th>violations</th><th>baseline</th></tr>\n";
    for (name, count) in &summary.violations {
        let class = if *count > 0 { " class=\"bad\"" } else { "" };
        let baseline = summary.baseline.violations.get(name).copied().unwrap_or_default();
        let _ = writeln!(
            res,
            "<tr><td>{}</td><td{class}>{count}</td><td>{baseline}</td></tr>",
            escape(name)
        );
    }
    res += "</table>\n";
    for plot in plots {
        let _ = write!(res, "<h2>{} ({})</h2>\n{}", escape(&plot.title), plot.unit, plot.to_svg());
    }
    if !scenario.faults.is_empty() {
        res += "<h2>Faults and changes</h2><table><tr><th>what</th><th>from s</th><th>until s</th>\
                </tr>\n";
        for fault in &scenario.faults {
            let end = fault.until_s.map_or("end".to_owned(), |it| it.to_string());
            let _ = writeln!(
                res,
                "<tr><td>{}</td><td>{}</td><td>{end}</td></tr>",
                <&str>::from(&fault.what),
                fault.at_s,
            );
        }
        res += "</table>\n";
    }
    res += "<h2>Figures</h2><table><tr><th>figure</th><th>system</th><th>baseline</th></tr>\n";
    let names = summary.figures.keys().chain(summary.baseline.figures.keys());
    let mut names: Vec<&String> = names.collect();
    names.sort();
    names.dedup();
    for name in names {
        let format_value = |value: Option<&f64>| value.map_or("-".to_owned(), f64::to_string);
        let _ = writeln!(
            res,
            "<tr><td>{}</td><td>{}</td><td>{}</td></tr>",
            escape(name),
            format_value(summary.figures.get(name)),
            format_value(summary.baseline.figures.get(name)),
        );
    }
    res + "</table></body></html>\n"
}
