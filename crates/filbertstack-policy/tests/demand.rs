//! Tests of the demand by rank that all entries share.

use std::sync::Arc;

use filbertstack_core::Millis;
use filbertstack_policy::rank::Contender;
use filbertstack_policy::rank::Rank;
use filbertstack_policy::rank::Ranks;
use filbertstack_policy::rank::demand::Demand;
use filbertstack_policy::rank::demand::DemandReports;
use filbertstack_policy::rank::demand::MAX_AGE;
use filbertstack_policy::rank::demand::RankDemand;
use filbertstack_policy::rank::demand::RankRates;

/// The rate of one entry, in requests per millisecond: one in two seconds.
const RATE: f64 = 0.000_5;

const PATIENT_GOAL: Millis = Millis(1_000);

fn demand(entries: u32, new: f64) -> Demand {
    let row = RankDemand {
        service: "llm".into(),
        rank: Rank(0),
        rates: RankRates {
            new,
            ..RankRates::default()
        },
    };
    Demand {
        entries,
        ranks: vec![row],
    }
}

/// Returns the rate of the requests in a sum.
fn rate(demand: &Demand) -> f64 {
    demand.ranks.iter().map(|row| row.rates.new).sum()
}

fn record_entry(reports: &mut DemandReports, at: Millis, name: &str, rate: f64) {
    reports.record_entry(at, &Arc::from(name), demand(1, rate));
}

/// Guards against an entry that is counted by the voter that it left for as long as that voter runs.
#[test]
fn an_entry_that_changes_its_voter_is_counted_twice_for_two_seconds_at_most() {
    let (mut former, mut latter) = (DemandReports::default(), DemandReports::default());
    let mut twice = Vec::new();
    for now in (0..6_000).step_by(100).map(Millis) {
        let followed = if now < Millis(1_500) {
            &mut former
        } else {
            &mut latter
        };
        if now.0 % 500 == 0 {
            record_entry(followed, now, "e", RATE);
        }
        // The former voter tells its sum right before its last report is dropped.
        if now.0 % 500 == 400 {
            latter.record_voter(now, &"v".into(), former.sum(now));
        }
        let total = latter.total(now);
        if total.entries > 1 {
            twice.push(now);
        }
    }
    let span = twice.last().map(|last| last.since(twice[0]));
    assert!(span.is_some_and(|span| span <= MAX_AGE), "{twice:?}");
    assert!((rate(&latter.total(Millis(5_900))) - RATE).abs() < 1e-9);
}

/// Guards against an entry that is counted twice, as a voter passes on the sums of others with its own.
#[test]
fn a_sum_contains_the_reports_of_its_own_entries_alone() {
    let mut voters = [DemandReports::default(), DemandReports::default()];
    let names: [Arc<str>; 2] = ["v0".into(), "v1".into()];
    for round in 0..3 {
        let now = Millis(round * 500);
        record_entry(&mut voters[0], now, "a", RATE);
        record_entry(&mut voters[1], now, "b", RATE);
        let sums = [voters[0].sum(now), voters[1].sum(now)];
        for (n, sum) in sums.into_iter().enumerate() {
            voters[1 - n].record_voter(now, &names[n], sum);
        }
    }
    for reports in &voters {
        let total = reports.total(Millis(1_000));
        assert_eq!(total.entries, 2);
        assert!((rate(&total) - 2.0 * RATE).abs() < 1e-9, "{total:?}");
    }
}

/// Guards against entries and voters that were lost and still count.
#[test]
fn silent_senders_are_dropped() {
    let mut reports = DemandReports::default();
    record_entry(&mut reports, Millis(0), "silent", RATE);
    reports.record_voter(Millis(0), &"v".into(), demand(5, RATE));
    record_entry(&mut reports, Millis(1_000), "e", RATE);
    assert_eq!(reports.total(MAX_AGE - Millis(1)).entries, 7);
    assert_eq!(reports.total(MAX_AGE).entries, 1);
    assert_eq!(reports.sum(Millis(3_000)).entries, 0);
}

/// Guards against one faulty sender whose rates make every entry keep all engines free.
#[test]
fn implausible_rates_are_ignored() {
    for bad in [-1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY, 1e9] {
        let mut reports = DemandReports::default();
        record_entry(&mut reports, Millis(0), "e", RATE);
        record_entry(&mut reports, Millis(0), "bad", bad);
        reports.record_voter(Millis(0), &"v".into(), demand(3, bad));
        let total = reports.total(Millis(0));
        assert!((rate(&total) - RATE).abs() < 1e-9, "{bad}: {total:?}");
    }
    for entries in [0, u32::MAX] {
        let mut reports = DemandReports::default();
        reports.record_voter(Millis(0), &"v".into(), demand(entries, RATE));
        assert_eq!(reports.total(Millis(0)), Demand::default(), "{entries}");
    }
}

/// Returns the room that an entry keeps free of patient requests. It has just received one of each kind, and
/// learnt `total` a time `age` ago.
fn reserve(age: Millis, total: &Demand) -> f64 {
    let now = Millis(10_000);
    let mut ranks = Ranks::default();
    let patient = Contender {
        rank: Rank(1),
        ..Contender::default()
    };
    for (contender, goal) in [
        (&Contender::default(), Millis(400)),
        (&patient, PATIENT_GOAL),
    ] {
        ranks.count_request(now, &"llm".into(), contender, goal);
    }
    ranks.set_total(now - age, total);
    ranks
        .claim(now, "llm", &patient, PATIENT_GOAL)
        .reserve(10.0)
}

/// Guards against the noise of an entry's own rate, against a total that outlives its voter, and against one that no
/// sender of this release sends.
#[test]
fn the_mean_of_all_entries_replaces_the_own_rate_while_it_is_known() {
    let own = reserve(Millis(0), &Demand::default());
    let known = demand(100, 40.0 * RATE);
    let mean = reserve(Millis(0), &known);
    assert!(own > 1.5 * mean && mean > 0.0, "{own} {mean}");
    let same = |a: f64, b: f64| (a - b).abs() < 1e-9;
    let before_end = reserve(MAX_AGE - Millis(1), &known);
    assert!(same(before_end, mean), "{before_end} {mean}");
    let after_end = reserve(MAX_AGE, &known);
    assert!(same(after_end, own), "{after_end} {own}");
    for entries in [0, u32::MAX] {
        let ignored = reserve(Millis(0), &demand(entries, RATE / 10.0));
        assert!(same(ignored, own), "{entries}");
    }
}
