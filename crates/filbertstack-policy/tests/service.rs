//! Limits before a plain service, whose answers take unequal time of themselves.

use filbertstack_core::Millis;
use filbertstack_core::declare::Priority;
use filbertstack_policy::cost::Cost;
use filbertstack_policy::flow::Event;
use filbertstack_policy::flow::Flow;
use filbertstack_policy::flow::Offer;
use filbertstack_policy::flow::Settings;
use filbertstack_policy::retry::Outcome;
use filbertstack_policy::route::AttemptKey;
use filbertstack_policy::route::Criteria;
use filbertstack_policy::route::GroupKey;
use filbertstack_policy::route::GroupKind;
use filbertstack_policy::target::TargetInfo;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// One target that works on `places` calls at once, each for 10 to 490 ms, and queues the rest.
struct Service {
    flow: Flow,
    group: GroupKey,
    places: usize,
    queue: Vec<(AttemptKey, u64)>,
    rng: ChaCha8Rng,
}

impl Service {
    fn new(places: usize) -> Self {
        let settings = Settings::new("entry-1".parse().unwrap(), "zone-1".parse().unwrap(), 5);
        let mut flow = Flow::new(settings);
        let info = TargetInfo {
            name: "desk-1".parse().unwrap(),
            zone: "zone-1".parse().unwrap(),
            slots: None,
        };
        let target = flow.router_mut().add_target(Millis::ZERO, info, false);
        let group = flow.add_group(GroupKind::Service);
        flow.router_mut().set_candidates(group, &[target]);
        Self {
            flow,
            group,
            places,
            queue: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(5),
        }
    }

    /// Ten milliseconds in which callers always ask for more; the calls that end.
    fn step(&mut self, now: Millis) -> usize {
        while self.flow.queue(self.group).unwrap().len() < 5 {
            let offer = Offer {
                group: self.group,
                org: "clerks".parse().unwrap(),
                priority: Priority::Normal,
                deadline: now + Millis::secs(3600),
                criteria: Criteria {
                    cost: Cost::CALL,
                    ..Criteria::default()
                },
            };
            self.flow.offer(now, offer).unwrap();
        }
        for event in self.flow.poll(now) {
            let Event::Send { attempt, .. } = event else {
                panic!("refused with an hour to go");
            };
            self.queue.push((attempt, self.rng.random_range(1..50)));
        }
        for (_, left) in self.queue.iter_mut().take(self.places) {
            *left -= 1;
        }
        let (ended, open): (Vec<_>, Vec<_>) =
            self.queue.drain(..).partition(|(_, left)| *left == 0);
        self.queue = open;
        for (attempt, _) in &ended {
            let outcome = Outcome::Ran { cost: Cost::CALL };
            self.flow.finish(now, *attempt, outcome);
        }
        ended.len()
    }
}

#[test]
fn a_service_is_kept_busy_and_its_queue_short() {
    // Callers always want more from a service that works on 16 calls at once and tells nothing.
    // A limit that took its unequal answers for a queue would fall to one and leave it idle; one
    // that heeded nothing would put every call it may hold into the service's own queue.
    let mut service = Service::new(16);
    let mut ended = 0;
    let mut longest = 0;
    for round in 0..12_000 {
        let done = service.step(Millis(round * 10));
        if round >= 4_000 {
            ended += done;
            longest = longest.max(service.queue.len());
        }
    }
    // 16 places, a mean of 25 steps: at best 5,120 in 8,000 steps.
    assert!(ended >= 4_600, "{ended} ended");
    assert!(longest <= 36, "{longest} at the service");
}
