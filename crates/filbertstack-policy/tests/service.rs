//! Limits at a plain service, whose answer times vary without any load.

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

/// One target that handles `slots` calls at once, each for 10 to 490 ms, and queues the rest.
struct Service {
    flow: Flow,
    group: GroupKey,
    slots: usize,
    queue: Vec<(AttemptKey, u64)>,
    rng: ChaCha8Rng,
}

impl Service {
    fn new(slots: usize) -> Self {
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
            slots,
            queue: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(5),
        }
    }

    /// Advances by ten milliseconds, in which callers always send more calls, and returns the number of calls
    /// that ended.
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
                panic!("refused an hour before the deadline");
            };
            self.queue.push((attempt, self.rng.random_range(1..50)));
        }
        for (_, left) in self.queue.iter_mut().take(self.slots) {
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
fn service_stays_busy_with_a_short_queue() {
    // Callers always have more calls for a service that handles 16 at once and reports nothing. A limit that
    // took its varying answer times for a queue would fall to one and leave the service idle; a limit that
    // ignored them would move every allowed call into the service's own queue.
    let mut service = Service::new(16);
    let mut ended = 0;
    let mut max_queue = 0;
    for round in 0..12_000 {
        let finished = service.step(Millis(round * 10));
        if round >= 4_000 {
            ended += finished;
            max_queue = max_queue.max(service.queue.len());
        }
    }
    // 16 slots and a mean of 25 steps a call: at best 5,120 calls in 8,000 steps.
    assert!(ended >= 4_600, "{ended} calls ended");
    assert!(max_queue <= 36, "{max_queue} calls at the service");
}
