//! All ways on the same work, as a table.

mod spread_model;

use spread_model::Faults;
use spread_model::Setting;
use spread_model::report::HEAD;
use spread_model::report::row;
use spread_model::ways::WAYS;

#[test]
fn the_ways_compare_as_recorded() {
    let mut table = vec![HEAD.to_owned()];
    for faults in [Faults::None, Faults::Mixed] {
        for shared in [false, true] {
            for way in WAYS
                .iter()
                .filter(|way| faults == Faults::None || way.takes_faults())
            {
                for targets in [10, 100] {
                    let setting = Setting::new(targets, shared, faults);
                    table.push(row(way.name, &setting, &way.run(&setting)));
                }
            }
        }
    }
    insta::assert_snapshot!(table.join("\n"));
}
