//! A voter on the event loop: the replica of the log, its messages on links, and its membership.
//!
//! A node's settings name only seeds. The first seed that has a disk creates the group when the whole
//! system starts for the first time. Every other node with a disk searches for the leader in several
//! steps, and asks it to join the group. A voter that lost its disk, or that stays silent while a
//! newcomer waits, is removed first: its vote is of no use, and the newcomer's vote replaces it.

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
use filbertstack_log::Member;
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

use crate::control::COMMIT_TIMEOUT;
use crate::control::contacts::Contacts;
use crate::control::machine::DocumentMachine;
use crate::control::membership::Newcomer;
use crate::control::shortage::Shortage;
use crate::link::Dialer;
use crate::link::messages::LogMessage;
use crate::link::messages::NodeStatus;
use crate::link::messages::Notification;
use crate::reload::Seeds;
use crate::settings::Node as NodeSettings;

/// How many of the log's messages may be queued. The log sends messages beyond this number again.
const OUTBOX_CAPACITY: usize = 1_024;

/// The size of the longest command: a document of 4 MiB and its frame.
const MAX_COMMAND_BYTES: usize = 5 << 20;

/// The log's timing between instances that are some milliseconds apart. Without a leader, no change is
/// accepted and no target is registered; this also holds after all processes started at once. With
/// these values an election takes 0.5 to 0.9 s, and 1 to 2 s with the defaults. A pause of the leader's
/// core that exceeds the election timeout costs one election, and nothing else.
const LOG_TIMING: Timing = Timing {
    heartbeat: Duration::from_millis(100),
    election_min: Duration::from_millis(450),
    election_max: Duration::from_millis(900),
    lease: Duration::from_millis(350),
    resend: Duration::from_millis(250),
};

/// How long a leaving voter tries to transfer the leadership.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1_500);

enum Outgoing {
    Message(NodeId, Message),
    Members(Membership),
}

/// The queue of the log's messages from the log's thread to the event loop.
struct Outbox(mpsc::Sender<Outgoing>);

impl Transport for Outbox {
    fn send(&self, to: NodeId, message: Message) {
        // A full outbox drops the message, as the network may do. The log sends it again.
        let _ = self.0.try_send(Outgoing::Message(to, message));
    }

    fn configure(&self, membership: &Membership) {
        let _ = self.0.try_send(Outgoing::Members(membership.clone()));
    }
}

/// The parts of the process that a voter needs.
pub struct VoterContext {
    /// Links to peers.
    pub dialer: Dialer,
    /// The seeds, which may change.
    pub seeds: Seeds,
    /// The metrics that show the state of the group.
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
    /// The addresses of the replicas of the group.
    pub(super) addresses: RefCell<BTreeMap<NodeId, SocketAddr>>,
    /// The voters that announced themselves to this node because it is one of their seeds.
    pub(super) announced: RefCell<Vec<SocketAddr>>,
    /// The contacts with the other members.
    pub(super) contacts: RefCell<Contacts>,
    leaving: Cell<bool>,
    /// Whether the log was applied up to its end, in contact with a leader, since the process started.
    caught_up: Cell<bool>,
    /// The nodes with a disk that asked to join the group, and when.
    pub(super) newcomers: RefCell<BTreeMap<NodeId, (Newcomer, Instant)>>,
    /// Since when this node waits to join the group, or when it last logged why it could not join.
    pub(super) outside_since: Cell<Option<Instant>>,
    pub(super) shortage: RefCell<Shortage>,
}

impl Voter {
    /// Opens the data folder and starts the replica.
    ///
    /// # Errors
    /// [`StartError`], whose text says what to do.
    pub fn start(
        settings: &NodeSettings,
        folder: &std::path::Path,
        context: VoterContext,
    ) -> Result<Rc<Self>, StartError> {
        let (machine, documents) = DocumentMachine::new();
        // If the folder can't be created, the error is reported when it is opened.
        let _ = std::fs::create_dir_all(folder);
        let disk = Folder::lock(folder)?;
        let (outbox, outgoing) = mpsc::channel(OUTBOX_CAPACITY);
        let log_settings = ReplicaSettings {
            limits: Limits {
                command_bytes: MAX_COMMAND_BYTES,
                ..Limits::default()
            },
            timing: LOG_TIMING,
            ..ReplicaSettings::default()
        };
        let replica = Replica::start(disk, log_settings, machine, Outbox(outbox))?;
        let voter = Rc::new(Self {
            replica: Arc::new(replica),
            documents,
            settings: settings.clone(),
            seeds: context.seeds,
            dialer: context.dialer,
            metrics: context.metrics,
            addresses: RefCell::default(),
            announced: RefCell::default(),
            contacts: RefCell::new(Contacts::new(Instant::now())),
            newcomers: RefCell::default(),
            outside_since: Cell::new(None),
            shortage: RefCell::new(Shortage::default()),
            leaving: Cell::new(false),
            caught_up: Cell::new(false),
        });
        spawn_local(voter.clone().send_outgoing(outgoing));
        spawn_local(voter.clone().maintain());
        Ok(voter)
    }

    /// Returns the present status of the replica.
    pub fn status(&self) -> ReplicaStatus {
        self.replica.status()
    }

    /// Returns the state that is applied at this voter.
    pub fn documents(&self) -> Arc<Documents> {
        self.documents.borrow().clone()
    }

    /// Returns a receiver that is notified when the applied state changes.
    pub fn watch(&self) -> watch::Receiver<Arc<Documents>> {
        self.documents.clone()
    }

    /// Returns whether this voter leads the group.
    pub fn leads(&self) -> bool {
        let status = self.status();
        status.node.role == RoleName::Leader && status.failed.is_none()
    }

    /// Returns whether this voter leads or is in contact with the leader of its group.
    pub fn is_current(&self) -> bool {
        let status = self.status();
        let led = status.node.leader.is_some() || status.node.role == RoleName::Leader;
        status.cluster.is_some() && status.failed.is_none() && led
    }

    /// Returns whether this voter is current and has applied what its log held when it came into contact with a
    /// leader. A process starts with the state of its last snapshot, which lacks later evacuations.
    pub fn has_caught_up(&self) -> bool {
        let status = self.status();
        if self.is_current() && status.applied >= status.node.last {
            self.caught_up.set(true);
        }
        self.caught_up.get()
    }

    /// Returns the leader's address, unless this voter leads.
    pub fn leader(&self) -> Option<SocketAddr> {
        let leader = self.status().node.leader?;
        let addr = self.addresses.borrow().get(&leader).copied();
        addr.filter(|addr| *addr != self.settings.link)
    }

    /// Returns the addresses of the other voters.
    pub fn other_voters(&self) -> Vec<SocketAddr> {
        let membership = self.status().node.membership;
        let voters = membership
            .voters
            .iter()
            .filter_map(|m| m.address.parse().ok());
        voters.filter(|addr| *addr != self.settings.link).collect()
    }

    /// Delivers a message of another replica to the log.
    pub fn deliver(&self, message: LogMessage) {
        let decoded = match Message::from_bytes(message.body) {
            Ok(decoded) => decoded,
            Err(error) => {
                warn!("dropped a log message that can't be decoded",
                    kv: { error = error.to_string() });
                return;
            }
        };
        let sender = decoded.sender();
        if let Ok(addr) = message.from.parse() {
            self.addresses.borrow_mut().insert(sender, addr);
        }
        let now = Instant::now();
        self.contacts.borrow_mut().record_message(sender, now);
        self.replica.deliver(decoded);
    }

    /// Proposes a command and waits until it is applied here.
    ///
    /// # Errors
    /// [`ProposeError`], which says whether the command may have taken effect.
    pub async fn propose(&self, command: bytes::Bytes) -> Result<Effect, ProposeError> {
        let replica = self.replica.clone();
        let until = Instant::now() + COMMIT_TIMEOUT;
        let done = spawn_blocking(move || replica.propose(command, until)).await;
        done.unwrap_or(Err(filbertstack_log::Refusal::Stopped.into()))
            .map(|applied| applied.outcome)
    }

    /// Waits until all commands that were accepted before are applied here.
    ///
    /// # Errors
    /// [`ProposeError`], which says why a read here would not be current.
    pub async fn read_barrier(&self) -> Result<(), ProposeError> {
        let replica = self.replica.clone();
        let until = Instant::now() + COMMIT_TIMEOUT;
        let done = spawn_blocking(move || replica.read_barrier(until)).await;
        done.unwrap_or(Err(filbertstack_log::Refusal::Stopped.into()))
            .map(drop)
    }

    /// Returns this voter's identity and its view of the group.
    pub fn standing(&self) -> NodeStatus {
        let status = self.status();
        let leader = if self.leads() {
            Some(self.settings.link)
        } else {
            self.leader()
        };
        let membership = &status.node.membership;
        NodeStatus {
            name: self.settings.name.clone(),
            addr: self.settings.link.to_string(),
            node_id: status.id.0,
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

    /// Records voters that announced themselves to this node.
    pub fn learn_voters(&self, voters: &[SocketAddr]) {
        if !voters.is_empty() {
            *self.announced.borrow_mut() = voters.to_vec();
        }
    }

    /// Records a heartbeat of the voter at `addr`.
    pub fn record_heartbeat(&self, addr: SocketAddr, leaving: bool) {
        let status = self.status();
        let leads = status.node.role == RoleName::Leader;
        let text = addr.to_string();
        let mut voters = status.node.membership.voters.iter();
        let member = voters.find(|m| !leads && m.address == text);
        let node = member.map(Member::id);
        let mut contacts = self.contacts.borrow_mut();
        contacts.record_heartbeat(addr, leaving, node, Instant::now());
    }

    /// Records a node that asks to join the group.
    pub fn add_newcomer(&self, standing: &NodeStatus) {
        let Ok(addr) = standing.addr.parse() else {
            return;
        };
        let node = NodeId(standing.node_id);
        self.addresses.borrow_mut().insert(node, addr);
        let newcomer = Newcomer {
            node,
            name: standing.name.clone(),
            addr,
        };
        let now = Instant::now();
        self.contacts.borrow_mut().record_join(node, addr, now);
        let mut newcomers = self.newcomers.borrow_mut();
        // A node that came back with an empty disk asks under a new identity. A recent request under its
        // old identity would add a member that no node can be any more.
        newcomers.retain(|_, (other, _)| other.addr != addr);
        newcomers.insert(node, (newcomer, now));
    }

    /// Marks this voter as leaving, and transfers the leadership if this voter has it, so that the other
    /// voters need no election when it ends. Until then it continues as a follower.
    pub async fn transfer_leader(&self) {
        self.leaving.set(true);
        if !self.leads() {
            return;
        }
        let replica = self.replica.clone();
        let until = Instant::now() + TRANSFER_TIMEOUT;
        let transferred = spawn_blocking(move || replica.transfer_leader(None, until)).await;
        match transferred {
            Ok(Ok(())) => info!("leadership transferred"),
            Ok(Err(error)) => {
                info!("leadership not transferred", kv: { error = error.to_string() });
            }
            Err(error) => warn!("leadership not transferred", kv: { error = error.to_string() }),
        }
    }

    /// Returns whether this voter is about to end, so that its followers must follow another.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    async fn send_outgoing(self: Rc<Self>, mut outgoing: mpsc::Receiver<Outgoing>) {
        while let Some(out) = outgoing.recv().await {
            match out {
                Outgoing::Members(membership) => self.learn_addresses(&membership),
                Outgoing::Message(to, message) => self.send_message(to, &message),
            }
        }
    }

    fn learn_addresses(&self, membership: &Membership) {
        let members = membership.members();
        let members: Vec<String> = members
            .map(|m| format!("{} {}", m.id(), m.address))
            .collect();
        info!("membership of the log", kv: {
            voters = membership.voters.len(),
            learners = membership.learners.len(),
            forming = membership.forming,
            members = members.join("; ")
        });
        let mut addresses = self.addresses.borrow_mut();
        for member in membership.members() {
            if let Ok(addr) = member.address.parse() {
                addresses.insert(member.id(), addr);
            }
        }
    }

    fn send_message(&self, to: NodeId, message: &Message) {
        let known = self.addresses.borrow().get(&to).copied();
        let Some(addr) = known else {
            return;
        };
        let body = message.to_bytes().into();
        let from = self.settings.link.to_string();
        let news = Notification::Log(LogMessage { from, body });
        self.dialer.tell(addr, news);
    }
}
