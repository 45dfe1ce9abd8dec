//! A voter: the replica of the log, its messages on links, and how the group forms.

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
use crate::question::Nothing;
use crate::question::VoterInfo;
use crate::question::ask;

/// How often a voter looks after the membership while the group forms or changes.
const TEND: Duration = Duration::from_millis(300);

/// How often the leader asks the listed voters who they are: a lost disk is found within this.
const TEND_IDLE: Duration = Duration::from_secs(3);

/// How long a question to another voter may take.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a change of the membership may take.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(3);

/// How many messages may wait for one peer; more are dropped, as the network may do.
const QUEUE: usize = 1024;

/// How long a stop tries to pass the leadership on.
const STOP_PATIENCE: Duration = Duration::from_secs(2);

/// A voter.
pub struct Voter {
    replica: Replica<ControlMachine>,
    post: Arc<Post>,
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

/// What a voter is started with.
#[derive(Debug)]
pub struct VoterConfig {
    /// Its instance name.
    pub name: String,
    /// Its address for links.
    pub addr: SocketAddr,
    /// The voters that the settings list, this one among them.
    pub listed: Vec<crate::settings::Voter>,
}

impl Voter {
    /// Opens the data folder and starts the replica.
    ///
    /// # Errors
    /// [`StartError`] names the remedy.
    pub fn start(
        data: &Path,
        config: VoterConfig,
        machine: ControlMachine,
        dialer: Arc<Dialer>,
    ) -> Result<Arc<Self>, StartError> {
        let _ = fs::create_dir_all(data);
        let disk = Folder::lock(data)?;
        let post = Arc::new(Post::new(dialer, config.addr));
        let transport = PostTransport(post.clone());
        let replica = Replica::start(disk, ReplicaSettings::default(), machine, transport)?;
        let voter = Arc::new(Self {
            replica,
            post,
            name: config.name,
            listed: config
                .listed
                .iter()
                .map(|voter| voter.name.to_string())
                .collect(),
            listed_addrs: config.listed.iter().map(|voter| voter.addr).collect(),
            stopped: AtomicBool::new(false),
        });
        let tending = voter.clone();
        thread::spawn(move || tending.tend());
        Ok(voter)
    }

    /// Where its links lead.
    pub fn addr(&self) -> SocketAddr {
        self.post.own
    }

    /// The replica's status.
    pub fn status(&self) -> ReplicaStatus {
        self.replica.status()
    }

    /// Whether this voter leads, and in which term.
    pub fn leads(&self) -> Option<u64> {
        let status = self.replica.status();
        (status.node.role == RoleName::Leader && status.failed.is_none())
            .then_some(status.node.term)
    }

    /// Whether this voter leads and a majority confirmed it a moment ago.
    pub fn has_quorum_lease(&self) -> bool {
        let status = self.replica.status();
        let leads = status.node.role == RoleName::Leader && status.failed.is_none();
        leads && status.lease.is_some_and(|until| Instant::now() < until)
    }

    /// Asks the leader that this voter knows.
    ///
    /// # Errors
    /// [`WireError`] if there is none or it does not answer.
    pub fn ask_leader(&self, ask: Ask, timeout: Duration) -> Result<Tell, WireError> {
        let leader = self.replica.status().node.leader;
        let addr = leader
            .and_then(|leader| self.post.find(leader))
            .ok_or(WireError::Lost)?;
        if addr == self.post.own {
            return Err(WireError::Lost);
        }
        self.post.dialer.ask(addr, Role::Peer, ask, timeout)
    }

    /// What this voter tells an agent that has just started.
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

    /// Takes a message of another voter.
    pub fn deliver(&self, envelope: Envelope) {
        let Ok(message) = LogMessage::from_bytes(envelope.message) else {
            return;
        };
        if let Ok(from) = envelope.from.parse() {
            self.post.learn(message.sender(), from);
        }
        self.replica.deliver(message);
    }

    /// Proposes a command, stamped with this voter's clock, so that one clock counts at a time.
    ///
    /// # Errors
    /// [`ProposeError`] says whether it may have taken effect.
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

    /// Waits until all that was accepted is applied here.
    ///
    /// # Errors
    /// Why a read here would not be current.
    pub fn read_barrier(&self, timeout: Duration) -> Result<(), ProposeError> {
        let read = self.replica.read_barrier(Instant::now() + timeout);
        read.map(drop)
            .map_err(|error| ProposeError::NotRun(error.to_string()))
    }

    /// Who this voter is.
    pub fn voter_info(&self) -> VoterInfo {
        let status = self.replica.status();
        let leader = status.node.leader.and_then(|leader| self.post.find(leader));
        VoterInfo {
            name: self.name.clone(),
            address: self.post.own.to_string(),
            node: status.id.0,
            cluster: status.cluster.map_or(0, |cluster| cluster.0),
            leader: leader.map(|addr| addr.to_string()).unwrap_or_default(),
            term: status.node.term,
        }
    }

    /// The addresses of the voters.
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

    /// Passes the leadership on and stops.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.replica.stop(STOP_PATIENCE);
    }

    /// Ends the threads at once.
    pub fn halt(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Looks after the membership: forms the group once, and replaces a voter that lost its disk.
    fn tend(&self) {
        while !self.stopped.load(Ordering::Relaxed) {
            let status = self.replica.status();
            let membership = &status.node.membership;
            let settled = status.cluster.is_some()
                && membership.forming == 0
                && membership.learners.is_empty()
                && membership.voters.len() == self.listed.len();
            if status.cluster.is_none() {
                self.form();
            } else if self.leads().is_some() {
                self.repair(membership);
            }
            self.pause(if settled { TEND_IDLE } else { TEND });
        }
    }

    fn pause(&self, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until && !self.stopped.load(Ordering::Relaxed) {
            thread::sleep(TEND.min(span));
        }
    }

    fn form(&self) {
        let heard = self.hear();
        if Formation::decide(&self.name, &self.listed, &heard) != Formation::Create {
            return;
        }
        let wanted = u32::try_from(self.listed.len()).unwrap_or(1);
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        match self.replica.create(self.member(), wanted, None, deadline) {
            Ok(()) => info!("created the group of voters"),
            Err(error) => warn!("could not create the group of voters: {error}"),
        }
    }

    fn repair(&self, membership: &Membership) {
        let heard = self.hear();
        let change = Formation::next(membership, &self.listed, &heard)
            .or_else(|| replacement(membership, &self.listed, &heard));
        let Some(change) = change else {
            return;
        };
        let text = format!("{change:?}");
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        let changed = match change {
            // Waits for a moment when the learner holds everything.
            Change::Promote(node) => self.replica.promote(node, deadline),
            change => self.replica.change(change, deadline),
        };
        match changed {
            Ok(_) => info!("membership changed: {text}"),
            Err(error) => info!("membership not changed yet: {text}: {error}"),
        }
    }

    fn member(&self) -> Member {
        Member {
            node: self.replica.status().id.0,
            name: self.name.clone(),
            address: self.post.own.to_string(),
        }
    }

    fn hear(&self) -> Vec<Announcement> {
        let others = self
            .listed_addrs
            .iter()
            .filter(|addr| **addr != self.post.own);
        others.filter_map(|addr| self.hear_from(*addr)).collect()
    }

    fn hear_from(&self, addr: SocketAddr) -> Option<Announcement> {
        let question = ask(Asked::VoterInfo(Nothing {}));
        let told = self
            .post
            .dialer
            .ask(addr, Role::Peer, question, ASK_TIMEOUT)
            .ok()?;
        let Tell::Payload(Payload { body }) = told else {
            return None;
        };
        let standing = VoterInfo::decode(body).ok()?;
        Some(Announcement {
            name: standing.name,
            address: standing.address,
            node: NodeId(standing.node),
            cluster: (standing.cluster != 0).then_some(ClusterId(standing.cluster)),
        })
    }
}

/// The next change that replaces a listed voter which came back under a new identity.
///
/// Its old identity's disk is gone, so the old one can never vote again. The new one is added as
/// a learner, votes once it holds everything, and only then the old one is removed: at no point
/// does fewer than the old majority hold what was accepted.
fn replacement(
    membership: &Membership,
    listed: &[String],
    heard: &[Announcement],
) -> Option<Change> {
    for fresh in heard.iter().filter(|heard| listed.contains(&heard.name)) {
        let old = membership.voters.iter().find(|m| m.name == fresh.name);
        let is_voter = membership.is_voter(fresh.node);
        let is_learner = membership.is_learner(fresh.node);
        if is_learner {
            return Some(Change::Promote(fresh.node));
        }
        if is_voter {
            let stale = membership
                .members()
                .find(|m| m.name == fresh.name && m.id() != fresh.node);
            if let Some(stale) = stale {
                return Some(Change::Remove(stale.id()));
            }
            continue;
        }
        let stale_learner = membership
            .learners
            .iter()
            .find(|m| m.name == fresh.name && m.id() != fresh.node);
        if let Some(stale) = stale_learner {
            return Some(Change::Remove(stale.id()));
        }
        if fresh.cluster.is_none() || old.is_none() {
            return Some(Change::AddLearner(Member {
                node: fresh.node.0,
                name: fresh.name.clone(),
                address: fresh.address.clone(),
            }));
        }
    }
    None
}

/// The clock in Unix milliseconds.
pub fn unix_millis() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

/// Sends the log's messages, a queue and a thread for each peer.
struct Post {
    dialer: Arc<Dialer>,
    own: SocketAddr,
    places: Mutex<HashMap<NodeId, SocketAddr>>,
    queues: Mutex<HashMap<SocketAddr, SyncSender<LogMessage>>>,
}

impl Post {
    fn new(dialer: Arc<Dialer>, own: SocketAddr) -> Self {
        Self {
            dialer,
            own,
            places: Mutex::default(),
            queues: Mutex::default(),
        }
    }

    fn learn(&self, node: NodeId, addr: SocketAddr) {
        lock(&self.places).insert(node, addr);
    }

    fn find(&self, node: NodeId) -> Option<SocketAddr> {
        lock(&self.places).get(&node).copied()
    }

    fn send(&self, addr: SocketAddr, message: LogMessage) {
        let mut queues = lock(&self.queues);
        let queue = queues.entry(addr).or_insert_with(|| {
            let (sender, receiver) = sync_channel(QUEUE);
            let (dialer, own) = (self.dialer.clone(), self.own);
            thread::spawn(move || carry(&dialer, own, addr, &receiver));
            sender
        });
        // A full queue drops the message: the log sends again what was not acknowledged.
        let _ = queue.try_send(message);
    }
}

fn carry(dialer: &Dialer, own: SocketAddr, to: SocketAddr, queue: &Receiver<LogMessage>) {
    while let Ok(message) = queue.recv() {
        let envelope = Envelope {
            from: own.to_string(),
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

struct PostTransport(Arc<Post>);

impl Transport for PostTransport {
    fn send(&self, to: NodeId, message: LogMessage) {
        if let Some(addr) = self.0.find(to) {
            self.0.send(addr, message);
        }
    }

    fn configure(&self, membership: &Membership) {
        for member in membership.members() {
            if let Ok(addr) = member.address.parse() {
                self.0.learn(member.id(), addr);
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
