//! One node of the system: its answers to peers, and its questions to the group.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use filbertstack_control::document::Document;
use filbertstack_control::document::Effect;
use filbertstack_control::document::KeptList;
use filbertstack_control::document::Weights;
use thiserror::Error;
use tokio::task::spawn_local;

use crate::clock::Clock;
use crate::control::ASK_TIMEOUT;
use crate::control::crashes::CrashRecords;
use crate::control::declared::DeclaredState;
use crate::control::demand::SharedDemand;
use crate::control::lag::Lag;
use crate::control::limits::TargetLimits;
use crate::control::loads::LoadFilter;
use crate::control::loads::Loads;
use crate::control::registry::ProcessRegistry;
use crate::control::unregistered::Unregistered;
use crate::control::voter::Voter;
use crate::link::Dialer;
use crate::link::Handler;
use crate::link::HandlerReply;
use crate::link::LinkError;
use crate::link::Sender;
use crate::link::messages::Empty;
use crate::link::messages::Follow;
use crate::link::messages::Hop;
use crate::link::messages::Interest;
use crate::link::messages::LoadRow;
use crate::link::messages::Loads as LoadsMessage;
use crate::link::messages::NodeStatus;
use crate::link::messages::Notification;
use crate::link::messages::Proposal;
use crate::link::messages::Question;
use crate::link::messages::Reply;
use crate::link::messages::Row;
use crate::link::messages::Rows;
use crate::link::messages::VoterHeartbeat;
use crate::link::messages::decode_addr;
use crate::reload::Seeds;
use crate::settings::Settings;

/// The id of the row of an entry is this prefix and the name of its node.
const ENTRY_ID_PREFIX: &str = "entry ";

/// Returns the name of the node whose entry has the row `id`.
pub fn entry_name(id: &str) -> Option<&str> {
    id.strip_prefix(ENTRY_ID_PREFIX)
}

/// Why the group could not answer a question. A later attempt may succeed.
#[derive(Debug, Error)]
pub enum GroupError {
    /// No voter in contact with its group is known, or the leader could not read the command.
    #[error("no voter is known yet; ask again in a second")]
    Unavailable,
    /// The node that took the call did not know the latest change.
    #[error("a later change was not known yet where the call arrived; send the call again")]
    Outdated,
    /// The question to a voter failed.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The log did not confirm the command or the read.
    #[error(transparent)]
    Log(#[from] filbertstack_log::ProposeError),
}

/// One node of the system.
pub struct Node {
    /// The settings that the node had at its start.
    pub settings: Settings,
    /// The seeds, which may change while the node runs.
    pub seeds: Seeds,
    /// The clock of the process.
    pub clock: Clock,
    /// The declared state.
    pub declared: DeclaredState,
    /// The registry of processes.
    pub registry: ProcessRegistry,
    /// The loads of engines.
    pub loads: Loads,
    /// The requests under which targets were lost.
    pub crashes: CrashRecords,
    /// The limits that targets name.
    pub limits: TargetLimits,
    /// The demand by rank at all entries.
    pub demand: SharedDemand,
    /// The rows that no voter has accepted yet.
    pub unregistered: Unregistered,
    /// The links to other nodes.
    pub dialer: Dialer,
    /// The kinds of updates that the node needs from the followed voter.
    pub interest: Interest,
    /// The voter in this process, if the node has a disk.
    pub voter: Option<Rc<Voter>>,
    /// The voter that this node follows. A voter follows none.
    followed: Cell<Option<SocketAddr>>,
    /// The voters according to the latest list that arrived.
    voters: RefCell<Vec<SocketAddr>>,
    /// The documents that the voter in this process lacks.
    lag: RefCell<Lag>,
}

impl Node {
    /// Creates a node that knows no other node yet.
    pub fn new(
        (settings, seeds): (Settings, Seeds),
        clock: Clock,
        dialer: Dialer,
        interest: Interest,
        voter: Option<Rc<Voter>>,
    ) -> Self {
        let rollout = settings.bounds.rollout.into();
        Self {
            settings,
            seeds,
            clock,
            declared: DeclaredState::new(clock, rollout),
            registry: ProcessRegistry::new(clock),
            loads: Loads::default(),
            crashes: CrashRecords::default(),
            limits: TargetLimits::default(),
            demand: SharedDemand::default(),
            unregistered: Unregistered::default(),
            dialer,
            interest,
            voter,
            followed: Cell::new(None),
            voters: RefCell::default(),
            lag: RefCell::default(),
        }
    }

    /// Returns the address of the voter that this node follows.
    pub fn followed(&self) -> Option<SocketAddr> {
        self.followed.get()
    }

    /// Sets the voter that this node follows.
    pub fn set_followed(&self, voter: Option<SocketAddr>) {
        self.followed.set(voter);
    }

    /// Returns the voters according to the latest list that arrived.
    pub fn voters(&self) -> Vec<SocketAddr> {
        self.voters.borrow().clone()
    }

    /// Returns the id of the row of an entry in this process.
    pub fn entry_id(&self) -> String {
        format!("{ENTRY_ID_PREFIX}{}", self.settings.node.name)
    }

    /// Records the voters. An empty list is ignored.
    pub fn learn_voters(&self, voters: Vec<SocketAddr>) {
        if !voters.is_empty() {
            *self.voters.borrow_mut() = voters;
        }
    }

    /// Records the version of the document that another voter holds.
    pub fn note_document(&self, version: u64) {
        let (now, held) = (self.clock.now(), self.declared.version());
        self.lag.borrow_mut().observe(now, held, version);
    }

    /// Returns whether the voter in this process lacks a document that another voter has held for too long.
    fn is_behind(&self) -> bool {
        let held = self.declared.version();
        self.lag.borrow().is_behind(self.clock.now(), held)
    }

    /// Returns whether this node is in contact with the group.
    pub fn is_current(&self) -> bool {
        match &self.voter {
            Some(voter) => voter.is_current() && !self.is_behind(),
            None => self.followed.get().is_some(),
        }
    }

    /// Commits a command of the state machine.
    ///
    /// # Errors
    /// [`GroupError`]; the command may have been committed nevertheless.
    pub async fn propose(&self, command: Bytes) -> Result<(), GroupError> {
        self.route_proposal(command, false).await
    }

    async fn route_proposal(&self, command: Bytes, forwarded: bool) -> Result<(), GroupError> {
        if let Some(voter) = self.voter.as_ref().filter(|v| v.leads()) {
            return match voter.propose(command).await? {
                Effect::InForce | Effect::Superseded => Ok(()),
                Effect::Outdated => Err(GroupError::Outdated),
                Effect::Unreadable => Err(GroupError::Unavailable),
            };
        }
        let question = Question::Propose(Proposal {
            command,
            relayed: self.voter.is_some() || forwarded,
        });
        match self.ask_group(question, forwarded).await? {
            Reply::Done(_) => Ok(()),
            _ => Err(LinkError::UnexpectedReply.into()),
        }
    }

    /// Returns the newest document, which a majority of voters confirms for this call.
    ///
    /// # Errors
    /// [`GroupError`] if it can't be confirmed now.
    pub async fn read_document(&self) -> Result<Document, GroupError> {
        self.route_read(false).await
    }

    async fn route_read(&self, forwarded: bool) -> Result<Document, GroupError> {
        if let Some(voter) = self.voter.as_ref().filter(|v| v.leads()) {
            voter.read_barrier().await?;
            return Ok(voter.documents().document().clone());
        }
        let question = Question::Read(Hop {
            relayed: self.voter.is_some() || forwarded,
        });
        match self.ask_group(question, forwarded).await? {
            Reply::Document(document) => Ok(document),
            _ => Err(LinkError::UnexpectedReply.into()),
        }
    }

    /// Returns the list of pieces that the voters keep for the latest version up to `upto`, as far as the
    /// followed voter knows, or `None` if they keep none.
    ///
    /// # Errors
    /// [`GroupError`] if no voter answers.
    pub async fn piece_list(&self, upto: Weights) -> Result<Option<KeptList>, GroupError> {
        if let Some(voter) = &self.voter {
            return Ok(voter.documents().kept_list(&upto).cloned());
        }
        match self.ask_group(Question::List(upto), false).await? {
            Reply::List(list) => Ok(Some(list)),
            Reply::NotKept(_) => Ok(None),
            _ => Err(LinkError::UnexpectedReply.into()),
        }
    }

    fn list_reply(&self, upto: &Weights) -> Reply {
        let Some(voter) = &self.voter else {
            return Reply::Failed("this node keeps no lists; ask a voter".into());
        };
        match voter.documents().kept_list(upto) {
            Some(list) => Reply::List(list.clone()),
            None => Reply::NotKept(Empty {}),
        }
    }

    /// Asks the leader, or the voter that this node follows. A question that was forwarded once is not
    /// forwarded again, because two voters that each consider the other the leader would forward it for
    /// ever.
    async fn ask_group(&self, question: Question, forwarded: bool) -> Result<Reply, GroupError> {
        let peer = match &self.voter {
            Some(_) if forwarded => None,
            Some(voter) => voter.leader(),
            None => self.followed.get(),
        };
        let peer = peer.ok_or(GroupError::Unavailable)?;
        Ok(self.dialer.ask(peer, question, ASK_TIMEOUT).await?)
    }

    /// Registers rows of processes at a voter.
    ///
    /// # Errors
    /// [`GroupError`] if no voter in contact with its group accepted them.
    pub async fn register(&self, rows: Vec<Row>) -> Result<(), GroupError> {
        if let Some(voter) = &self.voter {
            if !voter.is_current() {
                return Err(GroupError::Unavailable);
            }
            self.registry.merge(rows, true);
            return Ok(());
        }
        let question = Question::Register(Rows { rows, whole: false });
        match self.ask_group(question, false).await? {
            Reply::Done(_) => Ok(()),
            _ => Err(LinkError::UnexpectedReply.into()),
        }
    }

    fn standing(&self) -> NodeStatus {
        if let Some(voter) = &self.voter {
            return voter.standing();
        }
        let text = |addr: SocketAddr| addr.to_string();
        NodeStatus {
            name: self.settings.node.name.clone(),
            addr: text(self.settings.node.link),
            node_id: 0,
            cluster: 0,
            leader: String::new(),
            voters: self.voters().into_iter().map(text).collect(),
            members: Vec::new(),
        }
    }

    fn add_follower(&self, follow: &Follow, link: &Sender) {
        if self.voter.is_none() {
            return;
        }
        let interest = follow.interest();
        if interest != Interest::Registered {
            for news in self.declared.updates_since(follow.version, interest) {
                link.tell(news);
            }
        }
        if interest == Interest::Registered {
            self.loads.subscribe(link, LoadFilter::Own);
        }
        self.registry.subscribe(link.clone(), interest);
        self.tell_observations(link, interest);
        link.tell(self.pulse());
    }

    /// Sends rows of this process to the followed voter without waiting for an answer. The next rows make up
    /// for lost ones.
    pub fn tell_rows(&self, rows: Vec<Row>) {
        if let Some(voter) = self.followed.get() {
            self.dialer
                .tell(voter, Notification::Rows(Rows { rows, whole: false }));
        }
    }

    /// Sends the load of this process's engine to the followed voter.
    pub fn tell_load(&self, row: LoadRow) {
        if let Some(voter) = self.followed.get() {
            self.dialer
                .tell(voter, Notification::Loads(LoadsMessage { rows: vec![row] }));
        }
    }

    /// Returns the pulse for followers. It shows that this voter is alive and whether it is in contact with
    /// its group, and lists the voters.
    pub fn pulse(&self) -> Notification {
        let voter = self.voter.as_ref();
        let leaving = voter.is_some_and(|v| v.is_leaving());
        Notification::VoterHeartbeat(VoterHeartbeat {
            current: self.is_current() && !leaving,
            voters: voter.map_or_else(Vec::new, |v| v.standing().voters),
            document: self.declared.version(),
            leaving,
        })
    }
}

impl Handler for Node {
    async fn answer(self: Rc<Self>, question: Question) -> HandlerReply {
        let done = |result: Result<(), GroupError>| match result {
            Ok(()) => Reply::Done(Empty {}),
            Err(error) => Reply::Failed(error.to_string()),
        };
        let reply = match question {
            Question::NodeStatus(_) => Reply::NodeStatus(self.standing()),
            Question::Join(standing) => match &self.voter {
                Some(voter) if voter.leads() => {
                    voter.add_newcomer(&standing);
                    Reply::Done(Empty {})
                }
                _ => Reply::Failed("this node does not lead; ask the leader".into()),
            },
            Question::Propose(proposal) => done(
                self.route_proposal(proposal.command, proposal.relayed)
                    .await,
            ),
            Question::Read(hop) => match self.route_read(hop.relayed).await {
                Ok(document) => Reply::Document(document),
                Err(error) => Reply::Failed(error.to_string()),
            },
            Question::Register(rows) => done(self.register(rows.rows).await),
            Question::List(upto) => self.list_reply(&upto),
            Question::Piece(_) | Question::Manifest(_) | Question::Has(_) | Question::HasNow(_) => {
                Reply::Failed("this node holds no weights; ask an entry or agent".into())
            }
        };
        reply.into()
    }

    fn receive(self: Rc<Self>, news: Notification, sender: &Sender) {
        match news {
            Notification::Log(message) => {
                if let Some(voter) = &self.voter {
                    voter.deliver(message);
                }
            }
            Notification::Follow(follow) => self.add_follower(&follow, sender),
            Notification::Rows(rows) if self.voter.is_some() => {
                self.registry.merge(rows.rows, true);
            }
            Notification::Loads(loads) if self.voter.is_some() => {
                self.loads.record(loads.rows, true);
            }
            Notification::Crashes(crashes) if self.voter.is_some() => {
                self.merge_crashes(&crashes);
            }
            Notification::Limits(limits) if self.voter.is_some() => {
                self.merge_limits(&limits);
            }
            Notification::Demand(demand) if self.voter.is_some() => {
                self.merge_entry_demand(&demand);
            }
            Notification::Watch(watch) if self.voter.is_some() => {
                let engines = watch.engines.into_iter().collect();
                self.loads.subscribe(sender, LoadFilter::Engines(engines));
            }
            // A voter sends its seeds the addresses of the voters.
            Notification::VoterHeartbeat(pulse) => {
                let voters: Vec<_> = pulse.voters.iter().filter_map(|v| decode_addr(v)).collect();
                if let Some(voter) = &self.voter {
                    voter.learn_voters(&voters);
                }
                self.learn_voters(voters);
            }
            Notification::Declared(_)
            | Notification::Part(_)
            | Notification::Rows(_)
            | Notification::Loads(_)
            | Notification::Crashes(_)
            | Notification::Limits(_)
            | Notification::Demand(_)
            | Notification::Watch(_) => {}
        }
    }
}

/// Starts the tasks that serve the followers of a voter until the process ends. A node without a voter
/// starts none.
pub fn serve_followers(node: &Rc<Node>) {
    let Some(voter) = node.voter.clone() else {
        return;
    };
    spawn_local(crate::control::follow::publish_documents(
        node.clone(),
        voter,
    ));
    spawn_local(crate::control::follow::notify_seeds(node.clone()));
    spawn_local(crate::control::follow::update_followers(node.clone()));
}
