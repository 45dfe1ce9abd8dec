//! Maintenance of the group of voters: creates the group, adds and removes members, and reports a
//! shortage of voters. [`membership`], [`LeaderSearch`] and [`Shortage`] make the decisions.
//!
//! [`Shortage`]: crate::control::shortage::Shortage

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use filbertstack_log::Change;
use filbertstack_log::Member;
use filbertstack_log::Membership;
use filbertstack_log::NodeId;
use filbertstack_log::ReplicaStatus;
use rand::RngExt as _;
use spdlog::info;
use spdlog::warn;
use tokio::task::spawn_blocking;

use crate::control::EXPLAIN_INTERVAL;
use crate::control::discovery::ask_all;
use crate::control::discovery::find_leader;
use crate::control::membership;
use crate::control::membership::Newcomer;
use crate::control::search::LeaderSearch;
use crate::control::shortage::ShortageEvent;
use crate::control::voter::Voter;
use crate::link::messages::Question;

/// The mean interval at which a voter maintains the membership.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// The largest random deviation from [`MAINTENANCE_INTERVAL`], as a fraction of it, so that nodes that
/// start at the same time do not ask at the same time.
const JITTER: f64 = 0.4;

/// How long the leader may take to answer a request to join the group.
const JOIN_TIMEOUT: Duration = Duration::from_millis(600);

/// How long a change of membership may take.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a promotion waits until the learner holds all committed entries. Meanwhile a voter may be lost, which must
/// change the decision.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(500);

/// The most changes in one round of maintenance: those of one replacement.
const MAX_CHANGES: usize = 3;

impl Voter {
    /// Maintains the group until the process ends.
    pub(super) async fn maintain(self: Rc<Self>) {
        loop {
            let factor = rand::rng().random_range(1.0 - JITTER..1.0 + JITTER);
            tokio::time::sleep(MAINTENANCE_INTERVAL.mul_f64(factor)).await;
            let status = self.status();
            if let Some(why) = &status.failed {
                // Only a restart can find out what is on the disk.
                spdlog::error!("the log has stopped; the process ends", kv: { error = why.clone() });
                std::process::exit(1);
            }
            if status.cluster.is_none() {
                self.form_group().await;
            } else if self.leads() {
                self.check_shortage(&status);
                self.repair_membership().await;
            } else if status.node.leader.is_none() && !self.is_leaving() {
                self.rejoin().await;
            } else {
                self.outside_since.set(None);
            }
        }
    }

    /// Creates the group, or asks to join it. A node without a group calls this.
    async fn form_group(&self) {
        let seeds = self.seeds.current();
        if self.settings.first_start {
            let answers = ask_all(&self.dialer, self.settings.link, &seeds).await;
            let own = self.settings.link;
            if let Some(wanted) = membership::founding_size(true, own, &seeds, &answers) {
                self.create_group(wanted).await;
                return;
            }
        }
        // This node may be its own only seed. Then it asks the voters that announced themselves to it.
        let announced = self.announced.borrow().clone();
        let starts = seeds.into_iter().chain(announced);
        let mut search = LeaderSearch::new(self.settings.link, starts);
        find_leader(&self.dialer, &mut search).await;
        self.request_join(&search, search.leader()).await;
    }

    async fn create_group(&self, wanted: u32) {
        let replica = self.replica.clone();
        let member = self.own_member();
        let until = Instant::now() + CHANGE_TIMEOUT;
        let created = spawn_blocking(move || replica.create(member, wanted, None, until)).await;
        match created {
            Ok(Ok(())) => info!("group of voters created", kv: { wanted = wanted }),
            Ok(Err(error)) => warn!("group not created", kv: { error = error.to_string() }),
            Err(error) => warn!("group not created", kv: { error = error.to_string() }),
        }
    }

    /// Asks to join again: a member without a leader may have been removed while it was away.
    async fn rejoin(&self) {
        let known: Vec<SocketAddr> = self.addresses.borrow().values().copied().collect();
        let starts = known.into_iter().chain(self.seeds.current());
        let mut search = LeaderSearch::new(self.settings.link, starts);
        find_leader(&self.dialer, &mut search).await;
        let own = self.status().id.0;
        let leader = search.leader_without(own);
        self.request_join(&search, leader).await;
    }

    /// Asks the leader to add this node to the group, and logs after a while why that did not happen.
    async fn request_join(&self, search: &LeaderSearch, leader: Option<SocketAddr>) {
        let mut refused = None;
        if let Some(leader) = leader {
            let question = Question::Join(self.standing());
            let answer = self.dialer.ask(leader, question, JOIN_TIMEOUT).await;
            refused = answer.err().map(|error| format!("{leader}: {error}"));
        }
        let now = Instant::now();
        let since = self.outside_since.get().unwrap_or(now);
        if now.duration_since(since) < EXPLAIN_INTERVAL {
            self.outside_since.set(Some(since));
            return;
        }
        self.outside_since.set(Some(now));
        let membership = self.status().node.membership;
        warn!("no leader takes this node in", kv: {
            for_s = EXPLAIN_INTERVAL.as_secs(), asked = search.summary(),
            leader = leader.map_or("none named".to_owned(), |l| l.to_string()),
            refused = refused.unwrap_or_default(),
            voters = membership.voters.len(), needed = membership.quorum(),
            silent = self.silent_members(&membership, now)
        });
    }

    /// Updates the metrics of how many voters hold the log, and logs when these are fewer than the group
    /// is declared for. The group then tolerates as many failures less.
    fn check_shortage(&self, status: &ReplicaStatus) {
        let now = Instant::now();
        let membership = &status.node.membership;
        let contacts = self.contacts.borrow();
        let recent = |node: &NodeId| contacts.silence(*node, now) < membership::REPLACE_AFTER;
        let others = membership.voters.iter().map(Member::id);
        let silent: Vec<NodeId> = others
            .filter(|node| *node != status.id && !recent(node))
            .collect();
        let holding = membership.voters.len() - silent.len();
        let mut shortage = self.shortage.borrow_mut();
        let observed = shortage.observe(now, membership.voters.len(), holding);
        let level = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        let control = &self.metrics.control;
        control.voters.set("declared", level(observed.declared));
        control.voters.set("holding", level(holding));
        match observed.event {
            Some(ShortageEvent::Lasting) => {
                warn!("fewer voters hold the log than the group is declared for", kv: {
                    declared = observed.declared, holding = holding,
                    members = membership.voters.len(), silent = format!("{silent:?}"),
                    learners = membership.learners.len()
                });
            }
            Some(ShortageEvent::Ended) => {
                info!("as many voters hold the log as the group is declared for", kv: {
                    declared = observed.declared
                });
            }
            None => {}
        }
    }

    /// Makes the changes that adapt the membership to the available nodes. The leader calls this.
    ///
    /// The changes of one replacement follow each other at once, as fewer failures are tolerated between them.
    async fn repair_membership(&self) {
        for _ in 0..MAX_CHANGES {
            let now = Instant::now();
            let status = self.status();
            let newcomers = self.recent_newcomers(now);
            let membership = &status.node.membership;
            let contact = |member: &Member| self.contacts.borrow().contact(member, now);
            let step = membership::next_change(status.id, membership, &newcomers, contact);
            let Some(change) = step else {
                return;
            };
            let alone = newcomers.is_empty() && membership.learners.is_empty();
            let surplus = alone && matches!(change, Change::Remove(_));
            if !self.apply_change(change).await {
                return;
            }
            if surplus {
                self.shortage.borrow_mut().lower_declared();
            }
            if !self.leads() {
                return;
            }
        }
    }

    /// Returns the nodes that recently asked to join, and drops the others.
    fn recent_newcomers(&self, now: Instant) -> Vec<Newcomer> {
        let mut newcomers = self.newcomers.borrow_mut();
        newcomers.retain(|_, (_, at)| now.duration_since(*at) < membership::JOIN_VALIDITY);
        newcomers.values().map(|(n, _)| n.clone()).collect()
    }

    /// Returns the members that have been silent for longer than [`EXPLAIN_INTERVAL`], and those from which no
    /// message has arrived since the start of the process, for the log.
    fn silent_members(&self, membership: &Membership, now: Instant) -> String {
        let own = self.status().id;
        let contacts = self.contacts.borrow();
        let age = |member: &Member| match contacts.last_heard(member.id()) {
            Some(at) if now.duration_since(at) < EXPLAIN_INTERVAL => None,
            Some(at) => Some(format!("for {} s", now.duration_since(at).as_secs())),
            None => Some("since the start".to_owned()),
        };
        let others = membership.members().filter(|m| m.id() != own);
        let silent = others.filter_map(|m| Some(format!("{} {} {}", m.id(), m.address, age(m)?)));
        silent.collect::<Vec<String>>().join("; ")
    }

    /// Makes a change and returns whether it is committed.
    async fn apply_change(&self, change: Change) -> bool {
        let text = format!("{change:?}");
        let replica = self.replica.clone();
        let now = Instant::now();
        let until = now + CHANGE_TIMEOUT;
        let done = spawn_blocking(move || match change {
            Change::Promote(node) => replica.promote(node, now + CATCH_UP_TIMEOUT, until),
            change => replica.change(change, until),
        });
        match done.await {
            Ok(Ok(_)) => {
                info!("membership changed", kv: { change = text });
                return true;
            }
            Ok(Err(error)) => {
                info!("membership not changed yet", kv: { change = text, error = error.to_string() });
            }
            Err(error) => warn!("membership not changed", kv: { error = error.to_string() }),
        }
        false
    }

    fn own_member(&self) -> Member {
        Member {
            node: self.status().id.0,
            name: self.settings.name.clone(),
            address: self.settings.link.to_string(),
        }
    }
}
