//! One node among its peers: what it answers them, and whom it asks for the group.

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
use crate::control::ASK;
use crate::control::declared::DeclaredState;
use crate::control::lag::Lag;
use crate::control::loads::Loads;
use crate::control::loads::Wants;
use crate::control::people::People;
use crate::control::unregistered::Unregistered;
use crate::control::voter::Voter;
use crate::link::Dialer;
use crate::link::Given;
use crate::link::Handler;
use crate::link::LinkError;
use crate::link::Sender;
use crate::link::messages::Follow;
use crate::link::messages::Hop;
use crate::link::messages::Interest;
use crate::link::messages::LoadRow;
use crate::link::messages::Loads as Told;
use crate::link::messages::News;
use crate::link::messages::Nothing;
use crate::link::messages::Proposal;
use crate::link::messages::Pulse;
use crate::link::messages::Question;
use crate::link::messages::Reply;
use crate::link::messages::Row;
use crate::link::messages::Rows;
use crate::link::messages::Standing;
use crate::link::messages::addr;
use crate::reload::Seeds;
use crate::settings::Settings;

/// Why the group could not do what was asked; asked again, it may.
#[derive(Debug, Error)]
pub enum GroupError {
    /// No voter is known.
    #[error("no voter is known yet; ask again in a second")]
    Unknown,
    /// The voter asked could not.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The log could not.
    #[error(transparent)]
    Log(#[from] filbertstack_log::ProposeError),
}

/// One node of the system.
pub struct Node {
    /// Its settings, as they were at its start.
    pub settings: Settings,
    /// The seeds, which may change.
    pub seeds: Seeds,
    /// Its clock.
    pub clock: Clock,
    /// What is declared.
    pub declared: DeclaredState,
    /// Who is there.
    pub people: People,
    /// The loads of engines.
    pub loads: Loads,
    /// Statements that no voter could take yet.
    pub unregistered: Unregistered,
    /// Links to peers.
    pub dialer: Dialer,
    /// What it needs to be told by the voter that it follows.
    pub interest: Interest,
    /// The voter in this process, if it has a disk.
    pub voter: Option<Rc<Voter>>,
    /// The voter that this node follows, if it is none itself.
    followed: Cell<Option<SocketAddr>>,
    /// The voters that were last heard of.
    voters: RefCell<Vec<SocketAddr>>,
    /// Whether the voter in this process lags behind the others.
    lag: RefCell<Lag>,
}

impl Node {
    /// A node that knows nobody yet.
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
            people: People::new(clock),
            loads: Loads::default(),
            unregistered: Unregistered::default(),
            dialer,
            interest,
            voter,
            followed: Cell::new(None),
            voters: RefCell::default(),
            lag: RefCell::default(),
        }
    }

    /// The address of the voter that this node follows, for those that may go there directly.
    pub fn followed(&self) -> Option<SocketAddr> {
        self.followed.get()
    }

    /// Notes which voter this node follows.
    pub fn set_followed(&self, voter: Option<SocketAddr>) {
        self.followed.set(voter);
    }

    /// The voters that were last heard of.
    pub fn voters(&self) -> Vec<SocketAddr> {
        self.voters.borrow().clone()
    }

    /// The id of the row of an entry in this process.
    pub fn entry_id(&self) -> String {
        format!("entry {}", self.settings.node.name)
    }

    /// Notes who the voters are.
    pub fn learn_voters(&self, voters: Vec<SocketAddr>) {
        if !voters.is_empty() {
            *self.voters.borrow_mut() = voters;
        }
    }

    /// Notes which document another voter holds.
    pub fn hear_document(&self, version: u64) {
        let (now, held) = (self.clock.now(), self.declared.version());
        self.lag.borrow_mut().observe(now, held, version);
    }

    /// Whether the voter in this process lacks a document that others have held for a while.
    fn is_behind(&self) -> bool {
        let held = self.declared.version();
        self.lag.borrow().is_behind(self.clock.now(), held)
    }

    /// Whether this node is in contact with the group.
    pub fn is_current(&self) -> bool {
        match &self.voter {
            Some(voter) => voter.is_current() && !self.is_behind(),
            None => self.followed.get().is_some(),
        }
    }

    /// Commits a command of the document machine.
    ///
    /// # Errors
    /// [`GroupError`]; the command may have been committed all the same.
    pub async fn propose(&self, command: Bytes) -> Result<(), GroupError> {
        self.pass_proposal(command, false).await
    }

    async fn pass_proposal(&self, command: Bytes, passed: bool) -> Result<(), GroupError> {
        if let Some(voter) = self.voter.as_ref().filter(|v| v.leads()) {
            let effect = voter.propose(command).await?;
            if effect == Effect::Unreadable {
                return Err(GroupError::Unknown);
            }
            return Ok(());
        }
        let question = Question::Propose(Proposal {
            command,
            passed: self.voter.is_some() || passed,
        });
        match self.ask_group(question, passed).await? {
            Reply::Done(_) => Ok(()),
            _ => Err(LinkError::Unfit.into()),
        }
    }

    /// The newest document, confirmed by a majority for this question.
    ///
    /// # Errors
    /// [`GroupError`] if it can't be confirmed now.
    pub async fn read(&self) -> Result<Document, GroupError> {
        self.pass_read(false).await
    }

    async fn pass_read(&self, passed: bool) -> Result<Document, GroupError> {
        if let Some(voter) = self.voter.as_ref().filter(|v| v.leads()) {
            voter.read_barrier().await?;
            return Ok(voter.documents().document().clone());
        }
        let question = Question::Read(Hop {
            passed: self.voter.is_some() || passed,
        });
        match self.ask_group(question, passed).await? {
            Reply::Document(document) => Ok(document),
            _ => Err(LinkError::Unfit.into()),
        }
    }

    /// The list of pieces that the voters keep of the latest version up to `upto`, as far as the voter
    /// that is followed knows; `None` if they keep none.
    ///
    /// # Errors
    /// [`GroupError`] if no voter answers.
    pub async fn kept_list(&self, upto: Weights) -> Result<Option<KeptList>, GroupError> {
        if let Some(voter) = &self.voter {
            return Ok(voter.documents().kept_list(&upto).cloned());
        }
        match self.ask_group(Question::List(upto), false).await? {
            Reply::List(list) => Ok(Some(list)),
            Reply::NotKept(_) => Ok(None),
            _ => Err(LinkError::Unfit.into()),
        }
    }

    fn list(&self, upto: &Weights) -> Reply {
        let Some(voter) = &self.voter else {
            return Reply::Failed("this node keeps no lists; ask a voter".into());
        };
        match voter.documents().kept_list(upto) {
            Some(list) => Reply::List(list.clone()),
            None => Reply::NotKept(Nothing {}),
        }
    }

    /// Asks the leader, or the voter that this node follows. What was passed on already is not
    /// passed on again: two voters that take each other for the leader would never end.
    async fn ask_group(&self, question: Question, passed: bool) -> Result<Reply, GroupError> {
        let peer = match &self.voter {
            Some(_) if passed => None,
            Some(voter) => voter.leader(),
            None => self.followed.get(),
        };
        let peer = peer.ok_or(GroupError::Unknown)?;
        Ok(self.dialer.ask(peer, question, ASK).await?)
    }

    /// Tells the voters what a process says of itself.
    ///
    /// # Errors
    /// [`GroupError`] if no voter in contact with its group took it.
    pub async fn register(&self, rows: Vec<Row>) -> Result<(), GroupError> {
        if let Some(voter) = &self.voter {
            if !voter.is_current() {
                return Err(GroupError::Unknown);
            }
            self.people.take(rows, true);
            return Ok(());
        }
        let question = Question::Register(Rows { rows, whole: false });
        match self.ask_group(question, false).await? {
            Reply::Done(_) => Ok(()),
            _ => Err(LinkError::Unfit.into()),
        }
    }

    fn standing(&self) -> Standing {
        if let Some(voter) = &self.voter {
            return voter.standing();
        }
        let text = |addr: SocketAddr| addr.to_string();
        Standing {
            name: self.settings.node.name.clone(),
            addr: text(self.settings.node.link),
            node: 0,
            cluster: 0,
            leader: String::new(),
            voters: self.voters().into_iter().map(text).collect(),
            members: Vec::new(),
        }
    }

    fn attach(&self, follow: &Follow, link: &Sender) {
        if self.voter.is_none() {
            return;
        }
        let interest = follow.interest();
        if interest != Interest::Registered {
            for news in self.declared.since(follow.version, interest) {
                link.tell(news);
            }
        }
        if interest == Interest::Registered {
            self.loads.follow(link, Wants::Own);
        }
        self.people.follow(link.clone(), interest);
        link.tell(self.pulse());
    }

    /// Tells the voter that is followed what this process says of itself, without an answer:
    /// the next statement makes up for one that is lost.
    pub fn tell_rows(&self, rows: Vec<Row>) {
        if let Some(voter) = self.followed.get() {
            self.dialer
                .tell(voter, News::Rows(Rows { rows, whole: false }));
        }
    }

    /// Tells the voter that is followed the load of this process's engine.
    pub fn tell_load(&self, row: LoadRow) {
        if let Some(voter) = self.followed.get() {
            self.dialer
                .tell(voter, News::Loads(Told { rows: vec![row] }));
        }
    }

    /// The sign of life that followers get.
    pub fn pulse(&self) -> News {
        let voter = self.voter.as_ref();
        News::Pulse(Pulse {
            current: self.is_current() && voter.is_some_and(|v| !v.is_leaving()),
            voters: voter.map_or_else(Vec::new, |v| v.standing().voters),
            document: self.declared.version(),
        })
    }
}

impl Handler for Node {
    async fn answer(self: Rc<Self>, question: Question) -> Given {
        let done = |result: Result<(), GroupError>| match result {
            Ok(()) => Reply::Done(Nothing {}),
            Err(error) => Reply::Failed(error.to_string()),
        };
        let reply = match question {
            Question::Standing(_) => Reply::Standing(self.standing()),
            Question::Join(standing) => match &self.voter {
                Some(voter) if voter.leads() => {
                    voter.meet(&standing);
                    Reply::Done(Nothing {})
                }
                _ => Reply::Failed("this node does not lead; ask the leader".into()),
            },
            Question::Propose(proposal) => {
                done(self.pass_proposal(proposal.command, proposal.passed).await)
            }
            Question::Read(hop) => match self.pass_read(hop.passed).await {
                Ok(document) => Reply::Document(document),
                Err(error) => Reply::Failed(error.to_string()),
            },
            Question::Register(rows) => done(self.register(rows.rows).await),
            Question::List(upto) => self.list(&upto),
            Question::Piece(_) | Question::Manifest(_) | Question::Has(_) | Question::HasNow(_) => {
                Reply::Failed("this node holds no weights; ask an entry or agent".into())
            }
        };
        reply.into()
    }

    fn take(self: Rc<Self>, news: News, sender: &Sender) {
        match news {
            News::Log(message) => {
                if let Some(voter) = &self.voter {
                    voter.deliver(message);
                }
            }
            News::Follow(follow) => self.attach(&follow, sender),
            News::Rows(rows) if self.voter.is_some() => self.people.take(rows.rows, true),
            News::Loads(loads) if self.voter.is_some() => self.loads.take(loads.rows, true),
            News::Watch(watch) if self.voter.is_some() => {
                let engines = watch.engines.into_iter().collect();
                self.loads.follow(sender, Wants::Engines(engines));
            }
            // A voter tells its seeds who the voters are.
            News::Pulse(pulse) => {
                let voters: Vec<_> = pulse.voters.iter().filter_map(|v| addr(v)).collect();
                if let Some(voter) = &self.voter {
                    voter.learn_voters(&voters);
                }
                self.learn_voters(voters);
            }
            News::Declared(_) | News::Part(_) | News::Rows(_) | News::Loads(_) | News::Watch(_) => {
            }
        }
    }
}

/// Runs what every node with a voter does for its followers, until the process ends.
pub fn lead_followers(node: &Rc<Node>) {
    let Some(voter) = node.voter.clone() else {
        return;
    };
    spawn_local(crate::control::follow::show_documents(node.clone(), voter));
    spawn_local(crate::control::follow::tell_seeds(node.clone()));
    spawn_local(crate::control::follow::keep_followers(node.clone()));
}
