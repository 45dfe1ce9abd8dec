//! An in-memory network of running replicas in one process.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use filbertstack_log::Member;
use filbertstack_log::Message;
use filbertstack_log::NodeId;
use filbertstack_log::Replica;
use filbertstack_log::ReplicaSettings;
use filbertstack_log::RoleName;
use filbertstack_log::Timing;
use filbertstack_log::Transport;

use crate::support::disk::MemoryDisk;
use crate::support::machine::Map;
use crate::support::machine::Put;

/// The longest time that a test waits for an event, far above the time that it takes.
pub const WAIT_LIMIT: Duration = Duration::from_secs(20);

type Running = BTreeMap<NodeId, Arc<Replica<Map>>>;

/// Carries messages between running replicas that are not cut off.
#[derive(Clone, Default)]
pub struct Network {
    running: Arc<Mutex<Running>>,
    cut: Arc<Mutex<BTreeSet<NodeId>>>,
}

impl Transport for Network {
    fn send(&self, to: NodeId, message: Message) {
        {
            let cut = self.cut.lock().unwrap();
            if cut.contains(&to) || cut.contains(&message.sender()) {
                return;
            }
        }
        let target = self.running.lock().unwrap().get(&to).cloned();
        let bytes = message.to_bytes();
        if let Some(replica) = target {
            replica.deliver(Message::from_bytes(bytes).unwrap());
        }
    }
}

impl Network {
    /// Drops all messages to and from the replica.
    pub fn cut(&self, node: NodeId) {
        self.cut.lock().unwrap().insert(node);
    }

    pub fn heal(&self) {
        self.cut.lock().unwrap().clear();
    }
}

/// Holds one replica with its disk and state machine; the replica is set while it runs.
pub struct Slot {
    pub name: String,
    pub disk: MemoryDisk,
    pub map: Map,
    pub replica: Option<Arc<Replica<Map>>>,
}

impl Slot {
    pub fn id(&self) -> NodeId {
        self.replica.as_ref().unwrap().status().id
    }

    pub fn member(&self) -> Member {
        Member {
            node: self.id().0,
            name: self.name.clone(),
            address: format!("{}:1", self.name),
        }
    }
}

/// A group of replicas.
pub struct Group {
    pub network: Network,
    pub settings: ReplicaSettings,
    pub slots: Vec<Slot>,
}

/// Returns settings with short timings, so that tests end soon.
pub fn quick_settings() -> ReplicaSettings {
    ReplicaSettings {
        timing: Timing {
            heartbeat: Duration::from_millis(20),
            election_min: Duration::from_millis(150),
            election_max: Duration::from_millis(300),
            lease: Duration::from_millis(100),
            resend: Duration::from_millis(40),
        },
        ..ReplicaSettings::default()
    }
}

pub fn deadline() -> Instant {
    Instant::now() + WAIT_LIMIT
}

/// Waits until `ready` returns a value.
pub fn wait_for<T>(what: &str, mut ready: impl FnMut() -> Option<T>) -> T {
    let until = deadline();
    while Instant::now() < until {
        if let Some(found) = ready() {
            return found;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    panic!("no {what}");
}

impl Group {
    /// Forms a group of `size` voters.
    pub fn form(size: usize, settings: ReplicaSettings) -> Self {
        let mut group = Self {
            network: Network::default(),
            settings,
            slots: Vec::new(),
        };
        for _ in 0..size {
            group.add_slot();
        }
        let wanted = u32::try_from(size).unwrap();
        let first = group.slots[0].replica.clone().unwrap();
        let member = group.slots[0].member();
        first.create(member, wanted, None, deadline()).unwrap();
        for at in 1..size {
            group.join(at);
        }
        group
    }

    /// Starts one more replica, with an empty disk.
    pub fn add_slot(&mut self) -> usize {
        let at = self.slots.len();
        self.slots.push(Slot {
            name: format!("entry-{at}"),
            disk: MemoryDisk::default(),
            map: Map::default(),
            replica: None,
        });
        self.start(at);
        at
    }

    /// Starts the replica of a slot from its disk.
    pub fn start(&mut self, at: usize) {
        let slot = &mut self.slots[at];
        slot.map = Map::default();
        let transport = self.network.clone();
        let started = Replica::start(
            slot.disk.clone(),
            self.settings,
            slot.map.clone(),
            transport,
        );
        let replica = Arc::new(started.unwrap());
        let id = replica.status().id;
        slot.replica = Some(Arc::clone(&replica));
        self.network.running.lock().unwrap().insert(id, replica);
    }

    /// Stops the replica of a slot at once.
    pub fn kill(&mut self, at: usize) {
        let replica = self.slots[at].replica.take().unwrap();
        let id = replica.status().id;
        self.network.running.lock().unwrap().remove(&id);
        replica.stop(Duration::ZERO);
    }

    /// Replaces a slot's disk by an empty one; its replica starts anew.
    pub fn lose_disk(&mut self, at: usize) {
        if self.slots[at].replica.is_some() {
            self.kill(at);
        }
        self.slots[at].disk.replace();
        self.start(at);
    }

    /// Removes a member.
    pub fn remove(&self, node: NodeId) {
        self.on_leader(|leader| leader.remove(node, deadline()).ok());
    }

    /// Adds the replica of a slot as a learner and makes it a voter.
    pub fn join(&self, at: usize) {
        let member = self.slots[at].member();
        self.on_leader(|leader| leader.add_learner(member.clone(), deadline()).ok());
        self.on_leader(|leader| leader.promote(member.id(), deadline(), deadline()).ok());
    }

    /// Waits for a leader and returns its slot.
    pub fn leader(&self) -> usize {
        wait_for("leader", || {
            self.slots.iter().position(|slot| {
                let Some(replica) = &slot.replica else {
                    return false;
                };
                replica.status().node.role == RoleName::Leader
            })
        })
    }

    /// Calls `ask` with the current leader until it returns a value.
    pub fn on_leader<T>(&self, mut ask: impl FnMut(&Replica<Map>) -> Option<T>) -> T {
        wait_for("answer of a leader", || {
            let leader = self.slots[self.leader()].replica.clone()?;
            ask(&leader)
        })
    }

    /// Proposes a command until it is accepted, resending it after every error.
    pub fn put(&self, request: u64) -> u64 {
        let put = Put {
            request,
            key: request % 7,
            value: request,
        };
        self.on_leader(|leader| leader.propose(put.encode(), deadline()).ok())
            .outcome
    }

    /// Waits until all running replicas hold the same state with `requests` requests, and returns
    /// it.
    pub fn wait_equal(&self, requests: usize) -> crate::support::machine::State {
        wait_for("equal state", || {
            let running = self.slots.iter().filter(|s| s.replica.is_some());
            let states: Vec<_> = running.map(|s| s.map.state()).collect();
            let whole = states
                .iter()
                .all(|s| s.done.len() == requests && *s == states[0]);
            whole.then(|| states[0].clone())
        })
    }
}
