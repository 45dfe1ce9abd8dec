//! A voter on the event loop: the replica of the log, its messages on links, and its membership.
//!
//! Seeds are all that a node is told of the others. The first of them that has a disk creates the
//! group when the whole system starts for the first time; every other node with a disk searches for
//! the leader, over more than one step, and asks it to be taken in. A voter that lost its disk, or that stays silent while a newcomer waits,
//! is taken out first: its place counts for nothing, and the newcomer's then does.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use filbertstack_control::document::Documents;
use filbertstack_control::document::Effect;
use filbertstack_log::Limits;
use filbertstack_log::Membership;
use filbertstack_log::Message;
use filbertstack_log::NodeId;
use filbertstack_log::ProposeError;
use filbertstack_log::Replica;
use filbertstack_log::ReplicaSettings;
use filbertstack_log::ReplicaStatus;
use filbertstack_log::RoleName;
use filbertstack_log::StartError;
use filbertstack_log::Timing;
use filbertstack_log::Transport;
use filbertstack_log::storage::disk::Folder;
use filbertstack_telemetry::Metrics;
use spdlog::info;
use spdlog::warn;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::spawn_blocking;
use tokio::task::spawn_local;

use crate::control::COMMIT;
use crate::control::machine::DocumentMachine;
use crate::control::membership::Newcomer;
use crate::control::shortage::Shortage;
use crate::link::Dialer;
use crate::link::messages::LogMessage;
use crate::link::messages::News;
use crate::link::messages::Standing;
use crate::reload::Seeds;
use crate::settings::Node as NodeSettings;

/// How many of the log's messages may wait to be sent; more are dropped, and sent again.
const OUTBOX: usize = 1_024;

/// The longest command: a document of 4 MiB and its frame.
const COMMAND_BYTES: usize = 5 << 20;

/// The log's timing between instances some milliseconds apart. While nobody leads, nothing is
/// accepted and no target is registered, also after all processes started at once: an election
/// takes 0.5 to 0.9 s of it, against 1 to 2 s by default. A pause of the leader's core that is
/// longer costs an election, and no more.
const TIMING: Timing = Timing {
    heartbeat: Duration::from_millis(100),
    election_min: Duration::from_millis(450),
    election_max: Duration::from_millis(900),
    lease: Duration::from_millis(350),
    resend: Duration::from_millis(250),
};

/// How long a leaving voter tries to pass the leadership on.
const HAND_OVER: Duration = Duration::from_millis(1_500);

enum Outgoing {
    Message(NodeId, Message),
    Members(Membership),
}

/// Carries the log's messages from its thread to the event loop.
struct Outbox(mpsc::Sender<Outgoing>);

impl Transport for Outbox {
    fn send(&self, to: NodeId, message: Message) {
        // A full outbox drops the message, as the network may do: the log sends it again.
        let _ = self.0.try_send(Outgoing::Message(to, message));
    }

    fn configure(&self, membership: &Membership) {
        let _ = self.0.try_send(Outgoing::Members(membership.clone()));
    }
}

/// What a voter needs of the process around it.
pub struct VoterContext {
    /// Links to peers.
    pub dialer: Dialer,
    /// The seeds, which may change.
    pub seeds: Seeds,
    /// Where it shows how the group fares.
    pub metrics: Rc<Metrics>,
}

/// A node with a disk.
pub struct Voter {
    pub(super) replica: Arc<Replica<DocumentMachine>>,
    documents: watch::Receiver<Arc<Documents>>,
    pub(super) settings: NodeSettings,
    pub(super) seeds: Seeds,
    pub(super) dialer: Dialer,
    pub(super) metrics: Rc<Metrics>,
    /// Where the replicas of the group are reached.
    pub(super) places: RefCell<BTreeMap<NodeId, SocketAddr>>,
    /// The voters that this node was told of, as one of their seeds.
    pub(super) told: RefCell<Vec<SocketAddr>>,
    /// When each replica was last heard.
    pub(super) heard: RefCell<BTreeMap<NodeId, Instant>>,
    leaving: Cell<bool>,
    /// Nodes with a disk that asked to be taken in, and when.
    pub(super) newcomers: RefCell<BTreeMap<NodeId, (Newcomer, Instant)>>,
    /// When this node began to wait to be taken in, or said last why it is not.
    pub(super) outside: Cell<Option<Instant>>,
    pub(super) watched: RefCell<Shortage>,
}

impl Voter {
    /// Opens the data folder and starts the replica.
    ///
    /// # Errors
    /// [`StartError`] names the remedy.
    pub fn start(
        settings: &NodeSettings,
        folder: &std::path::Path,
        around: VoterContext,
    ) -> Result<Rc<Self>, StartError> {
        let (machine, documents) = DocumentMachine::new();
        // If the folder can't be made, opening it says so.
        let _ = std::fs::create_dir_all(folder);
        let disk = Folder::lock(folder)?;
        let (outbox, outgoing) = mpsc::channel(OUTBOX);
        let settings_log = ReplicaSettings {
            limits: Limits {
                command_bytes: COMMAND_BYTES,
                ..Limits::default()
            },
            timing: TIMING,
            ..ReplicaSettings::default()
        };
        let replica = Replica::start(disk, settings_log, machine, Outbox(outbox))?;
        let voter = Rc::new(Self {
            replica: Arc::new(replica),
            documents,
            settings: settings.clone(),
            seeds: around.seeds,
            dialer: around.dialer,
            metrics: around.metrics,
            places: RefCell::default(),
            told: RefCell::default(),
            heard: RefCell::default(),
            newcomers: RefCell::default(),
            outside: Cell::new(None),
            watched: RefCell::new(Shortage::default()),
            leaving: Cell::new(false),
        });
        spawn_local(voter.clone().carry(outgoing));
        spawn_local(voter.clone().tend());
        Ok(voter)
    }

    /// The replica as it is now.
    pub fn status(&self) -> ReplicaStatus {
        self.replica.status()
    }

    /// The state that is applied here.
    pub fn documents(&self) -> Arc<Documents> {
        self.documents.borrow().clone()
    }

    /// Told whenever that state changes.
    pub fn watch(&self) -> watch::Receiver<Arc<Documents>> {
        self.documents.clone()
    }

    /// Whether this voter leads.
    pub fn leads(&self) -> bool {
        let status = self.status();
        status.node.role == RoleName::Leader && status.failed.is_none()
    }

    /// Whether this voter is in contact with a leader of its group.
    pub fn is_current(&self) -> bool {
        let status = self.status();
        let led = status.node.leader.is_some() || status.node.role == RoleName::Leader;
        status.cluster.is_some() && status.failed.is_none() && led
    }

    /// The leader's address, unless it is this voter.
    pub fn leader(&self) -> Option<SocketAddr> {
        let leader = self.status().node.leader?;
        let addr = self.places.borrow().get(&leader).copied();
        addr.filter(|addr| *addr != self.settings.link)
    }

    /// The addresses of the other voters.
    pub fn others(&self) -> Vec<SocketAddr> {
        let membership = self.status().node.membership;
        let voters = membership
            .voters
            .iter()
            .filter_map(|m| m.address.parse().ok());
        voters.filter(|addr| *addr != self.settings.link).collect()
    }

    /// Takes a message of another replica.
    pub fn deliver(&self, message: LogMessage) {
        let decoded = match Message::from_bytes(message.body) {
            Ok(decoded) => decoded,
            Err(error) => {
                warn!("log message dropped", kv: { error = error.to_string() });
                return;
            }
        };
        let sender = decoded.sender();
        if let Ok(addr) = message.from.parse() {
            self.places.borrow_mut().insert(sender, addr);
        }
        self.heard.borrow_mut().insert(sender, Instant::now());
        self.replica.deliver(decoded);
    }

    /// Proposes a command and waits until it is applied here.
    ///
    /// # Errors
    /// [`ProposeError`] says whether it may have taken effect.
    pub async fn propose(&self, command: bytes::Bytes) -> Result<Effect, ProposeError> {
        let replica = self.replica.clone();
        let until = Instant::now() + COMMIT;
        let done = spawn_blocking(move || replica.propose(command, until)).await;
        done.unwrap_or(Err(filbertstack_log::Refusal::Stopped.into()))
            .map(|applied| applied.outcome)
    }

    /// Waits until all that was accepted before is applied here.
    ///
    /// # Errors
    /// Why a read here would not be current.
    pub async fn read_barrier(&self) -> Result<(), ProposeError> {
        let replica = self.replica.clone();
        let until = Instant::now() + COMMIT;
        let done = spawn_blocking(move || replica.read_barrier(until)).await;
        done.unwrap_or(Err(filbertstack_log::Refusal::Stopped.into()))
            .map(drop)
    }

    /// Who this voter is.
    pub fn standing(&self) -> Standing {
        let status = self.status();
        let leader = if self.leads() {
            Some(self.settings.link)
        } else {
            self.leader()
        };
        let membership = &status.node.membership;
        Standing {
            name: self.settings.name.clone(),
            addr: self.settings.link.to_string(),
            node: status.id.0,
            cluster: status.cluster.map_or(0, |c| c.0),
            leader: leader.map(|l| l.to_string()).unwrap_or_default(),
            voters: membership
                .voters
                .iter()
                .map(|m| m.address.clone())
                .collect(),
            members: membership.members().map(|m| m.node).collect(),
        }
    }

    /// Notes voters that told this node of themselves.
    pub fn learn_voters(&self, voters: &[SocketAddr]) {
        if !voters.is_empty() {
            *self.told.borrow_mut() = voters.to_vec();
        }
    }

    /// Notes a node that wants to be taken in.
    pub fn meet(&self, standing: &Standing) {
        let Ok(addr) = standing.addr.parse() else {
            return;
        };
        let node = NodeId(standing.node);
        self.places.borrow_mut().insert(node, addr);
        let newcomer = Newcomer {
            node,
            name: standing.name.clone(),
            addr,
        };
        let mut newcomers = self.newcomers.borrow_mut();
        // One that came back empty asks under a new identity: its old one, asked for a moment ago,
        // would be taken in again though nobody can answer for it.
        newcomers.retain(|_, (other, _)| other.addr != addr);
        newcomers.insert(node, (newcomer, Instant::now()));
    }

    /// Passes the leadership on, if this voter has it, so that the others need no election when
    /// it ends. Until then it goes on as a follower.
    pub async fn transfer_leader(&self) {
        self.leaving.set(true);
        if !self.leads() {
            return;
        }
        let replica = self.replica.clone();
        let until = Instant::now() + HAND_OVER;
        let passed = spawn_blocking(move || replica.transfer_leader(None, until)).await;
        match passed {
            Ok(Ok(())) => info!("leadership passed on"),
            Ok(Err(error)) => {
                info!("leadership not passed on", kv: { error = error.to_string() });
            }
            Err(error) => warn!("leadership not passed on", kv: { error = error.to_string() }),
        }
    }

    /// Whether this voter is about to end: those that follow it go to another.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    async fn carry(self: Rc<Self>, mut outgoing: mpsc::Receiver<Outgoing>) {
        while let Some(out) = outgoing.recv().await {
            match out {
                Outgoing::Members(membership) => self.learn(&membership),
                Outgoing::Message(to, message) => self.send(to, &message),
            }
        }
    }

    fn learn(&self, membership: &Membership) {
        info!("membership of the log", kv: {
            voters = membership.voters.len(),
            learners = membership.learners.len(),
            forming = membership.forming
        });
        let mut places = self.places.borrow_mut();
        for member in membership.members() {
            if let Ok(addr) = member.address.parse() {
                places.insert(member.id(), addr);
            }
        }
    }

    fn send(&self, to: NodeId, message: &Message) {
        let place = self.places.borrow().get(&to).copied();
        let Some(addr) = place else {
            return;
        };
        let body = message.to_bytes().into();
        let from = self.settings.link.to_string();
        let news = News::Log(LogMessage { from, body });
        self.dialer.tell(addr, news);
    }
}
