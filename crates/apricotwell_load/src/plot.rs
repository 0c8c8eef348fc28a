//! Bar charts.

use std::fmt::Write;

// Sizes in SVG user units.
const WIDTH: f64 = 720.0;
const ROW_HEIGHT: f64 = 26.0;
const LABEL_WIDTH: f64 = 260.0;

/// Renders named values as a horizontal bar chart in SVG.
pub fn render_bars(title: &str, values: &[(String, f64)]) -> String {
    let height = ROW_HEIGHT * (values.len() as f64 + 2.0);
    let max = values
        .iter()
        .map(|(_, value)| *value)
        .fold(f64::EPSILON, f64::max);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"13\">\n<text x=\"8\" y=\"18\">{title}</text>\n"
    );
    for (index, (name, value)) in values.iter().enumerate() {
        let y = ROW_HEIGHT * (index as f64 + 1.2);
        let width = value / max * (WIDTH - LABEL_WIDTH - 90.0);
        let _ = writeln!(
            svg,
            "<text x=\"8\" y=\"{}\">{name}</text>\
             <rect x=\"{LABEL_WIDTH}\" y=\"{y}\" width=\"{width:.1}\" height=\"16\" fill=\"#4a7ab5\"/>\
             <text x=\"{:.1}\" y=\"{}\">{value:.2}</text>",
            y + 13.0,
            LABEL_WIDTH + width + 6.0,
            y + 13.0
        );
    }
    svg.push_str("</svg>\n");
    svg
}
