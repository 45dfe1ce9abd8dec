//! Invariants of the request flow, checked with random sequences of commands.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use filbertstack_core::Millis;
use filbertstack_core::declare::Priority;
use filbertstack_core::names::OrgName;
use filbertstack_policy::admission::Bounds;
use filbertstack_policy::admission::TicketKey;
use filbertstack_policy::cost::Cost;
use filbertstack_policy::flow::Ended;
use filbertstack_policy::flow::Event;
use filbertstack_policy::flow::Flow;
use filbertstack_policy::flow::Offer;
use filbertstack_policy::flow::Settings;
use filbertstack_policy::retry::NotRun;
use filbertstack_policy::retry::Outcome;
use filbertstack_policy::route::AttemptKey;
use filbertstack_policy::route::Criteria;
use filbertstack_policy::route::GroupKey;
use filbertstack_policy::route::GroupKind;
use filbertstack_policy::route::TargetKey;
use filbertstack_policy::target::LoadReport;
use filbertstack_policy::target::TargetInfo;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::RngSeed;

const BOUNDS: Bounds = Bounds { org: 6, total: 10 };
const TARGETS: usize = 6;
const TIMEOUT: Millis = Millis::secs(5);

/// The next operation on the flow. Numbers select among the present requests, attempts or targets.
#[derive(Clone, Debug)]
enum Command {
    Offer {
        org: usize,
        priority: usize,
        output: u32,
        idempotent: bool,
    },
    Pass(u64),
    First(usize),
    Finish(usize, usize),
    Cancel(usize),
    Load(usize, u32),
    Leave(usize),
    Gone(usize),
}

fn command() -> impl Strategy<Value = Command> {
    let offer = (0..4_usize, 0..3_usize, 1..400_u32, any::<bool>());
    prop_oneof![
        8 => offer.prop_map(|(org, priority, output, idempotent)| Command::Offer {
            org,
            priority,
            output,
            idempotent,
        }),
        4 => (1..400_u64).prop_map(Command::Pass),
        4 => any::<usize>().prop_map(Command::First),
        6 => (any::<usize>(), 0..6_usize).prop_map(|(i, result)| Command::Finish(i, result)),
        1 => any::<usize>().prop_map(Command::Cancel),
        1 => (0..TARGETS, 0..60_u32).prop_map(|(i, running)| Command::Load(i, running)),
        1 => (0..TARGETS).prop_map(Command::Leave),
        1 => (0..TARGETS).prop_map(Command::Gone),
    ]
}

struct Attempt {
    ticket: TicketKey,
    target: TargetKey,
}

/// A flow together with the state that its caller expects.
struct Harness {
    flow: Flow,
    group: GroupKey,
    targets: Vec<TargetKey>,
    now: Millis,
    /// The requests that have not ended, and whether they may run twice.
    open: BTreeMap<TicketKey, bool>,
    attempts: BTreeMap<AttemptKey, Attempt>,
    /// The requests with an attempt of unknown outcome.
    may_have_run: BTreeSet<TicketKey>,
    leaving: BTreeSet<TargetKey>,
}

impl Harness {
    fn new() -> Self {
        let settings = Settings {
            bounds: BOUNDS,
            ..Settings::new("entry-1".parse().unwrap(), "zone-1".parse().unwrap(), 3)
        };
        let mut flow = Flow::new(settings);
        let targets: Vec<_> = (0..TARGETS)
            .map(|i| {
                flow.router_mut()
                    .add_target(Millis::ZERO, target_info(i), i % 2 == 0)
            })
            .collect();
        let group = flow.add_group(GroupKind::Engines);
        flow.router_mut().set_candidates(group, &targets);
        Self {
            flow,
            group,
            targets,
            now: Millis::ZERO,
            open: BTreeMap::new(),
            attempts: BTreeMap::new(),
            may_have_run: BTreeSet::new(),
            leaving: BTreeSet::new(),
        }
    }

    fn run(&mut self, command: &Command) {
        match *command {
            Command::Offer {
                org,
                priority,
                output,
                idempotent,
            } => self.offer(org, priority, output, idempotent),
            Command::Pass(span) => self.now = self.now + Millis(span),
            Command::First(i) => self.first_token(i),
            Command::Finish(i, result) => self.finish(i, result),
            Command::Cancel(i) => self.cancel(i),
            Command::Load(i, running) => {
                let report = LoadReport {
                    running,
                    waiting: 0,
                    slots: 4,
                };
                let target = self.targets[i];
                self.flow
                    .router_mut()
                    .observe_load(self.now, target, report);
            }
            Command::Leave(i) => {
                self.leaving.insert(self.targets[i]);
                self.flow.router_mut().mark_leaving(self.targets[i]);
            }
            Command::Gone(i) => self.flow.router_mut().remove_target(self.targets[i]),
        }
        self.poll();
        self.check();
    }

    fn offer(&mut self, org: usize, priority: usize, output: u32, idempotent: bool) {
        let priorities = [Priority::Low, Priority::Normal, Priority::High];
        let offer = Offer {
            group: self.group,
            org: format!("org-{org}").parse().unwrap(),
            priority: priorities[priority],
            deadline: self.now + TIMEOUT,
            criteria: Criteria {
                cost: Cost { prompt: 0, output },
                idempotent,
                ..Criteria::default()
            },
        };
        match self.flow.offer(self.now, offer) {
            Ok(ticket) => assert!(self.open.insert(ticket, idempotent).is_none()),
            Err(refusal) => assert!(refusal.retry_after > Millis::ZERO),
        }
    }

    fn poll(&mut self) {
        for event in self.flow.poll(self.now) {
            match event {
                Event::Send {
                    ticket,
                    attempt,
                    target,
                } => self.sent(ticket, attempt, target),
                Event::Refuse { ticket, refusal } => {
                    assert!(
                        !self.may_have_run.contains(&ticket),
                        "refused a request that may have run"
                    );
                    assert!(refusal.retry_after > Millis::ZERO);
                    self.end(ticket);
                }
                Event::Unknown { ticket } => {
                    assert!(
                        self.may_have_run.contains(&ticket),
                        "unknown outcome of a request that did not run"
                    );
                    self.end(ticket);
                }
            }
        }
    }

    fn sent(&mut self, ticket: TicketKey, attempt: AttemptKey, target: TargetKey) {
        let idempotent = self.open[&ticket];
        assert!(
            idempotent || !self.may_have_run.contains(&ticket),
            "resent a request that may have run"
        );
        assert!(!self.leaving.contains(&target), "sent to a leaving target");
        let others = self.attempts.values().filter(|a| a.ticket == ticket);
        assert!(
            idempotent || others.count() == 0,
            "two attempts of a request that may run once"
        );
        self.attempts.insert(attempt, Attempt { ticket, target });
        let state = self.flow.router().target(target).unwrap();
        let within = f64::from(state.in_flight()) < state.allowed(self.now) + 1.0;
        assert!(
            within || state.is_out(),
            "sent over the limit of the target"
        );
    }

    fn pick_attempt(&self, i: usize) -> Option<AttemptKey> {
        let len = self.attempts.len().max(1);
        self.attempts.keys().nth(i % len).copied()
    }

    fn first_token(&mut self, i: usize) {
        if let Some(attempt) = self.pick_attempt(i) {
            for lost in self.flow.first_token(self.now, attempt) {
                self.attempts.remove(&lost).unwrap();
            }
        }
    }

    fn finish(&mut self, i: usize, result: usize) {
        let Some(key) = self.pick_attempt(i) else {
            return;
        };
        let cost = Cost {
            prompt: 0,
            output: 50,
        };
        let outcome = match result {
            0 => Outcome::NotRun(NotRun::Full),
            1 => Outcome::NotRun(NotRun::Unreachable),
            2 => Outcome::Unknown,
            _ => Outcome::Ran { cost },
        };
        let ticket = self.attempts.remove(&key).unwrap().ticket;
        if outcome == Outcome::Unknown {
            self.may_have_run.insert(ticket);
        }
        match self.flow.finish(self.now, key, outcome) {
            Ended::Complete | Ended::Unknown => self.end(ticket),
            Ended::Refused(refusal) => {
                assert!(
                    !self.may_have_run.contains(&ticket),
                    "refused a request that may have run"
                );
                assert!(refusal.retry_after > Millis::ZERO);
                self.end(ticket);
            }
            Ended::Retry | Ended::Pending => assert!(self.open.contains_key(&ticket)),
            Ended::Stale => assert!(!self.open.contains_key(&ticket)),
        }
    }

    fn cancel(&mut self, i: usize) {
        let len = self.open.len().max(1);
        let Some(ticket) = self.open.keys().nth(i % len).copied() else {
            return;
        };
        for lost in self.flow.cancel(self.now, ticket) {
            self.attempts.remove(&lost).unwrap();
        }
        self.end(ticket);
    }

    fn end(&mut self, ticket: TicketKey) {
        assert!(
            self.open.remove(&ticket).is_some(),
            "the request ended twice"
        );
        self.attempts.retain(|_, attempt| attempt.ticket != ticket);
    }

    fn check(&self) {
        let queue = self.flow.queue(self.group).unwrap();
        assert!(queue.len() <= BOUNDS.total);
        assert_eq!(self.flow.open_count(), self.open.len());
        let members = self.flow.router().members(self.group);
        let target = |key: &&TargetKey| self.flow.router().target(**key).unwrap();
        let out = members.iter().filter(|key| target(key).is_out()).count();
        let lost = TARGETS - members.len();
        assert!(
            out <= members.len() / 2 + lost,
            "{out} of {}",
            members.len()
        );
        for key in members {
            let held = self.attempts.values().filter(|a| a.target == *key).count();
            let counted = self.flow.router().target(*key).unwrap().in_flight();
            assert_eq!(usize::try_from(counted).unwrap(), held);
        }
    }

    /// Ends all attempts in flight and lets every deadline pass.
    fn drain(&mut self) {
        for _ in 0..1000 {
            self.now = self.now + Millis(50);
            self.finish(0, 3);
            self.poll();
        }
        assert!(
            self.open.is_empty(),
            "{} requests never ended",
            self.open.len()
        );
    }
}

fn target_info(i: usize) -> TargetInfo {
    TargetInfo {
        name: format!("engine-{i}").parse().unwrap(),
        zone: "zone-1".parse().unwrap(),
        slots: Some(4),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        rng_seed: RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    // Offers, tokens, ends with every outcome, leaving and lost targets occur in any order. A lost ticket
    // would leave its caller without an answer, a second end would answer it twice, and a refusal after an
    // attempt with an unknown outcome would let the caller resend a request that may have run.
    #[test]
    fn every_request_ends_once(commands in proptest::collection::vec(command(), 1..150)) {
        let mut harness = Harness::new();
        for command in &commands {
            harness.run(command);
        }
        harness.drain();
    }
}

/// Serves one request at a time from a full queue and returns the work by organisation.
fn work_served(orgs: &[(&str, f64, Priority, u32)], rounds: usize) -> BTreeMap<String, f64> {
    let mut flow = Flow::new(Settings::new(
        "entry-1".parse().unwrap(),
        "zone-1".parse().unwrap(),
        1,
    ));
    let mut single = target_info(0);
    single.slots = Some(1);
    let target = flow.router_mut().add_target(Millis::ZERO, single, false);
    let group = flow.add_group(GroupKind::Engines);
    flow.router_mut().set_candidates(group, &[target]);
    let mut work = BTreeMap::new();
    let mut requests = BTreeMap::new();
    for round in 0..rounds {
        let now = Millis(u64::try_from(round).unwrap() * 20);
        for (name, weight, priority, output) in orgs {
            let org: OrgName = name.parse().unwrap();
            flow.set_weight(group, &org, *weight);
            while flow.queue(group).unwrap().queued(&org) < 3 {
                let cost = Cost {
                    prompt: 0,
                    output: *output,
                };
                let offer = Offer {
                    group,
                    org: org.clone(),
                    priority: *priority,
                    deadline: now + Millis::secs(3600),
                    criteria: Criteria {
                        cost,
                        ..Criteria::default()
                    },
                };
                requests.insert(flow.offer(now, offer).unwrap(), (*name, cost));
            }
        }
        for event in flow.poll(now) {
            let Event::Send {
                ticket, attempt, ..
            } = event
            else {
                panic!("refused an hour before the deadline");
            };
            let (name, cost) = requests[&ticket];
            *work.entry(name.to_owned()).or_default() += cost.work();
            flow.finish(now + Millis(10), attempt, Outcome::Ran { cost });
        }
    }
    work
}

#[test]
fn work_is_shared_by_weight_for_any_request_length() {
    // Three organisations always have waiting requests; one sends requests that are ten times as long, and
    // one has twice the weight. First-in-first-out order would give the long requests ten times the work.
    let normal = Priority::Normal;
    let orgs = [
        ("long", 1.0, normal, 300),
        ("short", 1.0, normal, 30),
        ("double", 2.0, normal, 60),
    ];
    let work = work_served(&orgs, 4000);
    let (long, short, double) = (work["long"], work["short"], work["double"]);
    assert!((long - short).abs() <= 600.0, "{work:?}");
    assert!((double / 2.0 - short).abs() <= 600.0, "{work:?}");
}

#[test]
fn low_priority_is_served_in_a_flood_of_high() {
    // High-priority requests wait at any time. Strict priorities would never serve the low ones; shares of 16
    // to 1 give them a seventeenth of the work.
    let orgs = [
        ("high", 1.0, Priority::High, 50),
        ("low", 1.0, Priority::Low, 50),
    ];
    let work = work_served(&orgs, 2000);
    let share = work["low"] / (work["low"] + work["high"]);
    assert!((0.05..0.07).contains(&share), "{share}");
}

#[test]
fn refused_callers_get_different_return_times() {
    // Sixty calls arrive in the same millisecond, more than the targets and the queue take. If all refused
    // callers got the same time, they would come back together and be refused again.
    let mut harness = Harness::new();
    let mut times = Vec::new();
    for _ in 0..60 {
        let offer = Offer {
            group: harness.group,
            org: "org-1".parse().unwrap(),
            priority: Priority::Normal,
            deadline: Millis::secs(60),
            criteria: Criteria {
                cost: Cost {
                    prompt: 0,
                    output: 100,
                },
                ..Criteria::default()
            },
        };
        if let Err(refusal) = harness.flow.offer(harness.now, offer) {
            times.push(refusal.retry_after);
        }
        harness.flow.poll(harness.now);
    }
    let different: BTreeSet<_> = times.iter().collect();
    assert!(times.len() >= 20);
    assert!(different.len() * 10 >= times.len() * 9, "{times:?}");
}

#[test]
fn retries_add_at_most_a_tenth() {
    // Every target refuses every request as full. Unlimited retries would send each request four times and
    // keep the targets busy with refusals.
    let mut harness = Harness::new();
    let mut sent = 0;
    for round in 1..=1000 {
        harness.now = harness.now + Millis(200);
        harness.offer(round % 4, 1, 20, true);
        harness.poll();
        while let Some(attempt) = harness.pick_attempt(0) {
            sent += 1;
            let ticket = harness.attempts.remove(&attempt).unwrap().ticket;
            let full = Outcome::NotRun(NotRun::Full);
            let ended = harness.flow.finish(harness.now, attempt, full);
            if matches!(ended, Ended::Refused(_)) {
                harness.end(ticket);
            }
            harness.poll();
        }
    }
    assert!(sent > 1000, "no request was retried");
    assert!(sent <= 1100 + 3, "{sent} attempts of 1000 requests");
}
