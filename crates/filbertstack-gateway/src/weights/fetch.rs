//! Getting the pieces of one version from other nodes and from the origin.

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
use filbertstack_platform::engine::Holding;
use filbertstack_platform::engine::PieceList;
use filbertstack_platform::engine::ask_piece;
use filbertstack_policy::pieces::OwnerMap;
use filbertstack_policy::pieces::Window;
use filbertstack_policy::pieces::may_ask_origin;
use spdlog::info;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::client::call;
use crate::control::node::Node;
use crate::link::LinkError;
use crate::link::messages::PieceName;
use crate::link::messages::Question;
use crate::link::messages::Reply;
use crate::weights;
use crate::weights::cache::OWNER_WAIT;

/// How long a node may take for a piece, beside live requests on a narrow link.
const PEER: Duration = Duration::from_millis(2_500);

/// How long a node may send nothing at all while it is asked for pieces. One that gets on sends
/// a piece to somebody each 50 ms, and its turns go round.
const PEER_SILENT: Duration = Duration::from_millis(1_200);

/// How long a node may take to say whether it has a piece: what it lets others wait, and the
/// way.
const HAS: Duration = OWNER_WAIT.saturating_add(Duration::from_millis(400));

/// How long an owner may take to say whether it has a piece now. One that is frozen has nothing
/// to give, and the origin may be gone soon.
const HAS_NOW: Duration = Duration::from_millis(300);

/// The pause after a node that has a piece did not give it.
const HAS_AGAIN: Duration = Duration::from_millis(300);

/// How many pieces one node fetches from the origin at once: all nodes together fill its link, and
/// an agent that asks, as no entry could, does so beside its callers' events.
const ORIGIN_DOWNLOADS: usize = 1;

/// For how long a node that let a question time out is asked for nothing else: it is frozen or
/// its link is narrow, and others have what it has.
const PASSED_OVER: Duration = Duration::from_secs(2);

/// How long the origin may take for a piece while all owners ask at once: a copy of all pieces
/// takes its link a second or two.
const ORIGIN: Duration = Duration::from_millis(2_500);

/// The pause before sources are asked again that all failed.
const PAUSE: Duration = Duration::from_millis(100);

/// For how long the layout of the nodes is kept: ranking them for each of some dozen pieces and
/// rounds took an agent's whole share of a core at 65 agents.
const LAYOUT: Duration = Duration::from_millis(400);

/// After how many wrong bytes for one piece the list itself is doubted and fetched again.
const WRONG: u32 = 4;

/// One node's fetch of one version.
pub struct Fetch {
    node: Rc<Node>,
    own: Arc<str>,
    weights: Holding,
    /// Nodes that did not answer in time, and when.
    slow: RefCell<BTreeMap<Arc<str>, Instant>>,
    layout: RefCell<Option<(Rc<OwnerMap>, Instant)>>,
    origin_slots: Semaphore,
    /// Whether the origin is left to a newer version.
    yields: Cell<bool>,
    window: RefCell<Window>,
    under_way: Cell<u32>,
    freed: Notify,
}

/// What nodes said that were asked for a piece.
struct Asked {
    /// One that has it, and where.
    has: Option<(Arc<str>, SocketAddr)>,
    /// Whether any of them answered.
    answered: bool,
}

/// A piece that is under way to this node.
struct Slot<'a>(&'a Fetch);

impl<'a> Slot<'a> {
    async fn take(fetch: &'a Fetch) -> Self {
        while fetch.under_way.get() >= fetch.window.borrow().size() {
            fetch.freed.notified().await;
        }
        fetch.under_way.set(fetch.under_way.get() + 1);
        Self(fetch)
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.under_way.set(self.0.under_way.get() - 1);
        self.0.freed.notify_waiters();
    }
}

impl Fetch {
    /// A fetch of `weights` for the node with the id `own`, with at most `most` pieces under way
    /// from other nodes at once.
    pub fn new(node: Rc<Node>, own: &str, weights: Holding, most: u32) -> Self {
        Self {
            node,
            own: own.into(),
            weights,
            slow: RefCell::default(),
            layout: RefCell::default(),
            origin_slots: Semaphore::new(ORIGIN_DOWNLOADS),
            yields: Cell::new(false),
            window: RefCell::new(Window::new(most)),
            under_way: Cell::new(0),
            freed: Notify::new(),
        }
    }

    /// The version that is fetched.
    pub fn weights(&self) -> &Holding {
        &self.weights
    }

    /// Leaves the origin to a newer version, or takes it back. Both at once would slow each other,
    /// and bring every engine to two versions one after the other.
    pub fn set_yields(&self, yields: bool) {
        self.yields.set(yields);
    }

    /// The layout of the nodes that are there, worked out anew from time to time.
    pub fn layout(&self, list: &PieceList) -> Rc<OwnerMap> {
        let kept = self.layout.borrow().clone();
        if let Some((layout, _)) = kept.filter(|(_, at)| at.elapsed() < LAYOUT) {
            return layout;
        }
        let layout = self.layout_of(weights::count(list));
        *self.layout.borrow_mut() = Some((layout.clone(), Instant::now()));
        layout
    }

    fn layout_of(&self, pieces: u32) -> Rc<OwnerMap> {
        Rc::new(weights::layout(
            &self.node,
            &self.own,
            &self.weights,
            pieces,
        ))
    }

    /// Fetches one piece from other nodes and, when it may be asked, from the origin at the same
    /// time; `None` if what comes never fits the list.
    pub async fn piece(&self, list: &PieceList, number: u32) -> Option<Bytes> {
        let began = Instant::now();
        tokio::select! {
            bytes = self.ask_peers(list, number, began) => Some(bytes),
            bytes = self.ask_origin(list, number, began) => bytes,
        }
    }

    async fn ask_peers(&self, list: &PieceList, number: u32, began: Instant) -> Bytes {
        loop {
            for id in self.asked(list, number, began) {
                let bytes = self.ask_peer(number, &id).await;
                if let Some(bytes) = bytes.filter(|bytes| weights::fits(list, number, bytes)) {
                    return bytes;
                }
            }
            sleep(PAUSE).await;
        }
    }

    /// The nodes to ask for a piece now.
    fn asked(&self, list: &PieceList, number: u32, began: Instant) -> Vec<Arc<str>> {
        let plan = self.layout(list).plan(number);
        let spent = Millis::from(began.elapsed());
        let mut asked = plan.first;
        asked.retain(|id| !self.is_slow(id));
        if asked.is_empty() || spent >= plan.fallback_after {
            asked.extend(plan.fallback.into_iter().filter(|id| !self.is_slow(id)));
        }
        asked
    }

    fn is_slow(&self, id: &str) -> bool {
        let slow = self.slow.borrow();
        slow.get(id).is_some_and(|at| at.elapsed() < PASSED_OVER)
    }

    fn pass_over(&self, id: &Arc<str>) {
        self.slow.borrow_mut().insert(id.clone(), Instant::now());
    }

    fn name(&self, number: u32) -> PieceName {
        PieceName {
            weights: weights::wire_name(&self.weights),
            number,
        }
    }

    async fn ask_peer(&self, number: u32, id: &Arc<str>) -> Option<Bytes> {
        let place = weights::place(&self.node, id)?;
        let name = self.name(number);
        let dialer = &self.node.dialer;
        let has = dialer.ask(place, Question::Has(name), HAS).await;
        if let Err(error) = has {
            if !matches!(error, LinkError::Failed(_)) {
                self.pass_over(id);
            }
            return None;
        }
        self.take_piece(number, id, place).await
    }

    async fn take_piece(&self, number: u32, id: &Arc<str>, place: SocketAddr) -> Option<Bytes> {
        let _slot = Slot::take(self).await;
        let asked = self.node.clock.now();
        let question = Question::Piece(self.name(number));
        let dialer = &self.node.dialer;
        match dialer
            .ask_until_silent(place, question, PEER, PEER_SILENT)
            .await
        {
            Ok(Reply::Piece(bytes)) => {
                let now = self.node.clock.now();
                self.window.borrow_mut().arrived(asked, now);
                Some(bytes)
            }
            Err(LinkError::Timeout | LinkError::Broken { .. }) => {
                self.window.borrow_mut().stalled();
                self.pass_over(id);
                None
            }
            _ => None,
        }
    }

    /// Which of `nodes` has the piece now: then it comes from there, and the origin's link is left to
    /// those pieces that nobody has.
    async fn who_has(&self, number: u32, nodes: &[Arc<str>]) -> Asked {
        let asked = nodes.iter().filter(|id| !self.is_slow(id));
        let asked = asked.map(|id| async move {
            let place = weights::place(&self.node, id)?;
            let question = Question::HasNow(self.name(number));
            match self.node.dialer.ask(place, question, HAS_NOW).await {
                Ok(_) => Some(Some((id.clone(), place))),
                Err(LinkError::Failed(_)) => Some(None),
                Err(_) => {
                    self.pass_over(id);
                    None
                }
            }
        });
        let answers = futures_util::future::join_all(asked).await;
        let answers: Vec<_> = answers.into_iter().flatten().collect();
        Asked {
            answered: !answers.is_empty(),
            has: answers.into_iter().flatten().next(),
        }
    }

    /// The piece from the origin; `None` when what came was wrong too often.
    async fn ask_origin(&self, list: &PieceList, number: u32, began: Instant) -> Option<Bytes> {
        let mut wrong = 0;
        while wrong < WRONG {
            let plan = self.layout(list).plan(number);
            let after = Duration::from(plan.origin_after);
            let spent = began.elapsed();
            if spent < after || self.yields.get() {
                sleep(after.saturating_sub(spent).clamp(PAUSE / 2, PAUSE)).await;
                continue;
            }
            let asked = self.who_has(number, &plan.likely_holders).await;
            if let Some((id, place)) = asked.has {
                let bytes = self.take_piece(number, &id, place).await;
                if let Some(bytes) = bytes.filter(|bytes| weights::fits(list, number, bytes)) {
                    return Some(bytes);
                }
                sleep(HAS_AGAIN).await;
                continue;
            }
            let part = self.layout(list).role(number);
            if !may_ask_origin(part, asked.answered, Millis::from(began.elapsed())) {
                sleep(HAS_AGAIN).await;
                continue;
            }
            let Ok(slot) = self.origin_slots.acquire().await else {
                return None;
            };
            if self.yields.get() {
                continue;
            }
            let fetched = self.piece_of_origin(list, number).await;
            drop(slot);
            if let Some(bytes) = fetched {
                if weights::fits(list, number, &bytes) {
                    return Some(bytes);
                }
                wrong += 1;
                info!("piece of the origin is wrong", kv: { number = number });
            }
            sleep(PAUSE).await;
        }
        None
    }

    async fn piece_of_origin(&self, list: &PieceList, number: u32) -> Option<Bytes> {
        let outgoing = ask_piece(&self.weights, number);
        match call(self.origin()?, outgoing, list.bytes as usize, ORIGIN).await {
            Ok(bytes) => Some(bytes),
            Err(error) => {
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
