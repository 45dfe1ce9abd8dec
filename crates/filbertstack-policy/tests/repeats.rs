//! Tests of the budget of repeated sends, which entries share without coordination.

use std::sync::Arc;

use filbertstack_policy::repeats::Allowance;
use filbertstack_policy::repeats::RepeatBudget;

const ALLOWANCE: Allowance = Allowance {
    ratio: 0.2,
    fixed: 110.0,
};

/// Guards against repeats that overload the remaining engines. An engine fails again and again, and
/// each entry wants to repeat every request in flight. Over any ten seconds, all entries together must
/// stay within the ratio to requests and the fixed allowance.
#[test]
fn all_entries_together_stay_within_the_allowance() {
    let service: Arc<str> = "llm".into();
    for entries in [1_u32, 11, 46, 340] {
        let mut all: Vec<RepeatBudget> = (0..entries)
            .map(|_| RepeatBudget::new(ALLOWANCE, entries))
            .collect();
        let requests = 2_000_u32;
        let mut repeats = 0_u32;
        for n in 0..requests {
            let entry = &mut all[(n % entries) as usize];
            entry.earn(&service);
            while entry.spend(&service) {
                repeats += 1;
            }
        }
        let most = ALLOWANCE.ratio * f64::from(requests) + ALLOWANCE.fixed;
        // Each entry always has at least one repeat. Up to `fixed` entries share the fixed part
        // exactly.
        let most = most.max(f64::from(entries) + ALLOWANCE.ratio * f64::from(requests));
        assert!(
            f64::from(repeats) <= most,
            "{entries} entries: {repeats} of {most}"
        );
        assert!(repeats > 0);
    }
}

#[test]
fn services_have_budgets_of_their_own() {
    let (a, b): (Arc<str>, Arc<str>) = ("a".into(), "b".into());
    let mut repeats = RepeatBudget::new(ALLOWANCE, 110);
    while repeats.spend(&a) {}
    assert!(!repeats.may_spend(&a) && repeats.may_spend(&b));
    assert!(repeats.spend(&b));
}

/// Returns how many repeats `count` budgets allow together, each of which has counted `earned` requests.
fn spend_all(mut budgets: Vec<RepeatBudget>, earned: u32) -> u32 {
    let service: Arc<str> = "llm".into();
    let mut repeats = 0;
    for budget in &mut budgets {
        for _ in 0..earned {
            budget.earn(&service);
        }
        while budget.spend(&service) {
            repeats += 1;
        }
    }
    repeats
}

/// Guards against entries that save up the repeats of hours without a failure and send them all at the first one.
#[test]
fn repeats_are_not_saved_up_beyond_the_fixed_allowance() {
    for entries in [1, 11, 46] {
        let budgets = (0..entries).map(|_| RepeatBudget::new(ALLOWANCE, entries));
        let repeats = spend_all(budgets.collect(), 10_000);
        assert!(
            f64::from(repeats) <= ALLOWANCE.fixed,
            "{entries} entries: {repeats}"
        );
    }
}

/// Guards against entries that each use the whole budget, as they go on with the number of entries at their start.
#[test]
fn entries_that_learn_of_others_share_the_allowance() {
    let budgets = (0..11).map(|_| {
        let mut budget = RepeatBudget::new(ALLOWANCE, 1);
        budget.set_entries(11);
        budget
    });
    let repeats = spend_all(budgets.collect(), 0);
    assert!(f64::from(repeats) <= ALLOWANCE.fixed, "{repeats}");
}

/// Guards against a budget that is exceeded while a third of the entries are not known to the others.
#[test]
fn entries_that_are_not_known_yet_leave_the_allowance_kept() {
    for (entries, known) in [(11, 7), (46, 31)] {
        let budgets = (0..entries).map(|_| RepeatBudget::new(ALLOWANCE, known));
        let repeats = spend_all(budgets.collect(), 0);
        assert!(
            f64::from(repeats) <= ALLOWANCE.fixed,
            "{entries} entries: {repeats}"
        );
    }
}
