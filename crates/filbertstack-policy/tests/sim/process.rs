//! The processes of an entry in the simulation: the request flow under test, or the baseline policy.

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

/// An action that an entry takes.
pub enum Action {
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
    Complete {
        call: usize,
    },
}

pub trait EntryProcess {
    fn offer(&mut self, now: Millis, call: usize, details: &Call) -> Vec<Action>;
    fn poll(&mut self, now: Millis) -> Vec<Action>;
    fn first_token(&mut self, now: Millis, handle: u64) -> Vec<Action>;
    fn finish(&mut self, now: Millis, handle: u64, outcome: Outcome) -> Vec<Action>;
    fn cancel(&mut self, now: Millis, call: usize) -> Vec<Action>;
    fn observe_load(&mut self, now: Millis, target: usize, report: LoadReport);
    fn observe_cache(&mut self, now: Millis, target: usize, event: &CacheEvent);
    fn remove_target(&mut self, target: usize);
}

pub struct FlowProcess {
    flow: Flow,
    group: GroupKey,
    targets: Vec<TargetKey>,
    calls: HashMap<u64, usize>,
    tickets: HashMap<usize, filbertstack_policy::admission::TicketKey>,
}

impl FlowProcess {
    pub fn new(
        now: Millis,
        name: &str,
        engines: usize,
        entries: usize,
        reports_load: bool,
        seed: u64,
    ) -> Self {
        let zone = |i: usize| format!("zone-{}", i % 3).parse().unwrap();
        let own: usize = name.rsplit('-').next().unwrap().parse().unwrap();
        let mut flow = Flow::new(Settings::new(name.parse().unwrap(), zone(own), seed));
        let subset_size = engines.min(filbertstack_policy::subset::SIZE);
        let sharers = u32::try_from((entries * subset_size).div_ceil(engines)).unwrap();
        flow.router_mut().set_sharers(sharers);
        let info = |i: usize| TargetInfo {
            name: format!("engine-{i}").parse().unwrap(),
            zone: zone(i),
            slots: reports_load.then_some(u32::try_from(SLOTS).unwrap()),
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

    fn action(&mut self, event: &Event) -> Action {
        match event {
            Event::Send {
                ticket,
                attempt,
                target,
            } => Action::Send {
                call: self.calls[&ticket.data().as_ffi()],
                target: self.targets.iter().position(|t| t == target).unwrap(),
                handle: attempt.data().as_ffi(),
            },
            Event::Refuse { ticket, refusal } => Action::Refuse {
                call: self.calls[&ticket.data().as_ffi()],
                after: refusal.retry_after,
            },
            Event::Unknown { ticket } => Action::Fail {
                call: self.calls[&ticket.data().as_ffi()],
            },
        }
    }
}

fn attempt_key(handle: u64) -> AttemptKey {
    KeyData::from_ffi(handle).into()
}

fn withdrawals(lost: Vec<AttemptKey>) -> Vec<Action> {
    let withdraw = |key: AttemptKey| Action::Withdraw {
        handle: key.data().as_ffi(),
    };
    lost.into_iter().map(withdraw).collect()
}

impl EntryProcess for FlowProcess {
    fn offer(&mut self, now: Millis, call: usize, details: &Call) -> Vec<Action> {
        let offer = Offer {
            group: self.group,
            org: details.org.clone(),
            priority: Priority::Normal,
            deadline: now + details.timeout,
            criteria: Criteria {
                cost: details.expected,
                prefix: details.prefix.iter().map(|(prefix, _)| *prefix).collect(),
                idempotent: details.idempotent,
                tried: Vec::new(),
            },
        };
        match self.flow.offer(now, offer) {
            Ok(ticket) => {
                self.calls.insert(ticket.data().as_ffi(), call);
                self.tickets.insert(call, ticket);
                self.poll(now)
            }
            Err(refusal) => vec![Action::Refuse {
                call,
                after: refusal.retry_after,
            }],
        }
    }

    fn poll(&mut self, now: Millis) -> Vec<Action> {
        let events = self.flow.poll(now);
        events.iter().map(|event| self.action(event)).collect()
    }

    fn first_token(&mut self, now: Millis, handle: u64) -> Vec<Action> {
        withdrawals(self.flow.first_token(now, attempt_key(handle)))
    }

    fn finish(&mut self, now: Millis, handle: u64, outcome: Outcome) -> Vec<Action> {
        let owner = self
            .flow
            .owner(attempt_key(handle))
            .map(|t| t.data().as_ffi());
        let ended = self.flow.finish(now, attempt_key(handle), outcome);
        let mut actions = self.poll(now);
        let Some(call) = owner.map(|ticket| self.calls[&ticket]) else {
            return actions;
        };
        match ended {
            Ended::Complete => actions.push(Action::Complete { call }),
            Ended::Refused(refusal) => actions.push(Action::Refuse {
                call,
                after: refusal.retry_after,
            }),
            Ended::Unknown => actions.push(Action::Fail { call }),
            Ended::Retry | Ended::Pending | Ended::Stale => {}
        }
        actions
    }

    fn cancel(&mut self, now: Millis, call: usize) -> Vec<Action> {
        let lost = self.flow.cancel(now, self.tickets[&call]);
        let mut actions = withdrawals(lost);
        actions.extend(self.poll(now));
        actions
    }

    fn observe_load(&mut self, now: Millis, target: usize, report: LoadReport) {
        let key = self.targets[target];
        self.flow.router_mut().observe_load(now, key, report);
    }

    fn observe_cache(&mut self, now: Millis, target: usize, event: &CacheEvent) {
        let key = self.targets[target];
        self.flow.router_mut().observe_cache(now, key, event);
    }

    fn remove_target(&mut self, target: usize) {
        let key = self.targets[target];
        self.flow.router_mut().remove_target(key);
    }
}

/// A policy with round robin, first-in-first-out order, no limits, and up to three immediate retries.
#[derive(Default)]
pub struct BaselineProcess {
    targets: Vec<usize>,
    next: usize,
    last_handle: u64,
    open: HashMap<u64, (usize, u32)>,
    handles: HashMap<usize, u64>,
}

const BASELINE_RETRIES: u32 = 3;

impl BaselineProcess {
    pub fn new(engines: usize, offset: usize) -> Self {
        Self {
            targets: (0..engines).collect(),
            next: offset,
            ..Self::default()
        }
    }

    fn send(&mut self, call: usize, retries: u32) -> Vec<Action> {
        self.next += 1;
        self.last_handle += 1;
        self.open.insert(self.last_handle, (call, retries));
        self.handles.insert(call, self.last_handle);
        vec![Action::Send {
            call,
            target: self.targets[self.next % self.targets.len()],
            handle: self.last_handle,
        }]
    }
}

impl EntryProcess for BaselineProcess {
    fn offer(&mut self, _: Millis, call: usize, _: &Call) -> Vec<Action> {
        self.send(call, 0)
    }

    fn poll(&mut self, _: Millis) -> Vec<Action> {
        Vec::new()
    }

    fn first_token(&mut self, _: Millis, _: u64) -> Vec<Action> {
        Vec::new()
    }

    fn finish(&mut self, _: Millis, handle: u64, outcome: Outcome) -> Vec<Action> {
        let Some((call, retries)) = self.open.remove(&handle) else {
            return Vec::new();
        };
        match outcome {
            Outcome::Ran { .. } => vec![Action::Complete { call }],
            Outcome::NotRun(NotRun::Unreachable) if retries < BASELINE_RETRIES => {
                self.send(call, retries + 1)
            }
            Outcome::NotRun(_) | Outcome::Unknown => vec![Action::Fail { call }],
        }
    }

    fn cancel(&mut self, _: Millis, call: usize) -> Vec<Action> {
        let Some(handle) = self.handles.remove(&call) else {
            return Vec::new();
        };
        self.open.remove(&handle);
        vec![Action::Withdraw { handle }]
    }

    fn observe_load(&mut self, _: Millis, _: usize, _: LoadReport) {}

    fn observe_cache(&mut self, _: Millis, _: usize, _: &CacheEvent) {}

    fn remove_target(&mut self, target: usize) {
        self.targets.retain(|t| *t != target);
    }
}

/// Creates the cost of a call.
pub fn cost(prompt: u32, output: u32) -> Cost {
    Cost { prompt, output }
}
