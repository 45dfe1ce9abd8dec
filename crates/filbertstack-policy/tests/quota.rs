//! Tests of limits that targets name: replays in virtual time of entries that share a limited target,
//! judged by the requests that reach it and by the answers that callers receive.

mod plain;

use std::collections::VecDeque;

use filbertstack_core::Millis;
use filbertstack_policy::crashes::Verdict;
use filbertstack_policy::dispatch::AttemptEnd;
use filbertstack_policy::dispatch::ChooseError;
use filbertstack_policy::dispatch::Dispatcher;
use filbertstack_policy::dispatch::TargetId;
use filbertstack_policy::permit;
use filbertstack_policy::permit::Permit;
use filbertstack_policy::permit::Way;
use filbertstack_policy::quota;
use filbertstack_policy::quota::LimitReport;
use filbertstack_policy::quota::Limits;
use filbertstack_policy::quota::Quota;
use filbertstack_policy::quota::Sender;
use plain::choose;
use plain::dispatcher;
use proptest::prop_assert_eq;
use proptest::proptest;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

/// The span over which the requests at a target are counted.
const SPAN: Millis = Millis(4_000);

fn names(entries: usize) -> Vec<String> {
    (0..entries).map(|n| format!("entry-{n}")).collect()
}

fn senders(names: &[String], zones: usize) -> Vec<Sender<'_>> {
    let senders = names.iter().enumerate().map(|(n, name)| Sender {
        name,
        local: n % zones == 0,
    });
    senders.collect()
}

/// Returns the most requests that reach a target in any [`SPAN`] of a minute, in which `chance` is the
/// chance that an entry has a request to send in a millisecond, and all have one at each tenth second.
fn most_in_span(limit: f64, entries: usize, chance: f64, seed: u64) -> usize {
    let names = names(entries);
    let senders = senders(&names, 3);
    let share = |name: &String| quota::share(name, "target", &senders, limit);
    let mut quotas: Vec<Quota> = names
        .iter()
        .map(|name| Quota::new(Millis::ZERO, share(name)))
        .collect();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut recent: VecDeque<u64> = VecDeque::new();
    let mut most = 0;
    for ms in 0..60_000 {
        for quota in &mut quotas {
            let arrives = ms % 10_000 == 0 || rng.random_bool(chance);
            if arrives && quota.may_send(Millis(ms)) {
                quota.take(Millis(ms));
                recent.push_back(ms);
            }
        }
        while recent.front().is_some_and(|at| at + SPAN.0 <= ms) {
            recent.pop_front();
        }
        most = most.max(recent.len());
    }
    most
}

/// Guards against hundreds of entries that together send a target more than it takes, whether all of them
/// have callers at once or most are idle.
#[test]
fn entries_together_keep_a_limit() {
    for limit in [0.0, 0.5, 1.0, 2.3, 10.0, 40.0] {
        for entries in [1, 3, 11, 154, 340] {
            for chance in [0.0, 0.001, 0.2] {
                let most = most_in_span(limit, entries, chance, 5);
                let allowed = limit * 4.0 * 1.5 + 5.0;
                let most = f64::from(u32::try_from(most).expect("few"));
                assert!(
                    most <= allowed,
                    "{most} of {allowed} at {limit}, {entries} entries, {chance}"
                );
            }
        }
    }
}

/// Guards against a limited target that is not used although callers wait.
#[test]
fn a_limit_is_used_under_load() {
    for (limit, entries) in [(1.0, 11), (2.3, 154), (40.0, 11)] {
        let most = most_in_span(limit, entries, 0.2, 7);
        let most = f64::from(u32::try_from(most).expect("few"));
        assert!(most >= limit * 4.0 * 0.9, "{most} at {limit}");
    }
}

/// Guards against a limited target in a zone with entries that is used from other zones.
#[test]
fn entries_of_the_zone_share_a_limit_first() {
    let names = names(9);
    let senders = senders(&names, 3);
    let users = senders.iter();
    let users = users.filter(|s| quota::share(s.name, "target", &senders, 1.0) > 0.0);
    assert!(users.clone().count() == 3 && users.clone().all(|s| s.local));
    assert!(quota::share("unknown", "target", &senders, 1.0) <= 0.0);
}

/// Guards against a target that names a limit of nothing and is never asked again, so that its end stays unknown.
#[test]
fn a_limit_of_nothing_is_tried_now_and_then() {
    let names = names(11);
    let senders = senders(&names, 3);
    let shares = senders.iter();
    let shares = shares.map(|s| quota::share(s.name, "target", &senders, 0.0));
    let per_s: f64 = shares.sum();
    assert!((0.1..0.5).contains(&per_s), "{per_s} requests a second");
}

/// Guards against callers that wait for a target which would serve them soon, or are told that there is
/// none.
#[test]
fn a_request_beyond_the_quota_is_served_elsewhere_or_refused_at_once() {
    let mut dispatcher = dispatcher(&["e0", "e1"]);
    dispatcher.set_quota(Millis::ZERO, "e0", Some(1.0));
    let now = Millis(1_000);
    let mut at_limited = 0;
    for _ in 0..40 {
        let chosen = choose(&mut dispatcher, now).expect("the other one is free");
        at_limited += usize::from(&*chosen == "e0");
        dispatcher.count_sent(now, &chosen, 0);
        dispatcher.count_end(now, &chosen, 0, AttemptEnd::Answered(Millis(30)));
    }
    assert_eq!(at_limited, 1);
    dispatcher.set_quota(now, "e1", Some(0.0));
    let refused = choose(&mut dispatcher, now);
    assert!(
        matches!(refused, Err(ChooseError::Full { .. })),
        "{refused:?}"
    );
    dispatcher.set_quota(now, "e0", None);
    assert!(choose(&mut dispatcher, now).is_ok(), "the limit has ended");
}

fn may_resend(dispatcher: &Dispatcher, now: Millis) -> bool {
    let obstacle = dispatcher.obstacle(now, "e0");
    permit::may_send_to(Way::Resend, Verdict::Allowed, obstacle) == Permit::Send
}

/// Guards against a request that is sent again on a new connection beyond the limit of its target.
#[test]
fn a_request_that_is_sent_again_counts_against_the_limit() {
    let mut dispatcher = dispatcher(&["e0"]);
    let now = Millis(2_000);
    assert!(may_resend(&dispatcher, now));
    dispatcher.set_quota(Millis::ZERO, "e0", Some(1.0));
    dispatcher.count_sent(now, "e0", 0);
    assert!(!may_resend(&dispatcher, now));
    let later = Millis(3_000);
    assert!(may_resend(&dispatcher, later));
    dispatcher.count_resent(later, "e0");
    assert!(choose(&mut dispatcher, later).is_err(), "it is used up");
}

fn target() -> TargetId {
    "i-1".into()
}

/// Guards against a limit that ends with an answer which the target gave before it named the limit.
#[test]
fn a_limit_ends_with_an_answer_to_a_later_request() {
    let mut limits = Limits::default();
    assert!(!limits.observe(Millis(5), &target(), None, Millis(1)));
    assert!(limits.is_empty());
    assert!(limits.observe(Millis(10), &target(), Some(2.0), Millis(1)));
    assert!(!limits.observe(Millis(12), &target(), None, Millis(9)));
    assert_eq!(limits.limit("i-1"), Some(2.0));
    assert!(!limits.observe(Millis(13), &target(), Some(2.1), Millis(1)));
    assert!(limits.observe(Millis(14), &target(), Some(1.0), Millis(1)));
    assert!(limits.observe(Millis(20), &target(), None, Millis(14)));
    assert_eq!(limits.limit("i-1"), None);
}

/// Guards against requests beyond an entry's share that are never made up for.
#[test]
fn what_was_sent_beyond_the_share_is_made_up_for() {
    let mut quota = Quota::new(Millis::ZERO, 1.0);
    for _ in 0..3 {
        quota.take(Millis::secs(1));
    }
    let first = (1..10).find(|s| quota.may_send(Millis::secs(*s)));
    assert_eq!(first, Some(4));
}

/// Guards against a limit that an older report ends: of two reports with the same count the lower limit holds.
#[test]
fn of_two_reports_the_lower_limit_holds() {
    let report = |per_s| LimitReport {
        target: target(),
        per_s,
        version: 1,
    };
    for order in [[Some(2.0), None], [None, Some(2.0)]] {
        let mut limits = Limits::default();
        for per_s in order {
            limits.merge(Millis(1), &report(per_s));
        }
        assert_eq!(limits.limit("i-1"), Some(2.0), "{order:?}");
    }
}

/// Guards against a restarted process that reports a limit which has ended since.
#[test]
fn an_old_report_does_not_restore_a_limit() {
    let mut user = Limits::default();
    user.observe(Millis(10), &target(), Some(2.0), Millis(1));
    let old = user.reports_since(Millis::ZERO);
    user.observe(Millis(20), &target(), None, Millis(11));
    for report in &old {
        assert!(!user.merge(Millis(30), report));
    }
    assert_eq!(user.limit("i-1"), None);
    user.retain(|_| false);
    assert!(user.is_empty());
}

proptest! {
    /// Guards against entries that disagree because reports reach them in different orders.
    #[test]
    fn the_order_of_reports_does_not_matter(
        reports in proptest::collection::vec((0..4_u64, 0..4_u32), 0..20),
    ) {
        let reports: Vec<LimitReport> = reports
            .into_iter()
            .map(|(version, limit)| LimitReport {
                target: target(),
                per_s: (limit > 0).then(|| f64::from(limit)),
                version,
            })
            .collect();
        let merged = |reports: &mut dyn Iterator<Item = &LimitReport>| {
            let mut limits = Limits::default();
            for report in reports {
                limits.merge(Millis(1), report);
            }
            limits.reports_since(Millis::ZERO)
        };
        prop_assert_eq!(merged(&mut reports.iter()), merged(&mut reports.iter().rev()));
    }
}
