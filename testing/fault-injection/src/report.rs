//! The report on a run as one self-contained HTML page: plots as inline SVG with the faults marked, and
//! tables of the invariants and figures.

use crate::deployment::{DrawnFault, SECOND};
use crate::error::{IncompleteHistory, RecordingError};
use crate::figures::{Figures, Second, CALLS};
use crate::verdict::Verdict;
use plotters::prelude::*;
use plotters::style::text_anchor::{HPos, Pos, VPos};
use std::fmt::Write;

const PLOT_SIZE: (u32, u32) = (960, 260);
/// Colours that remain distinguishable with colour vision deficiency.
const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 114, 178),
    RGBColor(230, 159, 0),
    RGBColor(0, 158, 115),
    RGBColor(213, 94, 0),
    RGBColor(204, 121, 167),
    RGBColor(86, 180, 233),
];
/// Factor by which the time axis is extended, so that the legend covers no curve.
const LEGEND_FACTOR: f64 = 1.14;
const FAULT_COLOUR: RGBColor = RGBColor(190, 30, 45);

struct Series {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Returns the page of a run, as one HTML file.
///
/// # Errors
///
/// A plot cannot be drawn.
pub fn page(verdict: &Verdict, figures: &Figures) -> Result<String, RecordingError> {
    let no_setup = || RecordingError::Plot(IncompleteHistory::NoSetup.to_string());
    let setup = figures.setup().ok_or_else(no_setup)?;
    let length = setup.duration / SECOND;
    let seconds = &figures.seconds()[..figures.seconds().len().min(length as usize)];
    let series = |name: &str, value: &dyn Fn(&Second) -> Option<f64>| Series {
        name: name.to_owned(),
        points: seconds
            .iter()
            .enumerate()
            .filter_map(|(i, second)| Some((i as f64 + 0.5, value(second)?)))
            .collect(),
    };
    let count = |value: fn(&Second) -> u64| move |second: &Second| Some(value(second) as f64);
    let outcomes = [
        series("good", &count(|s| s.good)),
        series("late", &count(|s| s.late)),
        series("refused", &count(|s| s.refused)),
        series("failed", &count(|s| s.failed)),
        series("lost", &count(|s| s.lost)),
    ];
    let latencies =
        [("50%", 0.5), ("90%", 0.9), ("99%", 0.99)].map(|(name, share)| series(name, &|s| s.latency(share)));
    let calls: Vec<Series> =
        ["tries", "attempts", "connections", "list_calls", "probes", "renewals", "counts"]
            .into_iter()
            .map(|name| series(name, &|s| Some(s.calls.get(name).copied().unwrap_or(0) as f64)))
            .filter(|series| series.points.iter().any(|(_, rate)| *rate > 0.0))
            .collect();
    let fault_spans = figures.fault_spans();
    let length = length as f64;
    let plots = [
        ("Requests that ended, per second", plot("per second", length, &outcomes, &fault_spans)?),
        ("Latency of served requests, in ms", plot("ms", length, &latencies, &fault_spans)?),
        (
            "Attempts by clients, and calls by gateways and servers, per second",
            plot("per second", length, &calls, &fault_spans)?,
        ),
    ];
    let mut page = String::from(HEAD);
    let s = &verdict.summary;
    let title = escape(&format!("{}, seed {}", s.scenario, s.seed));
    let _ = write!(page, "<title>{title}</title><h1>{title}</h1>");
    let word = if verdict.passed() {
        "All invariants and expectations hold."
    } else {
        "An invariant or an expectation is violated, or a process has crashed."
    };
    let _ = write!(
        page,
        "<p><b>{word}</b> {} gateways, {} requests: {} served, {} refused, {} failed, {} unknown, {} lost.",
        setup.gateways, s.requests, s.served, s.refused, s.failed, s.unknown, s.lost
    );
    let rate = |rate: Option<f64>| rate.map_or("not measured".to_owned(), |rate| format!("{rate:.1}/s"));
    let full =
        s.time_to_full_service_ms.map_or("never within the run".to_owned(), |ms| format!("after {ms} ms"));
    let _ = write!(
        page,
        " Goodput was {} before the first fault and {} after the last; full service again {full}.</p>",
        rate(s.goodput_before),
        rate(s.goodput_after)
    );
    page += "<h2>Faults</h2><table><tr><th>number<th>kind<th>targets<th>start, in s<th>end, in s</tr>";
    for (number, from, to) in &fault_spans {
        let Some(fault) = setup.faults.get(usize::from(*number)) else { continue };
        let to = to.map_or("permanent".to_owned(), |to| format!("{to:.2}"));
        let _ = write!(
            page,
            "<tr><td>{number}<td>{:?}<td>{}<td>{from:.2}<td>{to}</tr>",
            fault.kind,
            escape(&victims(fault))
        );
    }
    page += "</table>";
    for (title, svg) in plots {
        let _ = write!(page, "<h2>{title}</h2>{svg}");
    }
    page += "<h2>Invariants</h2><table><tr><th>invariant<th>verdict<th>reason, or the first cases</tr>";
    for (name, finding) in &verdict.findings {
        let (class, word) = match finding.holds {
            Some(true) => ("holds", "holds"),
            Some(false) => ("broken", "broken"),
            None => ("moot", "does not apply"),
        };
        let why = escape(&finding.why.join("; "));
        let _ = write!(page, "<tr class={class}><td>{name}<td>{word}<td>{why}</tr>");
    }
    page += "</table><h2>Figures</h2><table>";
    let row = |page: &mut String, name: &str, value: String| {
        let _ = write!(page, "<tr><td>{name}<td>{}</tr>", escape(&value));
    };
    row(
        &mut page,
        "client attempts in flight at a gateway hit by a fault",
        format!("{}, {} of them lost", s.in_flight, s.in_flight_lost),
    );
    row(
        &mut page,
        "unsafe requests whose clients received no response",
        format!("{}, {} of them had run", s.unsafe_lost, s.unsafe_lost_ran),
    );
    row(&mut page, "requests that ended without a response", format!("{:.2}%", s.unanswered_share * 100.0));
    row(&mut page, "client attempts that reached no gateway", s.unreachable_client_attempts.to_string());
    row(&mut page, "pay servers that crashed under overload", s.overload_crashes.to_string());
    row(&mut page, "processes that exited unexpectedly", s.crashes.to_string());
    for (name, ms) in &s.latency_ms {
        row(&mut page, &format!("latency {name}"), format!("{ms} ms"));
    }
    for name in CALLS {
        let peak = s.peaks.get(name).copied().flatten();
        let peak = peak.map_or("no calls".to_owned(), |peak| format!("{peak} times the steady rate"));
        row(&mut page, &format!("peak of {name}"), peak);
    }
    row(
        &mut page,
        "the harness itself",
        format!(
            "{} events; thread up to {:.0}% busy; requests sent {} ms late at the 99.9% quantile, at most {} ms; {} s of processor time, the fleet {} s, in {:.1} s",
            s.harness.events, s.harness.max_busy_share * 100.0, s.harness.late_p999_ms, s.harness.max_late_ms, s.harness.harness_cpu_s, s.harness.fleet_cpu_s, s.harness.wall_s
        ),
    );
    let _ = write!(page, "</table><h2>Scenario</h2><pre>{}</pre></html>", escape(&setup.text));
    Ok(page)
}

const HEAD: &str = "<!doctype html><html lang=en><meta charset=utf-8><style>\
body{font:15px/1.45 system-ui,sans-serif;max-width:62rem;margin:2rem auto;padding:0 1rem;color:#222}\
table{border-collapse:collapse}td,th{border-bottom:1px solid #ddd;padding:.25rem .8rem .25rem 0;text-align:left;\
vertical-align:top}.broken td{background:#fbe3e4}.moot td{color:#777}pre{background:#f5f5f5;padding:1rem;overflow:auto}\
svg{max-width:100%;height:auto}</style>";

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Returns the names of up to 4 victims of a fault, or the number and kind of more.
fn victims(fault: &DrawnFault) -> String {
    match fault.victims.as_slice() {
        few if few.len() <= 4 => few.iter().map(ToString::to_string).collect::<Vec<_>>().join(", "),
        many => format!("{} of {}", many.len(), many[0].kind().name()),
    }
}

fn plot(
    unit: &str,
    length: f64,
    all_series: &[Series],
    fault_spans: &[(u16, f64, Option<f64>)],
) -> Result<String, RecordingError> {
    let failed = |error: &dyn std::fmt::Display| RecordingError::Plot(error.to_string());
    let top = all_series.iter().flat_map(|series| &series.points).map(|(_, y)| *y).fold(1.0, f64::max) * 1.1;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..length * LEGEND_FACTOR, 0.0..top)
            .map_err(|e| failed(&e))?;
        let mut mesh = chart.configure_mesh();
        mesh.x_desc("seconds of the load").y_desc(unit).light_line_style(WHITE);
        mesh.draw().map_err(|e| failed(&e))?;
        for (number, from, to) in fault_spans {
            let to = to.unwrap_or(length).clamp(*from, length);
            let band = Rectangle::new([(*from, 0.0), (to, top)], FAULT_COLOUR.mix(0.10).filled());
            let edge = PathElement::new([(*from, 0.0), (*from, top)], FAULT_COLOUR.mix(0.8));
            let style =
                ("sans-serif", 12).into_font().color(&FAULT_COLOUR).pos(Pos::new(HPos::Left, VPos::Top));
            let name = Text::new(format!(" fault {number}"), (*from, top * 0.98), style);
            chart.draw_series([band]).map_err(|e| failed(&e))?;
            chart.draw_series([edge]).map_err(|e| failed(&e))?;
            chart.draw_series([name]).map_err(|e| failed(&e))?;
        }
        for (i, series) in all_series.iter().enumerate() {
            let colour = COLOURS[i % COLOURS.len()];
            let drawn = LineSeries::new(series.points.iter().copied(), colour.stroke_width(2));
            chart
                .draw_series(drawn)
                .map_err(|e| failed(&e))?
                .label(series.name.clone())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperRight)
            .background_style(WHITE.mix(0.85))
            .border_style(BLACK.mix(0.2))
            .draw()
            .map_err(|e| failed(&e))?;
        area.present().map_err(|e| failed(&e))?;
    }
    Ok(svg)
}
