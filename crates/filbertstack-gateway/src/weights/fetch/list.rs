//! Fetches the list of a version's pieces, and has the voters keep it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use filbertstack_control::document::Change;
use filbertstack_control::document::Kind as ChangeKind;
use filbertstack_platform::engine::PieceList;
use filbertstack_platform::engine::ask_manifest;
use filbertstack_platform::engine::read_manifest;
use filbertstack_policy::pieces::OwnersAnswer;
use filbertstack_policy::pieces::PieceRole;
use filbertstack_policy::pieces::may_ask_for_list;
use prost::Message as _;
use spdlog::info;
use tokio::time::sleep;

use super::Fetch;
use super::HAS_TIMEOUT;
use super::RETRY_DELAY;
use crate::client::call;
use crate::link::LinkError;
use crate::link::messages::Question;
use crate::link::messages::Reply;
use crate::weights;

/// The origin may take this long to send a list of pieces, which is short.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(800);

/// The origin is asked at most this many times in a row for a list: of three answers one may be spoilt.
const MAX_LIST_ANSWERS: usize = 3;

/// The fetch pauses for this time after the origin has sent a list again that the pieces do not match.
const SAME_LIST_RETRY: Duration = Duration::from_secs(1);

/// The primary owner pauses for this time after the origin did not send it the list.
const ORIGIN_RETRY: Duration = Duration::from_millis(200);

/// A list of pieces has at most this many bytes, enough for some thousand pieces.
const MAX_LIST: usize = 1 << 20;

/// The fetch pauses for this time before it asks the voters again to keep a list.
const KEEP_RETRY: Duration = Duration::from_millis(300);

/// `ListAnswer` is the answer of a node that was asked for the list of pieces.
enum ListAnswer {
    /// The node returned the list.
    Known(PieceList),
    /// The node does not have the list yet.
    NotYet,
    /// The node no longer keeps the version.
    NotKept,
    /// The node did not answer in time.
    Unavailable,
}

impl Fetch {
    /// Returns the list of the version's pieces, and asks for it until it arrives. As with a piece, one node
    /// asks the origin and the others ask each other: hundreds of lists would take the narrow link from the
    /// pieces. If the entries no longer keep the version, each node that needs its list asks the origin.
    ///
    /// The voters keep every list before it is used: an agent that starts after all processes have lost their
    /// memory must recognise every version that an engine was ordered to load.
    pub async fn list(&self) -> PieceList {
        tokio::select! {
            list = self.list_as_primary() => list,
            list = self.list_from_others() => list,
        }
    }

    /// Returns the list to use in place of `wrong`, which a piece does not match: another one that the voters keep by
    /// now, or what the origin answers. Other nodes may still have the wrong one. If the origin answers with it again,
    /// its pieces were wrong, or its list will be right later: it is used once more, after a pause.
    pub async fn list_instead_of(&self, wrong: &PieceList) -> PieceList {
        loop {
            let kept = self.list_from_voters().await;
            if let Some(list) = kept.filter(|list| list != wrong) {
                return list;
            }
            match self.list_from_origin().await {
                Some(list) if list != *wrong => return self.keep(list).await,
                Some(list) => {
                    sleep(SAME_LIST_RETRY).await;
                    return list;
                }
                None => sleep(ORIGIN_RETRY).await,
            }
        }
    }

    /// Returns the list of the voters if it is another than `wrong`, or else asks for it as at first. Agents do not
    /// ask the origin for another list, as there are hundreds of them: the owner of a piece that does not match does.
    pub async fn list_after(&self, wrong: &PieceList) -> PieceList {
        let kept = self.list_from_voters().await;
        match kept.filter(|list| list != wrong) {
            Some(list) => list,
            None => self.list().await,
        }
    }

    /// Asks the origin for the list while this node is its primary owner. All other nodes wait for it then,
    /// so the node must not wait for them: it notices at once when an origin that failed is back.
    async fn list_as_primary(&self) -> PieceList {
        loop {
            if self.leads_list()
                && let Some(list) = self.list_from_origin().await
            {
                return self.keep(list).await;
            }
            sleep(ORIGIN_RETRY).await;
        }
    }

    /// Asks other nodes for the list and, when it may be asked, the origin.
    async fn list_from_others(&self) -> PieceList {
        let began = Instant::now();
        loop {
            let layout = self.new_layout(1);
            let plan = layout.plan(0);
            let mut owners = OwnersAnswer::Silent;
            for id in plan
                .first
                .iter()
                .chain(&plan.likely_holders)
                .chain(&plan.fallback)
            {
                let is_owner = plan.likely_holders.contains(id);
                match self.list_from_peer(id).await {
                    ListAnswer::Known(list) => return list,
                    ListAnswer::NotYet if is_owner => owners = OwnersAnswer::NotYet,
                    ListAnswer::NotKept if is_owner && owners == OwnersAnswer::Silent => {
                        owners = OwnersAnswer::NotKept;
                    }
                    _ => {}
                }
            }
            let role = layout.role(0);
            let case = self.origin_case(role, owners != OwnersAnswer::Silent, began);
            if role != PieceRole::Primary
                && may_ask_for_list(owners, case)
                && let Some(list) = self.list_from_origin().await
            {
                return self.keep(list).await;
            }
            if let Some(list) = self.list_from_voters().await {
                return list;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Returns whether this node is the one that asks the origin for the list.
    pub fn leads_list(&self) -> bool {
        self.new_layout(1).is_primary(0)
    }

    /// Has the voters keep the list, if the origin returns it. Returns whether they keep it.
    pub async fn keep_list(&self) -> bool {
        if self.list_from_voters().await.is_some() {
            return true;
        }
        let Some(list) = self.list_from_origin().await else {
            return false;
        };
        self.keep(list).await;
        true
    }

    /// Has the voters keep the list, and returns it once they do.
    async fn keep(&self, list: PieceList) -> PieceList {
        if self.list_from_voters().await.as_ref() == Some(&list) {
            return list;
        }
        let kind = Some(ChangeKind::List(weights::encode_list(&list)));
        let command = Bytes::from(Change { kind }.encode_to_vec());
        while let Err(error) = self.node.propose(command.clone()).await {
            info!("list of pieces not confirmed by the voters",
                kv: { version = self.weights.version, error = error.to_string() });
            sleep(KEEP_RETRY).await;
        }
        info!("list of pieces kept", kv: { version = self.weights.version });
        list
    }

    /// Returns the list that the voters keep, if they keep it and answer.
    async fn list_from_voters(&self) -> Option<PieceList> {
        let wire = weights::to_wire(&self.weights);
        match self.node.piece_list(wire).await {
            Ok(list) => list
                .map(|list| weights::decode_list(&list))
                .filter(|list| list.weights == self.weights && self.has_all_pieces(list)),
            Err(error) => {
                info!("voters did not return a list of pieces",
                    kv: { version = self.weights.version, error = error.to_string() });
                None
            }
        }
    }

    async fn list_from_peer(&self, id: &Arc<str>) -> ListAnswer {
        let Some(addr) = weights::link_addr(&self.node, id).filter(|_| !self.is_slow(id)) else {
            return ListAnswer::Unavailable;
        };
        let question = Question::Manifest(weights::to_wire(&self.weights));
        match self.node.dialer.ask(addr, question, HAS_TIMEOUT).await {
            Ok(Reply::Manifest(manifest)) => {
                let list = PieceList {
                    weights: self.weights.clone(),
                    bytes: manifest.bytes,
                    digests: weights::split_digests(&manifest.digests),
                };
                // An earlier release keeps a list with another count than declared.
                if self.has_all_pieces(&list) {
                    ListAnswer::Known(list)
                } else {
                    ListAnswer::Unavailable
                }
            }
            Err(LinkError::Failed(_)) => ListAnswer::NotYet,
            Ok(_) => ListAnswer::NotKept,
            Err(_) => {
                self.mark_slow(id);
                ListAnswer::Unavailable
            }
        }
    }

    /// Asks the origin for the list until two of its answers are the same. Any of them may be spoilt, and a list with
    /// one wrong digit that all nodes have taken over keeps every engine from the version.
    async fn list_from_origin(&self) -> Option<PieceList> {
        let mut answers: Vec<PieceList> = Vec::new();
        while answers.len() < MAX_LIST_ANSWERS {
            let list = self.ask_list().await?;
            if answers.contains(&list) {
                return Some(list);
            }
            answers.push(list);
        }
        info!("lists of pieces from the origin differ", kv: { version = self.weights.version });
        None
    }

    async fn ask_list(&self) -> Option<PieceList> {
        let outgoing = ask_manifest(&self.weights);
        let answer = call(self.origin()?, outgoing, MAX_LIST, ORIGIN_TIMEOUT).await;
        let read = answer
            .map_err(|e| e.to_string())
            .and_then(|body| read_manifest(&body).map_err(|e| e.to_string()));
        match read {
            Ok(list) if list.weights == self.weights && self.has_all_pieces(&list) => Some(list),
            Ok(list) => {
                info!("list of pieces is incomplete or of other weights", kv: {
                    version = self.weights.version, came = list.weights.version,
                    pieces = list.digests.len()
                });
                None
            }
            Err(error) => {
                info!("list of pieces not fetched from the origin",
                    kv: { version = self.weights.version, error = error });
                None
            }
        }
    }

    /// Returns whether a list has as many pieces as are declared, and at least one.
    fn has_all_pieces(&self, list: &PieceList) -> bool {
        let declared = self.node.declared.pieces(&self.weights.model);
        let pieces = weights::piece_count(list);
        pieces > 0 && declared.is_none_or(|declared| declared == pieces)
    }
}
