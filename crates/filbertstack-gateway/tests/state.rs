//! Tests the text that tells operators what an entry decides by.

use filbertstack_core::Millis;
use filbertstack_gateway::request::state::Binding;
use filbertstack_gateway::request::state::Bound;
use filbertstack_gateway::request::state::EntryState;
use filbertstack_gateway::request::state::PlacedTarget;
use filbertstack_gateway::request::state::ServiceRanks;
use filbertstack_policy::cold::Limit;
use filbertstack_policy::cold::Share;
use filbertstack_policy::dispatch::AttemptEnd;
use filbertstack_policy::dispatch::Dispatcher;
use filbertstack_policy::dispatch::Load;
use filbertstack_policy::dispatch::Sharers;
use filbertstack_policy::dispatch::TargetSpec;
use filbertstack_policy::rank::Contender;
use filbertstack_policy::rank::Rank;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

const NOW: Millis = Millis::secs(100);

fn spec(id: &str) -> TargetSpec {
    TargetSpec {
        id: id.into(),
        service: "chat".into(),
        slots: 4,
        local: true,
        sharers: Sharers {
            entries: 1,
            targets: 8,
            used: 8,
            preferred_by: 0,
        },
        engine: None,
        accepts_work: id != "i-drains",
        region: (id != "i-usable").then(|| "eu".into()),
        evacuated: id == "i-evacuated",
        replaced: None,
    }
}

/// Returns a dispatcher with a target in each state.
fn dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(ChaCha8Rng::seed_from_u64(1));
    dispatcher.estimate_paces();
    let ids = ["usable", "cold", "other", "slow", "evacuated", "ejected"];
    let ids = ids
        .into_iter()
        .chain(["rests", "silent", "heard", "drains"]);
    dispatcher.set_targets(ids.map(|id| spec(&format!("i-{id}"))).collect());
    let share = Share {
        gap: Millis(501),
        phase: Millis::ZERO,
    };
    for (id, share) in [("i-cold", Some(share)), ("i-other", None)] {
        let limit = Limit {
            until: NOW + Millis(3_000),
            share,
            from: NOW,
        };
        dispatcher.set_cold(NOW, id, Some(limit));
    }
    for _ in 0..50 {
        dispatcher.count_sent(NOW, "i-ejected", 0);
        dispatcher.count_end(NOW, "i-ejected", 0, AttemptEnd::Failed);
    }
    dispatcher.record_rest(NOW, &"i-rests".into(), Millis(700));
    let load = Load {
        running: 0,
        waiting: 0,
        pace: 1.0,
    };
    dispatcher.record_load(Millis::secs(90), "i-silent", load);
    dispatcher.record_load(NOW, "i-heard", load);
    for n in 0..20 {
        let at = Millis(NOW.0 - 400 + n * 20);
        dispatcher.observe_call(at, "i-usable", Millis(30));
        dispatcher.observe_call(at, "i-heard", Millis(30));
        dispatcher.observe_call(at, "i-slow", Millis(90));
    }
    dispatcher
}

fn targets(dispatcher: &Dispatcher) -> Vec<PlacedTarget> {
    let statuses = dispatcher.statuses(NOW).into_iter();
    let placed = statuses.map(|status| PlacedTarget {
        zone: (&*status.id != "i-other").then(|| "a".into()),
        status,
    });
    placed.collect()
}

/// Guards against a state of a target that is not shown, or shown as another one.
#[test]
fn each_state_of_a_target_is_shown() {
    let state = EntryState {
        version: 59,
        current: true,
        revision: 5,
        evacuated: ["b".into(), "a".into()].into(),
        targets: targets(&dispatcher()),
        now: NOW,
        ..EntryState::default()
    };
    insta::assert_snapshot!(state.render());
}

/// Guards against a shortage that is not shown, and against names that add lines of their own.
#[test]
fn ranks_and_regions_are_shown() {
    let mut dispatcher = dispatcher();
    for n in 0..40 {
        let contender = Contender {
            rank: Rank(n % 2),
            route: n % 2,
            ..Contender::default()
        };
        let at = Millis(NOW.0 - 2_000 + u64::from(n) * 50);
        dispatcher.count_contender(at, &"chat".into(), &contender, Millis(400));
    }
    let ranks = dispatcher.ranks();
    let rates = (0..3).map(|rank| ranks.rate(NOW, "chat", Rank(rank)));
    let chat = ServiceRanks {
        service: "chat".into(),
        short: ranks.is_short(NOW, "chat"),
        rates: rates.collect(),
    };
    let bindings = [
        Bound::Organisation("acme".into()),
        Bound::Route("a\nb".into()),
    ];
    let bindings = bindings.map(|bound| Binding {
        bound,
        regions: vec!["eu".into(), "us".into()],
    });
    let state = EntryState {
        ranks: vec![chat],
        bindings: bindings.into(),
        empty: ["us".into()].into(),
        now: NOW,
        ..EntryState::default()
    };
    insta::assert_snapshot!(state.render());
}
