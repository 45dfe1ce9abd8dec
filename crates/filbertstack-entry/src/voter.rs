//! A voter: its replica of the log, the log's messages over links, and the membership of the group.

use std::collections::HashMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use filbertstack_control::command::Command;
use filbertstack_control::outcome::Outcome;
use filbertstack_log::Announcement;
use filbertstack_log::Change;
use filbertstack_log::ClusterId;
use filbertstack_log::Formation;
use filbertstack_log::Member;
use filbertstack_log::Membership;
use filbertstack_log::Message as LogMessage;
use filbertstack_log::NodeId;
use filbertstack_log::Replica;
use filbertstack_log::ReplicaSettings;
use filbertstack_log::ReplicaStatus;
use filbertstack_log::RoleName;
use filbertstack_log::StartError;
use filbertstack_log::Transport;
use filbertstack_log::storage::disk::Folder;
use filbertstack_wire::Dialer;
use filbertstack_wire::Role;
use filbertstack_wire::WireError;
use filbertstack_wire::messages::Ask;
use filbertstack_wire::messages::Payload;
use filbertstack_wire::messages::Tell;
use filbertstack_wire::messages::TermReport;
use prost::Message;
use spdlog::info;
use spdlog::warn;

use crate::ledger::ProposeError;
use crate::machine::ControlMachine;
use crate::question::Asked;
use crate::question::Envelope;
use crate::question::NoArguments;
use crate::question::VoterInfo;
use crate::question::query;

/// The interval between membership checks while the group forms or changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// The interval between membership checks of a settled group. The leader queries the identities of the listed
/// voters in each check, so it finds a lost disk within this time.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(3);

/// The time that a query to another voter may take.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// The time that a change of the membership may take.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(3);

/// The number of messages that may wait for one peer. Further messages are dropped, as on a lossy network.
const QUEUE_LEN: usize = 1024;

/// The time for which a voter that stops tries to hand the leadership over.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// A member of the group that replicates the log.
pub struct Voter {
    replica: Replica<ControlMachine>,
    sender: Arc<PeerSender>,
    name: String,
    listed: Vec<String>,
    listed_addrs: Vec<SocketAddr>,
    stopped: AtomicBool,
}

impl std::fmt::Debug for Voter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Voter")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

/// The parameters of a voter's start.
#[derive(Debug)]
pub struct VoterConfig {
    /// The voter's instance name.
    pub name: String,
    /// The voter's address for links.
    pub addr: SocketAddr,
    /// The voters that the settings list, including this one.
    pub listed: Vec<crate::settings::VoterAddr>,
}

impl Voter {
    /// Opens the data folder and starts the replica.
    ///
    /// # Errors
    /// Returns a [`StartError`] that names the remedy.
    pub fn start(
        data: &Path,
        config: VoterConfig,
        machine: ControlMachine,
        dialer: Arc<Dialer>,
    ) -> Result<Arc<Self>, StartError> {
        let _ = fs::create_dir_all(data);
        let disk = Folder::lock(data)?;
        let sender = Arc::new(PeerSender::new(dialer, config.addr));
        let transport = PeerTransport(sender.clone());
        let replica = Replica::start(disk, ReplicaSettings::default(), machine, transport)?;
        let voter = Arc::new(Self {
            replica,
            sender,
            name: config.name,
            listed: config
                .listed
                .iter()
                .map(|voter| voter.name.to_string())
                .collect(),
            listed_addrs: config.listed.iter().map(|voter| voter.addr).collect(),
            stopped: AtomicBool::new(false),
        });
        let maintainer = voter.clone();
        thread::spawn(move || maintainer.maintain_membership());
        Ok(voter)
    }

    /// Returns this voter's address for links.
    pub fn addr(&self) -> SocketAddr {
        self.sender.own_addr
    }

    /// Returns the replica's status.
    pub fn status(&self) -> ReplicaStatus {
        self.replica.status()
    }

    /// Returns the term that this voter leads, or `None` if it does not lead.
    pub fn leading_term(&self) -> Option<u64> {
        let status = self.replica.status();
        (status.node.role == RoleName::Leader && status.failed.is_none())
            .then_some(status.node.term)
    }

    /// Returns whether this voter leads and a majority has just confirmed it.
    pub fn has_quorum_lease(&self) -> bool {
        let status = self.replica.status();
        let leads = status.node.role == RoleName::Leader && status.failed.is_none();
        leads && status.lease.is_some_and(|until| Instant::now() < until)
    }

    /// Sends a call to the leader that this voter knows.
    ///
    /// # Errors
    /// Returns a [`WireError`] if no other leader is known or it does not answer.
    pub fn ask_leader(&self, ask: Ask, timeout: Duration) -> Result<Tell, WireError> {
        let leader = self.replica.status().node.leader;
        let addr = leader
            .and_then(|leader| self.sender.addr_of(leader))
            .ok_or(WireError::Lost)?;
        if addr == self.sender.own_addr {
            return Err(WireError::Lost);
        }
        self.sender.dialer.ask(addr, Role::Peer, ask, timeout)
    }

    /// Returns the term and the voters, for an agent that has just started.
    pub fn term_report(&self) -> TermReport {
        let status = self.replica.status();
        let voters = status.node.membership.voters.iter();
        TermReport {
            term: status.node.term,
            voter: self.name.clone(),
            config: status.node.membership_index,
            voters: voters.map(|member| member.name.clone()).collect(),
        }
    }

    /// Delivers a message of another voter to the replica.
    pub fn deliver(&self, envelope: Envelope) {
        let Ok(message) = LogMessage::from_bytes(envelope.message) else {
            return;
        };
        if let Ok(from) = envelope.from.parse() {
            self.sender.set_addr(message.sender(), from);
        }
        self.replica.deliver(message);
    }

    /// Proposes a command with a timestamp of this voter's clock, so that only the leader's clock is used.
    ///
    /// # Errors
    /// Returns a [`ProposeError`] that says whether the command may have taken effect.
    pub fn propose(&self, command: &[u8], deadline: Instant) -> Result<Outcome, ProposeError> {
        let decoded = Command::decode(command);
        let mut command = decoded.map_err(|error| ProposeError::NotRun(error.to_string()))?;
        command.now = unix_millis();
        match self.replica.propose(command.to_bytes(), deadline) {
            Ok(applied) => Ok(applied.outcome),
            Err(error) if error.is_certain() => Err(ProposeError::NotRun(error.to_string())),
            Err(error) => Err(ProposeError::Unknown(error.to_string())),
        }
    }

    /// Waits until every command accepted so far is applied here.
    ///
    /// # Errors
    /// Returns the reason why a read here would not be current.
    pub fn read_barrier(&self, timeout: Duration) -> Result<(), ProposeError> {
        let read = self.replica.read_barrier(Instant::now() + timeout);
        read.map(drop)
            .map_err(|error| ProposeError::NotRun(error.to_string()))
    }

    /// Returns this voter's identity and its view of the group.
    pub fn voter_info(&self) -> VoterInfo {
        let status = self.replica.status();
        let leader = status
            .node
            .leader
            .and_then(|leader| self.sender.addr_of(leader));
        VoterInfo {
            name: self.name.clone(),
            address: self.sender.own_addr.to_string(),
            node: status.id.0,
            cluster: status.cluster.map_or(0, |cluster| cluster.0),
            leader: leader.map(|addr| addr.to_string()).unwrap_or_default(),
            term: status.node.term,
        }
    }

    /// Returns the addresses of the voters, those of the settings if the group has not formed yet.
    pub fn voters(&self) -> Vec<SocketAddr> {
        let membership = self.replica.status().node.membership;
        let addrs = membership
            .voters
            .iter()
            .filter_map(|member| member.address.parse().ok());
        let addrs: Vec<SocketAddr> = addrs.collect();
        if addrs.is_empty() {
            self.listed_addrs.clone()
        } else {
            addrs
        }
    }

    /// Hands the leadership over and stops.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.replica.stop(HANDOVER_TIMEOUT);
    }

    /// Ends the threads without handing the leadership over.
    pub fn halt(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Maintains the membership: forms the group once, and replaces a voter that lost its disk.
    fn maintain_membership(&self) {
        while !self.stopped.load(Ordering::Relaxed) {
            let status = self.replica.status();
            let membership = &status.node.membership;
            let settled = status.cluster.is_some()
                && membership.forming == 0
                && membership.learners.is_empty()
                && membership.voters.len() == self.listed.len();
            if status.cluster.is_none() {
                self.form_group();
            } else if self.leading_term().is_some() {
                self.repair_membership(membership);
            }
            self.pause(if settled {
                IDLE_CHECK_INTERVAL
            } else {
                CHECK_INTERVAL
            });
        }
    }

    fn pause(&self, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until && !self.stopped.load(Ordering::Relaxed) {
            thread::sleep(CHECK_INTERVAL.min(span));
        }
    }

    fn form_group(&self) {
        let announced = self.announcements();
        if Formation::decide(&self.name, &self.listed, &announced) != Formation::Create {
            return;
        }
        let group_size = u32::try_from(self.listed.len()).unwrap_or(1);
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        match self
            .replica
            .create(self.member(), group_size, None, deadline)
        {
            Ok(()) => info!("created the group of voters"),
            Err(error) => warn!("could not create the group of voters: {error}"),
        }
    }

    fn repair_membership(&self, membership: &Membership) {
        let announced = self.announcements();
        let change = Formation::next_change(membership, &self.listed, &announced)
            .or_else(|| Formation::next_replacement(membership, &self.listed, &announced));
        let Some(change) = change else {
            return;
        };
        let text = format!("{change:?}");
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        let changed = match change {
            // Retries until the learner holds every committed entry, which under load happens only at times.
            Change::Promote(node) => self.replica.promote(node, deadline, deadline),
            change => self.replica.change(change, deadline),
        };
        match changed {
            Ok(_) => info!("membership changed: {text}"),
            Err(error) => info!("could not change the membership, will retry: {text}: {error}"),
        }
    }

    fn member(&self) -> Member {
        Member {
            node: self.replica.status().id.0,
            name: self.name.clone(),
            address: self.sender.own_addr.to_string(),
        }
    }

    fn announcements(&self) -> Vec<Announcement> {
        let others = self
            .listed_addrs
            .iter()
            .filter(|addr| **addr != self.sender.own_addr);
        others
            .filter_map(|addr| self.announcement_of(*addr))
            .collect()
    }

    fn announcement_of(&self, addr: SocketAddr) -> Option<Announcement> {
        let ask = query(Asked::VoterInfo(NoArguments {}));
        let answer = self
            .sender
            .dialer
            .ask(addr, Role::Peer, ask, ASK_TIMEOUT)
            .ok()?;
        let Tell::Payload(Payload { body }) = answer else {
            return None;
        };
        let info = VoterInfo::decode(body).ok()?;
        Some(Announcement {
            name: info.name,
            address: info.address,
            node: NodeId(info.node),
            cluster: (info.cluster != 0).then_some(ClusterId(info.cluster)),
        })
    }
}

/// Returns the current time in Unix milliseconds.
pub fn unix_millis() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

/// Sends the log's messages, with a queue and a thread for each peer.
struct PeerSender {
    dialer: Arc<Dialer>,
    own_addr: SocketAddr,
    addrs: Mutex<HashMap<NodeId, SocketAddr>>,
    queues: Mutex<HashMap<SocketAddr, SyncSender<LogMessage>>>,
}

impl PeerSender {
    fn new(dialer: Arc<Dialer>, own_addr: SocketAddr) -> Self {
        Self {
            dialer,
            own_addr,
            addrs: Mutex::default(),
            queues: Mutex::default(),
        }
    }

    fn set_addr(&self, node: NodeId, addr: SocketAddr) {
        lock(&self.addrs).insert(node, addr);
    }

    fn addr_of(&self, node: NodeId) -> Option<SocketAddr> {
        lock(&self.addrs).get(&node).copied()
    }

    fn send(&self, addr: SocketAddr, message: LogMessage) {
        let mut queues = lock(&self.queues);
        let queue = queues.entry(addr).or_insert_with(|| {
            let (sender, receiver) = sync_channel(QUEUE_LEN);
            let (dialer, own_addr) = (self.dialer.clone(), self.own_addr);
            thread::spawn(move || send_queued(&dialer, own_addr, addr, &receiver));
            sender
        });
        // A full queue drops the message; the log sends unacknowledged entries again.
        let _ = queue.try_send(message);
    }
}

fn send_queued(
    dialer: &Dialer,
    own_addr: SocketAddr,
    to: SocketAddr,
    queue: &Receiver<LogMessage>,
) {
    while let Ok(message) = queue.recv() {
        let envelope = Envelope {
            from: own_addr.to_string(),
            message: message.to_bytes().into(),
        };
        let ask = Ask::Log(Payload {
            body: envelope.encode_to_vec().into(),
        });
        if let Ok(link) = dialer.link(to, Role::Peer) {
            let _ = link.tell(ask);
        }
    }
}

struct PeerTransport(Arc<PeerSender>);

impl Transport for PeerTransport {
    fn send(&self, to: NodeId, message: LogMessage) {
        if let Some(addr) = self.0.addr_of(to) {
            self.0.send(addr, message);
        }
    }

    fn configure(&self, membership: &Membership) {
        for member in membership.members() {
            if let Ok(addr) = member.address.parse() {
                self.0.set_addr(member.id(), addr);
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
