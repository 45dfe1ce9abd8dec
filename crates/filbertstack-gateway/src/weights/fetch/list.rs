//! Getting the list of a version's pieces, and having the voters keep it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use filbertstack_control::document::Change;
use filbertstack_control::document::Kind as ChangeKind;
use filbertstack_core::Millis;
use filbertstack_platform::engine::PieceList;
use filbertstack_platform::engine::ask_manifest;
use filbertstack_platform::engine::read_manifest;
use filbertstack_policy::pieces::PieceRole;
use filbertstack_policy::pieces::may_ask_origin;
use prost::Message as _;
use spdlog::info;
use tokio::time::sleep;

use super::Fetch;
use super::HAS;
use super::PAUSE;
use crate::client::call;
use crate::link::LinkError;
use crate::link::messages::Question;
use crate::link::messages::Reply;
use crate::weights;

/// How long the origin may take for a list of pieces: it is short.
const ORIGIN: Duration = Duration::from_millis(800);

/// The longest list of pieces, in bytes: those of some thousand pieces.
const LONGEST: usize = 1 << 20;

/// The pause before the voters are asked again to keep a list.
const KEEP_AGAIN: Duration = Duration::from_millis(300);

/// What a node said that was asked for the list of pieces.
enum Listed {
    /// The list.
    Here(PieceList),
    /// It does not have it yet.
    NotHere,
    /// It will not have it, or said nothing in time.
    Never,
}

impl Fetch {
    /// The list of the version's pieces, asked for until it comes. As with a piece, one node asks the
    /// origin and the others ask each other: hundreds of lists would take the narrow link from the
    /// pieces. A version that entries no longer keep is asked of the origin by whoever needs its list.
    ///
    /// Whatever comes is kept by the voters: an engine is ordered to load nothing that an agent which
    /// starts later, when all processes have lost their memory, would not recognize.
    pub async fn list(&self) -> PieceList {
        let began = Instant::now();
        loop {
            let layout = self.layout_of(1);
            if layout.is_primary(0)
                && let Some(list) = self.list_of_origin().await
            {
                return self.kept(list).await;
            }
            let plan = layout.plan(0);
            let mut answered = false;
            for id in plan
                .first
                .iter()
                .chain(&plan.likely_holders)
                .chain(&plan.fallback)
            {
                match self.list_of_peer(id).await {
                    Listed::Here(list) => return list,
                    Listed::NotHere => answered |= plan.likely_holders.contains(id),
                    Listed::Never => {}
                }
            }
            let part = layout.role(0);
            if part != PieceRole::Primary
                && may_ask_origin(part, answered, Millis::from(began.elapsed()))
                && let Some(list) = self.list_of_origin().await
            {
                return self.kept(list).await;
            }
            if let Some(list) = self.list_of_voters().await {
                return list;
            }
            sleep(PAUSE).await;
        }
    }

    /// Whether this node is the one that asks the origin for the list.
    pub fn leads_list(&self) -> bool {
        self.layout_of(1).is_primary(0)
    }

    /// Has the voters keep the list, if the origin gives it. Tells whether they do.
    pub async fn keep_list(&self) -> bool {
        if self.list_of_voters().await.is_some() {
            return true;
        }
        let Some(list) = self.list_of_origin().await else {
            return false;
        };
        self.kept(list).await;
        true
    }

    /// The list once the voters keep it.
    async fn kept(&self, list: PieceList) -> PieceList {
        if self.list_of_voters().await.as_ref() == Some(&list) {
            return list;
        }
        let kind = Some(ChangeKind::List(weights::packed(&list)));
        let command = Bytes::from(Change { kind }.encode_to_vec());
        while let Err(error) = self.node.propose(command.clone()).await {
            info!("list of pieces not known to be kept",
                kv: { version = self.weights.version, error = error.to_string() });
            sleep(KEEP_AGAIN).await;
        }
        info!("list of pieces kept", kv: { version = self.weights.version });
        list
    }

    /// The list that the voters keep, if they keep it and can be asked.
    async fn list_of_voters(&self) -> Option<PieceList> {
        let named = weights::wire_name(&self.weights);
        match self.node.piece_list(named).await {
            Ok(list) => list
                .map(|list| weights::unpacked(&list))
                .filter(|list| list.weights == self.weights),
            Err(error) => {
                info!("voters not asked for a list of pieces",
                    kv: { version = self.weights.version, error = error.to_string() });
                None
            }
        }
    }

    async fn list_of_peer(&self, id: &Arc<str>) -> Listed {
        let Some(place) = weights::place(&self.node, id).filter(|_| !self.is_slow(id)) else {
            return Listed::Never;
        };
        let question = Question::Manifest(weights::wire_name(&self.weights));
        match self.node.dialer.ask(place, question, HAS).await {
            Ok(Reply::Manifest(manifest)) => Listed::Here(PieceList {
                weights: self.weights.clone(),
                bytes: manifest.bytes,
                digests: weights::digests(&manifest.digests),
            }),
            Err(LinkError::Failed(_)) => Listed::NotHere,
            Ok(_) => Listed::Never,
            Err(_) => {
                self.pass_over(id);
                Listed::Never
            }
        }
    }

    async fn list_of_origin(&self) -> Option<PieceList> {
        let outgoing = ask_manifest(&self.weights);
        let answer = call(self.origin()?, outgoing, LONGEST, ORIGIN).await;
        let read = answer
            .map_err(|e| e.to_string())
            .and_then(|body| read_manifest(&body).map_err(|e| e.to_string()));
        match read {
            Ok(list) if list.weights == self.weights && !list.digests.is_empty() => Some(list),
            Ok(list) => {
                info!("list of pieces is another version's, or empty",
                    kv: { version = self.weights.version, came = list.weights.version });
                None
            }
            Err(error) => {
                info!("list of pieces not fetched",
                    kv: { version = self.weights.version, error = error });
                None
            }
        }
    }
}
