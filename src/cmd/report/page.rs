//! Renders a timeline as a self-contained HTML page with SVG charts and without scripts.

use std::fmt::Write;

use crate::{
    cmd::report::timeline::{Step, Timeline},
    print,
};

/// Width of a chart in units of its SVG view box.
const CHART_WIDTH: f64 = 360.0;
/// Height of a chart in units of its SVG view box.
const CHART_HEIGHT: f64 = 120.0;
/// Width of the space for the labels of the vertical axis, in units of the SVG view box.
const AXIS_MARGIN: f64 = 30.0;
/// Colours of the series, which colour-blind readers can tell apart (Okabe and Ito, 2008).
const COLOURS: [&str; 3] = ["#0072b2", "#e69f00", "#d55e00"];

/// Name of a series and its value in a step.
type Series = (&'static str, fn(&Step) -> f64);

/// Titles and series of the charts.
const CHARTS: [(&str, &[Series]); 4] = [
    (
        "Requests in a step",
        &[
            ("answered", |step| step.answered as f64),
            ("refused", |step| step.refused as f64),
            ("failed", |step| step.failed as f64),
        ],
    ),
    (
        "Time to the first byte, ms",
        &[
            ("median", |step| step.first_byte_quantile_ms(0.5) as f64),
            ("95 in 100", |step| step.first_byte_quantile_ms(0.95) as f64),
        ],
    ),
    ("Requests at upstreams", &[("online", |step| step.online), ("batch", |step| step.batch)]),
    (
        "Batch items",
        &[
            ("without a result", |step| step.backlog as f64),
            ("listed in a step", |step| step.listed as f64),
        ],
    ),
];

/// Renders the whole page.
pub fn render(timeline: &Timeline) -> String {
    let mut page = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">\
         <meta name=\"viewport\" content=\"width=device-width\"><title>Relays</title>\
         <style>body{font:16px sans-serif;margin:1em auto;max-width:40em;padding:0 1em}\
         svg{width:100%;height:auto}text{font:9px sans-serif}td{padding:0 1em 0 0}</style>\n",
    );
    let seconds = timeline.step.as_secs();
    // Writing to a `String` cannot fail.
    let _ = writeln!(
        page,
        "<h1>Relays from {}</h1><p>{} relays, {} steps of {seconds} s</p>",
        print::timestamp(timeline.start_ms),
        timeline.relays,
        timeline.steps.len()
    );
    for (title, series) in CHARTS {
        let _ = writeln!(page, "<h2>{title}</h2>{}", render_chart(timeline, series));
    }
    page.push_str("<h2>What happened</h2><table>");
    for (index, step) in timeline.steps.iter().enumerate() {
        if step.events.is_empty() {
            continue;
        }
        let events: Vec<String> =
            step.events.iter().map(|(name, count)| format!("{name} {count}")).collect();
        let at = index as u64 * seconds;
        let _ = writeln!(page, "<tr><td>{at} s</td><td>{}</td></tr>", events.join(", "));
    }
    page.push_str("</table></html>\n");
    page
}

fn render_chart(timeline: &Timeline, series: &[Series]) -> String {
    let values = series.iter().flat_map(|(_, value)| timeline.steps.iter().map(value));
    let maximum = values.fold(1.0, f64::max);
    let x = |index: usize| {
        AXIS_MARGIN
            + (CHART_WIDTH - AXIS_MARGIN) * index as f64 / (timeline.steps.len().max(2) - 1) as f64
    };
    let y = |value: f64| 10.0 + (CHART_HEIGHT - 30.0) * (1.0 - value / maximum);
    let mut svg = format!("<svg viewBox=\"0 0 {CHART_WIDTH} {CHART_HEIGHT}\">");
    for share in [0.0, 0.5, 1.0] {
        let value = maximum * share;
        let height = y(value);
        let _ = write!(
            svg,
            "<line x1=\"{AXIS_MARGIN}\" x2=\"{CHART_WIDTH}\" y1=\"{height:.1}\" y2=\"{height:.1}\" \
             stroke=\"#ccc\"/><text x=\"0\" y=\"{:.1}\">{value:.0}</text>",
            height + 3.0
        );
    }
    for (number, (name, value)) in series.iter().enumerate() {
        let colour = COLOURS[number % COLOURS.len()];
        let points: Vec<String> = timeline
            .steps
            .iter()
            .enumerate()
            .map(|(index, step)| format!("{:.1},{:.1}", x(index), y(value(step))))
            .collect();
        let _ = write!(
            svg,
            "<polyline fill=\"none\" stroke=\"{colour}\" points=\"{}\"/>\
             <text x=\"{:.1}\" y=\"{:.1}\" fill=\"{colour}\">{name}</text>",
            points.join(" "),
            AXIS_MARGIN + 110.0 * number as f64,
            CHART_HEIGHT - 2.0
        );
    }
    let end = timeline.steps.len() as u64 * timeline.step.as_secs();
    let _ = write!(
        svg,
        "<text x=\"{AXIS_MARGIN}\" y=\"{0:.1}\">0 s</text>\
         <text x=\"{CHART_WIDTH}\" y=\"{0:.1}\" text-anchor=\"end\">{end} s</text></svg>",
        CHART_HEIGHT - 11.0
    );
    svg
}
