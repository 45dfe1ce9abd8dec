//! Test of the table that compares all strategies on the same copies.

mod spread_model;

use spread_model::Faults;
use spread_model::Setting;
use spread_model::report::HEADER;
use spread_model::report::row;
use spread_model::strategies::STRATEGIES;

#[test]
fn strategies_match_the_recorded_table() {
    let mut table = vec![HEADER.to_owned()];
    for faults in [Faults::None, Faults::Mixed] {
        for shared in [false, true] {
            for strategy in STRATEGIES
                .iter()
                .filter(|strategy| faults == Faults::None || strategy.takes_faults())
            {
                for targets in [10, 100] {
                    let setting = Setting::new(targets, shared, faults);
                    table.push(row(strategy.name, &setting, &strategy.run(&setting)));
                }
            }
        }
    }
    insta::assert_snapshot!(table.join("\n"));
}
