//! Prints a table that compares all strategies, and writes plots into the given folder.
//!
//! `cargo run --release -p filbertstack-policy --example spread_ways -- docs/plots`

#[path = "../tests/spread_model/mod.rs"]
mod spread_model;

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use spread_model::Faults;
use spread_model::Outcome;
use spread_model::Setting;
use spread_model::report::HEADER;
use spread_model::report::row;
use spread_model::strategies::STRATEGIES;
use spread_model::strategies::Strategy;

const SIZES: [usize; 4] = [10, 100, 300, 1000];

/// A line of a plot: the name of a strategy and its results by the number of targets.
struct Line {
    name: &'static str,
    outcomes: Vec<(usize, Outcome)>,
}

fn main() -> Result<(), Box<dyn Error>> {
    println!("{HEADER}");
    for faults in [Faults::None, Faults::Mixed] {
        for shared in [false, true] {
            let strategies = STRATEGIES
                .iter()
                .filter(|strategy| faults == Faults::None || strategy.takes_faults());
            let lines: Vec<_> = strategies
                .map(|strategy| measure(strategy, shared, faults))
                .collect();
            if let (Some(dir), false, Faults::None) = (std::env::args().nth(1), shared, faults) {
                draw_all(Path::new(&dir), &lines)?;
            }
        }
    }
    Ok(())
}

fn measure(strategy: &Strategy, shared: bool, faults: Faults) -> Line {
    let mut outcomes = Vec::new();
    for n in SIZES {
        let setting = Setting::new(n, shared, faults);
        let outcome = strategy.run(&setting);
        println!("{}", row(strategy.name, &setting, &outcome));
        outcomes.push((n, outcome));
    }
    let name = strategy.name;
    Line { name, outcomes }
}

fn draw_all(dir: &Path, lines: &[Line]) -> Result<(), Box<dyn Error>> {
    let time = "Time until N targets have a version, in windows (links of separate directions)";
    draw(&dir.join("weights-time.svg"), time, lines, |outcome| {
        outcome.time
    })?;
    let origin = "Copies that leave the origin (links of separate directions)";
    draw(&dir.join("weights-origin.svg"), origin, lines, |outcome| {
        outcome.origin_copies
    })
}

fn draw(
    path: &Path,
    title: &str,
    lines: &[Line],
    value: fn(&Outcome) -> f64,
) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, (800, 500)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d((8.0..1200.0).log_scale(), (0.4..1200.0).log_scale())?;
    chart.configure_mesh().x_desc("N").draw()?;
    for (at, line) in lines.iter().enumerate() {
        let color = Palette99::pick(at).to_rgba();
        let points = line
            .outcomes
            .iter()
            .map(|(n, o)| (spread_model::usize_to_f64(*n), value(o)));
        let series = LineSeries::new(points, color.stroke_width(2)).point_size(3);
        let drawn = chart.draw_series(series)?.label(line.name);
        drawn.legend(move |(x, y)| Rectangle::new([(x, y - 3), (x + 12, y + 3)], color.filled()));
    }
    let labels = &mut chart.configure_series_labels();
    labels
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    area.present()?;
    Ok(())
}
