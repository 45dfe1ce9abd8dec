//! The upkeep of the group of voters: who founds it, who is taken in, who is taken out, and whether it
//! is short of members. The decisions stand in [`membership`], [`Search`] and [`Shortage`].
//!
//! [`Shortage`]: crate::control::shortage::Shortage

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use filbertstack_log::Change;
use filbertstack_log::Member;
use filbertstack_log::NodeId;
use filbertstack_log::ReplicaStatus;
use rand::RngExt as _;
use spdlog::info;
use spdlog::warn;
use tokio::task::spawn_blocking;

use crate::control::EXPLAIN_INTERVAL;
use crate::control::membership;
use crate::control::membership::Newcomer;
use crate::control::search::Search;
use crate::control::seek::hear_all;
use crate::control::seek::seek_leader;
use crate::control::shortage::Told;
use crate::control::voter::Voter;
use crate::link::messages::Question;

/// How often a voter looks after the membership, in the mean.
const TEND: Duration = Duration::from_millis(250);

/// The part of [`TEND`] that is drawn by lot, so that nodes that started together do not ask
/// together.
const JITTER: f64 = 0.4;

/// How long the leader is waited for when it is asked to take this node in.
const JOIN: Duration = Duration::from_millis(600);

/// How long a change of membership may take.
const CHANGE: Duration = Duration::from_secs(2);

impl Voter {
    /// Looks after the group, until the process ends.
    pub(super) async fn tend(self: Rc<Self>) {
        loop {
            let part = rand::rng().random_range(1.0 - JITTER..1.0 + JITTER);
            tokio::time::sleep(TEND.mul_f64(part)).await;
            let status = self.status();
            if let Some(why) = &status.failed {
                // Only a new start finds out what is on the disk.
                spdlog::error!("the log has stopped, the process ends", kv: { error = why.clone() });
                std::process::exit(1);
            }
            if status.cluster.is_none() {
                self.form().await;
            } else if self.leads() {
                self.watch_shortage(&status);
                self.repair(&status).await;
            } else if status.node.leader.is_none() {
                self.ask_in().await;
            } else {
                self.outside.set(None);
            }
        }
    }

    /// A node without a group creates one, or asks to be taken in.
    async fn form(&self) {
        let seeds = self.seeds.now();
        if self.settings.first {
            let heard = hear_all(&self.dialer, self.settings.link, &seeds).await;
            let own = self.settings.link;
            if let Some(wanted) = membership::founder(true, own, &seeds, &heard) {
                self.found(wanted).await;
                return;
            }
        }
        // A node may be the only seed itself: then those that tell it of themselves are asked.
        let told = self.told.borrow().clone();
        let starts = seeds.into_iter().chain(told);
        let mut search = Search::new(self.settings.link, starts);
        seek_leader(&self.dialer, &mut search).await;
        self.join(&search, search.leader()).await;
    }

    async fn found(&self, wanted: u32) {
        let replica = self.replica.clone();
        let member = self.member();
        let until = Instant::now() + CHANGE;
        let made = spawn_blocking(move || replica.create(member, wanted, None, until)).await;
        match made {
            Ok(Ok(())) => info!("group of voters created", kv: { wanted = wanted }),
            Ok(Err(error)) => warn!("group not created", kv: { error = error.to_string() }),
            Err(error) => warn!("group not created", kv: { error = error.to_string() }),
        }
    }

    /// A member without a leader may have been taken out while it was away.
    async fn ask_in(&self) {
        let known: Vec<SocketAddr> = self.places.borrow().values().copied().collect();
        let starts = known.into_iter().chain(self.seeds.now());
        let mut search = Search::new(self.settings.link, starts);
        seek_leader(&self.dialer, &mut search).await;
        let own = self.status().id.0;
        let leader = search.leader_without(own);
        self.join(&search, leader).await;
    }

    /// Asks the leader to be taken in, and says after a while why that did not come about.
    async fn join(&self, search: &Search, leader: Option<SocketAddr>) {
        let mut refused = None;
        if let Some(leader) = leader {
            let asked = Question::Join(self.standing());
            let answer = self.dialer.ask(leader, asked, JOIN).await;
            refused = answer.err().map(|error| format!("{leader}: {error}"));
        }
        let now = Instant::now();
        let since = self.outside.get().unwrap_or(now);
        if now.duration_since(since) < EXPLAIN_INTERVAL {
            self.outside.set(Some(since));
            return;
        }
        self.outside.set(Some(now));
        warn!("no leader takes this node in", kv: {
            for_s = EXPLAIN_INTERVAL.as_secs(), asked = search.account(),
            leader = leader.map_or("none named".to_owned(), |l| l.to_string()),
            refused = refused.unwrap_or_default()
        });
    }

    /// Shows how many voters hold the log, and says when they are fewer than the group is declared
    /// for: it bears as many losses less.
    fn watch_shortage(&self, status: &ReplicaStatus) {
        let now = Instant::now();
        let membership = &status.node.membership;
        let heard = self.heard.borrow();
        let lately = |node: &NodeId| {
            let at = heard.get(node);
            at.is_none_or(|at| now.duration_since(*at) < membership::REPLACED)
        };
        let others = membership.voters.iter().map(Member::id);
        let silent: Vec<NodeId> = others
            .filter(|node| *node != status.id && !lately(node))
            .collect();
        let holding = membership.voters.len() - silent.len();
        let mut watched = self.watched.borrow_mut();
        let seen = watched.watch(now, membership.voters.len(), holding);
        let level = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        let control = &self.metrics.control;
        control.voters.set("declared", level(seen.declared));
        control.voters.set("holding", level(holding));
        match seen.told {
            Some(Told::Short) => {
                warn!("fewer voters hold the log than the group is declared for", kv: {
                    declared = seen.declared, holding = holding,
                    members = membership.voters.len(), silent = format!("{silent:?}"),
                    learners = membership.learners.len()
                });
            }
            Some(Told::Whole) => {
                info!("as many voters hold the log as the group is declared for", kv: {
                    declared = seen.declared
                });
            }
            None => {}
        }
    }

    /// The leader brings the membership one step nearer to those that are there.
    async fn repair(&self, status: &ReplicaStatus) {
        let now = Instant::now();
        let waiting = self.waiting(now);
        let silent = |node: NodeId| {
            let heard = self.heard.borrow().get(&node).copied();
            let since = heard.unwrap_or(now);
            self.heard.borrow_mut().entry(node).or_insert(now);
            now.duration_since(since)
        };
        let step = membership::next(status.id, &status.node.membership, &waiting, silent);
        if let Some(change) = step {
            let spare = waiting.is_empty() && status.node.membership.learners.is_empty();
            if spare && matches!(change, Change::Remove(_)) {
                self.watched.borrow_mut().release();
            }
            self.change(change).await;
        }
    }

    /// Those that asked to be taken in lately.
    fn waiting(&self, now: Instant) -> Vec<Newcomer> {
        let mut newcomers = self.newcomers.borrow_mut();
        newcomers.retain(|_, (_, at)| now.duration_since(*at) < membership::NEWCOMER);
        newcomers.values().map(|(n, _)| n.clone()).collect()
    }

    async fn change(&self, change: Change) {
        let text = format!("{change:?}");
        let replica = self.replica.clone();
        let until = Instant::now() + CHANGE;
        let done = spawn_blocking(move || match change {
            // Waits for a moment when the learner holds everything.
            Change::Promote(node) => replica.promote(node, until),
            change => replica.change(change, until),
        });
        match done.await {
            Ok(Ok(_)) => info!("membership changed", kv: { change = text }),
            Ok(Err(error)) => {
                info!("membership not changed yet", kv: { change = text, error = error.to_string() });
            }
            Err(error) => warn!("membership not changed", kv: { error = error.to_string() }),
        }
    }

    fn member(&self) -> Member {
        Member {
            node: self.status().id.0,
            name: self.settings.name.clone(),
            address: self.settings.link.to_string(),
        }
    }
}
