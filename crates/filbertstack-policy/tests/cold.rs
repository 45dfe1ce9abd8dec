//! Tests of cold targets: replays in virtual time of entries that send to a zone of them, judged by the
//! requests that reach each target in any second.

mod plain;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use filbertstack_core::Millis;
use filbertstack_core::serving::ColdStart;
use filbertstack_policy::cold;
use filbertstack_policy::cold::Limit;
use filbertstack_policy::cold::Rate;
use filbertstack_policy::cold::Reports;
use filbertstack_policy::cold::SETTLE_TIME;
use filbertstack_policy::cold::Share;
use filbertstack_policy::dispatch::AttemptEnd;
use filbertstack_policy::dispatch::ChooseError;
use filbertstack_policy::dispatch::Dispatcher;
use filbertstack_policy::permit::Obstacle;
use filbertstack_policy::permit::Way;
use filbertstack_policy::quota::Sender;
use filbertstack_policy::registry::Stamp;
use filbertstack_policy::subset;
use filbertstack_policy::subset::Population;
use plain::choose;
use plain::dispatcher;
use plain::spec;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

const TARGETS: usize = 19;

/// How long it takes at most until an entry learns of a heartbeat or of another entry.
const MAX_LAG: u64 = 300;

/// How long it takes at most until a request reaches its target.
const MAX_DELAY: u64 = 80;

fn cold_start() -> ColdStart {
    ColdStart {
        span: Duration::from_secs(6),
        per_s: 14.0,
    }
}

/// The most requests in a second, by the default settings: 14 and one.
const BOUND: usize = 15;

fn rate() -> Rate {
    Rate::new(&cold_start(), 1.0, 1.0)
}

/// What the registry holds at a moment: the starts of the targets, their reports and the entries.
#[derive(Clone)]
struct View {
    at: u64,
    born: u64,
    sequence: u64,
    remaining: Millis,
    /// The indices of the entries that are registered.
    entries: std::ops::Range<usize>,
}

/// An entry, as the gateway keeps it.
struct Entry {
    name: String,
    dispatcher: Dispatcher,
    reports: Reports,
    lag: u64,
    joined_at: Option<Millis>,
}

impl Entry {
    fn new(n: usize, rng: &mut ChaCha8Rng) -> Self {
        Self {
            name: format!("entry-{n}"),
            dispatcher: Dispatcher::new(ChaCha8Rng::seed_from_u64(n as u64)),
            reports: Reports::default(),
            lag: rng.random_range(1..=MAX_LAG),
            joined_at: None,
        }
    }

    fn refresh(&mut self, now: Millis, view: &View, names: &[String], enabled: bool) {
        let senders = names[view.entries.clone()].iter().enumerate();
        let senders: Vec<_> = senders.map(|(n, name)| (name, n % 3 == 0)).collect();
        let senders: Vec<Sender<'_>> = senders
            .iter()
            .map(|(name, local)| Sender {
                name,
                local: *local,
            })
            .collect();
        if view.entries.is_empty() || !names[view.entries.clone()].contains(&self.name) {
            self.joined_at = None;
        } else {
            self.joined_at.get_or_insert(now);
        }
        let starts = (0..TARGETS).map(|n| spec(&format!("i-{n}#{}", view.born)));
        self.dispatcher.set_targets(starts.collect());
        let stamp = Stamp {
            born: view.born,
            sequence: view.sequence,
        };
        for n in (0..TARGETS).filter(|_| enabled) {
            let instance: Arc<str> = format!("i-{n}").into();
            self.reports.record(now, &instance, stamp, view.remaining);
            let until = self.reports.until(&instance, &cold_start(), None);
            let share = cold::share(&self.name, &instance, &senders, senders.len(), rate());
            let settled_at = self.joined_at.map_or(until, |at| at + SETTLE_TIME);
            let limit = Limit {
                until,
                share: share.filter(|_| self.joined_at.is_some()),
                from: settled_at.max(self.reports.restart_wait(&instance)),
            };
            let id = format!("i-{n}#{}", view.born);
            self.dispatcher
                .set_cold(now, &id, (now < until).then_some(limit));
        }
    }
}

/// The arrivals at each target, by the number of its instance.
type Arrivals = BTreeMap<usize, Vec<u64>>;

/// Replays full demand at `entries` entries until `end`, each of which learns of the views some time later. The
/// entries of the first view have been registered for long.
fn replay(entries: usize, views: &[View], end: u64, enabled: bool) -> Arrivals {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let names: Vec<String> = (0..entries).map(|n| format!("entry-{n}")).collect();
    let mut all: Vec<Entry> = (0..entries).map(|n| Entry::new(n, &mut rng)).collect();
    for n in views[0].entries.clone() {
        all[n].joined_at = Some(Millis::ZERO);
    }
    let mut arrivals = Arrivals::new();
    let chance = (0.8 / f64::from(u32::try_from(entries).expect("few"))).max(0.05);
    for ms in 0..end {
        let now = Millis(ms + 100_000);
        for (n, entry) in all.iter_mut().enumerate() {
            let learnt = views.iter().find(|view| view.at + entry.lag == ms);
            // An entry that has not started knows nothing.
            let runs = |view: &&View| entry.joined_at.is_some() || view.entries.contains(&n);
            if let Some(view) = learnt.filter(runs) {
                entry.refresh(now, view, &names, enabled);
            }
            // All have a request at each full second, and together at least 800 a second.
            if ms % 1_000 != 0 && !rng.random_bool(chance) {
                continue;
            }
            let Ok(id) = choose(&mut entry.dispatcher, now) else {
                continue;
            };
            entry.dispatcher.count_sent(now, &id, 0);
            let answered = AttemptEnd::Answered(Millis(30));
            entry.dispatcher.count_end(now, &id, 0, answered);
            let number = id.split(['-', '#']).nth(1).expect("a number");
            let arrived = ms + rng.random_range(0..=MAX_DELAY);
            let at = arrivals.entry(number.parse().expect("a number"));
            at.or_default().push(arrived);
        }
    }
    arrivals
}

/// Returns the most arrivals at a target in any second between `from` and `to`.
fn most_in_second(arrivals: &Arrivals, from: u64, to: u64) -> usize {
    let of_target = |arrivals: &Vec<u64>| {
        let mut within: Vec<u64> = arrivals.clone();
        within.retain(|at| (from..to).contains(at));
        within.sort_unstable();
        let counts = within.iter().enumerate().map(|(n, start)| {
            let end = within.partition_point(|at| *at < start + 1_000);
            end - n
        });
        counts.max().unwrap_or(0)
    };
    arrivals.values().map(of_target).max().unwrap_or(0)
}

/// Returns the arrivals between `from` and `to`, as a part of what the targets take in that time.
fn used_part(arrivals: &Arrivals, from: u64, to: u64) -> f64 {
    let within = arrivals.values().flatten();
    let within = within.filter(|at| (from..to).contains(*at)).count();
    let taken = Duration::from_millis(to - from).as_secs_f64() * cold_start().per_s;
    f64::from(u32::try_from(within).expect("few")) / (taken * 19.0)
}

/// Returns the views of targets that are cold for `cold_ms` from `at` on, and say so each 1.2 s.
fn heartbeats(at: u64, cold_ms: u64, born: u64, entries: &std::ops::Range<usize>) -> Vec<View> {
    let beats = (0..=cold_ms / 1_200).map(|beat| View {
        at: at + beat * 1_200,
        born,
        sequence: at + beat,
        remaining: Millis(cold_ms - beat * 1_200),
        entries: entries.clone(),
    });
    beats.collect()
}

/// Guards against a zone that returns cold and is crashed by the requests of all entries, or left unused.
#[test]
fn a_zone_that_returns_cold_gets_its_rate() {
    for entries in [1, 11, 39, 340] {
        let views = heartbeats(500, 3_000, 1, &(0..entries));
        let arrivals = replay(entries, &views, 3_500, true);
        let most = most_in_second(&arrivals, 0, 3_500);
        assert!(most <= BOUND, "{most} with {entries} entries");
        let used = used_part(&arrivals, 500 + MAX_LAG, 3_500);
        assert!(used >= 0.5, "{used} with {entries} entries");
        if entries >= 39 {
            let without = replay(entries, &views, 3_500, false);
            let most = most_in_second(&without, 0, 3_500);
            assert!(most > BOUND, "{most} without the part");
        }
    }
}

/// Guards against entries that start in the middle and use places which others have just used, and against
/// places that stay unused when their entries leave.
#[test]
fn entries_that_start_or_leave_keep_the_bound() {
    for (before, after) in [
        (0..39, 39..78),
        (0..78, 39..78),
        (0..19, 19..50),
        (0..39, 0..60),
        (0..339, 0..340),
        (0..39, 20..39),
        (0..4, 2..12),
    ] {
        let mut views = heartbeats(500, 6_000, 1, &before);
        let mut changed = views[1].clone();
        changed.at += 700;
        changed.entries = after.clone();
        for view in &mut views[2..] {
            view.entries = after.clone();
        }
        views.insert(2, changed);
        let arrivals = replay(before.end.max(after.end), &views, 6_500, true);
        let most = most_in_second(&arrivals, 0, 6_500);
        assert!(most <= BOUND, "{most} with {before:?}, then {after:?}");
        let used = used_part(&arrivals, 4_800, 6_500);
        assert!(used >= 0.5, "{used} with {before:?}, then {after:?}");
    }
}

/// Guards against a target that turns cold while it serves and is sent as much as before.
#[test]
fn a_target_that_turns_cold_again_gets_its_rate_at_once() {
    let mut views = heartbeats(500, 2_000, 1, &(0..39));
    views.extend(heartbeats(4_000, 3_000, 1, &(0..39)));
    let arrivals = replay(39, &views, 7_000, true);
    let warm = most_in_second(&arrivals, 2_500 + MAX_LAG, 4_000);
    assert!(warm > BOUND, "{warm}: it is no longer limited in between");
    let known = 4_000 + MAX_LAG + MAX_DELAY;
    let most = most_in_second(&arrivals, known + 1, 7_000);
    assert!(most <= BOUND, "{most}");
    assert!(used_part(&arrivals, known, 7_000) >= 0.5);
}

/// Guards against a target that starts again under its id, and gets the places of both starts.
#[test]
fn a_target_that_starts_again_gets_one_rate() {
    let mut views = heartbeats(500, 1_199, 1, &(0..39));
    views.extend(heartbeats(1_650, 4_000, 2, &(0..39)));
    let arrivals = replay(39, &views, 5_600, true);
    let most = most_in_second(&arrivals, 0, 5_600);
    assert!(most <= BOUND, "{most}");
    assert!(used_part(&arrivals, 1_650 + MAX_LAG, 5_600) >= 0.5);
}

fn limit(until: u64, gap: Option<u64>) -> Limit {
    Limit {
        until: Millis(until),
        share: gap.map(|gap| Share {
            gap: Millis(gap),
            phase: Millis::ZERO,
        }),
        from: Millis::ZERO,
    }
}

/// Guards against a request that was chosen before its target became cold, one that is sent again, and one that
/// waited long for its connection.
#[test]
fn every_send_takes_a_token() {
    let mut dispatcher = dispatcher(&["e0"]);
    dispatcher.set_cold(Millis(100), "e0", Some(limit(9_000, Some(1_000))));
    let obstacle = |d: &Dispatcher, now, chosen_at, way| {
        d.send_obstacle(Millis(now), "e0", Millis(chosen_at), way, None)
    };
    assert!(choose(&mut dispatcher, Millis(200)).is_ok());
    dispatcher.count_sent(Millis(200), "e0", 0);
    let cold = Some(Obstacle::Cold(Millis(1_200)));
    assert_eq!(obstacle(&dispatcher, 300, 200, Way::New), None);
    for (chosen_at, way) in [(90, Way::New), (90, Way::Resume), (200, Way::Resend)] {
        assert_eq!(obstacle(&dispatcher, 300, chosen_at, way), cold, "{way:?}");
    }
    dispatcher.record_written(Millis(300), "e0");
    let refused = choose(&mut dispatcher, Millis(1_250));
    assert!(
        matches!(refused, Err(ChooseError::Full { .. })),
        "{refused:?}"
    );
    assert_eq!(obstacle(&dispatcher, 1_300, 200, Way::Resend), None);
    dispatcher.count_resent(Millis(1_300), "e0");
    assert!(choose(&mut dispatcher, Millis(2_250)).is_err());
    // Both limits bind.
    dispatcher.set_quota(Millis(2_300), "e0", Some(0.0));
    assert_eq!(
        dispatcher.obstacle(Millis(2_400), "e0"),
        Some(Obstacle::LimitReached)
    );
    dispatcher.set_quota(Millis(2_400), "e0", None);
    dispatcher.set_cold(Millis(2_400), "e0", Some(limit(9_000, None)));
    assert!(choose(&mut dispatcher, Millis(8_999)).is_err());
    assert!(choose(&mut dispatcher, Millis(9_000)).is_ok());
}

/// Guards against a cold time of years, one that an old heartbeat renews, and a readmitted zone whose targets
/// count as warm by what they said before.
#[test]
fn a_report_counts_from_its_arrival_until_a_later_one() {
    let id: Arc<str> = "i-1".into();
    let start = ColdStart {
        span: Duration::from_secs(3),
        per_s: 14.0,
    };
    let stamp = |sequence| Stamp { born: 5, sequence };
    let mut reports = Reports::default();
    assert_eq!(reports.until("i-1", &start, None), Millis::ZERO);
    reports.record(Millis(1_000), &id, stamp(2), Millis(u64::MAX));
    assert_eq!(reports.until("i-1", &start, None), Millis(31_000));
    for old in [1, 2] {
        reports.record(Millis(2_000), &id, stamp(old), Millis(9));
    }
    assert_eq!(reports.until("i-1", &start, None), Millis(31_000));
    reports.record(Millis(3_000), &id, stamp(3), Millis::ZERO);
    assert_eq!(reports.until("i-1", &start, None), Millis(3_000));
    let readmitted = Some(Millis(3_500));
    assert_eq!(reports.until("i-1", &start, readmitted), Millis(6_500));
    reports.record(Millis(4_000), &id, stamp(4), Millis(500));
    assert_eq!(reports.until("i-1", &start, readmitted), Millis(4_500));
    assert_eq!(reports.restart_wait("i-1"), Millis::ZERO);
    reports.record(
        Millis(5_000),
        &id,
        Stamp {
            born: 6,
            sequence: 0,
        },
        Millis(2_000),
    );
    assert!(reports.restart_wait("i-1") > Millis(6_000));
    let years = ColdStart {
        span: Duration::from_secs(40),
        ..start
    };
    reports.record(
        Millis(6_000),
        &id,
        Stamp {
            born: 6,
            sequence: 1,
        },
        Millis(u64::MAX),
    );
    assert_eq!(reports.until("i-1", &years, None), Millis(66_000));
}

/// Guards against bounds that no number of entries can keep, and a subset of entries that leaves places unused.
#[test]
fn shares_keep_any_bound() {
    let senders = [Sender {
        name: "a",
        local: true,
    }];
    let start = cold_start();
    for (factor, allowance) in [(0.0, 0.9), (f64::NAN, 1.0), (-5.0, 2.0)] {
        let rate = Rate::new(&start, factor, allowance);
        assert_eq!(cold::share("a", "t", &senders, 1, rate), None);
    }
    let free = Rate::new(&start, f64::INFINITY, 0.0);
    let share = cold::share("a", "t", &senders, 1, free).expect("a share");
    assert_eq!(share.gap, Millis(72));
    assert_eq!(
        cold::share("b", "t", &senders, 1, free),
        None,
        "it is not registered"
    );
    let zone = Population {
        entries: 26,
        targets: 154,
    };
    let all = Population {
        entries: 340,
        targets: 2_000,
    };
    assert_eq!(subset::mean_users(zone, all), 5);
    let lone = Population { entries: 0, ..zone };
    assert_eq!(subset::mean_users(lone, all), 2);
    assert_eq!(
        subset::mean_users(zone, Population { targets: 48, ..all }),
        340
    );
}
