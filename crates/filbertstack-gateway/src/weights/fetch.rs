//! Fetches the pieces of one version from other nodes and from the origin.

mod list;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use filbertstack_core::Millis;
use filbertstack_platform::engine::PieceList;
use filbertstack_platform::engine::WeightsVersion;
use filbertstack_platform::engine::ask_piece;
use filbertstack_policy::pieces::Asked;
use filbertstack_policy::pieces::OriginCase;
use filbertstack_policy::pieces::OwnerMap;
use filbertstack_policy::pieces::PieceRole;
use filbertstack_policy::pieces::Window;
use filbertstack_policy::pieces::may_ask_origin;
use filbertstack_policy::pieces::origin_silence;
use spdlog::info;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::client::CallLimits;
use crate::client::call_until_silent;
use crate::control::node::Node;
use crate::link::LinkError;
use crate::link::messages::PieceName;
use crate::link::messages::Question;
use crate::link::messages::Reply;
use crate::weights;
use crate::weights::PieceDigest;
use crate::weights::cache::OWNER_WAIT;

/// A node may take this long to send a piece, beside live requests on a narrow link.
const PEER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// A node that is asked for pieces may send nothing for this long. One that progresses sends a piece to some
/// node every 50 ms, and serves the nodes in turn.
const PEER_SILENCE: Duration = Duration::from_millis(1_200);

/// A node may take this long to answer whether it has a piece: the time for which it lets others wait, and
/// the transfer time.
const HAS_TIMEOUT: Duration = OWNER_WAIT.saturating_add(Duration::from_millis(400));

/// An owner may take this long to answer whether it has a piece now. A frozen owner has nothing to send, and
/// the origin may fail soon.
const HAS_NOW_TIMEOUT: Duration = Duration::from_millis(300);

/// The fetch pauses for this time after a node that has a piece did not send it.
const HOLDER_RETRY: Duration = Duration::from_millis(300);

/// One node fetches at most this many pieces from the origin at once: all nodes together fill its link, and
/// an agent that asks, as no entry could, does so beside its callers' events.
const MAX_ORIGIN_DOWNLOADS: usize = 1;

/// A node that let a question time out is asked for nothing else for this long: it is frozen or its link is
/// narrow, and other nodes have the same pieces.
const SLOW_BACKOFF: Duration = Duration::from_secs(2);

/// A connection to the origin may take this long to open: where many open at once, some wait a second for
/// their next attempt.
const ORIGIN_CONNECT: Duration = Duration::from_millis(2_500);

/// The fetch pauses for this time after all sources have failed.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The layout of the nodes is reused for this long: ranking them for each of some dozen pieces and rounds
/// took an agent's whole share of a core at 65 agents.
const LAYOUT_AGE: Duration = Duration::from_millis(400);

/// After this many mismatches of one piece, the list itself is considered wrong and fetched again.
const MAX_MISMATCHES: usize = 4;

/// A piece has at most this many bytes. The size that a list names may be wrong while its digests are right.
const MAX_PIECE: usize = 4 << 20;

/// The pieces that were received under one number and do not match the list.
#[derive(Default)]
struct Mismatches(Vec<PieceDigest>);

impl Mismatches {
    /// Adds a piece, and returns whether the list itself must be wrong: the same bytes came twice, as they do not if
    /// they were spoilt on the way, or too many did not match.
    fn add(&mut self, bytes: &[u8]) -> bool {
        let digest = weights::digest(bytes);
        let is_known = self.0.contains(&digest);
        self.0.push(digest);
        is_known || self.0.len() >= MAX_MISMATCHES
    }
}

/// `Fetch` fetches one version for one node.
pub struct Fetch {
    node: Rc<Node>,
    own: Arc<str>,
    weights: WeightsVersion,
    /// Nodes that did not answer in time, and when.
    slow: RefCell<BTreeMap<Arc<str>, Instant>>,
    layout: RefCell<Option<(Rc<OwnerMap>, Instant)>>,
    origin_slots: Semaphore,
    /// Whether the origin is left to another version.
    origin_paused: Cell<bool>,
    /// When the origin last failed to send a piece.
    origin_failed_at: Cell<Option<Instant>>,
    window: RefCell<Window>,
    downloads: Cell<u32>,
    slot_freed: Notify,
}

/// `Availability` is the answer of the nodes that were asked whether they have a piece.
struct Availability {
    /// A node that has it, and its address.
    holder: Option<(Arc<str>, SocketAddr)>,
    /// Whether any of them answered.
    answered: bool,
}

/// `Slot` counts one piece that is being downloaded to this node.
struct Slot<'a>(&'a Fetch);

impl<'a> Slot<'a> {
    async fn acquire(fetch: &'a Fetch) -> Self {
        while fetch.downloads.get() >= fetch.window.borrow().size() {
            fetch.slot_freed.notified().await;
        }
        fetch.downloads.set(fetch.downloads.get() + 1);
        Self(fetch)
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.downloads.set(self.0.downloads.get() - 1);
        self.0.slot_freed.notify_waiters();
    }
}

impl Fetch {
    /// Creates a fetch of `weights` for the node with the id `own`, with at most `limit` pieces downloaded
    /// from other nodes at once.
    pub fn new(node: Rc<Node>, own: &str, weights: WeightsVersion, limit: u32) -> Self {
        Self {
            node,
            own: own.into(),
            weights,
            slow: RefCell::default(),
            layout: RefCell::default(),
            origin_slots: Semaphore::new(MAX_ORIGIN_DOWNLOADS),
            origin_paused: Cell::new(false),
            origin_failed_at: Cell::new(None),
            window: RefCell::new(Window::new(limit)),
            downloads: Cell::new(0),
            slot_freed: Notify::new(),
        }
    }

    /// Returns the version that is fetched.
    pub fn weights(&self) -> &WeightsVersion {
        &self.weights
    }

    /// Sets whether the origin is left to another version. Fetching both at once would slow down each, and
    /// move every engine to two versions one after the other.
    pub fn set_origin_paused(&self, origin_paused: bool) {
        self.origin_paused.set(origin_paused);
    }

    /// Returns the layout of the nodes that are present, recomputed when it is older than `LAYOUT_AGE`.
    pub fn layout(&self, list: &PieceList) -> Rc<OwnerMap> {
        let kept = self.layout.borrow().clone();
        if let Some((layout, _)) = kept.filter(|(_, at)| at.elapsed() < LAYOUT_AGE) {
            return layout;
        }
        let layout = self.new_layout(weights::piece_count(list));
        *self.layout.borrow_mut() = Some((layout.clone(), Instant::now()));
        layout
    }

    fn new_layout(&self, pieces: u32) -> Rc<OwnerMap> {
        Rc::new(weights::layout(
            &self.node,
            &self.own,
            &self.weights,
            pieces,
        ))
    }

    /// Fetches one piece from other nodes and, when it may be asked, from the origin at the same time.
    /// Returns `None` if the received bytes repeatedly do not match the list.
    pub async fn piece(&self, list: &PieceList, number: u32) -> Option<Bytes> {
        let began = Instant::now();
        tokio::select! {
            bytes = self.ask_peers(list, number, began) => bytes,
            bytes = self.ask_origin(list, number, began) => bytes,
        }
    }

    /// Fetches a piece from other nodes. Returns `None` if it does not match the list, as they have another one.
    async fn ask_peers(&self, list: &PieceList, number: u32, began: Instant) -> Option<Bytes> {
        let mut mismatches = Mismatches::default();
        loop {
            let plan = self.layout(list).plan(number);
            let elapsed = Millis::from(began.elapsed());
            for asked in plan.nodes_to_ask(elapsed, |id| self.is_slow(id)) {
                let Some(bytes) = self.ask_peer(number, &asked).await else {
                    continue;
                };
                if weights::matches_bytes(list, number, &bytes) {
                    return Some(bytes);
                }
                info!("piece from another node does not match its digest", kv: { number = number });
                if mismatches.add(&bytes) {
                    return None;
                }
            }
            sleep(RETRY_DELAY).await;
        }
    }

    fn is_slow(&self, id: &str) -> bool {
        let slow = self.slow.borrow();
        slow.get(id).is_some_and(|at| at.elapsed() < SLOW_BACKOFF)
    }

    fn mark_slow(&self, id: &Arc<str>) {
        self.slow.borrow_mut().insert(id.clone(), Instant::now());
    }

    fn piece_name(&self, number: u32) -> PieceName {
        PieceName {
            weights: weights::to_wire(&self.weights),
            number,
        }
    }

    async fn ask_peer(&self, number: u32, Asked { id, waits }: &Asked) -> Option<Bytes> {
        let addr = weights::link_addr(&self.node, id)?;
        let name = self.piece_name(number);
        let (question, max_wait) = if *waits {
            (Question::Has(name), HAS_TIMEOUT)
        } else {
            (Question::HasNow(name), HAS_NOW_TIMEOUT)
        };
        let has = self.node.dialer.ask(addr, question, max_wait).await;
        if let Err(error) = has {
            if !matches!(error, LinkError::Failed(_)) {
                self.mark_slow(id);
            }
            return None;
        }
        self.download(number, id, addr).await
    }

    async fn download(&self, number: u32, id: &Arc<str>, addr: SocketAddr) -> Option<Bytes> {
        let _slot = Slot::acquire(self).await;
        let asked_at = self.node.clock.now();
        let question = Question::Piece(self.piece_name(number));
        let dialer = &self.node.dialer;
        match dialer
            .ask_until_silent(addr, question, PEER_TIMEOUT, PEER_SILENCE)
            .await
        {
            Ok(Reply::Piece(bytes)) => {
                let now = self.node.clock.now();
                self.window.borrow_mut().arrived(asked_at, now);
                Some(bytes)
            }
            Err(LinkError::Timeout | LinkError::Broken { .. }) => {
                self.window.borrow_mut().stalled();
                self.mark_slow(id);
                None
            }
            _ => None,
        }
    }

    /// Asks which of `nodes` has the piece now. The piece is then fetched from that node, and the origin's
    /// link is left to the pieces that no node has.
    async fn find_holder(&self, number: u32, nodes: &[Arc<str>]) -> Availability {
        let questions = nodes.iter().filter(|id| !self.is_slow(id));
        let questions = questions.map(|id| async move {
            let addr = weights::link_addr(&self.node, id)?;
            let question = Question::HasNow(self.piece_name(number));
            match self.node.dialer.ask(addr, question, HAS_NOW_TIMEOUT).await {
                Ok(_) => Some(Some((id.clone(), addr))),
                Err(LinkError::Failed(_)) => Some(None),
                Err(_) => {
                    self.mark_slow(id);
                    None
                }
            }
        });
        let answers = futures_util::future::join_all(questions).await;
        let answers: Vec<_> = answers.into_iter().flatten().collect();
        Availability {
            answered: !answers.is_empty(),
            holder: answers.into_iter().flatten().next(),
        }
    }

    /// Fetches a piece from the origin; returns `None` when the received bytes were wrong too often.
    async fn ask_origin(&self, list: &PieceList, number: u32, began: Instant) -> Option<Bytes> {
        let mut mismatches = Mismatches::default();
        loop {
            let plan = self.layout(list).plan(number);
            let after = Duration::from(plan.origin_after);
            let spent = began.elapsed();
            if spent < after || self.origin_paused.get() {
                sleep(
                    after
                        .saturating_sub(spent)
                        .clamp(RETRY_DELAY / 2, RETRY_DELAY),
                )
                .await;
                continue;
            }
            let availability = self.find_holder(number, &plan.likely_holders).await;
            if let Some((id, addr)) = availability.holder {
                let bytes = self.download(number, &id, addr).await;
                if let Some(bytes) =
                    bytes.filter(|bytes| weights::matches_bytes(list, number, bytes))
                {
                    return Some(bytes);
                }
                sleep(HOLDER_RETRY).await;
                continue;
            }
            let role = self.layout(list).role(number);
            if !self.may_ask_origin(role, availability.answered, began) {
                sleep(HOLDER_RETRY).await;
                continue;
            }
            let Ok(slot) = self.origin_slots.acquire().await else {
                return None;
            };
            if self.origin_paused.get() {
                continue;
            }
            let asked_at = Instant::now();
            let fetched = self.piece_from_origin(number).await;
            drop(slot);
            info!("piece asked of the origin", kv: {
                version = self.weights.version, number, role = format!("{role:?}"),
                received = fetched.is_some(), took_ms = asked_at.elapsed().as_millis()
            });
            if let Some(bytes) = fetched {
                if weights::matches_bytes(list, number, &bytes) {
                    return Some(bytes);
                }
                info!("piece from the origin does not match its digest", kv: { number = number });
                if mismatches.add(&bytes) {
                    return None;
                }
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Returns whether this node may ask the origin now for a piece that it began to fetch at `began`.
    fn may_ask_origin(&self, role: PieceRole, owner_answers: bool, began: Instant) -> bool {
        may_ask_origin(self.origin_case(role, owner_answers, began))
    }

    fn origin_case(&self, role: PieceRole, owner_answers: bool, began: Instant) -> OriginCase {
        let failed_at = self.origin_failed_at.get();
        OriginCase {
            role,
            owner_answers,
            elapsed: Millis::from(began.elapsed()),
            since_failure: failed_at.map(|at| Millis::from(at.elapsed())),
        }
    }

    async fn piece_from_origin(&self, number: u32) -> Option<Bytes> {
        let outgoing = ask_piece(&self.weights, number);
        let copy = self.node.declared.copy_time(&self.weights.model);
        let limits = CallLimits {
            body: MAX_PIECE,
            connect: ORIGIN_CONNECT,
            silence: origin_silence(copy).into(),
        };
        match call_until_silent(self.origin()?, outgoing, limits).await {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                self.origin_failed_at.set(Some(Instant::now()));
                info!("piece not fetched from the origin",
                    kv: { number = number, error = error.to_string() });
                None
            }
        }
    }

    fn origin(&self) -> Option<SocketAddr> {
        self.node.declared.origins().first().copied()
    }
}
