//! Rendering of a timeline as SVG.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::Event;

const WIDTH: f64 = 1200.0;
const LEFT_MARGIN: f64 = 140.0;
const ROW_HEIGHT: f64 = 28.0;

/// Renders events as an SVG image with one row per process; the tooltip of a mark shows its event.
pub fn render_svg(events: &[Event]) -> String {
    let mut rows: BTreeMap<&str, usize> = BTreeMap::new();
    for event in events {
        let next = rows.len();
        rows.entry(&event.instance).or_insert(next);
    }
    let start = events.first().map_or(0, |event| event.at_us);
    let end = events.last().map_or(1, |event| event.at_us).max(start + 1);
    let height = ROW_HEIGHT * (rows.len() as f64 + 2.0);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n"
    );
    for (instance, row) in &rows {
        let y = ROW_HEIGHT * (*row as f64 + 1.0);
        let name = escape(instance);
        let _ = writeln!(svg, "<text x=\"4\" y=\"{}\">{name}</text>", y + 4.0);
        let _ = writeln!(
            svg,
            "<line x1=\"{LEFT_MARGIN}\" x2=\"{WIDTH}\" y1=\"{y}\" y2=\"{y}\" stroke=\"#ccc\"/>"
        );
    }
    for event in events {
        let row = rows.get(event.instance.as_str()).copied().unwrap_or(0);
        let share = (event.at_us - start) as f64 / (end - start) as f64;
        let x = LEFT_MARGIN + share * (WIDTH - LEFT_MARGIN - 10.0);
        let y = ROW_HEIGHT * (row as f64 + 1.0);
        let hue = (event.kind as u32 * 47) % 360;
        let _ = writeln!(
            svg,
            "<circle cx=\"{x:.1}\" cy=\"{y}\" r=\"4\" fill=\"hsl({hue},70%,45%)\"><title>{}</title></circle>",
            escape(&event.to_line())
        );
    }
    let _ = writeln!(
        svg,
        "<text x=\"{LEFT_MARGIN}\" y=\"{}\">{:.3} s</text>\n</svg>",
        height - 8.0,
        (end - start) as f64 / 1e6
    );
    svg
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
