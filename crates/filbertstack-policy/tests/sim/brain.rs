//! What decides at an entry: the flow under test, or the plain baseline.

use std::collections::HashMap;

use filbertstack_core::Millis;
use filbertstack_core::declare::Priority;
use filbertstack_policy::cost::Cost;
use filbertstack_policy::flow::Ended;
use filbertstack_policy::flow::Event;
use filbertstack_policy::flow::Flow;
use filbertstack_policy::flow::Offer;
use filbertstack_policy::flow::Settings;
use filbertstack_policy::prefix::CacheEvent;
use filbertstack_policy::retry::NotRun;
use filbertstack_policy::retry::Outcome;
use filbertstack_policy::route::AttemptKey;
use filbertstack_policy::route::Criteria;
use filbertstack_policy::route::GroupKey;
use filbertstack_policy::route::GroupKind;
use filbertstack_policy::route::TargetKey;
use filbertstack_policy::target::LoadReport;
use filbertstack_policy::target::TargetInfo;
use slotmap::Key;
use slotmap::KeyData;

use super::Call;
use super::engine::SLOTS;

/// What an entry does.
pub enum Act {
    Send {
        call: usize,
        target: usize,
        handle: u64,
    },
    Withdraw {
        handle: u64,
    },
    Refuse {
        call: usize,
        after: Millis,
    },
    Fail {
        call: usize,
    },
    Whole {
        call: usize,
    },
}

pub trait Brain {
    fn offer(&mut self, now: Millis, call: usize, what: &Call) -> Vec<Act>;
    fn poll(&mut self, now: Millis) -> Vec<Act>;
    fn first(&mut self, now: Millis, handle: u64) -> Vec<Act>;
    fn finish(&mut self, now: Millis, handle: u64, outcome: Outcome) -> Vec<Act>;
    fn leave(&mut self, now: Millis, call: usize) -> Vec<Act>;
    fn load(&mut self, now: Millis, target: usize, report: LoadReport);
    fn cache(&mut self, now: Millis, target: usize, event: &CacheEvent);
    fn gone(&mut self, target: usize);
}

pub struct Filbert {
    flow: Flow,
    group: GroupKey,
    targets: Vec<TargetKey>,
    calls: HashMap<u64, usize>,
    tickets: HashMap<usize, filbertstack_policy::admission::TicketKey>,
}

impl Filbert {
    pub fn new(
        now: Millis,
        name: &str,
        engines: usize,
        entries: usize,
        tells: bool,
        seed: u64,
    ) -> Self {
        let zone = |i: usize| format!("zone-{}", i % 3).parse().unwrap();
        let own: usize = name.rsplit('-').next().unwrap().parse().unwrap();
        let mut flow = Flow::new(Settings::new(name.parse().unwrap(), zone(own), seed));
        let used = engines.min(filbertstack_policy::subset::SIZE);
        let sharers = u32::try_from((entries * used).div_ceil(engines)).unwrap();
        flow.router_mut().set_sharers(sharers);
        let info = |i: usize| TargetInfo {
            name: format!("engine-{i}").parse().unwrap(),
            zone: zone(i),
            slots: tells.then_some(u32::try_from(SLOTS).unwrap()),
        };
        let up = |i| flow.router_mut().add_target(now, info(i), false);
        let targets: Vec<_> = (0..engines).map(up).collect();
        let group = flow.add_group(GroupKind::Engines);
        flow.router_mut().set_candidates(group, &targets);
        Self {
            flow,
            group,
            targets,
            calls: HashMap::new(),
            tickets: HashMap::new(),
        }
    }

    fn act(&mut self, event: &Event) -> Act {
        match event {
            Event::Send {
                ticket,
                attempt,
                target,
            } => Act::Send {
                call: self.calls[&ticket.data().as_ffi()],
                target: self.targets.iter().position(|t| t == target).unwrap(),
                handle: attempt.data().as_ffi(),
            },
            Event::Refuse { ticket, refusal } => Act::Refuse {
                call: self.calls[&ticket.data().as_ffi()],
                after: refusal.retry_after,
            },
            Event::Unknown { ticket } => Act::Fail {
                call: self.calls[&ticket.data().as_ffi()],
            },
        }
    }
}

fn key(handle: u64) -> AttemptKey {
    KeyData::from_ffi(handle).into()
}

fn withdraw(lost: Vec<AttemptKey>) -> Vec<Act> {
    let withdraw = |key: AttemptKey| Act::Withdraw {
        handle: key.data().as_ffi(),
    };
    lost.into_iter().map(withdraw).collect()
}

impl Brain for Filbert {
    fn offer(&mut self, now: Millis, call: usize, what: &Call) -> Vec<Act> {
        let offer = Offer {
            group: self.group,
            org: what.org.clone(),
            priority: Priority::Normal,
            deadline: now + what.patience,
            criteria: Criteria {
                cost: what.expected,
                prefix: what.prefix.iter().map(|(prefix, _)| *prefix).collect(),
                idempotent: what.idempotent,
                tried: Vec::new(),
            },
        };
        match self.flow.offer(now, offer) {
            Ok(ticket) => {
                self.calls.insert(ticket.data().as_ffi(), call);
                self.tickets.insert(call, ticket);
                self.poll(now)
            }
            Err(refusal) => vec![Act::Refuse {
                call,
                after: refusal.retry_after,
            }],
        }
    }

    fn poll(&mut self, now: Millis) -> Vec<Act> {
        let events = self.flow.poll(now);
        events.iter().map(|event| self.act(event)).collect()
    }

    fn first(&mut self, now: Millis, handle: u64) -> Vec<Act> {
        withdraw(self.flow.first_token(now, key(handle)))
    }

    fn finish(&mut self, now: Millis, handle: u64, outcome: Outcome) -> Vec<Act> {
        let owner = self.flow.owner(key(handle)).map(|t| t.data().as_ffi());
        let ended = self.flow.finish(now, key(handle), outcome);
        let mut acts = self.poll(now);
        let Some(call) = owner.map(|ticket| self.calls[&ticket]) else {
            return acts;
        };
        match ended {
            Ended::Complete => acts.push(Act::Whole { call }),
            Ended::Refused(refusal) => acts.push(Act::Refuse {
                call,
                after: refusal.retry_after,
            }),
            Ended::Unknown => acts.push(Act::Fail { call }),
            Ended::Retry | Ended::Pending | Ended::Stale => {}
        }
        acts
    }

    fn leave(&mut self, now: Millis, call: usize) -> Vec<Act> {
        let lost = self.flow.cancel(now, self.tickets[&call]);
        let mut acts = withdraw(lost);
        acts.extend(self.poll(now));
        acts
    }

    fn load(&mut self, now: Millis, target: usize, report: LoadReport) {
        let key = self.targets[target];
        self.flow.router_mut().observe_load(now, key, report);
    }

    fn cache(&mut self, now: Millis, target: usize, event: &CacheEvent) {
        let key = self.targets[target];
        self.flow.router_mut().observe_cache(now, key, event);
    }

    fn gone(&mut self, target: usize) {
        let key = self.targets[target];
        self.flow.router_mut().remove_target(key);
    }
}

/// Round robin, first in first out, no limits, and up to three retries at once.
#[derive(Default)]
pub struct Plain {
    targets: Vec<usize>,
    next: usize,
    made: u64,
    open: HashMap<u64, (usize, u32)>,
    handles: HashMap<usize, u64>,
}

const NAIVE_RETRIES: u32 = 3;

impl Plain {
    pub fn new(engines: usize, offset: usize) -> Self {
        Self {
            targets: (0..engines).collect(),
            next: offset,
            ..Self::default()
        }
    }

    fn send(&mut self, call: usize, retries: u32) -> Vec<Act> {
        self.next += 1;
        self.made += 1;
        self.open.insert(self.made, (call, retries));
        self.handles.insert(call, self.made);
        vec![Act::Send {
            call,
            target: self.targets[self.next % self.targets.len()],
            handle: self.made,
        }]
    }
}

impl Brain for Plain {
    fn offer(&mut self, _: Millis, call: usize, _: &Call) -> Vec<Act> {
        self.send(call, 0)
    }

    fn poll(&mut self, _: Millis) -> Vec<Act> {
        Vec::new()
    }

    fn first(&mut self, _: Millis, _: u64) -> Vec<Act> {
        Vec::new()
    }

    fn finish(&mut self, _: Millis, handle: u64, outcome: Outcome) -> Vec<Act> {
        let Some((call, retries)) = self.open.remove(&handle) else {
            return Vec::new();
        };
        match outcome {
            Outcome::Ran { .. } => vec![Act::Whole { call }],
            Outcome::NotRun(NotRun::Unreachable) if retries < NAIVE_RETRIES => {
                self.send(call, retries + 1)
            }
            Outcome::NotRun(_) | Outcome::Unknown => vec![Act::Fail { call }],
        }
    }

    fn leave(&mut self, _: Millis, call: usize) -> Vec<Act> {
        let Some(handle) = self.handles.remove(&call) else {
            return Vec::new();
        };
        self.open.remove(&handle);
        vec![Act::Withdraw { handle }]
    }

    fn load(&mut self, _: Millis, _: usize, _: LoadReport) {}

    fn cache(&mut self, _: Millis, _: usize, _: &CacheEvent) {}

    fn gone(&mut self, target: usize) {
        self.targets.retain(|t| *t != target);
    }
}

/// The cost that an entry expects of a call.
pub fn cost(prompt: u32, output: u32) -> Cost {
    Cost { prompt, output }
}
